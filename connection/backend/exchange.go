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

	"bilberrydale/connection/bodylimit"
	"bilberrydale/connection/serverhttp"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverstate"
)

// exchange is a request and its response on one connection.
type exchange struct {
	call      *Call
	resp      *http.Response
	cancel    context.CancelFunc
	connected atomic.Bool // a connection was obtained: bytes may have been sent
	reused    atomic.Bool // the connection served an earlier exchange
	stalled   atomic.Bool // aborted by abortStalled

	mu         sync.Mutex    // guards the fields below
	timer      *time.Timer   // calls onTimeout; nil until it is first started
	generation int           // incremented on each progress
	timeout    time.Duration // current timeout of timer
	closed     bool          // close was called
}

// open sends the call, waits for the headers of the response and checks that it belongs to the
// call and has status 200. The error is an *Error.
func (h *HTTPClient) open(ctx context.Context, c *Call) (*exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{call: c, cancel: cancel}
	req, err := h.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.onConnection}), c)
	if err != nil {
		cancel()
		return nil, &Error{Delivery: NotSent, Cause: err}
	}
	x.restartTimer(c.FirstByteTimeout)
	sentAt := time.Now()
	x.resp, err = h.client(c.Server).Do(req)
	if err != nil {
		defer x.close()
		return nil, x.newError(err)
	}
	x.restartTimer(c.IdleTimeout)
	err = x.validateResponse(c, &h.opts.Headers)
	if !errors.Is(err, ErrMisdelivered) {
		h.detectLeaving(c.Server, x.resp.Header)
		h.reportLimit(c.Server, x.resp, sentAt)
	}
	if err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// detectLeaving calls OnLeaving if the response says that its server is leaving and this is not
// yet known. A response is often the earliest source, since it needs no load report, host list
// or peer.
func (h *HTTPClient) detectLeaving(s *serverstate.State, header http.Header) {
	if h.opts.OnLeaving != nil && header.Get(h.opts.Headers.Leaving) == "true" && !s.Leaving() {
		h.opts.OnLeaving(s)
	}
}

// reportLimit calls OnResponse for a response to a call that was sent at sentAt.
func (h *HTTPClient) reportLimit(s *serverstate.State, resp *http.Response, sentAt time.Time) {
	if h.opts.OnResponse == nil {
		return
	}
	r := serverlimit.Response{SentAt: sentAt, NotRun: resp.Header.Get(h.opts.Headers.NotStarted) == "true"}
	r.PerSecond, r.Limited = serverlimit.ParseLimit(resp.Header.Get(h.opts.Headers.RateLimit))
	r.MaxRefusals, r.Brittle = serverlimit.ParseLimit(resp.Header.Get(h.opts.Headers.MaxRefusals))
	r.Refused = r.NotRun && resp.StatusCode == http.StatusServiceUnavailable
	h.opts.OnResponse(s, r)
}

// onConnection is called when the transport has obtained a connection.
func (x *exchange) onConnection(info httptrace.GotConnInfo) {
	x.reused.Store(info.Reused)
	x.connected.Store(true)
}

// restartTimer records progress and restarts the timeout; 0 stops it.
func (x *exchange) restartTimer(timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.generation++
	x.setTimer(timeout)
}

// setTimer starts the timer without recording progress. The caller holds x.mu.
func (x *exchange) setTimer(timeout time.Duration) {
	x.timeout = timeout
	switch {
	case x.closed || timeout <= 0:
		if x.timer != nil {
			x.timer.Stop()
		}
	case x.timer == nil:
		x.timer = time.AfterFunc(timeout, x.onTimeout)
	default:
		x.timer.Reset(timeout)
	}
}

// onTimeout runs when the timeout has expired without progress. A middlebox may have
// dropped the connection's state, in which case neither data nor an error would ever arrive.
func (x *exchange) onTimeout() {
	x.mu.Lock()
	generation, closed := x.generation, x.closed
	x.mu.Unlock()
	if closed {
		return
	}
	if x.call.OnStall == nil || x.call.OnStall(x.reused.Load()) {
		x.abortStalled(generation)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.generation == generation {
		x.setTimer(2 * x.timeout)
	}
}

// abortStalled cancels the exchange unless it has progressed since generation was read.
func (x *exchange) abortStalled(generation int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.generation == generation && !x.closed {
		x.stalled.Store(true)
		x.cancel()
	}
}

// bodyDelimited reports whether the response has a length or is chunked. A response that
// ends with its connection cannot be told from a truncated one.
func (x *exchange) bodyDelimited() bool {
	return x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
}

// bodyReader returns the response body. A trickle of data does not restart the timeout.
func (x *exchange) bodyReader() io.Reader { return &progressReader{exchange: x} }

// progressReader reads the body of an exchange and records progress.
type progressReader struct {
	exchange *exchange
	arrived  int // bytes since the last progress
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.exchange.resp.Body.Read(b)
	if p.arrived += n; p.arrived >= bodylimit.MinProgressBytes {
		p.arrived = 0
		p.exchange.restartTimer(p.exchange.call.IdleTimeout)
	}
	return n, err
}

// chunkReader reads a stream of chunks and bounds what is read for each.
type chunkReader struct {
	body io.Reader
	read int // bytes since the last chunk
}

// Read implements io.Reader.
func (r *chunkReader) Read(b []byte) (int, error) {
	if r.read >= maxChunkBytes {
		return 0, errChunkTooLarge
	}
	n, err := r.body.Read(b[:min(len(b), maxChunkBytes-r.read)])
	r.read += n
	return n, err
}

// next begins the next chunk.
func (r *chunkReader) next() { r.read = 0 }

// errChunkTooLarge means that a server has sent maxChunkBytes without a chunk.
var errChunkTooLarge = fmt.Errorf("the stream has %d bytes without a chunk", maxChunkBytes)

// newError returns the *Error for a call that failed with err, with what is known about
// its delivery.
func (x *exchange) newError(err error) *Error {
	e := &Error{Cause: err, Stalled: x.stalled.Load()}
	if e.Stalled {
		e.Cause = fmt.Errorf("%w: %w", errStalled, err)
	}
	if x.connected.Load() {
		e.Delivery = MaybeSent
	}
	var withheld *serverhttp.WithheldError
	if errors.As(err, &withheld) {
		e.Withheld, e.Delivery = true, NotSent
		return e
	}
	e.ConnectionFailed = !e.Stalled && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return e
}

// maxTrailerBytes limits what is read after the final chunk, such as a line end.
const maxTrailerBytes = 64

// maxDrainTime limits the reading of a body that nobody needs.
const maxDrainTime = 200 * time.Millisecond

// drainTrailer reads the end of the body after the final chunk of a stream, so that the
// connection can be reused. If more than maxTrailerBytes follow, the rest stays unread and
// the connection is closed.
func (x *exchange) drainTrailer() {
	x.restartTimer(x.call.IdleTimeout)
	defer time.AfterFunc(maxDrainTime, x.cancel).Stop()
	_, _ = io.CopyN(io.Discard, x.resp.Body, maxTrailerBytes)
}

// close ends the exchange. Cancelling the request before the body is read to its end makes
// the transport close the connection, so that the rest of this response cannot be read as
// the response to a later request.
func (x *exchange) close() {
	x.mu.Lock()
	x.closed = true
	if x.timer != nil {
		x.timer.Stop()
	}
	x.mu.Unlock()
	x.cancel()
	if x.resp != nil {
		x.resp.Body.Close()
	}
}
