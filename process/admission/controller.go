package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/errkind"
	"bilberrydale/process/estimate"
)

// Options configure a Controller. Zero fields get no defaults; see
// DefaultOptions. Loads are in requests per slot.
type Options struct {
	// TargetLoad is the load at which an overloaded pool is held: a little over
	// 1 keeps every slot busy with a short queue.
	TargetLoad float64
	// BackgroundMaxLoad is the load from which background requests are refused.
	BackgroundMaxLoad float64
	// DeviationMultiplier is how many mean deviations are added to the mean
	// latency of each stage to estimate the duration of a request.
	DeviationMultiplier float64
	// RotationPeriod is the time in which every request of a worth level that
	// is admitted in part gets a turn to be admitted.
	RotationPeriod time.Duration
	// DownDelay and UpDelay are the hysteresis of a pool without a usable
	// server: routes that need the pool are refused once no server has been
	// usable for DownDelay, and admitted again once a server has been usable
	// for UpDelay.
	DownDelay time.Duration
	UpDelay   time.Duration
	// ProbeInterval is the time between the requests that are admitted to probe
	// a pool that is down.
	ProbeInterval time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		TargetLoad: 1.65, BackgroundMaxLoad: 1, DeviationMultiplier: .5, RotationPeriod: 8 * time.Second,
		DownDelay: 200 * time.Millisecond, UpDelay: 100 * time.Millisecond, ProbeInterval: 500 * time.Millisecond,
	}
}

// Controller is the Admitter for production. It compares the position of each
// request in the order of worth with the fraction of the demand that each pool
// of its route can serve, and its estimated duration with its deadline. The
// request path reads atomics; Tick does everything else. All methods are safe
// for concurrent use, except that only one goroutine may call Tick.
type Controller struct {
	opts      Options
	rand      clock.Rand
	pools     sync.Map                   // name -> *pool
	routes    sync.Map                   // *Profile -> *routeState
	estimates sync.Map                   // stageKey -> *stageEstimates
	refusals  [len(reasons)]atomic.Int64 // refused requests by index in reasons

	mu       sync.Mutex // guards poolList; not taken by a request whose pools are in pools
	poolList []*pool    // in the order in which they were added
}

// NewController returns a controller that admits everything until Tick reports
// load.
func NewController(opts Options, r clock.Rand) *Controller {
	return &Controller{opts: opts, rand: r}
}

// stageKey identifies the estimates of a stage, which outlive the release that
// the stage came with.
type stageKey struct {
	route, pool string
	index       int // of the stage in Profile.Stages
}

// routeState joins a Profile with the state of its pools.
type routeState struct {
	stages   []stageState // in the order of Profile.Stages
	lastUsed atomic.Int64 // unix nanoseconds; states of old releases expire by it
}

// stageState joins a stage of a route with the state of its pool.
type stageState struct {
	pool *pool
	*stageEstimates
	priorSeconds float64      // slot time assumed while there are too few samples
	worthLevel   atomic.Int32 // see worthLevels
}

// stageEstimates are the measured times of one stage of one route.
type stageEstimates struct {
	latency estimate.Latency // time in the stage, including queueing
	// serviceTime is the time that a slot is occupied: from the first byte for
	// streamed responses, for others the latency when the server had a free
	// slot. Queueing must not count: urgent requests queue less, would appear
	// cheaper than they are, and would displace others of higher worth.
	serviceTime estimate.Latency
}

// expectedSlotSeconds returns the expected service time of the stage.
func (s *stageState) expectedSlotSeconds() float64 {
	if s.serviceTime.Samples() < minSamples {
		return s.priorSeconds
	}
	return s.serviceTime.Mean()
}

// priorBudgetFraction is the part of its time budget that a stage is assumed to
// take until there are enough samples.
const priorBudgetFraction = 1. / 3

// route returns the state of a profile, creating it on first use.
func (c *Controller) route(p *Profile, now time.Time) *routeState {
	if v, ok := c.routes.Load(p); ok {
		return v.(*routeState)
	}
	rs := &routeState{stages: make([]stageState, len(p.Stages))}
	for i, stage := range p.Stages {
		s := &rs.stages[i]
		s.pool, s.priorSeconds = c.pool(stage.Pool), priorBudgetFraction*stage.Budget.Seconds()
		e, _ := c.estimates.LoadOrStore(stageKey{p.Route, stage.Pool, i}, &stageEstimates{})
		s.stageEstimates = e.(*stageEstimates)
		s.worthLevel.Store(int32(worthLevel(p.Worth, s.expectedSlotSeconds())))
	}
	rs.lastUsed.Store(now.UnixNano())
	v, _ := c.routes.LoadOrStore(p, rs)
	return v.(*routeState)
}

// pool returns the pool of that name, creating it on first use.
func (c *Controller) pool(name string) *pool {
	if v, ok := c.pools.Load(name); ok {
		return v.(*pool)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v, loaded := c.pools.LoadOrStore(name, newPool(name))
	if !loaded {
		c.poolList = append(c.poolList, v.(*pool))
	}
	return v.(*pool)
}

// Admit implements Admitter.
func (c *Controller) Admit(now time.Time, r *Request) *errkind.Error {
	rs := c.route(r.Profile, now)
	rs.lastUsed.Store(now.UnixNano())
	if d := c.decide(now, r, rs, true); d.Reason != Admitted {
		c.refusals[d.Reason.index()].Add(1)
		return d.toError()
	}
	for i := range rs.stages {
		rs.stages[i].pool.pending.Add(1)
	}
	return nil
}

// StageStart implements Admitter: the request no longer counts as pending in the
// stage's pool.
func (c *Controller) StageStart(now time.Time, r *Request, stage int) {
	c.route(r.Profile, now).stages[stage].pool.pending.Add(-1)
	r.startedStages = stage + 1
}

// StageDone implements Admitter: it updates the estimates of the stage, unless
// the stage failed.
func (c *Controller) StageDone(now time.Time, r *Request, stage int, took time.Duration, ok bool) {
	if !ok {
		return
	}
	s := &c.route(r.Profile, now).stages[stage]
	s.latency.Observe(now, took)
	switch {
	case r.StreamDuration > 0:
		s.serviceTime.Observe(now, r.StreamDuration)
	case !r.MayHaveQueued:
		s.serviceTime.Observe(now, took)
	}
}

// Done implements Admitter: the request no longer counts as pending in the pools
// of the stages that it did not start. The outcome is not used.
func (c *Controller) Done(now time.Time, r *Request, _ Outcome) {
	rs := c.route(r.Profile, now)
	for i := r.startedStages; i < len(rs.stages); i++ {
		rs.stages[i].pool.pending.Add(-1)
	}
}

var _ Admitter = (*Controller)(nil)
