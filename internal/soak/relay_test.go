package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay passes connections on to a target on loopback and disturbs them.
type relay struct {
	l      net.Listener
	target string

	mu      sync.Mutex
	open    map[net.Conn]bool
	delay   time.Duration // before each block
	refuse  bool          // new connections are reset
	silent  bool          // nothing passes back, nothing is closed
	there   bool          // with silent: nothing passes there either
	healed  chan struct{} // closed when the present disturbance ends
	stopped bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{l: l, target: target, open: map[net.Conn]bool{}, healed: make(chan struct{})}
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
		r.mu.Lock()
		refuse := r.refuse
		r.mu.Unlock()
		if refuse {
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

// hold blocks while a direction is silent, and for the delay of a slow link; the
// end of the disturbance ends both.
func (r *relay) hold(back bool) {
	for {
		r.mu.Lock()
		silent, delay, healed := r.silent && (back || r.there), r.delay, r.healed
		r.mu.Unlock()
		if silent {
			<-healed
			continue
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-healed:
			}
		}
		return
	}
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
		r.hold(back)
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
	r.resetOpen()
}

func (r *relay) resetOpen() {
	for c := range r.open {
		reset(c)
	}
}

// disturb begins a disturbance.
func (r *relay) disturb(set func(r *relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		set(r)
	}
}

// heal ends every disturbance. Connections that were silent stay lost.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		r.resetOpen()
	}
	r.delay, r.refuse, r.silent, r.there = 0, false, false, false
	close(r.healed)
	r.healed = make(chan struct{})
}

func (r *relay) stop() {
	r.disturb(func(r *relay) { r.stopped = true })
	_ = r.l.Close()
	r.heal()
	r.resetAll()
}
