package pipeline

import (
	"context"

	"bilberrydale/process/errkind"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/snapshot"
)

// hedgedStage is the state of a repeatable stage with an unstreamed response. When an
// attempt stalls, it stays open while another one is started, and the first response
// is used.
type hedgedStage struct {
	*execution
	ctx          context.Context // ends with the stage
	st           *snapshot.Stage
	in           []byte // input of the stage
	results      chan attemptResult
	stalls       chan *attempt // attempts that have stalled, each at most once
	probeResults chan probeResult
	inFlight     int            // attempts without a result
	lastErr      *errkind.Error // of the last failure
}

// probeResult is the result of probing the server of a stalled attempt.
type probeResult struct {
	attempt *attempt
	alive   bool // the server responded
}

// runRepeatable runs a repeatable stage with an unstreamed response.
func (x *execution) runRepeatable(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *errkind.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that are still open
	n := x.Options.MaxAttempts
	r := &hedgedStage{
		execution: x, ctx: ctx, st: st, in: in, results: make(chan attemptResult, n),
		stalls: make(chan *attempt, n), probeResults: make(chan probeResult, n),
	}
	if err := r.startNext(); err != nil {
		return nil, err
	}
	for {
		select {
		case o := <-r.results:
			r.inFlight--
			x.recordDispatch(o.err)
			if o.err == nil {
				if r.inFlight > 0 && o.attempt.number < x.attempts {
					x.Counters.LateResponsesUsed.Add(1)
				}
				return x.nextInput(o.output), nil
			}
			if err := r.handleFailure(o); err != nil {
				return nil, err
			}
		case a := <-r.stalls:
			x.Counters.Stalls.Add(1)
			go func() { r.probeResults <- probeResult{a, x.probeShared(a)} }()
		case p := <-r.probeResults:
			r.handleProbe(p)
		case <-ctx.Done():
			x.dispatched = true
			return nil, x.contextError(ctx)
		}
	}
}

// startNext starts another attempt.
func (r *hedgedStage) startNext() *errkind.Error {
	a, err := r.newAttempt(r.ctx, r.st, r.in, r.inFlight == 0)
	if err != nil {
		return err
	}
	r.inFlight++
	notified := false
	r.startAttempt(r.ctx, r.st, a, r.in, func(bool) bool {
		if !notified {
			notified = true // no lock: the timer does not call this concurrently
			r.stalls <- a
		}
		return false
	}, r.results)
	return nil
}

// handleFailure starts another attempt after a failed one if that is allowed. It returns
// the error of the stage if no attempt is in flight any more.
func (r *hedgedStage) handleFailure(o attemptResult) *errkind.Error {
	r.lastErr = r.classifyError(r.ctx, r.st, o.err)
	if r.acquireRetryAfter(r.st, o.err) {
		err := r.startNext()
		if err == nil {
			return nil
		}
		if err.Kind != errkind.NoBackend {
			r.lastErr = err
		}
	}
	if r.inFlight > 0 {
		return nil
	}
	return r.lastErr
}

// handleProbe starts another attempt after the probe of a stalled one. If the server did
// not respond, the attempt goes to another server; if it did, only the connection is dead,
// and the same server may be picked again on a new connection.
func (r *hedgedStage) handleProbe(p probeResult) {
	if len(r.triedServers) >= r.Options.MaxAttempts || !r.acquireRetry(r.st) {
		return
	}
	if p.alive {
		r.triedServers = without(r.triedServers, p.attempt.server.State)
	}
	if err := r.startNext(); err != nil {
		r.triedServers = append(r.triedServers, p.attempt.server.State)
	}
}

// without returns a copy of list that does not contain s.
func without(list []*serverstate.State, s *serverstate.State) []*serverstate.State {
	out := list[:0:0]
	for _, x := range list {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}
