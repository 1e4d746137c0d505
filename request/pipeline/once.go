package pipeline

import (
	"context"
	"errors"
	"fmt"

	"bilberrydale/connection/backend"
	"bilberrydale/process/kind"
	"bilberrydale/version/snapshot"
)

// outcome is the end of one attempt at a whole answer.
type outcome struct {
	attempt *attempt
	output
	err error
}

var errPanic = errors.New("pipeline: attempt panicked")

// launch runs one attempt in the background and sends its outcome to results,
// which must have room for it.
func (x *run) launch(ctx context.Context, st *snapshot.Stage, a *attempt, in []byte, doubt func(reused bool) bool, results chan<- outcome) {
	c := x.call(st, a, in)
	p := x.pool(st)
	c.FirstByteTimeout = p.firstByte.bound(x.Options.MinStallTimeout, st.Budget.Std())
	c.IdleTimeout = p.gap.bound(x.Options.MinStallTimeout, x.Options.InitialIdleTimeout)
	c.OnStall = doubt
	start := x.Clock.Now()
	go func() {
		o := outcome{attempt: a}
		defer func() {
			// A panic here would end the process and every other request.
			if v := recover(); v != nil {
				o.err = fmt.Errorf("%w: %v", errPanic, v)
			}
			results <- o
		}()
		o.err = x.do(ctx, st, a, func(ctx context.Context) error {
			reply, err := x.Backend.Do(ctx, c)
			if err == nil {
				o.output = output{reply.ContentType, reply.Body}
				p.firstByte.observe(x.Clock.Now().Sub(start))
			}
			return err
		})
	}()
}

// once runs a stage that must not be repeated. Another attempt follows only if
// the one before it cannot have started. The attempt goes on when the caller
// has been answered, for a while, so that its outcome is learnt.
func (x *run) once(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	var last *kind.Error
	for {
		a, refusal := x.choose(ctx, st, in)
		if refusal != nil {
			if last != nil && refusal.Kind == kind.NoBackend {
				return nil, last
			}
			return nil, refusal
		}
		o, lost := x.await(ctx, st, a, in)
		if lost != nil {
			return nil, lost
		}
		x.sent(o.err)
		if o.err == nil {
			x.started = true
			return x.took(o.output), nil
		}
		x.started = x.started || mayHaveStarted(o.err)
		last = x.classify(ctx, st, o.err)
		if !x.mayTryAgain(st, o.err) {
			return nil, last
		}
	}
}

func mayHaveStarted(err error) bool {
	var be *backend.Error
	return !errors.As(err, &be) || (be.Delivery != backend.NotSent && !be.NotStarted)
}

// await waits for one attempt until it ends, its connection is judged lost, or
// the caller's time is over.
func (x *run) await(ctx context.Context, st *snapshot.Stage, a *attempt, in []byte) (outcome, *kind.Error) {
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.left()+x.Options.LateResultTimeout)
	results := make(chan outcome, 1)
	doubts := make(chan bool, 1)
	x.launch(settle, st, a, in, notify(doubts), results)
	alive := false
	for {
		select {
		case o := <-results:
			cancel()
			return o, nil
		case reused := <-doubts:
			x.Counters.Stalls.Add(1)
			// Slow and lost look alike. A server that does not answer a new
			// connection either, or an old connection that stays silent while
			// the server answers new ones, is not waited for any longer.
			lostOnOld := alive && reused
			alive = x.answers(a)
			if alive && !lostOnOld {
				continue
			}
			x.leave(st, results, cancel)
			return outcome{}, kind.New(kind.OutcomeUnknown, "stage %s: %s makes no progress", st.Name, a.server.Name)
		case <-ctx.Done():
			x.leave(st, results, cancel)
			return outcome{}, x.expired(ctx)
		}
	}
}

// notify returns a Doubt that reports to ch and never gives the attempt up.
func notify(ch chan<- bool) func(bool) bool {
	return func(reused bool) bool {
		select {
		case ch <- reused:
		default:
		}
		return false
	}
}

// leave lets an attempt go on without the caller.
func (x *run) leave(st *snapshot.Stage, results <-chan outcome, cancel context.CancelFunc) {
	x.started, x.dispatched = true, true
	late := make(chan LateResult, 1)
	x.pending = late
	whole := x.last(st)
	go func() {
		defer cancel()
		o := <-results
		late <- LateResult{
			Complete: o.err == nil && whole, ContentType: o.contentType, Body: o.body,
			NotStarted: o.err != nil && !mayHaveStarted(o.err),
		}
	}()
}
