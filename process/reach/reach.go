// Package reach finds out, for everything in a process that asks the platform's
// object API, when the API answers again after it has fallen silent.
//
// A question that was sent into the silence is never answered, even once the API
// is back. Without a probe a process therefore stays without the platform for as
// long as its questions may wait, and one that started meanwhile serves nobody for
// seconds after the API's return.
package reach

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// Options of a Reach; all are required.
type Options struct {
	// Probe asks the API something small on a connection of its own. An error other
	// than objectapi.ErrNoAnswer and ErrUnavailable is an answer, too.
	Probe func(ctx context.Context) error
	Clock clock.Clock
	Rand  clock.Rand
	// Waited tells whether nobody else will tell this process when the API answers
	// again: it is probed at its full pace then.
	FullProbeRate func() bool
	// Changed tells that the API has fallen silent, or answers again after a time.
	OnChange func(silent bool, after time.Duration)
}

// Reach tells whether the API answers. Run is called once; the other methods are
// safe for concurrent use.
type Monitor struct {
	opts    Options
	outages chan struct{}

	mu     sync.Mutex
	outage *outage // nil while the API answers
}

// silence lasts from a question that got no answer to the next answer.
type outage struct {
	since time.Time
	// proved is set once a probe has got no answer either: until then it may be
	// that just the one question takes its time, or was lost with its connection.
	confirmed bool
	ended     chan struct{} // closed at the end
}

// New returns a Reach that takes the API for answering.
func New(opts Options) *Monitor {
	return &Monitor{opts: opts, outages: make(chan struct{}, 1)}
}

const (
	// patience is how long an answer may be overdue before the API is probed. A
	// slow API answers within some 200 ms.
	overdueGrace = 400 * time.Millisecond
	// probeEvery is the pause between probes, and so how late the end of a silence
	// is noticed. A probe is sent whether the one before was answered or not: that
	// one was lost if it was sent into the silence.
	probeInterval = 250 * time.Millisecond
	// probeSeldom is the pause where another process tells: hundreds that probe would
	// be the larger part of what the API is asked.
	slowProbeInterval = 2 * time.Second
	// probeBound is the time for one probe's answer; a slow API takes part of it.
	probeTimeout = time.Second
)

// Silent reports whether the API is known to be silent.
func (r *Monitor) Unresponsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage != nil && r.outage.confirmed
}

// Run probes the API whenever a question goes unanswered, until ctx ends.
func (r *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.outages:
		}
		r.probeUntilAnswered(ctx)
	}
}

// probe asks until something is answered.
func (r *Monitor) probeUntilAnswered(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		s := r.currentOutage()
		if s == nil {
			return
		}
		go r.sendProbe(ctx, s)
		if !r.sleep(ctx, s, probeInterval) {
			return
		}
		r.confirmOutage(s)
		if !r.opts.FullProbeRate() && !r.sleep(ctx, s, slowProbeInterval-probeInterval) {
			return
		}
	}
}

// pause waits for about d; false: the silence is over.
func (r *Monitor) sleep(ctx context.Context, s *outage, d time.Duration) bool {
	d = time.Duration((0.8 + 0.4*r.opts.Rand.Float64()) * float64(d))
	select {
	case <-ctx.Done():
		return false
	case <-s.ended:
		return false
	case <-r.opts.Clock.After(d):
		return true
	}
}

func (r *Monitor) sendProbe(ctx context.Context, s *outage) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := r.opts.Probe(ctx); ctx.Err() == nil && !isUnavailable(err) {
		r.endOutage(s)
	}
}

func (r *Monitor) currentOutage() *outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage
}

// prove notes that a probe has got no answer.
func (r *Monitor) confirmOutage(s *outage) {
	r.mu.Lock()
	first := r.outage == s && !s.confirmed
	s.confirmed = s.confirmed || first
	r.mu.Unlock()
	if first {
		r.opts.OnChange(true, r.opts.Clock.Now().Sub(s.since))
	}
}

// end notes an answer: silence s is over; nil: whichever there is.
func (r *Monitor) endOutage(s *outage) {
	r.mu.Lock()
	if r.outage == nil || s != nil && r.outage != s {
		r.mu.Unlock()
		return
	}
	ended := r.outage
	r.outage = nil
	close(ended.ended)
	r.mu.Unlock()
	if ended.confirmed {
		r.opts.OnChange(false, r.opts.Clock.Now().Sub(ended.since))
	}
}

// suspect has the API probed and returns the silence.
func (r *Monitor) suspectOutage() *outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outage == nil {
		r.outage = &outage{since: r.opts.Clock.Now(), ended: make(chan struct{})}
		select {
		case r.outages <- struct{}{}:
		default: // Run has not looked at the one before yet
		}
	}
	return r.outage
}

// await blocks while the API is known to be silent, and tells whether it was.
func (r *Monitor) awaitRecovery(ctx context.Context) (late bool, err error) {
	s := r.currentOutage()
	if s == nil || !r.Unresponsive() {
		return false, nil
	}
	select {
	case <-s.ended:
		return true, nil
	case <-ctx.Done():
		return true, errors.Join(objectapi.ErrUnavailable, objectapi.ErrNoAnswer, ctx.Err())
	}
}

// down tells whether a question's end says that the API serves nothing now. A refusal of
// the question itself, for its rate or its content, is an answer.
func isUnavailable(err error) bool {
	return errors.Is(err, objectapi.ErrNoAnswer) || errors.Is(err, objectapi.ErrUnavailable)
}

// note takes what a question's end tells of the API: any answer ends a silence.
func (r *Monitor) recordResult(err error) {
	if !isUnavailable(err) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		r.endOutage(nil)
	}
}

// outcome is what became of one question.
type result[T any] struct {
	value T
	err   error
}

// Question asks the API something that may be asked more than once. late tells that
// the API has just answered again after a silence.
type RequestFunc[T any] func(ctx context.Context, late bool) (T, error)

// Ask asks a question that is expected to be answered after wait. It waits while the
// API is silent. A question that is overdue when the API is found to answer was sent
// into a silence, most likely: it is asked once more, and the first answer counts.
func Call[T any](ctx context.Context, r *Monitor, wait time.Duration, question RequestFunc[T]) (T, error) {
	late, err := r.awaitRecovery(ctx)
	if err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan result[T], 2)
	send(ctx, question, late, answers)
	o, ok := receive(answers, r.opts.Clock.After(wait+overdueGrace))
	if ok && isUnavailable(o.err) {
		// Its connection was reset, or it was told that the API is not available: what
		// others ask would fare no better.
		r.suspectOutage()
	}
	if !ok {
		o, ok = receive(answers, r.suspectOutage().ended)
	}
	if !ok {
		send(ctx, question, true, answers)
		o = <-answers
		if errors.Is(o.err, objectapi.ErrNoAnswer) {
			o = <-answers
		}
	}
	r.recordResult(o.err)
	return o.value, o.err
}

func send[T any](ctx context.Context, question RequestFunc[T], late bool, to chan<- result[T]) {
	go func() {
		answer, err := question(ctx, late)
		to <- result[T]{answer, err}
	}()
}

// receive waits for an outcome; false: until came first.
func receive[T, S any](answers <-chan result[T], until <-chan S) (result[T], bool) {
	select {
	case o := <-answers:
		return o, true
	case <-until:
		return result[T]{}, false
	}
}
