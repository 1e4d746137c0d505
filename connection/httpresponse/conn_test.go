package httpresponse

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// endedConn is a connection whose reads see an end in order, and whose writes end with an error after a time.
type endedConn struct {
	net.Conn
	writeTime time.Duration
	writeErr  error
}

// Read implements net.Conn.
func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *endedConn) Write([]byte) (int, error) {
	time.Sleep(c.writeTime)
	return 0, c.writeErr
}

// writeError returns the error of a write as package net does.
func writeError(err error) error { return &net.OpError{Op: "write", Net: "tcp", Err: err} }

// Guards against an end in order for the reader of a connection whose failure only the writer was told, and against a
// failure of the connection that is this end's own doing.
func TestFailureOfAWriteIsToldToTheReader(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr error
		want     error
	}{
		"reset":             {writeErr: writeError(os.NewSyscallError("write", syscall.ECONNRESET)), want: syscall.ECONNRESET},
		"closed":            {writeErr: writeError(os.NewSyscallError("write", syscall.EPIPE)), want: syscall.EPIPE},
		"nothing confirmed": {writeErr: writeError(os.NewSyscallError("write", syscall.ETIMEDOUT)), want: syscall.ETIMEDOUT},
		"whole":             {want: io.EOF},
		"interrupted":       {writeErr: writeError(os.ErrDeadlineExceeded), want: io.EOF},
		"closed by this":    {writeErr: writeError(net.ErrClosed), want: io.EOF},
	} {
		for _, writeTime := range []time.Duration{0, maxWriteWait / 2} {
			t.Run(fmt.Sprintf("%s, written for %s", name, writeTime), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					conn := NewConn(&endedConn{writeTime: writeTime, writeErr: c.writeErr})
					go func() { _, _ = conn.WriteParts(nil, []byte("rest")) }()
					synctest.Wait()
					_, err := conn.Read(nil)
					g.Expect(err).To(MatchError(c.want))
					if c.want != io.EOF {
						g.Expect(err).NotTo(MatchError(io.EOF))
					}
				})
			})
		}
	}
}

// Guards against a response that waits for a server that has ended it, and does not read the rest of its request.
func TestEndInOrderAwaitsNoEndlessWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const writeTime = time.Hour
		conn := NewConn(&endedConn{writeTime: writeTime})
		go func() { _, _ = conn.Write(nil) }()
		synctest.Wait()
		began := time.Now()
		_, err := conn.Read(nil)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(time.Since(began)).To(Equal(maxWriteWait))
		time.Sleep(writeTime) // the write ends
	})
}
