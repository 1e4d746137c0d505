package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/estimate"
	"bilberrydale/process/kind"
)

// Options set a Controller.
type Options struct {
	// Target is the load, in requests for a slot, at which a pool is held: a
	// little over 1 keeps every slot busy with a short queue.
	TargetLoad float64
	// BackgroundBelow is the load up to which background requests start.
	BackgroundMaxLoad float64
	// Margin is how many mean deviations are added to the estimated finish.
	DeviationMultiplier float64
	// Rotation is the time in which every request of a class of worth that is
	// refused in part gets its turn to be admitted.
	RotationPeriod time.Duration
	// DownAfter and UpAfter are the hysteresis of a pool without any usable
	// server: dependents are refused after the first, and come back once a
	// server has been usable for the second.
	DownDelay time.Duration
	UpDelay   time.Duration
	// Probe is how often a down pool is tried with a real request.
	ProbeInterval time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		TargetLoad: 1.65, BackgroundMaxLoad: 1, DeviationMultiplier: .5, RotationPeriod: 8 * time.Second,
		DownDelay: 200 * time.Millisecond, UpDelay: 100 * time.Millisecond, ProbeInterval: 500 * time.Millisecond,
	}
}

// Controller admits by estimate. Every request's place in the order of worth
// is compared with the part of the demand that each pool on its way can serve,
// and its estimated finish with its deadline. The request path reads atomics;
// Tick does the rest.
type Controller struct {
	opts      Options
	rand      clock.Rand
	pools     sync.Map // name -> *pool
	profiles  sync.Map // *Profile -> *plan
	estimates sync.Map // stageKey -> *times
	refusals  [len(reasons)]atomic.Int64

	mu    sync.Mutex // guards order; not taken for a request once its pools are known
	order []*pool    // in order of first sight
}

// NewController returns a controller that admits everything until it has seen
// load.
func NewController(opts Options, r clock.Rand) *Controller {
	return &Controller{opts: opts, rand: r}
}

// stageKey names an estimate; it outlives the release that the stage came with.
type stageKey struct {
	route, pool string
	index       int
}

// plan is a Profile joined with the state of its pools.
type plan struct {
	stages []step
	used   atomic.Int64 // unix nanoseconds, so that plans of old releases go
}

type step struct {
	pool *pool
	*times
	prior float64 // seconds, before the first sample
	level atomic.Int32
}

// times are the estimates of one stage of one route.
type times struct {
	latency estimate.Latency // as it is, waiting included
	// service is the slot time: of streams from their first byte, of others when
	// they found a slot free. Waiting must not count: urgent requests wait
	// less, would look cheaper than they are, and would outweigh others of more
	// worth.
	service estimate.Latency
}

// seconds returns the slot time that the stage is expected to take.
func (s *step) seconds() float64 {
	if s.service.Samples() < minSamples {
		return s.prior
	}
	return s.service.Mean()
}

// priorShare is the part of its budget that a stage takes until it is known.
const priorShare = 1. / 3

func (c *Controller) plan(p *Profile, now time.Time) *plan {
	if v, ok := c.profiles.Load(p); ok {
		return v.(*plan)
	}
	out := &plan{stages: make([]step, len(p.Stages))}
	for i, st := range p.Stages {
		s := &out.stages[i]
		s.pool, s.prior = c.pool(st.Pool), priorShare*st.Budget.Seconds()
		l, _ := c.estimates.LoadOrStore(stageKey{p.Route, st.Pool, i}, &times{})
		s.times = l.(*times)
		s.level.Store(int32(level(p.Worth, s.seconds())))
	}
	out.used.Store(now.UnixNano())
	v, _ := c.profiles.LoadOrStore(p, out)
	return v.(*plan)
}

func (c *Controller) pool(name string) *pool {
	if v, ok := c.pools.Load(name); ok {
		return v.(*pool)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v, loaded := c.pools.LoadOrStore(name, newPool(name))
	if !loaded {
		c.order = append(c.order, v.(*pool))
	}
	return v.(*pool)
}

// Admit implements Admitter.
func (c *Controller) Admit(now time.Time, r *Request) *kind.Error {
	p := c.plan(r.Profile, now)
	p.used.Store(now.UnixNano())
	if v := c.judge(now, r, p, true); v.Reason != Admitted {
		c.refusals[v.Reason.index()].Add(1)
		return v.refusal()
	}
	for i := range p.stages {
		p.stages[i].pool.heading.Add(1)
	}
	return nil
}

// StageStart implements Admitter.
func (c *Controller) StageStart(now time.Time, r *Request, stage int) {
	c.plan(r.Profile, now).stages[stage].pool.heading.Add(-1)
	r.reached = stage + 1
}

// StageDone implements Admitter.
func (c *Controller) StageDone(now time.Time, r *Request, stage int, took time.Duration, ok bool) {
	if !ok {
		return
	}
	s := &c.plan(r.Profile, now).stages[stage]
	s.latency.Observe(now, took)
	switch {
	case r.StreamDuration > 0:
		s.service.Observe(now, r.StreamDuration)
	case !r.MayHaveQueued:
		s.service.Observe(now, took)
	}
}

// Done implements Admitter.
func (c *Controller) Done(now time.Time, r *Request, _ Outcome) {
	p := c.plan(r.Profile, now)
	for i := r.reached; i < len(p.stages); i++ {
		p.stages[i].pool.heading.Add(-1)
	}
}

var _ Admitter = (*Controller)(nil)
