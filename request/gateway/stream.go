package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/process/kind"
)

// maxRemakes bounds how often the stages of a request are run again because
// results were lost with their server.
const maxRemakes = 2

// stream serves a request whose answer is a series of events. Where the route
// allows it, a stream that breaks off goes on at another server, after the last
// event that the client has got.
func (x *exchange) stream(ctx context.Context) error {
	t := &tries{seen: tried{}}
	st := &streaming{last: x.client.LastEventID}
	remakes := 0
	for {
		s := x.next(ctx, t)
		if s == nil {
			return x.endStream(t)
		}
		a, err := x.send(ctx, s, st.last, 0)
		if err == nil {
			err = x.follow(a, st, t)
			if err == nil {
				return nil
			}
		}
		if errors.Is(err, errInputsGone) && remakes < maxRemakes {
			remakes++
			delete(t.seen, s.ID)
			if err := x.remake(ctx); err != nil {
				return err
			}
			continue
		}
		t.note(err)
	}
}

// errInputsGone: a result that the request needs was lost; it has not run.
var errInputsGone = fmt.Errorf("%w: an input is gone", errNotRun)

// remake runs the stages again.
func (x *exchange) remake(ctx context.Context) error {
	x.freeInputs()
	x.inputs = nil
	x.round++
	return x.runStages(ctx)
}

func (x *exchange) endStream(t *tries) error {
	if x.begun {
		return &kind.Error{Kind: kind.StreamCut, Detail: t.text(), Dispatched: true, Cause: t.last}
	}
	return x.end(t)
}

// streaming is what the client has of a stream.
type streaming struct {
	last   string // id of the last event that was passed on
	lastID int64  // the same as a number; 0: none
}

// follow passes a server's events on. nil means that the client has its whole
// answer.
func (x *exchange) follow(a *attempt, st *streaming, t *tries) error {
	if a.answer.Status/100 != 2 {
		r, err := x.whole(a)
		if err != nil {
			return err
		}
		if !x.begun && (!x.repeatable() || r.status < 500) {
			return x.deliver(r)
		}
		t.failed = r
		if x.begun {
			t.failed = nil
		}
		return fmt.Errorf("%w: %s: status %d", errBroken, a.server.ID, r.status)
	}
	err := x.events(a, st, t)
	a.close(err == nil)
	if err != nil {
		x.brokeOff(a)
		x.rec.Resumptions++
		return fmt.Errorf("%w: %s after event %q: %w", errBroken, a.server.ID, st.last, err)
	}
	now := x.opts.Clock.Now()
	a.server.RecordResponse(false, now)
	if !x.begun {
		x.begin(a)
	}
	x.noteTimes(now)
	return nil
}

// noteTimes learns from a stream that has ended.
func (x *exchange) noteTimes(end time.Time) {
	first := x.firstAt.Sub(x.start) - x.rec.StageDuration
	x.times.note(x.route.Name, streamTime{first: first, rest: end.Sub(x.firstAt)})
	if x.client.InputTokens > 0 && x.rec.Attempts == 1 {
		// What is shared has been read before, mostly.
		_, shared := x.affinity()
		x.reads.note(x.service, max(x.client.InputTokens-shared, 0), first)
	}
}

// Silence after which a stream that may go on elsewhere does. The first event
// waits for the reading of prompts; later ones come every few milliseconds, and
// a pause of this length is already late.
const (
	firstEventSilence = 1200 * time.Millisecond
	eventSilence      = 700 * time.Millisecond
)

// silence returns how long the first and each later event are awaited. A stream
// that cannot go on elsewhere is awaited to its deadline: nothing better could
// come.
func (x *exchange) silence(t *tries) (first, later time.Duration) {
	if !x.repeatable() || t.runs+1 >= x.route.MaxAttempts {
		left := x.deadline.Sub(x.opts.Clock.Now())
		return left, left
	}
	return firstEventSilence, eventSilence
}

// events passes whole events on as they arrive; the rest of an event that broke
// off is dropped, so that the next run's first event does not join it.
func (x *exchange) events(a *attempt, st *streaming, t *tries) error {
	first, later := x.silence(t)
	quiet := time.AfterFunc(first, a.cancel)
	defer quiet.Stop()
	r := newEventReader(a.answer)
	flush := http.NewResponseController(x.w)
	for {
		event, err := r.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if perr := x.pass(a, st, event, r.id); perr != nil || err != nil {
			return perr // nil at the end
		}
		quiet.Reset(later)
		if r.more() {
			continue
		}
		if err := flush.Flush(); err != nil {
			return err
		}
	}
}

// pass writes one event, unless the client has it already. A write that fails
// ends the client's context, so that nothing more is tried for it.
func (x *exchange) pass(a *attempt, st *streaming, event []byte, id string) error {
	if len(event) == 0 {
		return nil
	}
	n, numeric := number(id)
	if numeric && st.lastID > 0 && n <= st.lastID {
		return nil
	}
	if !x.begun {
		x.begin(a)
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id != "" {
		st.last = id
	}
	if numeric {
		st.lastID = n
	}
	return nil
}

func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// begin writes the head with the first event: until then a request that failed
// at one server can still get another's answer under that server's own head.
func (x *exchange) begin(a *attempt) {
	x.head(x.w.Header(), a.answer.Header)
	x.begun = true
	x.rec.Status, x.rec.Ran = a.answer.Status, kind.RanYes
	now := x.opts.Clock.Now()
	x.rec.TimeToFirstByte = now.Sub(x.start)
	x.firstAt = now
	x.w.WriteHeader(a.answer.Status)
	// The engine has read its inputs before it made the first event.
	x.freeInputs()
}
