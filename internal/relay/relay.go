// Package relay is a fault-injecting TCP proxy on loopback. Tests put it between two
// processes to delay, pause, reset, refuse or blackhole their connections.
package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections from its address to a target. Its methods are safe for
// concurrent use; after Close they have no effect.
type Proxy struct {
	listener        net.Listener
	target          string       // host:port
	blackholedConns atomic.Int64 // blackholed connections on which bytes to the target were discarded

	mu      sync.Mutex         // guards the fields below
	conns   map[*connPair]bool // open connections
	faults  faults
	changed chan struct{} // closed when faults changes
	closed  bool
}

// faults are the faults that apply to all connections, open and new ones.
type faults struct {
	delay          time.Duration // before each transfer
	refuse         bool          // reset new connections
	pauseResponses bool          // forward no bytes from the target; connections stay open
	pauseAll       bool          // forward no bytes in either direction
	// repeatLate reports whether a transfer from the target arrives once more; nil: none does.
	repeatLate func(data []byte) bool
}

// connPair is a connection to the proxy and the corresponding one to the target.
type connPair struct {
	client, server net.Conn
	// blackholed is, by direction, whether all further bytes are discarded.
	blackholed [2]atomic.Bool
	countOnce  sync.Once // counts the pair once in Proxy.blackholedConns
	// repeat holds the bytes that the client gets once more before the next ones go to the target.
	repeat atomic.Pointer[[]byte]
}

// Directions of a connPair.
const (
	toTarget = iota
	toClient
)

// New starts a proxy in front of target (host:port). The error is that of listening;
// the target is dialed for each connection only.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{listener: l, target: target, conns: map[*connPair]bool{}, changed: make(chan struct{})}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address of the proxy, host:port.
func (r *Proxy) Address() string { return r.listener.Addr().String() }

// BlackholedConnections returns the number of blackholed connections on which bytes to
// the target were discarded.
func (r *Proxy) BlackholedConnections() int64 { return r.blackholedConns.Load() }

// SetDelay delays each transfer of bytes by d; 0 ends the delay.
func (r *Proxy) SetDelay(d time.Duration) { r.updateFaults(func(f *faults) { f.delay = d }) }

// RefuseConnections resets new connections while on. Open connections continue.
func (r *Proxy) RefuseConnections(on bool) { r.updateFaults(func(f *faults) { f.refuse = on }) }

// Pause holds back all bytes, or only those of responses, like a suspended process or
// a link that works in one direction. Resume forwards them.
func (r *Proxy) Pause(responsesOnly bool) {
	r.updateFaults(func(f *faults) { f.pauseResponses, f.pauseAll = true, !responsesOnly })
}

// Resume ends Pause.
func (r *Proxy) Resume() {
	r.updateFaults(func(f *faults) { f.pauseResponses, f.pauseAll = false, false })
}

// RepeatLate lets each transfer of bytes from the target that match reports arrive once more, on
// its connection, when the next bytes are sent to the target; nil ends that.
func (r *Proxy) RepeatLate(match func(data []byte) bool) {
	r.updateFaults(func(f *faults) { f.repeatLate = match })
}

// ClearFaults ends all faults. If connections were paused, all connections are reset,
// because both ends have abandoned them by then.
func (r *Proxy) ClearFaults() {
	r.mu.Lock()
	paused := r.faults.pauseResponses
	r.mu.Unlock()
	if paused {
		r.ResetConnections()
	}
	r.updateFaults(func(f *faults) { *f = faults{} })
}

// ResetConnections resets all open connections, like the crash of a process.
func (r *Proxy) ResetConnections() {
	r.forEachPair(func(p *connPair) {
		resetConn(p.client)
		resetConn(p.server)
	})
}

// Blackhole permanently discards all bytes on the open connections, in both
// directions or only those of responses. New connections work.
func (r *Proxy) Blackhole(responsesOnly bool) {
	r.forEachPair(func(p *connPair) {
		p.blackholed[toClient].Store(true)
		if !responsesOnly {
			p.blackholed[toTarget].Store(true)
		}
	})
}

// StopListening refuses new connections for good. Open connections continue.
func (r *Proxy) StopListening() { _ = r.listener.Close() }

// Close stops the proxy and resets its connections.
func (r *Proxy) Close() {
	r.StopListening()
	r.ResetConnections()
	r.updateFaults(func(f *faults) { *f = faults{} })
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// updateFaults applies f to the faults and wakes the transfers that wait for a change.
func (r *Proxy) updateFaults(f func(*faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	f(&r.faults)
	close(r.changed)
	r.changed = make(chan struct{})
}

// currentFaults returns the faults and a channel that is closed when they change.
func (r *Proxy) currentFaults() (faults, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.changed
}

// forEachPair calls f for each open connection, with mu held.
func (r *Proxy) forEachPair(f func(*connPair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		f(p)
	}
}

// acceptLoop handles each new connection in its own goroutine until Close.
func (r *Proxy) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.handle(client)
	}
}

// dialTimeout is short because the target is on the same machine.
const dialTimeout = time.Second

// handle connects client to the target and forwards both directions until they end.
func (r *Proxy) handle(client net.Conn) {
	r.waitForTransfer(toTarget)
	if current, _ := r.currentFaults(); current.refuse {
		resetConn(client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	p := &connPair{client: client, server: server}
	if !r.register(p) {
		resetConn(client)
		resetConn(server)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(p, toTarget)
	}()
	r.copy(p, toClient)
	<-done
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// register adds p to the open connections. It returns false after Close.
func (r *Proxy) register(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[p] = true
	return true
}

// waitForTransfer blocks while the direction is paused, and for the delay.
func (r *Proxy) waitForTransfer(direction int) {
	for {
		current, changed := r.currentFaults()
		if current.pauseAll || current.pauseResponses && direction == toClient {
			<-changed
			continue
		}
		if current.delay > 0 {
			select {
			case <-time.After(current.delay):
			case <-changed:
			}
		}
		return
	}
}

// copy forwards one direction until it ends. It forwards an end of stream as such and
// an error as a reset. The end of a blackholed connection is not forwarded.
func (r *Proxy) copy(p *connPair, direction int) {
	from, to := p.client, p.server
	if direction == toClient {
		from, to = p.server, p.client
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		r.waitForTransfer(direction)
		blackholed := p.blackholed[direction].Load()
		switch {
		case blackholed && direction == toTarget && n > 0:
			p.countOnce.Do(func() { r.blackholedConns.Add(1) })
		case n > 0 && !blackholed:
			r.repeatTransfer(p, direction, buf[:n])
			if _, werr := to.Write(buf[:n]); werr != nil {
				resetConn(from)
				return
			}
		}
		switch {
		case err == nil:
			continue
		case blackholed:
		case errors.Is(err, io.EOF):
			closeWrite(to)
		default:
			resetConn(to)
		}
		return
	}
}

// repeatTransfer applies RepeatLate to bytes that are about to be forwarded.
func (r *Proxy) repeatTransfer(p *connPair, direction int, data []byte) {
	if direction == toTarget {
		if repeat := p.repeat.Swap(nil); repeat != nil {
			_, _ = p.client.Write(*repeat) // fails if the client is gone
		}
		return
	}
	if current, _ := r.currentFaults(); current.repeatLate != nil && current.repeatLate(data) {
		repeat := bytes.Clone(data)
		p.repeat.Store(&repeat)
	}
}

// closeWrite sends an end of stream and leaves the other direction open.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the other end is closed; there is no one to report it to
	}
}

// resetConn closes a connection with a reset instead of a regular end.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
