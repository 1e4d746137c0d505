// Package relay is a TCP relay on loopback that tests put between two processes
// to disturb their connections from outside: it delays, holds, resets, refuses
// and forgets them.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes the connections to its address on to a target. Its methods are
// safe for concurrent use; after Close they do nothing.
type Proxy struct {
	listener net.Listener
	target   string
	lost     atomic.Int64

	mu     sync.Mutex
	conns  map[*pair]bool
	link   link
	change chan struct{} // closed when the link's state changes
	closed bool
}

// link is the state of all connections, present and new ones.
type link struct {
	delay       time.Duration // before each block
	refuse      bool          // new connections are reset
	holdAnswers bool          // nothing passes from the target; nothing is closed
	holdAll     bool          // nothing passes in either direction
}

// pair is a connection to the relay with the one to the target.
type pair struct {
	client, server net.Conn
	// forgot tells for each direction that its bytes vanish for good.
	forgot [2]atomic.Bool
	missed sync.Once
}

// Directions of a pair.
const (
	there = iota // to the target
	back
)

// New starts a relay in front of target (host:port).
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{listener: l, target: target, conns: map[*pair]bool{}, change: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Address is where the relay takes connections.
func (r *Proxy) Address() string { return r.listener.Addr().String() }

// Lost is the number of forgotten connections on which something was sent to the
// target afterwards.
func (r *Proxy) BlackholedConnections() int64 { return r.lost.Load() }

// Delay holds each block of bytes up for d; 0: no more.
func (r *Proxy) SetDelay(d time.Duration) { r.set(func(l *link) { l.delay = d }) }

// Refuse resets new connections; those that are open live on.
func (r *Proxy) RefuseConnections(on bool) { r.set(func(l *link) { l.refuse = on }) }

// Hold keeps back all bytes, or those of answers alone, like a stopped process or
// a link that works one way. Release lets them pass.
func (r *Proxy) Pause(answersOnly bool) {
	r.set(func(l *link) { l.holdAnswers, l.holdAll = true, !answersOnly })
}

// Release ends Hold.
func (r *Proxy) Resume() { r.set(func(l *link) { l.holdAnswers, l.holdAll = false, false }) }

// Heal ends every disturbance. Connections that were held are reset: the two ends
// have long given them up.
func (r *Proxy) ClearFaults() {
	r.mu.Lock()
	held := r.link.holdAnswers
	r.mu.Unlock()
	if held {
		r.ResetConnections()
	}
	r.set(func(l *link) { *l = link{} })
}

// Reset ends every connection as the crash of a process does.
func (r *Proxy) ResetConnections() {
	r.each(func(p *pair) {
		abort(p.client)
		abort(p.server)
	})
}

// Forget makes the present connections silent for good, in both directions or for
// answers alone. New ones work.
func (r *Proxy) Blackhole(answersOnly bool) {
	r.each(func(p *pair) {
		p.forgot[back].Store(true)
		if !answersOnly {
			p.forgot[there].Store(true)
		}
	})
}

// Close ends the relay and its connections.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.ResetConnections()
	r.set(func(l *link) { *l = link{} })
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

func (r *Proxy) set(f func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	f(&r.link)
	close(r.change)
	r.change = make(chan struct{})
}

func (r *Proxy) state() (link, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link, r.change
}

func (r *Proxy) each(f func(*pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		f(p)
	}
}

func (r *Proxy) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.serve(client)
	}
}

// dialBound: the target is on this machine.
const dialBound = time.Second

func (r *Proxy) serve(client net.Conn) {
	r.wait(there)
	if now, _ := r.state(); now.refuse {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialBound)
	if err != nil {
		abort(client)
		return
	}
	p := &pair{client: client, server: server}
	if !r.add(p) {
		abort(client)
		abort(server)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(p, there)
	}()
	r.copy(p, back)
	<-done
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

func (r *Proxy) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[p] = true
	return true
}

// wait blocks while a direction is held, and for the delay of a slow link.
func (r *Proxy) wait(direction int) {
	for {
		now, change := r.state()
		if now.holdAll || now.holdAnswers && direction == back {
			<-change
			continue
		}
		if now.delay > 0 {
			select {
			case <-time.After(now.delay):
			case <-change:
			}
		}
		return
	}
}

// copy passes one direction on until it ends: an end is passed on as an end, a
// reset as a reset. The end of a connection that was forgotten is not told.
func (r *Proxy) copy(p *pair, direction int) {
	from, to := p.client, p.server
	if direction == back {
		from, to = p.server, p.client
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		r.wait(direction)
		forgot := p.forgot[direction].Load()
		switch {
		case forgot && direction == there && n > 0:
			p.missed.Do(func() { r.lost.Add(1) })
		case n > 0 && !forgot:
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		switch {
		case err == nil:
			continue
		case forgot:
		case errors.Is(err, io.EOF):
			closeWrite(to)
		default:
			abort(to)
		}
		return
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other end may be gone; there is nobody to tell
	}
}

// abort closes a connection with a reset instead of an end.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
