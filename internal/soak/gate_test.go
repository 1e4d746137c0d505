package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"bilberrydale/platform/platformtest"
)

// gate stops a server as a signal would stop its process: while it is closed, the server neither
// accepts, reads, works nor writes, and what arrives waits in the buffers of the system. Closures may
// overlap.
type gate struct {
	mu      sync.Mutex
	closed  int
	changed sync.Cond // broadcast when closed becomes 0
	spans   []closure // in order
}

// closure is a time in which a gate was closed.
type closure struct{ begin, end time.Time } // end: zero while it is closed

// briefOpening is the time between two closures that counts as a part of them: a server that wakes
// for less may not get to its work.
const briefOpening = time.Second

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{}
	g.changed.L = &g.mu
	return g
}

// pass returns once the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed > 0 {
		g.changed.Wait()
	}
}

// add closes the gate once more with 1, and undoes that with -1.
func (g *gate) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == 0 {
		g.spans = append(g.spans, closure{begin: time.Now()})
	}
	g.closed += n
	if g.closed == 0 {
		g.spans[len(g.spans)-1].end = time.Now()
		g.changed.Broadcast()
	}
}

// silenceAround returns how long the gate was closed in the closures around a time, which may follow each
// other with a briefOpening between them.
func (g *gate) silenceAround(t time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var joined []closure
	for _, c := range g.spans {
		if n := len(joined); n > 0 && c.begin.Sub(joined[n-1].end) < briefOpening {
			joined[n-1].end = c.end
			continue
		}
		joined = append(joined, c)
	}
	for _, c := range joined {
		if !t.Before(c.begin) && !t.After(c.end.Add(briefOpening)) {
			return c.end.Sub(c.begin)
		}
	}
	return 0
}

// gatedListener is the listener of a server behind a gate.
type gatedListener struct {
	net.Listener
	gate     *gate
	traits   *silence
	openConn atomic.Int64
}

// newGatedListener returns a gatedListener on l.
func newGatedListener(l net.Listener, g *gate, traits *silence) *gatedListener {
	if n := traits.acceptQueue; n > 0 {
		if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) }) // a shorter queue is tried only
		}
	}
	return &gatedListener{Listener: l, gate: g, traits: traits}
}

// Accept implements net.Listener. Connections beyond the most that the server takes are reset.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.gate.pass()
		if most := l.traits.maxConns; most > 0 && l.openConn.Load() >= most {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		l.openConn.Add(1)
		return &gatedConn{Conn: conn, listener: l}, nil
	}
}

// gatedConn is a connection of a server behind a gate.
type gatedConn struct {
	net.Conn
	listener *gatedListener
	closed   atomic.Bool
	// repeat is a response that is sent once more before the next one.
	repeat  atomic.Pointer[[]byte]
	written atomic.Int64 // writes so far
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.gate.pass()
	if n > 0 {
		if repeat := c.repeat.Swap(nil); repeat != nil {
			_, _ = c.Conn.Write(*repeat) // fails if the client is gone
		}
	}
	return n, err
}

// Write implements net.Conn. A response may be sent in two parts, between which the server can stop.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.listener.gate.pass()
	traits, count := c.listener.traits, c.written.Add(1)
	if n := traits.repeatOneIn; n > 0 && platformtest.IsRefusal(b) && count%n == 0 {
		repeat := append([]byte(nil), b...)
		c.repeat.Store(&repeat)
	}
	if !traits.inParts || len(b) < 2 {
		return c.Conn.Write(b)
	}
	half := len(b) / 2
	n, err := c.Conn.Write(b[:half])
	if err != nil {
		return n, err
	}
	c.listener.gate.pass()
	n, err = c.Conn.Write(b[half:])
	return half + n, err
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConn.Add(-1)
	}
	return c.Conn.Close()
}
