// Package httpresponse has the rules by which what a server sends is an HTTP response, and a whole one. Packages
// upstream and serverhttp, through which all responses of servers are read, and package serverpath keep them.
package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// maxWriteWait bounds the wait for a write at the end of a connection. A server that has closed its end resets the
// connection within a round trip of the next bytes; one that reads on does not.
const maxWriteWait = 500 * time.Millisecond

// Conn is a connection to a server. It may have one reader and one writer at the same time.
//
// The system tells the failure of a connection once: if a write gets it, reads see an end in order. A Conn tells
// reads of it, too, so that a response that ends with its connection is whole only if the connection did not fail.
type Conn struct {
	net.Conn
	writing chan struct{}         // has an element during a write
	failure atomic.Pointer[error] // of a write; nil: none
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) { return c.WriteParts(b) }

// WriteParts writes the parts of a request as one write. It returns the number of bytes written.
func (c *Conn) WriteParts(parts ...[]byte) (n int, err error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	for _, part := range parts {
		written, err := c.Conn.Write(part)
		n += written
		if err != nil {
			c.keep(err)
			return n, err
		}
	}
	return n, nil
}

// keep keeps the failure of a write, unless this end caused it.
func (c *Conn) keep(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// Read implements net.Conn. It returns io.EOF only if the connection has ended in order.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.awaitWrite()
	if failure := c.failure.Load(); failure != nil {
		return n, fmt.Errorf("the connection failed while the request was written: %w", *failure)
	}
	return n, io.EOF
}

// awaitWrite waits for the end of a write in progress, for maxWriteWait at most.
func (c *Conn) awaitWrite() {
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C:
	}
}
