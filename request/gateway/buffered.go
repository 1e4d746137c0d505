package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/connection/bodylimit"
	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/waitline"
	"bilberrydale/version/plan"
)

// bufferedResponse is a complete response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   *bodylimit.Body
}

// attemptHistory records the outcomes of the attempts of one request.
type attemptHistory struct {
	tried        serverSet // servers that get no further attempt
	paused       serverSet // servers that wanted no requests, and may be tried once they do
	refusals     int       // attempts that provably did not run the request
	possibleRuns int       // attempts that may have run the request
	// refusedByBrittle is set after a refusal of a brittle server. Only servers that are known
	// to have room get the request then: more refusals could end them.
	refusedByBrittle bool
	retryTaken       bool              // the retry of the next attempt has been taken from the retry budget
	retryRefused     bool              // the retry budget is used up
	needsRoom        bool              // servers without room for the request are passed over
	refusedInLine    waitline.Outcome  // set if the request was refused by the line of its service
	trial            bool              // the next attempt is a trial of a request in quarantine
	quarantined      error             // set if the request was quarantined between two attempts
	failedResponse   *bufferedResponse // 5xx response of a server, relayed if no later attempt succeeds
	lastErr          error             // error of the last attempt; nil: none has failed
}

// newAttemptHistory returns the history of a request without attempts.
func newAttemptHistory() *attemptHistory {
	return &attemptHistory{tried: serverSet{}, paused: serverSet{}}
}

// maxRefusals limits the attempts of a request that provably did not run it.
const maxRefusals = 4

// nextServer returns the server for the next attempt, or nil if no further attempt is
// possible or allowed. A server that it returns has been charged against its limits, and a
// retry against the retry budget.
func (x *exchange) nextServer(ctx context.Context, hist *attemptHistory) *directory.Server {
	if !x.mayAttempt(ctx, hist) {
		return nil
	}
	if hist.trial, hist.quarantined = x.checkAttempt(); hist.quarantined != nil {
		return nil
	}
	s := x.takeInTurn(ctx, hist)
	if s == nil {
		x.endTurn() // others may have servers
	}
	if s == nil && (hist.quarantined != nil || hist.refusedInLine.Refused() || hist.retryRefused || ctx.Err() != nil) {
		return nil
	}
	if s == nil && x.borrowShares(ctx, hist) {
		s = x.takeServer(hist)
	}
	for s == nil && x.awaitPause(ctx, hist) && x.checkAfterWait(hist) {
		s = x.takeServer(hist)
	}
	if s == nil {
		return nil
	}
	// An attempt that reached no server has not added to the load of the servers, so
	// that its repetition needs no retry budget.
	if !x.takeRetry(hist) {
		return nil
	}
	hist.retryTaken = false
	hist.tried[s.ID] = true
	return s
}

// mayAttempt reports whether a further attempt is allowed by those before, whether or not there is a
// server for it.
func (x *exchange) mayAttempt(ctx context.Context, hist *attemptHistory) bool {
	if ctx.Err() != nil || hist.refusals >= maxRefusals {
		return false
	}
	return hist.possibleRuns == 0 || x.retryable() && hist.possibleRuns < x.route.MaxAttempts
}

// takeRetry takes a retry from the retry budget if the next attempt needs one and has none yet. It
// returns false if none is left.
func (x *exchange) takeRetry(hist *attemptHistory) bool {
	if !x.reachedServer || hist.retryTaken {
		return true
	}
	if !x.opts.RetryLimiter.AllowRetry(x.service) {
		hist.lastErr = fmt.Errorf("no further attempt within the retry budget: %w", hist.lastErr)
		hist.retryRefused = true
		return false
	}
	hist.retryTaken = true
	return true
}

// returnRetry gives back a retry that was taken for an attempt that is not made.
func (x *exchange) returnRetry(hist *attemptHistory) {
	if hist.retryTaken {
		hist.retryTaken = false
		x.opts.RetryLimiter.ReturnRetry(x.service)
	}
}

// takeServer chooses a server and charges the request against its limits; nil: there is none.
func (x *exchange) takeServer(hist *attemptHistory) *directory.Server {
	s := x.chooseServer(hist)
	for s != nil && !x.takeShare(s, x.opts.Clock.Now()) {
		hist.tried[s.ID] = true
		s = x.chooseServer(hist)
	}
	return s
}

// retryable reports whether the request may be sent again after it may have run.
func (x *exchange) retryable() bool {
	return x.route.Kind == plan.Safe || x.route.Kind == plan.Stream && x.route.Resumable
}

// record adds the outcome of a failed attempt.
func (hist *attemptHistory) record(err error) {
	hist.lastErr = err
	if errors.Is(err, errNoPath) {
		hist.refusals = maxRefusals
		return
	}
	if errors.Is(err, errWithheld) {
		return
	}
	hist.refusedByBrittle = hist.refusedByBrittle || errors.Is(err, errRefusedByBrittle)
	if provesNotRun(err) {
		hist.refusals++
		return
	}
	hist.possibleRuns++
}

// finish ends a request for which no further attempt is possible: it relays the 5xx response
// of a server if there is one, and returns an error otherwise.
func (x *exchange) finish(hist *attemptHistory) error {
	x.endTurn()
	x.returnRetry(hist)
	switch {
	case hist.failedResponse != nil:
		return x.writeBuffered(hist.failedResponse)
	case hist.quarantined != nil:
		return hist.quarantined
	case x.mayHaveRun:
		return &errkind.Error{Kind: errkind.BackendFailed, Detail: hist.lastErrorText(), Dispatched: true, Cause: hist.lastErr}
	case hist.refusedInLine.Refused():
		x.recordNoRoom()
		return x.refusedInLine(hist)
	case x.refusedForPause(hist) != nil:
		x.recordNoRoom()
		return x.refusedForPause(hist)
	case hist.refusals > 0:
		if x.refusedForRoom {
			x.recordNoRoom()
		}
		return &errkind.Error{Kind: errkind.Overloaded, Detail: hist.lastErrorText(), RetryAfter: x.retryAfterRefusal(), Cause: hist.lastErr}
	default:
		return x.noUsableServer()
	}
}

// refusedRetryAfter is the time in which a service without stages completes a few requests
// and has a free slot again.
const refusedRetryAfter = 150 * time.Millisecond

// lastErrorText returns the error of the last attempt as detail text.
func (hist *attemptHistory) lastErrorText() string {
	if hist.lastErr == nil {
		return "no attempt was made"
	}
	return hist.lastErr.Error()
}

// serveBuffered handles a request with a single response. The response is read completely
// before any of it is sent to the client, so that the request can be retried after a
// truncated response.
func (x *exchange) serveBuffered(ctx context.Context) error {
	hist := newAttemptHistory()
	for {
		if !x.mayHaveRun {
			if err := x.refuseIfCutOff(); err != nil {
				return err
			}
		}
		s := x.nextServer(ctx, hist)
		if s == nil {
			return x.finish(hist)
		}
		var r *bufferedResponse
		began := x.attemptBegins(s)
		err := x.watchForCrash(s, func() (err error) {
			r, err = x.sendBuffered(ctx, s, hist)
			return err
		})
		x.attemptEnded(s, began, err)
		if err != nil {
			hist.record(err)
			continue
		}
		if r.status < 500 || !x.retryable() {
			x.returnRetry(hist)
			return x.writeBuffered(r)
		}
		hist.failedResponse = r
		hist.possibleRuns++
	}
}

// firstByteLatencyShare is the share of the target latency after which another server is sought for
// a request without a response. The retry can then still meet the target, which
// justifies its cost.
const firstByteLatencyShare = 0.75

// firstByteTimeout returns how long to wait for response headers before another server is sought for
// the request. 0: until the deadline, as there is no history, no retry is allowed or the route has no
// target latency.
func (x *exchange) firstByteTimeout(hist *attemptHistory) time.Duration {
	if hist == nil || !x.retryable() || hist.possibleRuns+1 >= x.route.MaxAttempts {
		return 0
	}
	return time.Duration(firstByteLatencyShare * float64(x.route.TargetLatency))
}

// sendBuffered sends the request to a server and reads the complete response. The error is one
// of an attempt; see errNotSent.
func (x *exchange) sendBuffered(ctx context.Context, s *directory.Server, hist *attemptHistory) (*bufferedResponse, error) {
	a, err := x.send(ctx, s, "", hist)
	if err != nil {
		return nil, err
	}
	return x.readBuffered(a)
}

// readBuffered reads the body of a response and ends the attempt. It returns
// errInvalidResponse if the body is truncated, or without an end: see package bodylimit.
func (x *exchange) readBuffered(a *attempt) (*bufferedResponse, error) {
	body, err := x.bodies.Read(a.response, a.progressInterval, a.cancel)
	if err != nil {
		err = fmt.Errorf("%w: %s: %w", invalidResponse(err), a.server.ID, err)
	} else {
		x.answers = append(x.answers, body)
		err = x.verifyEnd(a)
	}
	if err != nil {
		a.close(false)
		x.recordTruncatedResponse(a)
		return nil, err
	}
	r := &bufferedResponse{status: a.response.Status, header: a.response.Header, body: body}
	a.recordStatus(x.opts.Clock.Now())
	a.close(true)
	return r, nil
}

// writeBuffered relays the response of a backend server to the client, unless its status
// would wrongly imply that the request did not run.
func (x *exchange) writeBuffered(r *bufferedResponse) error {
	if impliesNotRun(r.status) {
		// The client would take this status as proof that the request did not run,
		// which the server has not confirmed.
		return &errkind.Error{Kind: errkind.BackendFailed, Detail: "the server answered " + strconv.Itoa(r.status), Dispatched: true}
	}
	h := x.w.Header()
	x.setResponseHeaders(h, r.header)
	h["Content-Length"] = []string{strconv.FormatInt(r.body.Size(), 10)}
	x.headersSent = true
	x.logEntry.Status, x.logEntry.Ran = r.status, errkind.RanYes
	x.logEntry.TimeToFirstByte = x.opts.Clock.Now().Sub(x.arrivedAt)
	x.w.WriteHeader(r.status)
	if err := r.body.Deliver(x.w, x.interruptWrite); err != nil {
		x.abort = true
		x.logEntry.AnswerUnread = errors.Is(err, bodylimit.ErrUnread)
		return &errkind.Error{Kind: errkind.Cancelled, Detail: "the answer could not be written: " + err.Error(), Dispatched: true, Cause: err}
	}
	return nil
}

// setResponseHeaders copies the headers of a server's response. It suppresses the Date and
// Content-Type headers that net/http would add.
func (x *exchange) setResponseHeaders(to, from http.Header) {
	to["Date"], to["Content-Type"] = nil, nil
	x.opts.Headers.CopyResponseHeaders(to, from)
	x.closeIfShuttingDown(to)
}
