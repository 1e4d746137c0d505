// Package world holds the stand-ins that the scripts of the review share: the platform's store,
// backend servers, clients and the daemons as processes. They follow the users' pages and use
// loopback addresses only.
package world

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Exchange is one request at a stand-in server, with the connection on which it arrived.
type Exchange struct {
	Request *http.Request
	Body    []byte
	// Ctx ends when the caller closes the connection.
	Ctx   context.Context
	conn  *serverConn
	bytes bytes.Buffer // of the answer so far
}

// Handler answers one request.
type Handler func(x *Exchange)

// serverConn is a connection of a caller. Its requests are answered one after another.
type serverConn struct {
	tcp *net.TCPConn
	// late are the bytes of an extra answer. They are written when the next request is read, where
	// the caller expects the next answer.
	late []byte
}

// Listener is a server that speaks HTTP/1.1 without a library in between, so that it can send what
// a sound server does not.
type Listener struct {
	tcp     net.Listener
	handler Handler

	mu     sync.Mutex
	conns  map[*serverConn]bool
	closed bool
}

// Listen starts a server on a free loopback port, or on the address if it is not empty.
func Listen(address string, h Handler) (*Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{tcp: tcp, handler: h, conns: map[*serverConn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the host:port of the server.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// Crash ends the server like a process that dies: all connections are reset and new ones refused.
func (l *Listener) Crash() {
	_ = l.tcp.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
	}
}

func (l *Listener) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		k := &serverConn{tcp: c.(*net.TCPConn)}
		l.mu.Lock()
		if l.closed {
			_ = c.Close()
		}
		l.conns[k] = true
		l.mu.Unlock()
		go l.serve(k)
	}
}

// serve answers the requests of a connection in their order.
func (l *Listener) serve(c *serverConn) {
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan *Exchange, 16)
	go func() {
		defer cancel()
		defer close(requests)
		r := bufio.NewReader(c.tcp)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			requests <- &Exchange{Request: req, Body: body, Ctx: ctx, conn: c}
		}
	}()
	for x := range requests {
		if c.late != nil {
			_, _ = c.tcp.Write(c.late)
			c.late = nil
		}
		l.handler(x)
	}
	_ = c.tcp.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// write sends bytes of the answer.
func (x *Exchange) write(data []byte) {
	x.bytes.Write(data)
	_, _ = x.conn.tcp.Write(data) // an error means that the caller has left
}

// head returns the status line and the header lines of an answer.
func (x *Exchange) head(status int, header http.Header) []byte {
	if id := x.Request.Header.Get(Wire.AttemptID); id != "" {
		header.Set(Wire.AttemptID, id)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&b) // cannot fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer sends a whole answer.
func (x *Exchange) Answer(status int, header http.Header, body []byte) {
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.write(append(x.head(status, header), body...))
}

// BeginStream sends the head of a chunked answer.
func (x *Exchange) BeginStream(header http.Header) {
	header.Set("Content-Type", "text/event-stream")
	header.Set("Transfer-Encoding", "chunked")
	x.write(x.head(http.StatusOK, header))
}

// Chunk sends a part of a chunked answer; an empty part ends it.
func (x *Exchange) Chunk(part string) {
	x.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part))
}

// RepeatLate makes the answer just sent arrive once more, when the next request is due an answer
// on the connection: what the bench calls garble, extra late.
func (x *Exchange) RepeatLate() { x.conn.late = bytes.Clone(x.bytes.Bytes()) }
