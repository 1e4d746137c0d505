package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/server"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	call   *Call
	resp   *http.Response
	cancel context.CancelFunc
	sent   atomic.Bool // a connection was there: bytes may have left
	reused atomic.Bool // the connection served an earlier exchange
	silent atomic.Bool

	mu    sync.Mutex // orders the timer's rounds against progress and the end
	timer *time.Timer
	round int
	bound time.Duration
	ended bool
}

// open sends the call and checks that the answer's head belongs to it.
func (h *HTTPClient) open(ctx context.Context, c *Call) (*exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{call: c, cancel: cancel}
	req, err := h.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.connected}), c)
	if err != nil {
		cancel()
		return nil, &Error{Delivery: NotSent, Cause: err}
	}
	x.watch(c.FirstByteTimeout)
	x.resp, err = h.client(c.Server).Do(req)
	if err != nil {
		defer x.close()
		return nil, x.failed(err)
	}
	x.watch(c.IdleTimeout)
	err = x.check(c, &h.opts.Headers)
	if !errors.Is(err, ErrMisdelivered) {
		h.heard(c.Server, x.resp.Header)
	}
	if err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// heard takes what an answer says of its server. An answer is often the first
// sign of a leave: it needs no report, list or peer to arrive.
func (h *HTTPClient) heard(s *server.State, header http.Header) {
	if h.opts.OnLeaving != nil && header.Get(h.opts.Headers.Leaving) == "true" && !s.Leaving() {
		h.opts.OnLeaving(s)
	}
}

func (x *exchange) connected(info httptrace.GotConnInfo) {
	x.reused.Store(info.Reused)
	x.sent.Store(true)
}

// watch restarts the wait for progress; 0 ends it.
func (x *exchange) watch(bound time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	x.arm(bound)
}

// arm is called with x.mu held.
func (x *exchange) arm(bound time.Duration) {
	x.bound = bound
	switch {
	case x.ended || bound <= 0:
		if x.timer != nil {
			x.timer.Stop()
		}
	case x.timer == nil:
		x.timer = time.AfterFunc(bound, x.doubt)
	default:
		x.timer.Reset(bound)
	}
}

// doubt runs when a bound has passed without progress. Something between the
// two ends may have forgotten the connection: nothing would ever come, and no
// error either.
func (x *exchange) doubt() {
	x.mu.Lock()
	round, ended := x.round, x.ended
	x.mu.Unlock()
	if ended {
		return
	}
	if x.call.OnStall == nil || x.call.OnStall(x.reused.Load()) {
		x.giveUp(round)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.round == round {
		x.arm(2 * x.bound)
	}
}

// giveUp ends the exchange unless progress came while it was doubted.
func (x *exchange) giveUp(round int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.round == round && !x.ended {
		x.silent.Store(true)
		x.cancel()
	}
}

// delimited reports whether the end of the answer is marked. An answer that
// ends with its connection looks whole after any cut.
func (x *exchange) delimited() bool {
	return x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
}

// body returns the answer's body; each read that brings bytes restarts the
// wait for progress.
func (x *exchange) body() io.Reader { return progressReader{x} }

type progressReader struct{ x *exchange }

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.x.resp.Body.Read(b)
	if n > 0 {
		p.x.watch(p.x.call.IdleTimeout)
	}
	return n, err
}

func (x *exchange) failed(err error) *Error {
	e := &Error{Cause: err, Stalled: x.silent.Load()}
	if e.Stalled {
		e.Cause = fmt.Errorf("%w: %w", errSilent, err)
	}
	if x.sent.Load() {
		e.Delivery = MaybeSent
	}
	e.ConnectionFailed = !e.Stalled && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return e
}

// maxTrailer bounds what may follow the final chunk, such as a line end.
const maxTrailer = 64

// finish reads the end of a stream after its final chunk, so that the
// connection may serve another exchange. More than an end is left unread, and
// the connection is closed.
func (x *exchange) finish() {
	x.watch(x.call.IdleTimeout)
	_, _ = io.CopyN(io.Discard, x.resp.Body, maxTrailer)
}

// close ends the exchange. Cancelling before the body was read to its end
// makes the transport close the connection, so that a late rest of this answer
// can never be read as the answer of a later request.
func (x *exchange) close() {
	x.mu.Lock()
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	x.mu.Unlock()
	x.cancel()
	if x.resp != nil {
		x.resp.Body.Close()
	}
}
