package admission

import (
	"math"
	"time"

	"bilberrydale/process/errkind"
)

// Reason is the reason of a decision. Its text is part of refusals and of the
// explain output.
type Reason string

// Reasons of decisions; all but Admitted are refusals.
const (
	Admitted     Reason = "fits"
	PoolDown     Reason = "pool down"       // a stage's pool has no usable server
	CannotFinish Reason = "cannot finish"   // the estimated end is after the deadline
	LowerWorth   Reason = "outweighed"      // an overloaded pool is full with requests of higher worth
	OverShare    Reason = "over its share"  // the client account exceeds its fair share of an overloaded pool
	NotIdle      Reason = "not idle enough" // a pool has no free capacity for background work
)

// reasons lists every Reason; Controller.refusals and pool.refusalDetails are
// indexed by it.
var reasons = [...]Reason{Admitted, PoolDown, CannotFinish, LowerWorth, OverShare, NotIdle}

// index returns the index of r in reasons, or 0 if r is not listed.
func (r Reason) index() int {
	for i, x := range reasons {
		if x == r {
			return i
		}
	}
	return 0
}

// Refusals returns the number of refused requests by reason.
func (c *Controller) Refusals() map[Reason]int64 {
	out := map[Reason]int64{}
	for i, r := range reasons[1:] {
		out[r] = c.refusals[i+1].Load()
	}
	return out
}

// Decision is an admission decision and the figures that it is based on.
type Decision struct {
	Reason           Reason        `json:"reason"`
	Pool             string        `json:"pool,omitempty"` // that caused the refusal
	ExpectedDuration time.Duration `json:"expected"`       // from now to the complete response
	Remaining        time.Duration `json:"left"`           // until the deadline
	// Position is the fraction of a pool's demand that has precedence over the
	// request, which is admitted if it is below Threshold. For background
	// requests both are loads in requests per slot.
	Position   float64       `json:"position"`
	Threshold  float64       `json:"threshold"`
	RetryAfter time.Duration `json:"retry_after,omitempty"` // of a refusal
	detail     string        // of the refusal's error
}

// refuse turns d into a refusal caused by pool p.
func (d *Decision) refuse(r Reason, p *pool, retryAfter time.Duration) {
	d.Reason, d.Pool, d.RetryAfter = r, p.name, retryAfter
	d.detail = p.refusalDetails[r.index()]
}

// toError returns the error of a refusal.
func (d *Decision) toError() *errkind.Error {
	k := errkind.Overloaded
	switch d.Reason {
	case OverShare:
		k = errkind.AccountLimit
	case PoolDown:
		k = errkind.NoBackend
	}
	return &errkind.Error{Kind: k, Detail: d.detail, RetryAfter: d.RetryAfter}
}

// cannotFinishRetryAfter is the RetryAfter of a request whose estimated end is
// after its deadline: estimates of that age are no longer used.
const cannotFinishRetryAfter = maxEstimateAge

// decide makes the decision for a request. If count is set, the request is
// counted as demand and, if it is admitted, as admitted.
func (c *Controller) decide(now time.Time, r *Request, rs *routeState, count bool) Decision {
	d := Decision{Reason: Admitted, Remaining: r.Deadline.Sub(now), Threshold: 1}
	d.ExpectedDuration = c.expectedDuration(rs, now)
	if count {
		c.countDemand(r, rs)
	}
	for i := range rs.stages {
		if p := rs.stages[i].pool; p.down.Load() && !(count && p.allowProbe(now, c.opts.ProbeInterval)) {
			d.refuse(PoolDown, p, p.outageWait(now))
			return d
		}
	}
	if d.ExpectedDuration > d.Remaining {
		d.Reason, d.RetryAfter, d.detail = CannotFinish, cannotFinishRetryAfter, string(CannotFinish)
		return d
	}
	if r.Profile.Class == Background {
		c.checkBackground(now, rs, &d)
		return d
	}
	for i := range rs.stages {
		if !c.checkWorth(now, r, &rs.stages[i], &d) {
			return d
		}
	}
	if count {
		c.countAdmitted(r, rs)
	}
	return d
}

// expectedDuration estimates the time from now to the complete response.
func (c *Controller) expectedDuration(rs *routeState, now time.Time) time.Duration {
	var seconds float64
	for i := range rs.stages {
		s := &rs.stages[i]
		if s.latency.Samples() < minSamples || now.Sub(s.latency.LastSampleTime()) > maxEstimateAge {
			// Without recent samples the stage counts as 0 and requests are
			// admitted: only requests that run can bring new samples.
			continue
		}
		seconds += s.latency.Mean() + c.opts.DeviationMultiplier*s.latency.Deviation()
	}
	return time.Duration(seconds * float64(time.Second))
}

// Limits for the use of an estimate.
const (
	minSamples     = 8               // fewer samples give no estimate
	maxEstimateAge = 3 * time.Second // since the last sample
)

// checkBackground refuses a background request if a pool of its route has no free
// capacity. It turns d into the refusal.
func (c *Controller) checkBackground(now time.Time, rs *routeState, d *Decision) {
	for i := range rs.stages {
		p := rs.stages[i].pool
		if load := p.currentLoad(); load >= c.opts.BackgroundMaxLoad {
			d.refuse(NotIdle, p, p.fullWait(now))
			d.Position, d.Threshold = load, c.opts.BackgroundMaxLoad
			return
		}
	}
}

// checkWorth compares the position of the request in the order of worth with the
// fraction of the demand that the pool of the stage can serve. It reports whether
// the pool admits the request, and turns d into a refusal if not.
func (c *Controller) checkWorth(now time.Time, r *Request, s *stageState, d *Decision) bool {
	p := s.pool
	threshold := p.admittedFraction()
	if threshold >= 1 {
		return true
	}
	smoothed, reason := p.smoothedFraction.Load(), LowerWorth
	if a := p.accounts.Load(); a != nil {
		accountFraction := a.find(accountHash(r.Account)).admittedFraction.Load()
		if accountFraction >= 1 {
			// The account requests less than its fair share.
			return true
		}
		if accountFraction < smoothed {
			reason = OverShare
		}
		threshold = min(1, threshold*accountFraction/max(minAdmittedFraction, smoothed))
		smoothed = accountFraction
	}
	level := int(s.worthLevel.Load())
	above, atLevel := p.demandAbove[level].Load(), p.demandAtLevel[level].Load()
	phase := c.rotationPhase(now, r)
	d.Position, d.Threshold = above+phase*atLevel, threshold
	if d.Position < threshold {
		return true
	}
	wait := c.nextTurn(phase, (smoothed-above)/max(atLevel, 1e-9))
	if wait == 0 {
		wait = p.fullWait(now)
	}
	d.refuse(reason, p, wait)
	return false
}

// rotationPhase returns the position, in [0,1), of a request among those of its
// worth level. It rotates with time, equally on every entry host, so that a
// request that is refused now has its turn later on whichever host it is sent
// to.
func (c *Controller) rotationPhase(now time.Time, r *Request) float64 {
	id := r.Fingerprint
	if id == 0 {
		return c.rand.Float64()
	}
	id ^= accountHash(r.Account) // many callers may send the same body
	_, phase := math.Modf(float64(id>>11)/(1<<53) + float64(now.UnixNano()%int64(c.opts.RotationPeriod))/float64(c.opts.RotationPeriod))
	return phase
}

// nextTurn returns the wait, in whole seconds, after which a request at phase
// is farthest inside the admitted fraction of its worth level, even if it
// arrives later by retryLateness. It returns 0 if the admitted fraction is too
// small for any such wait.
func (c *Controller) nextTurn(phase, admittedFraction float64) time.Duration {
	rotation := c.opts.RotationPeriod.Seconds()
	best, lowest := 0.0, admittedFraction*turnSafetyFactor
	for wait := 1.0; wait <= rotation; wait++ {
		_, at := math.Modf(phase + wait/rotation)
		if latest := at + wait*retryLateness/rotation; latest < lowest {
			best, lowest = wait, latest
		}
	}
	return time.Duration(best) * time.Second
}

// Tolerances of nextTurn.
const (
	retryLateness    = .1 // delay of a retry, relative to its wait
	turnSafetyFactor = .9 // part of the admitted fraction that is relied on
)
