package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes connections on to a target on loopback and disturbs them.
type relay struct {
	l       net.Listener
	target  string
	delay   atomic.Int64 // nanoseconds before each block
	silent  atomic.Bool  // nothing passes, nothing is closed
	oneWay  atomic.Bool  // nothing passes back
	refuse  atomic.Bool  // new connections are reset
	mu      sync.Mutex
	open    map[net.Conn]bool
	stopped atomic.Bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{l: l, target: target, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			reset(c)
			continue
		}
		go r.pass(c)
	}
}

// reset closes a connection with a reset instead of an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) pass(c net.Conn) {
	up, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	r.mu.Lock()
	r.open[c], r.open[up] = true, true
	r.mu.Unlock()
	go r.copy(up, c, false)
	r.copy(c, up, true)
}

// copy passes one direction on; an end is passed on as an end, a reset as one.
func (r *relay) copy(to, from net.Conn, back bool) {
	defer func() {
		r.mu.Lock()
		delete(r.open, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for (r.silent.Load() || back && r.oneWay.Load()) && !r.stopped.Load() {
			time.Sleep(time.Millisecond)
		}
		if d := r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// resetAll resets the open connections.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		reset(c)
	}
}

// heal ends every disturbance. Connections that were silent stay lost.
func (r *relay) heal() {
	r.delay.Store(0)
	r.refuse.Store(false)
	if r.silent.Load() || r.oneWay.Load() {
		r.resetAll()
	}
	r.silent.Store(false)
	r.oneWay.Store(false)
}

func (r *relay) stop() {
	r.stopped.Store(true)
	_ = r.l.Close()
	r.resetAll()
}
