package faultrun

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP relay in front of a backend server. It stands for what lies
// between two ends: it can reset connections, forget them without a word, and
// freeze like a stopped process.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	down     bool
	thaw     chan struct{} // not nil: frozen
	conns    map[*relayed]bool
	lost     atomic.Int64 // forgotten connections on which something was sent after
}

type relayed struct {
	client, server   net.Conn
	mute             sync.Mutex // guards the two below
	muteUp, muteDown bool
	swallowed        sync.Once
}

func newRelay(t testing.TB, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[*relayed]bool{}}
	go r.accept()
	t.Cleanup(func() { l.Close(); r.unfreeze(); r.reset() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *relay) serve(client net.Conn) {
	r.wait()
	r.mu.Lock()
	target, down := r.target, r.down
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil || down {
		abort(client)
		if err == nil {
			server.Close()
		}
		return
	}
	c := &relayed{client: client, server: server}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go r.copy(c, client, server, &c.muteUp)
	r.copy(c, server, client, &c.muteDown)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *relay) copy(c *relayed, from, to net.Conn, muted *bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		r.wait()
		c.mute.Lock()
		silent := *muted
		c.mute.Unlock()
		if silent && err == nil {
			if muted == &c.muteUp {
				c.swallowed.Do(func() { r.lost.Add(1) })
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !silent {
				to.Close()
			}
			from.Close()
			return
		}
	}
}

// wait blocks while the relay is frozen.
func (r *relay) wait() {
	r.mu.Lock()
	thaw := r.thaw
	r.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.thaw == nil {
		r.thaw = make(chan struct{})
	}
}

func (r *relay) unfreeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.thaw != nil {
		close(r.thaw)
		r.thaw = nil
	}
}

func (r *relay) each(f func(*relayed)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		f(c)
	}
}

// reset ends every connection as a crash of the server does.
func (r *relay) reset() { r.each(func(c *relayed) { abort(c.client); abort(c.server) }) }

// forget makes the present connections silent for good, in both directions or
// for answers alone. New ones work.
func (r *relay) forget(answersOnly bool) {
	r.each(func(c *relayed) {
		c.mute.Lock()
		defer c.mute.Unlock()
		c.muteDown = true
		c.muteUp = c.muteUp || !answersOnly
	})
}

// refuse ends new connections; those that are open live on.
func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
}

func (r *relay) setDown(down bool) {
	r.mu.Lock()
	r.down = down
	r.mu.Unlock()
	if down {
		r.reset()
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
