// Package clientconn has the connections of clients of a net/http server. It applies limits of time that
// may change while the server runs: the time in which the head of a request has to arrive, and the time for
// which a connection may be idle. The timeouts of http.Server are those of its start. It also ends the
// connections of a server that stops: see Listener.Drain.
package clientconn

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Limits are the limits of connections. Both are positive.
type Limits struct {
	HeaderTimeout time.Duration // for the head of a request to arrive
	IdleTimeout   time.Duration // after which a connection without a request is closed
}

// Listener is a TCP listener whose connections have limits. The ConnState of the http.Server has to be
// StateChanged, and its IdleTimeout and ReadHeaderTimeout have to be set: their values do not matter.
type Listener struct {
	*net.TCPListener
	// Limits returns the limits that hold now. It is called from any goroutine.
	Limits func() Limits
	// TLS is set if the http.Server serves a listener of crypto/tls on this one, with a time limit for the
	// handshake.
	TLS bool

	conns     connSet
	closeOnce sync.Once
}

// Close implements net.Listener. It may be called more than once: Drain and the http.Server do.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.TCPListener.Close() })
	return err
}

// Accept implements net.Listener. After Drain it returns http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		if l.conns.isDraining() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	c := &Conn{TCPConn: tcp, limits: l.Limits, phase: headNext, set: &l.conns}
	if l.TLS {
		c.phase = handshakeNext
	}
	if !l.conns.add(c) {
		_ = tcp.Close() // nothing was read from it
		return nil, http.ErrServerClosed
	}
	return c, nil
}

// StateChanged is the ConnState of an http.Server.
func StateChanged(c net.Conn, s http.ConnState) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if conn, ok := c.(*Conn); ok && s == http.StateIdle {
		conn.beginIdle()
	}
}

// phase is what a connection waits for. http.Server sets a deadline at the begin of each but request,
// and clears it at the begin of request.
type phase int

const (
	handshakeNext phase = iota // the next deadline is that of the handshake of TLS
	handshake
	headNext // the next deadline is that of a head
	head
	request  // deadlines are those of the handler
	idleNext // the next deadline is that of an idle connection
	idle
)

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	limits func() Limits
	set    *connSet // of which it is one until it is closed

	mu        sync.Mutex // guards the fields below
	phase     phase
	idleSince time.Time
	extended  bool      // the deadline of the head was put off for bytes that had arrived
	begun     bool      // bytes of a request were read that is not answered
	pipelined bool      // net/http has read the first byte of the next request during this one
	draining  bool      // the connection ends once no request has begun
	headEnd   time.Time // until when the head of the request has to arrive
}

// beginIdle begins an idle period.
func (c *Conn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince, c.extended = idleNext, time.Now(), false
	c.begun, c.pipelined = c.pipelined, false
}

// SetReadDeadline implements net.Conn. Deadlines of http.Server are replaced.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case handshakeNext:
		c.phase = handshake
	case handshake:
		c.phase, c.begun = headNext, false
	case headNext, idle:
		c.begun = c.begun || c.phase == idle // net/http waits for the first bytes before it begins a head
		c.phase, c.headEnd = head, time.Now().Add(c.limits().HeaderTimeout)
		t = c.headEnd
	case head:
		c.phase = request
	case idleNext:
		c.phase = idle
		t = c.idleSince.Add(c.limits().IdleTimeout)
	case request:
	}
	if c.draining && c.isQuiet() {
		t = past
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.noteRead(len(b))
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// noteRead records that bytes were read into a buffer of a size.
func (c *Conn) noteRead(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	// net/http waits for the end of the connection with a buffer of one byte while a request is handled.
	c.pipelined = c.phase == request && bufferSize == 1
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.set.remove(c)
	return c.TCPConn.Close()
}

// extend puts a deadline off that has passed, and reports whether it has: an idle connection may stay for
// longer by now, or bytes have arrived that were not read in time, as after a suspension of the process. To
// close the connection then would reset it, with a request that its client cannot tell from one that was
// taken.
func (c *Conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.draining && c.isQuiet():
		if !c.hasUnread() {
			return false
		}
		return c.TCPConn.SetReadDeadline(now.Add(c.limits().HeaderTimeout)) == nil
	case c.draining && c.phase == head && c.headEnd.After(now): // drain has set the deadline during a Read
		return c.TCPConn.SetReadDeadline(c.headEnd) == nil
	case c.phase == idle && c.idleSince.Add(c.limits().IdleTimeout).After(now):
		return c.TCPConn.SetReadDeadline(c.idleSince.Add(c.limits().IdleTimeout)) == nil
	case (c.phase == idle || c.phase == head) && !c.extended && c.hasUnread():
		c.extended = true
		return c.TCPConn.SetReadDeadline(now.Add(c.limits().HeaderTimeout)) == nil
	}
	return false
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *Conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control, as Read returns at once while the deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread && err == nil
}
