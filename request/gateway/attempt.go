package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// attempt is one send of the request to one backend server.
type attempt struct {
	server   *directory.Server
	response *upstream.Response
	headers  wire.ServerResponse
	sentAt   time.Time
	cancel   context.CancelFunc // interrupts the reading of the response
	// progressInterval is the time in which a part of a buffered body has to arrive; 0: there is
	// no other server to ask.
	progressInterval time.Duration
	measurement      measurement
	isOver           sync.Once // the server is done with it, or it has ended
}

// close ends the attempt. The connection is closed unless complete is set, which requires
// that the response is valid up to its end.
func (a *attempt) close(complete bool) {
	if complete {
		a.response.Close()
	} else {
		a.response.Discard()
	}
	a.cancel()
	a.leaveServer()
	a.measurement.endWait(a.server, time.Time{})
}

// leaveServer records once that the server has nothing to do for the attempt any more.
func (a *attempt) leaveServer() { a.isOver.Do(func() { a.server.InFlight.Add(-1) }) }

// Read reads the body of the response. At its end the server is done, also while the client has yet to take
// what was read ahead.
func (a *attempt) Read(b []byte) (int, error) {
	n, err := a.response.Read(b)
	if err == io.EOF { // not one that is the cause of another error
		a.leaveServer()
	}
	return n, err
}

// Errors of an attempt. errNotSent (no byte was sent) and errNotRun (the server states it in the response to
// this send) prove that the server did not run the request and never will. Nothing else does: not a connection
// that is closed, reset or cancelled, nor a deadline that passes, as a server that is silent has what was sent
// in its buffers and runs it when it wakes.
var (
	errNotSent         = errors.New("the request did not reach a backend server")
	errNotRun          = errors.New("the backend server did not run the request")
	errInvalidResponse = errors.New("the backend server's answer broke off or is not its own")
	// errRefusedByBrittle is an errNotRun of a server that falls over if it has to refuse more.
	errRefusedByBrittle = fmt.Errorf("%w for want of room, and is brittle", errNotRun)
	// errWithheld is an errNotSent to a server that wants no requests of this host now.
	errWithheld = fmt.Errorf("%w, which wants none now", errNotSent)
	// errNoPath is an errNotSent after which another server would not be reached either.
	errNoPath = fmt.Errorf("%w, as this host reaches none", errNotSent)
)

// provesNotRun reports whether the outcome of an attempt proves that its server has not run the request and
// never will. It is the only evidence on which the client is told so.
func provesNotRun(err error) bool { return errors.Is(err, errNotSent) || errors.Is(err, errNotRun) }

// send makes an attempt at a server and records whether the request may have run. It returns once the status
// and headers of the response have been checked. The error is errNotSent, errNotRun (of which errInputsLost is
// one) or errInvalidResponse.
func (x *exchange) send(ctx context.Context, s *directory.Server, lastEventID string, hist *attemptHistory) (*attempt, error) {
	a, err := x.dispatch(ctx, s, lastEventID, hist)
	x.mayHaveRun = x.mayHaveRun || !provesNotRun(err)
	x.logEntry.Outcomes.count(err)
	return a, err
}

// dispatch sends the request to a server. With a history, which a stream leaves out, the wait for the headers of
// the response ends once another server can be asked; see firstByteTimeout. Otherwise only the deadline of the
// request limits it. A stream resumes after lastEventID, if that is not empty. The error is that of send.
func (x *exchange) dispatch(ctx context.Context, s *directory.Server, lastEventID string, hist *attemptHistory) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	now := x.opts.Clock.Now()
	remaining := x.deadline.Sub(now)
	req := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body.Blocks(),
		HasBody: x.r.ContentLength != 0 || x.r.Method != http.MethodGet, NewWork: true, WithinRegions: x.allowed.Restricted(),
		Header: x.opts.Headers.EncodeServerRequest(x.r.Header, wire.ServerRequest{
			ServerID: s.ID, Account: x.account, Timeout: remaining, InputHandles: x.inputHandles, LastEventID: lastEventID, Priority: x.enginePriority(now), KVSource: x.kvSourceAddress(s, now),
		}),
	}
	if x.route.Resumable {
		req.StartedUnixMS = s.StartedUnixMS // whose version the entry tells
	}
	measurement := x.beginMeasurement(s, lastEventID, now)
	s.InFlight.Add(1)
	x.endTurn() // the next request of the line sees this one in flight
	if x.logEntry.Attempts == 0 {
		x.firstSentAt = now
	}
	x.logEntry.Attempts++
	x.logEntry.Server = s.ID
	firstByteTimeout := x.firstByteTimeout(hist)
	watch := &silenceWatch{x: x, hist: hist, server: s, leave: cancel}
	if firstByteTimeout > 0 {
		watch.arm(ctx, firstByteTimeout)
	}
	response, err := x.opts.Servers.Do(ctx, s.Address, req)
	if left := watch.disarm(); left && err == nil {
		response.Discard()
		err = &upstream.Error{Sent: true, Cause: context.DeadlineExceeded}
	}
	if err != nil {
		s.InFlight.Add(-1)
		cancel()
		x.measureTimeout(s, measurement, firstByteTimeout)
		return nil, x.handleSendError(s, now, err)
	}
	x.reachedServer, x.logEntry.BodyEnd, x.logEntry.CarriedBy = true, response.BodyEnd, response.CarriedBy
	a := &attempt{server: s, response: response, sentAt: now, cancel: cancel, measurement: measurement, progressInterval: x.progressInterval(firstByteTimeout), headers: x.opts.Headers.DecodeServerResponse(response.Status, response.Header, x.opts.Clock.Now())}
	if err := x.checkResponse(a); err != nil {
		if errors.Is(err, errNotRun) {
			x.endWait(a)
		}
		a.close(errors.Is(err, errNotRun) && a.drain())
		return nil, err
	}
	s.RecordSuccess()
	x.recordTaken()
	if x.route.Kind != plan.Stream {
		x.measure(a)
	}
	return a, nil
}

// progressInterval returns the progress interval of an attempt's body. firstByteTimeout is that of
// send.
func (x *exchange) progressInterval(firstByteTimeout time.Duration) time.Duration {
	switch {
	case firstByteTimeout > 0:
		return max(firstByteTimeout, minProgressInterval)
	case x.route.Kind == plan.Stream && x.retryable():
		return eventTimeout
	}
	return 0
}

const (
	// minProgressInterval is the shortest progress interval of a body.
	minProgressInterval = 250 * time.Millisecond
	// maxDrainTime limits the reading of a body that nobody needs.
	maxDrainTime = 200 * time.Millisecond
)

const (
	// continuedPriority is the engine priority of a stream that has begun. Only servers of its
	// version can go on with it, and its client has already waited once.
	continuedPriority = 2
	// latePriority is the engine priority of a stream that can no longer meet its target
	// latency. The engine processes its prompt after those that still can.
	latePriority = 8
	// unsetPriority leaves the priority to the engine.
	unsetPriority = -1
)

// enginePriority returns the priority for the backend server of a request sent at now.
func (x *exchange) enginePriority(now time.Time) int {
	switch {
	case x.route.Kind != plan.Stream:
		return unsetPriority
	case !x.writer.IsZero():
		return continuedPriority
	}
	if now.Add(x.streamDurations.estimate(x.route.Name).toFirstEvent).After(x.targetTime) {
		return latePriority
	}
	return unsetPriority
}

// minUnresponsiveTime without a response counts as a failure of the server even if the
// deadline of the request ended the wait. A shorter wait may only mean that the request
// arrived shortly before its deadline.
const minUnresponsiveTime = 500 * time.Millisecond

// serverAtFault reports whether the failure of an attempt started at startedAt counts
// against the server. It does not if the client has disconnected, or if the deadline ended
// the attempt before minUnresponsiveTime.
func (x *exchange) serverAtFault(startedAt time.Time) bool {
	now := x.opts.Clock.Now()
	return x.r.Context().Err() == nil && (now.Before(x.deadline) || now.Sub(startedAt) >= minUnresponsiveTime)
}

// recordTruncatedResponse records a server failure for a truncated response, unless the
// client disconnected or the deadline passed: otherwise impatient clients would cause
// healthy servers to be avoided.
func (x *exchange) recordTruncatedResponse(a *attempt) {
	if now := x.opts.Clock.Now(); x.r.Context().Err() == nil && now.Before(x.deadline) {
		a.server.RecordFailure(now)
	}
}

// handleSendError records the failure of a send and returns it as errNotSent or
// errInvalidResponse.
func (x *exchange) handleSendError(s *directory.Server, startedAt time.Time, err error) error {
	var upstreamErr *upstream.Error
	if !errors.As(err, &upstreamErr) {
		x.reachedServer = true
		return fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if upstreamErr.PathFailed {
		return fmt.Errorf("%w: %w", errNoPath, err)
	}
	if upstreamErr.Withheld {
		return fmt.Errorf("%w: %s: %w", errWithheld, s.ID, err)
	}
	if x.serverAtFault(startedAt) {
		s.RecordFailure(x.opts.Clock.Now())
		x.opts.Servers.CloseIdle(s.Address)
	}
	if !upstreamErr.Sent {
		return fmt.Errorf("%w: %s: %w", errNotSent, s.ID, err)
	}
	x.reachedServer = true
	return fmt.Errorf("%w: %s: %w", invalidResponse(err), s.ID, err)
}

// checkResponse verifies by its headers that the response is the server's own response to this
// request and that the server ran the request. A refusal
// without an attempt ID is accepted on a new connection: it may come from another process at that
// address, but can only belong to this request.
func (x *exchange) checkResponse(a *attempt) error {
	anonymous := a.headers.AttemptID == "" && a.headers.NotRun && !a.response.ReusedConn
	if a.headers.AttemptID != x.clientRequest.AttemptID && !anonymous {
		// A response to another request, or output of a faulty server.
		return fmt.Errorf("%w: %s: the answer carries the id %q", errInvalidResponse, a.server.ID, a.headers.AttemptID)
	}
	if a.headers.NotRun && a.response.Status == http.StatusConflict {
		return fmt.Errorf("%w: %s", errInputsLost, x.describeRefusal(a))
	}
	x.refusedForRoom = x.refusedForRoom || a.headers.NoRoom()
	if a.headers.NoRoom() && a.server.RateLimit.Brittle() != nil {
		a.recordStatus(x.opts.Clock.Now())
		return fmt.Errorf("%w: %s", errRefusedByBrittle, x.describeRefusal(a))
	}
	if a.headers.NotRun {
		a.recordStatus(x.opts.Clock.Now())
		return fmt.Errorf("%w: %s", errNotRun, x.describeRefusal(a))
	}
	if a.headers.ContentEncoded || a.response.Status/100 == 2 && !a.headers.Signed {
		return fmt.Errorf("%w: %s: status %d without the server's signature", errInvalidResponse, a.server.ID, a.response.Status)
	}
	return nil
}

// describeRefusal returns what operators need to tell whether a refusal belongs to its attempt: the
// server, the status, the time since the send and the place of the answer on its connection.
func (x *exchange) describeRefusal(a *attempt) string {
	r, took := a.response, x.opts.Clock.Now().Sub(a.sentAt).Round(100*time.Microsecond)
	return fmt.Sprintf("%s: status %d after %s, answer %d on connection %d", a.server.ID, r.Status, took, r.ConnPosition, r.ConnNumber)
}

// recordStatus records whether the response was a failure of the server. A server that only wants
// no requests for a time has not failed.
func (a *attempt) recordStatus(now time.Time) {
	if a.headers.Pause > 0 {
		return
	}
	a.server.RecordResponse(a.headers.NotRun || a.response.Status >= http.StatusInternalServerError, now)
}

// drain reads the body of a short response to its end, so that the connection can be reused. It
// reports whether the end was reached within 16 KiB and maxDrainTime.
func (a *attempt) drain() bool {
	defer time.AfterFunc(maxDrainTime, a.cancel).Stop()
	var b [2048]byte
	for range 8 {
		if _, err := a.response.Read(b[:]); err != nil {
			return err == io.EOF // Close reuses the connection only if the end was delimited
		}
	}
	return false
}
