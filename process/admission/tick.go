package admission

import (
	"math"
	"slices"
	"time"
)

// PoolLoad is what an entry host sees of a pool: the servers within its reach.
type PoolLoad struct {
	Pool        string
	Slots       float64 // of usable servers, with what other regions can spare
	InFlight    float64 // requests on them, queued ones included
	OwnInFlight float64 // of those, this host's
	// Then and OwnThen are Busy and Own as of the servers' last reports.
	ReportedInFlight    float64
	OwnInFlightAtReport float64
	ProbesDue           int // servers that one request would be let try now
}

// Control of the admitted part of the demand. Each request compares the load of
// the moment with a band: below it all are admitted, at its top none. What this
// host itself has in flight is known exactly, so the comparison is never late
// by more than the others' part. The band moves slowly until the load is held
// at the target.
const (
	bandWidth   = 1.5 // requests for a slot
	bandFirst   = 1.1 // where the band starts
	bandLeast   = .3
	bandMost    = 1.8
	bandSpeed   = .15 // a second, for each unit of load off the target
	partSpeed   = 1.0 // a second; smooths the admitted part for the shares
	ownMemory   = 5 * time.Second
	ownLeast    = 1.0 // requests times seconds below which the part is not known
	ownNoise    = 8.0 // own requests at which the own part and the reports count alike
	leastPart   = .02
	warmAt      = .6
	orderMemory = 10 * time.Second // of the mix of worth, which changes slowly
	memory      = 3 * time.Second  // of the demand
	shareEach   = time.Second
	planLife    = 10 * time.Minute
)

// Tick takes in the present loads. It is called every 100 ms or so, by one
// goroutine.
func (c *Controller) Tick(now time.Time, loads []PoolLoad) {
	for _, l := range loads {
		p := c.pool(l.Pool)
		if p.ticked.IsZero() {
			p.ticked, p.shared = now, now
		}
		dt := now.Sub(p.ticked).Seconds()
		p.ticked = now
		p.slots.Store(l.Slots)
		p.measure(l, dt)
		p.trials.Store(int64(l.ProbesDue))
		c.outage(p, now, l.Slots > 0)
		c.control(p, dt)
		if p.now() < c.opts.BackgroundMaxLoad {
			p.fullSince.Store(now.UnixNano())
		}
		p.order(dt)
		if a := p.accounts.Load(); a != nil && now.Sub(p.shared) >= shareEach {
			a.divide(p.share.Load(), now.Sub(p.shared).Seconds())
			p.shared = now
		}
	}
	c.expire(now)
	c.profiles.Range(func(key, value any) bool {
		c.refresh(key.(*Profile), value.(*plan), now)
		return true
	})
}

// measure estimates the load of the moment. What others have in flight is known
// by reports that lag, and to follow a lagging load is to swing around it. The
// hosts of a region serve the same demand, so this host's part of the load
// changes slowly, and its own requests in flight, over that part, give the load
// without the lag.
func (p *pool) measure(l PoolLoad, dt float64) {
	keep := math.Exp(-dt / ownMemory.Seconds())
	p.then = p.then*keep + l.ReportedInFlight*dt
	p.ownThen = p.ownThen*keep + l.OwnInFlightAtReport*dt
	if l.Slots <= 0 {
		return
	}
	busy := l.InFlight
	if p.ownThen > ownLeast {
		usual := p.ownThen / ownMemory.Seconds()
		busy += usual / (usual + ownNoise) * (l.OwnInFlight*p.then/p.ownThen - busy)
	}
	p.load.Store(busy / l.Slots)
}

// outage applies the hysteresis of a pool without usable servers. Running the
// stages before it would only spend them: dependents wait until a server has
// been usable again for a while, by a trial or by its own report.
func (c *Controller) outage(p *pool, now time.Time, usable bool) {
	if usable != p.usable {
		p.usable, p.since = usable, now
	}
	stable := now.Sub(p.since)
	switch {
	case p.down.Load():
		if usable && stable >= c.opts.UpDelay {
			p.down.Store(false)
		}
	case !usable && stable >= c.opts.DownDelay:
		p.downSince.Store(now.UnixNano())
		p.probed.Store(now.UnixNano())
		p.down.Store(true)
	}
}

// control moves the band towards the target load.
func (c *Controller) control(p *pool, dt float64) {
	load := p.now()
	base := p.base.Load()
	if part := p.part(); part < 1 {
		base += bandSpeed * dt * (c.opts.TargetLoad - load)
	} else {
		base += bandSpeed * dt * (bandFirst - base)
	}
	p.base.Store(min(bandMost, max(bandLeast, base)))
	p.share.Add(min(1, partSpeed*dt) * (p.part() - p.share.Load()))
	p.warm.Store(load > warmAt)
	if p.warm.Load() && p.accounts.Load() == nil {
		p.accounts.Store(newAccounts())
	}
}

// order works out which part of the demand is worth more than each level, and
// lets old demand fade.
func (p *pool) order(dt float64) {
	var sum float64
	keep := math.Exp(-dt / orderMemory.Seconds())
	for i := range p.demand {
		if p.demand[i].Load() > 0 {
			p.demand[i].Scale(keep)
			sum += p.demand[i].Load()
		}
	}
	if sum <= 0 {
		return
	}
	var above float64
	for i := range p.demand {
		part := p.demand[i].Load() / sum
		p.above[i].Store(above)
		p.mass[i].Store(part)
		above += part
	}
}

// expire forgets pools that are in the tables no more; each holds a table of
// accounts, and operators may rename pools many times a day.
func (c *Controller) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = slices.DeleteFunc(c.order, func(p *pool) bool {
		old := !p.ticked.IsZero() && now.Sub(p.ticked) > planLife
		if old {
			c.pools.Delete(p.name)
		}
		return old
	})
}

// refresh takes in new estimates of a plan, and forgets a plan of an old release.
func (c *Controller) refresh(r *Profile, p *plan, now time.Time) {
	if now.UnixNano()-p.used.Load() > int64(planLife) {
		c.profiles.Delete(r)
		return
	}
	for i := range p.stages {
		s := &p.stages[i]
		s.level.Store(int32(level(r.Worth, s.seconds())))
	}
}
