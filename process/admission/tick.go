package admission

import (
	"math"
	"slices"
	"time"
)

// PoolLoad is the load of the servers of a pool that an entry host may use. Its
// counts are estimates and therefore not whole numbers.
type PoolLoad struct {
	Pool string // name
	// Slots counts the slots of the usable servers in this host's region, and half
	// of the free slots in other regions, up to the load above which their servers
	// get no spillover. If the region has no usable server, it counts all slots of
	// the other regions; 0 means that these have none either. A slot is one request
	// that a server runs concurrently; the slots of each server are multiplied by
	// its configured weight.
	Slots       float64
	InFlight    float64 // requests running or queued on the usable servers of that region or regions
	OwnInFlight float64 // of those, sent by this host
	// ReportedInFlight and OwnInFlightAtReport are InFlight and OwnInFlight at
	// the time of the servers' last reports.
	ReportedInFlight    float64
	OwnInFlightAtReport float64
	// ProbesDue counts the servers that get no requests after failures and whose
	// next trial request is due.
	ProbesDue int
}

// Parameters of the control loop. Each request compares the current load with a
// band: below it all requests are admitted, at its upper end only
// minAdmittedFraction of the demand. The requests that this host itself has in
// flight are known exactly, so the load is out of date only by the part of
// other hosts. The band moves slowly until the load settles at the target.
// Loads and positions of the band are in requests per slot.
const (
	bandWidth             = 1.5
	initialBandStart      = 1.1
	minBandStart          = .3 // lowest start of the band
	maxBandStart          = 1.8
	bandGain              = .15             // movement per second, for each unit of load off the target
	fractionSmoothingRate = 1.0             // of smoothedFraction, per second
	loadTimeConstant      = 5 * time.Second // of the reported in-flight sums in updateLoad
	// minOwnInFlightSum, in request seconds, is the least own load from which
	// this host's part of the pool's load is estimated.
	minOwnInFlightSum = 1.0
	// ownEstimateHalfWeight is the number of own requests in flight at which
	// the estimate from them and the servers' reports have equal weight.
	ownEstimateHalfWeight = 8.0
	minAdmittedFraction   = .02              // least fraction of the demand to admit, of a pool or an account
	demandTrackingLoad    = .6               // load above which demand is recorded
	worthTimeConstant     = 10 * time.Second // of the demand by worth level, whose mix changes slowly
	demandTimeConstant    = 3 * time.Second  // of the demand by client account
	fractionInterval      = time.Second      // between updates of the accounts' admitted fractions
	idleExpiry            = 10 * time.Minute // of pools without a tick and routes without a request
)

// Tick updates the state of the pools from their current loads. One goroutine
// calls it about every 100 ms.
func (c *Controller) Tick(now time.Time, loads []PoolLoad) {
	for _, l := range loads {
		p := c.pool(l.Pool)
		if p.lastTick.IsZero() {
			p.lastTick, p.fractionsUpdatedAt = now, now
		}
		dt := now.Sub(p.lastTick).Seconds()
		p.lastTick = now
		p.slots.Store(l.Slots)
		p.updateLoad(l, dt)
		p.probesDue.Store(int64(l.ProbesDue))
		c.updateOutage(p, now, l.Slots > 0)
		c.updateBand(p, dt)
		if p.currentLoad() < c.opts.BackgroundMaxLoad {
			p.fullSince.Store(now.UnixNano())
		}
		p.updateDemandDistribution(dt)
		if a := p.accounts.Load(); a != nil && now.Sub(p.fractionsUpdatedAt) >= fractionInterval {
			a.updateFractions(p.smoothedFraction.Load(), now.Sub(p.fractionsUpdatedAt).Seconds())
			p.fractionsUpdatedAt = now
		}
	}
	c.expirePools(now)
	c.routes.Range(func(key, value any) bool {
		c.refreshRoute(key.(*Profile), value.(*routeState), now)
		return true
	})
}

// updateLoad estimates the current load. The requests of other hosts are known
// only from reports that lag, and following a lagging load makes the control
// loop oscillate. The hosts of a region serve the same demand, so this host's
// part of the load changes slowly; its own requests in flight, divided by that
// part, give the load without the lag. dt is in seconds.
func (p *pool) updateLoad(l PoolLoad, dt float64) {
	decay := math.Exp(-dt / loadTimeConstant.Seconds())
	p.reportedInFlightSum = p.reportedInFlightSum*decay + l.ReportedInFlight*dt
	p.ownReportedInFlightSum = p.ownReportedInFlightSum*decay + l.OwnInFlightAtReport*dt
	if l.Slots <= 0 {
		return
	}
	inFlight := l.InFlight
	if p.ownReportedInFlightSum > minOwnInFlightSum {
		ownMean := p.ownReportedInFlightSum / loadTimeConstant.Seconds()
		inFlight += ownMean / (ownMean + ownEstimateHalfWeight) * (l.OwnInFlight*p.reportedInFlightSum/p.ownReportedInFlightSum - inFlight)
	}
	p.load.Store(inFlight / l.Slots)
}

// updateOutage applies the hysteresis of a pool without a usable server.
// Running the stages before the pool would waste them, so routes that need it
// are refused until a server has been usable again for UpDelay, after a probe
// or by its own report.
func (c *Controller) updateOutage(p *pool, now time.Time, usable bool) {
	if usable != p.usable {
		p.usable, p.usableChangedAt = usable, now
	}
	stable := now.Sub(p.usableChangedAt)
	switch {
	case p.down.Load():
		if usable && stable >= c.opts.UpDelay {
			p.down.Store(false)
		}
	case !usable && stable >= c.opts.DownDelay:
		p.downSince.Store(now.UnixNano())
		p.lastProbe.Store(now.UnixNano())
		p.down.Store(true)
	}
}

// updateBand moves the band so that the load approaches the target, and back
// to its initial position while everything is admitted. dt is in seconds.
func (c *Controller) updateBand(p *pool, dt float64) {
	load := p.currentLoad()
	bandStart := p.bandStart.Load()
	if fraction := p.admittedFraction(); fraction < 1 {
		bandStart += bandGain * dt * (c.opts.TargetLoad - load)
	} else {
		bandStart += bandGain * dt * (initialBandStart - bandStart)
	}
	p.bandStart.Store(min(maxBandStart, max(minBandStart, bandStart)))
	p.smoothedFraction.Add(min(1, fractionSmoothingRate*dt) * (p.admittedFraction() - p.smoothedFraction.Load()))
	p.demandTracked.Store(load > demandTrackingLoad)
	if p.demandTracked.Load() && p.accounts.Load() == nil {
		p.accounts.Store(newAccountTable())
	}
}

// updateDemandDistribution computes which fraction of the demand is at each
// worth level and above it, and decays the demand. dt is in seconds.
func (p *pool) updateDemandDistribution(dt float64) {
	var total float64
	decay := math.Exp(-dt / worthTimeConstant.Seconds())
	for i := range p.demand {
		if p.demand[i].Load() > 0 {
			p.demand[i].Scale(decay)
			total += p.demand[i].Load()
		}
	}
	if total <= 0 {
		return
	}
	var above float64
	for i := range p.demand {
		atLevel := p.demand[i].Load() / total
		p.demandAbove[i].Store(above)
		p.demandAtLevel[i].Store(atLevel)
		above += atLevel
	}
}

// expirePools drops pools that are no longer in the tables: each holds a table
// of accounts, and operators may rename pools many times a day.
func (c *Controller) expirePools(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolList = slices.DeleteFunc(c.poolList, func(p *pool) bool {
		expired := !p.lastTick.IsZero() && now.Sub(p.lastTick) > idleExpiry
		if expired {
			c.pools.Delete(p.name)
		}
		return expired
	})
}

// refreshRoute updates the worth levels of a route's stages from the current
// estimates, or drops the state of a route that has had no request for
// idleExpiry, as of an old release.
func (c *Controller) refreshRoute(p *Profile, rs *routeState, now time.Time) {
	if now.UnixNano()-rs.lastUsed.Load() > int64(idleExpiry) {
		c.routes.Delete(p)
		return
	}
	for i := range rs.stages {
		s := &rs.stages[i]
		s.worthLevel.Store(int32(worthLevel(p.Worth, s.expectedSlotSeconds())))
	}
}
