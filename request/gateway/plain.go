package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/kind"
	"bilberrydale/version/plan"
)

// reply is a whole answer of a backend server.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// tries counts what one request's sends came to.
type tries struct {
	seen     tried
	refusals int    // servers that did not run it
	runs     int    // servers that may have
	failed   *reply // a server's own failure, if nothing better comes
	last     error
}

// maxRefusals bounds the servers that are asked while each proves that it did
// not run the request.
const maxRefusals = 4

// next returns the server for the next attempt, or nil if there must be none.
func (x *exchange) next(ctx context.Context, t *tries) *directory.Server {
	if ctx.Err() != nil || t.refusals >= maxRefusals {
		return nil
	}
	if t.runs > 0 && (!x.repeatable() || t.runs >= x.route.MaxAttempts) {
		return nil
	}
	s := x.choose(t.seen)
	for s != nil && !x.opts.ColdStart.Allow(s, x.cold(), x.opts.Clock.Now()) {
		t.seen[s.ID] = true // it is cold, and another request took this host's share
		s = x.choose(t.seen)
	}
	if s == nil {
		return nil
	}
	// A send that reached nobody adds nothing to what servers get.
	if x.arrived && !x.opts.Budget.AllowRetry(x.service) {
		t.last = fmt.Errorf("no further attempt within the retry budget: %w", t.last)
		return nil
	}
	t.seen[s.ID] = true
	return s
}

// repeatable tells whether the request may run again after it may have run.
func (x *exchange) repeatable() bool {
	return x.route.Kind == plan.Safe || x.route.Kind == plan.Stream && x.route.Resumable
}

func (t *tries) note(err error) {
	t.last = err
	if errors.Is(err, errNotSent) || errors.Is(err, errNotRun) {
		t.refusals++
		return
	}
	t.runs++
}

// end is the answer when no attempt is left.
func (x *exchange) end(t *tries) error {
	switch {
	case t.failed != nil:
		return x.deliver(t.failed)
	case x.sent:
		return &kind.Error{Kind: kind.BackendFailed, Detail: t.text(), Dispatched: true, Cause: t.last}
	case t.refusals > 0:
		return &kind.Error{Kind: kind.Overloaded, Detail: t.text(), RetryAfter: x.spread(refusedRetry), Cause: t.last}
	default:
		return x.unplaced()
	}
}

// refusedRetry: a plain service has a place again after a few requests.
const refusedRetry = 150 * time.Millisecond

func (t *tries) text() string {
	if t.last == nil {
		return "no attempt was made"
	}
	return t.last.Error()
}

// plain serves a request with one answer. The answer is read whole before the
// client gets any of it, so that one that breaks off can be asked for again.
func (x *exchange) plain(ctx context.Context) error {
	t := &tries{seen: tried{}}
	for {
		s := x.next(ctx, t)
		if s == nil {
			return x.end(t)
		}
		r, err := x.once(ctx, s, x.firstByteBound(t))
		if err != nil {
			t.note(err)
			continue
		}
		if r.status < 500 || !x.repeatable() {
			return x.deliver(r)
		}
		t.failed = r
		t.runs++
	}
}

// silentShare of the target latency without an answer makes a repeat at another
// server worth its price: it can then still be on time.
const silentShare = 0.75

// firstByteBound is how long an answer is awaited before the request is
// repeated elsewhere; 0: to the deadline.
func (x *exchange) firstByteBound(t *tries) time.Duration {
	if !x.repeatable() || t.runs+1 >= x.route.MaxAttempts {
		return 0
	}
	return time.Duration(silentShare * float64(x.route.TargetLatency))
}

// maxReply bounds an answer that is read whole: 16 MiB.
const maxReply = 16 << 20

func (x *exchange) once(ctx context.Context, s *directory.Server, firstByte time.Duration) (*reply, error) {
	a, err := x.send(ctx, s, "", firstByte)
	if err != nil {
		return nil, err
	}
	return x.whole(a)
}

// whole reads an answer to its end.
func (x *exchange) whole(a *attempt) (*reply, error) {
	body, err := io.ReadAll(io.LimitReader(a.answer, maxReply+1))
	if err != nil || len(body) > maxReply {
		a.close(false)
		x.brokeOff(a)
		return nil, fmt.Errorf("%w: %s: %w", errBroken, a.server.ID, err)
	}
	r := &reply{status: a.answer.Status, header: a.answer.Header, body: body}
	a.server.RecordResponse(r.status >= 500, x.opts.Clock.Now())
	a.close(true)
	return r, nil
}

// deliver passes a backend server's answer on.
func (x *exchange) deliver(r *reply) error {
	if promised(r.status) {
		// The server does not say that it did not run the request; the status
		// alone would say so to the client.
		return &kind.Error{Kind: kind.BackendFailed, Detail: "the server answered " + strconv.Itoa(r.status), Dispatched: true}
	}
	h := x.w.Header()
	x.head(h, r.header)
	h["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	x.begun = true
	x.rec.Status, x.rec.Ran = r.status, kind.RanYes
	x.rec.TimeToFirstByte = x.opts.Clock.Now().Sub(x.start)
	x.w.WriteHeader(r.status)
	if _, err := x.w.Write(r.body); err != nil {
		x.abort = true
		return &kind.Error{Kind: kind.Cancelled, Detail: "the answer could not be written", Dispatched: true, Cause: err}
	}
	return nil
}

// head sets the headers of a server's answer; net/http adds none of its own.
func (x *exchange) head(to, from http.Header) {
	to["Date"], to["Content-Type"] = nil, nil
	x.opts.Headers.CopyResponseHeaders(to, from)
	x.closeIfLeaving(to)
}
