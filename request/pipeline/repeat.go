package pipeline

import (
	"context"

	"bilberrydale/process/kind"
	"bilberrydale/process/server"
	"bilberrydale/version/snapshot"
)

// race is the attempts of one stage that may be repeated. An attempt whose
// connection is doubted stays open beside the next one, and the first answer
// of either is used.
type race struct {
	*run
	ctx      context.Context
	st       *snapshot.Stage
	in       []byte
	results  chan outcome
	doubts   chan *attempt
	probes   chan probed
	inflight int
	last     *kind.Error
}

type probed struct {
	attempt *attempt
	alive   bool
}

// repeat runs a whole-answer stage that may be repeated.
func (x *run) repeat(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that another one has overtaken
	n := x.Options.MaxAttempts
	r := &race{
		run: x, ctx: ctx, st: st, in: in, results: make(chan outcome, n),
		doubts: make(chan *attempt, n), probes: make(chan probed, n),
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	for {
		select {
		case o := <-r.results:
			r.inflight--
			x.sent(o.err)
			if o.err == nil {
				if r.inflight > 0 && o.attempt.number < x.number {
					x.Counters.LateResponsesUsed.Add(1)
				}
				return x.took(o.output), nil
			}
			if err := r.failed(o); err != nil {
				return nil, err
			}
		case a := <-r.doubts:
			x.Counters.Stalls.Add(1)
			go func() { r.probes <- probed{a, x.answers(a)} }()
		case p := <-r.probes:
			r.judged(p)
		case <-ctx.Done():
			x.dispatched = true
			return nil, x.expired(ctx)
		}
	}
}

// start sends one more attempt.
func (r *race) start() *kind.Error {
	a, err := r.choose(r.ctx, r.st, r.in)
	if err != nil {
		return err
	}
	r.inflight++
	told := false
	r.launch(r.ctx, r.st, a, r.in, func(bool) bool {
		if !told {
			told = true // the timer calls this one at a time
			r.doubts <- a
		}
		return false
	}, r.results)
	return nil
}

// failed follows a failed attempt with another one where that is allowed, and
// returns the stage's error when no attempt is left.
func (r *race) failed(o outcome) *kind.Error {
	r.last = r.classify(r.ctx, r.st, o.err)
	if r.mayTryAgain(r.st, o.err) {
		err := r.start()
		if err == nil {
			return nil
		}
		if err.Kind != kind.NoBackend {
			r.last = err
		}
	}
	if r.inflight > 0 {
		return nil
	}
	return r.last
}

// judged acts on the probe of an attempt without progress. Either the server
// is gone, or it lives and the connection lost its way: both ask for another
// attempt, elsewhere or on a new connection.
func (r *race) judged(p probed) {
	if len(r.tried) >= r.Options.MaxAttempts || !r.mayRetry(r.st) {
		return
	}
	if p.alive {
		r.tried = without(r.tried, p.attempt.server.State)
	}
	if err := r.start(); err != nil {
		r.tried = append(r.tried, p.attempt.server.State)
	}
}

func without(list []*server.State, s *server.State) []*server.State {
	out := list[:0:0]
	for _, x := range list {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}
