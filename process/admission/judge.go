package admission

import (
	"math"
	"time"

	"bilberrydale/process/kind"
)

// Reason is why a request is admitted or refused.
type Reason string

// Reasons.
const (
	Admitted     Reason = "fits"
	PoolDown     Reason = "pool down"       // no server of a stage's pool is usable
	CannotFinish Reason = "cannot finish"   // the estimated finish is past the deadline
	LowerWorth   Reason = "outweighed"      // the pool is full of requests worth more
	OverShare    Reason = "over its share"  // the account is over its fair share of a full pool
	NotIdle      Reason = "not idle enough" // background work while others wait
)

var reasons = [...]Reason{Admitted, PoolDown, CannotFinish, LowerWorth, OverShare, NotIdle}

func (r Reason) index() int {
	for i, x := range reasons {
		if x == r {
			return i
		}
	}
	return 0
}

// Refusals returns how many requests were refused for each reason.
func (c *Controller) Refusals() map[Reason]int64 {
	out := map[Reason]int64{}
	for i, r := range reasons[1:] {
		out[r] = c.refusals[i+1].Load()
	}
	return out
}

// Verdict is a decision with its reason.
type Decision struct {
	Reason           Reason        `json:"reason"`
	Pool             string        `json:"pool,omitempty"`
	ExpectedDuration time.Duration `json:"expected"` // from now to the whole answer
	Remaining        time.Duration `json:"left"`     // until the deadline
	Position         float64       `json:"position"` // part of the demand that comes before it
	Threshold        float64       `json:"threshold"`
	RetryAfter       time.Duration `json:"retry_after,omitempty"`
	detail           string
}

// refuse makes v a refusal on account of pool p.
func (v *Decision) refuse(r Reason, p *pool, wait time.Duration) {
	v.Reason, v.Pool, v.RetryAfter = r, p.name, wait
	v.detail = p.details[r.index()]
}

func (v *Decision) refusal() *kind.Error {
	k := kind.Overloaded
	switch v.Reason {
	case OverShare:
		k = kind.AccountLimit
	case PoolDown:
		k = kind.NoBackend
	}
	return &kind.Error{Kind: k, Detail: v.detail, RetryAfter: v.RetryAfter}
}

// waitTooLate is told when the estimated finish is past the deadline; the
// estimate is forgotten after estimateLife.
const waitTooLate = estimateLife

// judge decides. With count set the request is counted as demand, and as
// admitted if it is.
func (c *Controller) judge(now time.Time, r *Request, p *plan, count bool) Decision {
	v := Decision{Reason: Admitted, Remaining: r.Deadline.Sub(now), Threshold: 1}
	v.ExpectedDuration = c.finish(p, now)
	if count {
		c.demand(r, p)
	}
	for i := range p.stages {
		if pl := p.stages[i].pool; pl.down.Load() && !(count && pl.probe(now, c.opts.ProbeInterval)) {
			v.refuse(PoolDown, pl, pl.outageWait(now))
			return v
		}
	}
	if v.ExpectedDuration > v.Remaining {
		v.Reason, v.RetryAfter, v.detail = CannotFinish, waitTooLate, string(CannotFinish)
		return v
	}
	if r.Profile.Class == Background {
		c.background(now, p, &v)
		return v
	}
	for i := range p.stages {
		if !c.fits(now, r, &p.stages[i], &v) {
			return v
		}
	}
	if count {
		c.admitted(r, p)
	}
	return v
}

// finish estimates the time to the whole answer.
func (c *Controller) finish(p *plan, now time.Time) time.Duration {
	var sum float64
	for i := range p.stages {
		s := &p.stages[i]
		if s.latency.Samples() < minSamples || now.Sub(s.latency.LastSampleTime()) > estimateLife {
			// Without recent evidence a request is let through: only requests
			// that run can bring the estimate back.
			continue
		}
		sum += s.latency.Mean() + c.opts.DeviationMultiplier*s.latency.Deviation()
	}
	return time.Duration(sum * float64(time.Second))
}

const (
	minSamples   = 8
	estimateLife = 3 * time.Second
)

func (c *Controller) background(now time.Time, p *plan, v *Decision) {
	for i := range p.stages {
		pl := p.stages[i].pool
		if l := pl.now(); l >= c.opts.BackgroundMaxLoad {
			v.refuse(NotIdle, pl, pl.fullWait(now))
			v.Position, v.Threshold = l, c.opts.BackgroundMaxLoad
			return
		}
	}
}

// fits compares the request's place in the order of worth with the part of the
// demand that the pool can serve.
func (c *Controller) fits(now time.Time, r *Request, s *step, v *Decision) bool {
	pl := s.pool
	threshold := pl.part()
	if threshold >= 1 {
		return true
	}
	usual, reason := pl.share.Load(), LowerWorth
	if a := pl.accounts.Load(); a != nil {
		t := a.find(accountHash(r.Account)).threshold.Load()
		if t >= 1 {
			// The account asks for less than its share: nothing is refused.
			return true
		}
		if t < usual {
			reason = OverShare
		}
		threshold = min(1, threshold*t/max(leastPart, usual))
		usual = t
	}
	lv := int(s.level.Load())
	above, mass := pl.above[lv].Load(), pl.mass[lv].Load()
	phase := c.phase(now, r)
	v.Position, v.Threshold = above+phase*mass, threshold
	if v.Position < threshold {
		return true
	}
	wait := c.turn(phase, (usual-above)/max(mass, 1e-9))
	if wait == 0 {
		wait = pl.fullWait(now)
	}
	v.refuse(reason, pl, wait)
	return false
}

// phase places a request among those of equal worth. It moves with time, the
// same for every entry host, so that a request that is refused now has its turn
// later wherever it comes back.
func (c *Controller) phase(now time.Time, r *Request) float64 {
	id := r.Fingerprint
	if id == 0 {
		return c.rand.Float64()
	}
	id ^= accountHash(r.Account) // callers may all send the same body
	_, f := math.Modf(float64(id>>11)/(1<<53) + float64(now.UnixNano()%int64(c.opts.RotationPeriod))/float64(c.opts.RotationPeriod))
	return f
}

// turn returns after how many whole seconds a request at phase stands deepest
// within the admitted part of its level, also if it comes a tenth of the wait
// late; 0: so little of the level is admitted that no second is safe.
func (c *Controller) turn(phase, part float64) time.Duration {
	rotation := c.opts.RotationPeriod.Seconds()
	best, deepest := 0.0, part*turnMargin
	for wait := 1.0; wait <= rotation; wait++ {
		_, at := math.Modf(phase + wait/rotation)
		if last := at + wait*lateness/rotation; last < deepest {
			best, deepest = wait, last
		}
	}
	return time.Duration(best) * time.Second
}

const (
	lateness   = .1
	turnMargin = .9
)
