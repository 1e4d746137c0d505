package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrydale/connection/httpresponse"
)

const (
	// maxHeadBytes bounds the status line, all header lines and the interim responses before
	// them.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses (1xx) to a request.
	maxInterimResponses = 8
	// maxHeadTime bounds the time from the first byte of a head to its end. It is longer than the
	// silences of a second or so in which a server is sound.
	maxHeadTime = 2 * time.Second
)

// Errors of responses without end. The connection is closed then.
var (
	errHeadTooLarge   = fmt.Errorf("the head of the answer has over %d bytes", maxHeadBytes)
	errHeadTooSlow    = fmt.Errorf("the head of the answer has not ended %s after its first byte", maxHeadTime)
	errTooManyInterim = fmt.Errorf("over %d interim answers", maxInterimResponses)
)

// headReader reads from a connection. It bounds what is read while the head of a response is, and keeps how the
// server's end has ended the connection.
type headReader struct {
	conn     *httpresponse.Conn
	reading  bool        // the head of a response
	left     int         // bytes that the head may still have
	timer    *time.Timer // ends the head; nil before its first byte
	late     atomic.Bool // the timer has ended it
	tooLarge bool
	// broken is set once the server's end has closed or reset the connection: io.ErrUnexpectedEOF, or that
	// of the read.
	broken error
}

// begin begins the head of a response, of which buffered bytes have been read.
func (r *headReader) begin(buffered int) {
	r.reading, r.left = true, maxHeadBytes
	if buffered > 0 {
		r.startTimer()
	}
}

// startTimer starts the time of a head. Its end interrupts the read.
func (r *headReader) startTimer() {
	r.timer = time.AfterFunc(maxHeadTime, func() {
		r.late.Store(true)
		_ = r.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	})
}

// end ends the head. Instead of err it returns the bound that the head has passed, if it has, and with it how the
// connection ended.
func (r *headReader) end(err error) error {
	r.reading = false
	r.stopTimer()
	switch {
	case err == nil:
	case r.tooLarge:
		return errHeadTooLarge
	case r.late.Load():
		return errHeadTooSlow
	}
	return r.explain(err)
}

// explain adds the end of the connection to an error of a response, if that was read: net/http takes what came
// before it for a malformed line.
func (r *headReader) explain(err error) error {
	if err == nil || r.broken == nil || errors.Is(err, r.broken) {
		return err
	}
	return fmt.Errorf("%w: %w", r.broken, err)
}

// stopTimer stops the timer, if it runs.
func (r *headReader) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
}

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.reading {
		return r.read(b)
	}
	if r.left <= 0 {
		r.tooLarge = true // net/http tells another error for a part of a head
		return 0, errHeadTooLarge
	}
	n, err := r.read(b[:min(len(b), r.left)])
	r.left -= n
	if n > 0 && r.timer == nil {
		r.startTimer()
	}
	return n, err
}

// read reads from the connection and keeps its end. A reset is told by one read only.
func (r *headReader) read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	switch {
	case r.broken != nil:
	case err == io.EOF:
		r.broken = io.ErrUnexpectedEOF
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.broken = err
	}
	return n, err
}

// readHead reads the status and headers of a response, skipping interim responses (1xx).
func (k *conn) readHead(req *http.Request) (*http.Response, error) {
	k.head.begin(k.reader.Buffered())
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(k.reader, req)
		if err == nil {
			err = httpresponse.Check(resp)
		}
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", k.head.end(err))
		}
		if resp.StatusCode >= http.StatusOK {
			_ = k.head.end(nil)
			if k.head.late.Load() {
				return nil, errHeadTooSlow // the connection cannot be read any more
			}
			return resp, nil
		}
		k.head.stopTimer() // bytes are counted together
	}
	return nil, k.head.end(errTooManyInterim)
}
