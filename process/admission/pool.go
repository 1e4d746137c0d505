package admission

import (
	"math"
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// Requests are grouped into levels by their worth per second of slot time. The
// scale is logarithmic and level 0 is the highest.
const (
	worthLevels     = 128
	levelsPerOctave = 8 // levels from one worth per second to twice that
	topOctave       = 8 // log2 of the worth per second at level 0
)

// worthLevel returns the level of requests with that worth and service time in
// seconds.
func worthLevel(worth, seconds float64) int {
	level := levelsPerOctave * (topOctave - math.Log2(max(worth, 1e-9)/max(seconds, 1e-6)))
	return int(min(worthLevels-1, max(0, math.Round(level))))
}

// pool is the state of one pool. Requests read it, add to its counters and set
// lastProbe; Tick writes the rest.
type pool struct {
	name             string
	refusalDetails   [len(reasons)]string   // error details by index in reasons, built once
	bandStart        estimate.AtomicFloat64 // load at which the band starts
	smoothedFraction estimate.AtomicFloat64 // admitted fraction of the demand, smoothed
	load             estimate.AtomicFloat64 // requests per slot at the last tick, without pending
	slots            estimate.AtomicFloat64 // see PoolLoad.Slots
	demandTracked    atomic.Bool            // the load is high enough to record demand
	down             atomic.Bool            // no usable server for DownDelay; see updateOutage
	pending          atomic.Int64           // admitted by this host, stage not yet started
	probesDue        atomic.Int64           // see PoolLoad.ProbesDue
	lastProbe        atomic.Int64           // time of the last probe, or of the start of the outage, unix nanoseconds
	downSince        atomic.Int64           // start of the current or last outage, unix nanoseconds
	fullSince        atomic.Int64           // last tick with a load below BackgroundMaxLoad, unix nanoseconds

	// Used by Tick alone up to fractionsUpdatedAt.
	usable                 bool      // there is a usable server
	usableChangedAt        time.Time // last change of usable
	reportedInFlightSum    float64   // in flight at the last reports, decaying integral over time
	ownReportedInFlightSum float64   // of that, from this host
	lastTick               time.Time
	fractionsUpdatedAt     time.Time // last call of accountTable.updateFractions

	// By worth level.
	demand        [worthLevels]estimate.AtomicFloat64 // recent demand in slot seconds
	demandAbove   [worthLevels]estimate.AtomicFloat64 // fraction of the demand at higher levels
	demandAtLevel [worthLevels]estimate.AtomicFloat64 // fraction of the demand at this level

	accounts atomic.Pointer[accountTable] // nil until the load first exceeds demandTrackingLoad
}

// newPool returns a pool that admits all requests until the first tick.
func newPool(name string) *pool {
	p := &pool{name: name}
	for i, r := range reasons {
		p.refusalDetails[i] = string(r) + ": pool " + name
	}
	p.smoothedFraction.Store(1)
	p.bandStart.Store(initialBandStart)
	return p
}

// currentLoad returns the load in requests per slot, including the requests
// that this host has admitted and that have not reached the pool.
func (p *pool) currentLoad() float64 {
	slots := p.slots.Load()
	if slots <= 0 {
		return p.load.Load()
	}
	return p.load.Load() + float64(max(0, p.pending.Load()))/slots
}

// admittedFraction returns the fraction of the demand to admit at the current
// load.
func (p *pool) admittedFraction() float64 {
	return min(1, max(minAdmittedFraction, 1-(p.currentLoad()-p.bandStart.Load())/bandWidth))
}

// allowProbe reports whether a request may probe the pool that is down: one in
// each interval, if a server is due for a probe. Only a request that runs can
// show that the pool is back, and each costs the stages before it.
func (p *pool) allowProbe(now time.Time, interval time.Duration) bool {
	if p.probesDue.Load() == 0 {
		return false
	}
	last := p.lastProbe.Load()
	return now.UnixNano()-last >= int64(interval) && p.lastProbe.CompareAndSwap(last, now.UnixNano())
}

// Bounds of expectedWait, which becomes the RetryAfter of refusals.
const (
	minWait = 2 * time.Second
	maxWait = 30 * time.Second
)

// expectedWait returns how much longer a condition is expected to last that
// began at since, in unix nanoseconds: about as long as it has lasted.
func expectedWait(now time.Time, since int64) time.Duration {
	return min(maxWait, max(minWait, time.Duration(now.UnixNano()-since))).Round(time.Second)
}

// outageWait returns the expected time until a pool that is down is usable.
func (p *pool) outageWait(now time.Time) time.Duration { return expectedWait(now, p.downSince.Load()) }

// fullWait returns the expected time until a full pool has free capacity for
// requests of the lowest worth.
func (p *pool) fullWait(now time.Time) time.Duration { return expectedWait(now, p.fullSince.Load()) }

// countDemand adds the request to the demand on each pool, whether or not it is
// admitted. Background requests get no share of a full pool and are left out.
func (c *Controller) countDemand(r *Request, rs *routeState) {
	if r.Profile.Class == Background {
		return
	}
	for i := range rs.stages {
		s := &rs.stages[i]
		if !s.pool.demandTracked.Load() {
			continue
		}
		seconds := s.expectedSlotSeconds()
		s.pool.demand[s.worthLevel.Load()].Add(seconds)
		if a := s.pool.accounts.Load(); a != nil {
			x := a.find(accountHash(r.Account))
			x.demand.Add(seconds)
			x.weight.Store(r.Profile.accountWeight(r.Account))
		}
	}
}

// countAdmitted adds an admitted request to the totals of its client account.
func (c *Controller) countAdmitted(r *Request, rs *routeState) {
	for i := range rs.stages {
		s := &rs.stages[i]
		if !s.pool.demandTracked.Load() {
			continue
		}
		if a := s.pool.accounts.Load(); a != nil {
			a.find(accountHash(r.Account)).admitted.Add(s.expectedSlotSeconds())
		}
	}
}
