package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/directory"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// attempt is one send of the request to one backend server.
type attempt struct {
	server *directory.Server
	answer *upstream.Response
	head   wire.ServerResponse
	cancel context.CancelFunc
}

// close ends the attempt; whole tells that the answer may be trusted to its end.
func (a *attempt) close(whole bool) {
	if whole {
		a.answer.Close()
	} else {
		a.answer.Discard()
	}
	a.cancel()
	a.server.InFlight.Add(-1)
}

// Errors of one attempt. errNotRun and errNotSent are proof that the server did
// not run the request; after errBroken it may have.
var (
	errNotSent = errors.New("the request did not reach a backend server")
	errNotRun  = errors.New("the backend server did not run the request")
	errBroken  = errors.New("the backend server's answer broke off or is not its own")
)

// send gives the request to a server. firstByte bounds the wait for the head of
// the answer; 0: only the request's deadline does.
func (x *exchange) send(ctx context.Context, s *directory.Server, lastEvent string, firstByte time.Duration) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	now := x.opts.Clock.Now()
	left := x.deadline.Sub(now)
	q := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		HasBody: x.r.ContentLength != 0 || x.r.Method != http.MethodGet,
		Header: x.opts.Headers.EncodeServerRequest(x.r.Header, wire.ServerRequest{
			ServerID: s.ID, Account: x.account, Timeout: left, InputHandles: x.inputs, LastEventID: lastEvent, Priority: x.rank(now), KVSource: x.fetchFrom(s, now),
		}),
	}
	var timer *time.Timer
	if firstByte > 0 {
		timer = time.AfterFunc(firstByte, cancel)
	}
	s.InFlight.Add(1)
	x.rec.Attempts++
	x.rec.Server = s.ID
	answer, err := x.opts.Upstream.Do(ctx, s.Address, q)
	if timer != nil && !timer.Stop() && err == nil {
		answer.Discard()
		err = &upstream.Error{Sent: true, Cause: context.DeadlineExceeded}
	}
	if err != nil {
		s.InFlight.Add(-1)
		cancel()
		return nil, x.sendFailed(s, now, err)
	}
	x.arrived = true
	a := &attempt{server: s, answer: answer, cancel: cancel, head: x.opts.Headers.DecodeServerResponse(answer.Status, answer.Header)}
	if err := x.check(a); err != nil {
		a.close(errors.Is(err, errNotRun) && a.drain())
		return nil, err
	}
	s.RecordSuccess()
	return a, nil
}

const (
	// lateRank is the priority at an engine of a stream that is late already: it is
	// read behind those that can still be on time.
	lateRank = 8
	// noRank leaves the priority to the engine.
	noRank = -1
)

// rank is the request's priority at its server, as it is sent at now. A stream that
// has begun keeps its place: its client has waited for the beginning.
func (x *exchange) rank(now time.Time) int {
	if x.route.Kind != plan.Stream || x.begun {
		return noRank
	}
	if now.Add(x.times.expect(x.route.Name).first).After(x.aim) {
		return lateRank
	}
	return noRank
}

// silentTime without a byte tells of the server, also when it was the request's
// deadline that ended the wait; less may just be a request that came late.
const silentTime = 500 * time.Millisecond

// blame tells whether what ended an attempt, begun at a time, speaks against the
// server.
func (x *exchange) blame(began time.Time) bool {
	now := x.opts.Clock.Now()
	return x.r.Context().Err() == nil && (now.Before(x.deadline) || now.Sub(began) >= silentTime)
}

// brokeOff notes an answer that broke off, unless the client or its deadline
// ended it: clients that give up would have their servers passed over.
func (x *exchange) brokeOff(a *attempt) {
	if now := x.opts.Clock.Now(); x.r.Context().Err() == nil && now.Before(x.deadline) {
		a.server.RecordFailure(now)
	}
}

func (x *exchange) sendFailed(s *directory.Server, began time.Time, err error) error {
	var failed *upstream.Error
	if !errors.As(err, &failed) {
		x.arrived = true
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if x.blame(began) {
		s.RecordFailure(x.opts.Clock.Now())
		x.opts.Upstream.CloseIdle(s.Address)
	}
	if !failed.Sent {
		return fmt.Errorf("%w: %s: %w", errNotSent, s.ID, err)
	}
	x.sent, x.arrived = true, true
	return fmt.Errorf("%w: %s: %w", errBroken, s.ID, err)
}

// check tells whether the head is the server's own answer to this request. A
// refusal may come without an id, from a process that is not the server: on a
// new connection it can only be the answer to this request.
func (x *exchange) check(a *attempt) error {
	anonymous := a.head.AttemptID == "" && a.head.NotRun && !a.answer.ReusedConn
	if a.head.AttemptID != x.client.AttemptID && !anonymous {
		// An answer to another request, or bytes of a faulty server.
		x.sent = true
		return fmt.Errorf("%w: %s: the answer carries the id %q", errBroken, a.server.ID, a.head.AttemptID)
	}
	if a.head.LoadReported {
		a.server.RecordLoad(a.head.RunningRequests, a.head.QueuedRequests, x.opts.Clock.Now())
	}
	if a.head.NotRun && a.answer.Status == http.StatusConflict {
		return fmt.Errorf("%w: %s", errInputsGone, a.server.ID)
	}
	if a.head.NotRun {
		a.server.RecordResponse(true, x.opts.Clock.Now())
		return fmt.Errorf("%w: %s: status %d", errNotRun, a.server.ID, a.answer.Status)
	}
	x.sent = true
	if a.head.ContentEncoded || a.answer.Status/100 == 2 && !a.head.Signed {
		return fmt.Errorf("%w: %s: status %d without the server's signature", errBroken, a.server.ID, a.answer.Status)
	}
	return nil
}

// drain reads a short answer to its end so that the connection may be kept.
func (a *attempt) drain() bool {
	var b [2048]byte
	for range 8 {
		if _, err := a.answer.Read(b[:]); err != nil {
			return true // Close keeps the connection only after a marked end
		}
	}
	return false
}
