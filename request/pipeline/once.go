package pipeline

import (
	"context"
	"errors"
	"fmt"

	"bilberrydale/connection/backend"
	"bilberrydale/process/errkind"
	"bilberrydale/version/snapshot"
)

// attemptResult is the result of an attempt with an unstreamed response.
type attemptResult struct {
	attempt *attempt
	output
	err error
}

// errPanic is the error of an attempt whose code panicked; the server may have run it.
var errPanic = errors.New("pipeline: attempt panicked")

// startAttempt runs an attempt in the background and sends its result to results, whose
// buffer must have a free slot for it. onStall is passed to the call as OnStall.
func (x *execution) startAttempt(ctx context.Context, st *snapshot.Stage, a *attempt, in []byte, onStall func(reused bool) bool, results chan<- attemptResult) {
	c := x.newCall(st, a, in)
	p := x.pool(st)
	c.FirstByteTimeout = p.firstByteDelay.timeout(x.Options.MinStallTimeout, st.Budget.Std())
	c.IdleTimeout = p.chunkInterval.timeout(x.Options.MinStallTimeout, x.Options.InitialIdleTimeout)
	c.OnStall = onStall
	start := x.Clock.Now()
	go func() {
		o := attemptResult{attempt: a}
		defer func() {
			// An unrecovered panic in this goroutine would end the process and with it
			// every other request.
			if v := recover(); v != nil {
				o.err = fmt.Errorf("%w: %v", errPanic, v)
			}
			results <- o
		}()
		o.err = x.sendAttempt(ctx, st, a, func(ctx context.Context) error {
			response, err := x.Backend.Do(ctx, c)
			if err == nil {
				o.output = output{response.ContentType, response.Body}
				p.firstByteDelay.observe(x.Clock.Now().Sub(start))
			}
			return err
		})
	}()
}

// runOnce runs a non-repeatable stage. It is attempted again only if the previous attempt
// is known not to have started. An attempt continues for Options.LateResultTimeout after
// the deadline, so that its result can be recorded.
func (x *execution) runOnce(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *errkind.Error) {
	var lastErr *errkind.Error
	for {
		a, attemptErr := x.newAttempt(ctx, st, in, true)
		if attemptErr != nil {
			if lastErr != nil && attemptErr.Kind == errkind.NoBackend {
				return nil, lastErr
			}
			return nil, attemptErr
		}
		o, failure := x.awaitAttempt(ctx, st, a, in)
		if failure != nil {
			return nil, failure
		}
		x.recordDispatch(o.err)
		if o.err == nil {
			x.nonRepeatableMayHaveRun = true
			return x.nextInput(o.output), nil
		}
		x.nonRepeatableMayHaveRun = x.nonRepeatableMayHaveRun || mayHaveStarted(o.err)
		lastErr = x.classifyError(ctx, st, o.err)
		if !x.acquireRetryAfter(st, o.err) {
			return nil, lastErr
		}
	}
}

// mayHaveStarted reports whether an attempt that ended with err may have run.
func mayHaveStarted(err error) bool {
	var be *backend.Error
	return !errors.As(err, &be) || (be.Delivery != backend.NotSent && !be.NotStarted)
}

// awaitAttempt runs an attempt and waits until it ends, its connection is found dead, or
// ctx ends. In the last two cases the attempt is detached.
func (x *execution) awaitAttempt(ctx context.Context, st *snapshot.Stage, a *attempt, in []byte) (attemptResult, *errkind.Error) {
	attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.timeLeft()+x.Options.LateResultTimeout)
	results := make(chan attemptResult, 1)
	stalls := make(chan bool, 1)
	x.startAttempt(attemptCtx, st, a, in, notifyStall(stalls), results)
	alive := false
	for {
		select {
		case o := <-results:
			cancel()
			return o, nil
		case reused := <-stalls:
			x.Counters.Stalls.Add(1)
			// A slow server and a dead connection look the same. The wait ends if the
			// server does not respond on a new connection either, or if a reused
			// connection stays stalled after the server has responded on a new one.
			stalledOnReused := alive && reused
			alive = x.probeShared(a)
			if alive && !stalledOnReused {
				continue
			}
			x.detachAttempt(st, results, cancel)
			return attemptResult{}, errkind.New(errkind.OutcomeUnknown, "stage %s: %s makes no progress", st.Name, a.server.Name)
		case <-ctx.Done():
			x.detachAttempt(st, results, cancel)
			return attemptResult{}, x.contextError(ctx)
		}
	}
}

// notifyStall returns an OnStall callback that reports to ch without blocking and never
// aborts the attempt.
func notifyStall(ch chan<- bool) func(bool) bool {
	return func(reused bool) bool {
		select {
		case ch <- reused:
		default:
		}
		return false
	}
}

// detachAttempt lets an attempt continue after the response to the caller. Its result is
// sent to x.late.
func (x *execution) detachAttempt(st *snapshot.Stage, results <-chan attemptResult, cancel context.CancelFunc) {
	x.nonRepeatableMayHaveRun, x.dispatched = true, true
	late := make(chan LateResult, 1)
	x.late = late
	last := x.isLastStage(st)
	go func() {
		defer cancel()
		o := <-results
		late <- LateResult{
			Complete: o.err == nil && last, ContentType: o.contentType, Body: o.body,
			NotStarted: o.err != nil && !mayHaveStarted(o.err),
		}
	}()
}
