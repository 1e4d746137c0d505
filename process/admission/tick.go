package admission

import (
	"math"
	"time"
)

// PoolLoad is what an entry host sees of a pool: the servers within its reach.
type PoolLoad struct {
	Pool  string
	Slots float64 // of usable servers, with what other regions can spare
	Busy  float64 // requests on them, queued ones included
}

// Control of the admitted part of the demand. Each request compares the load of
// the moment with a band: below it all are admitted, at its top none. What this
// host itself has in flight is known exactly, so the comparison is never late
// by more than the others' part. The band moves slowly until the load is held
// at the target.
const (
	bandWidth = 1.0 // requests for a slot
	bandFirst = 1.1 // where the band starts
	bandLeast = .6
	bandMost  = 1.8
	bandSpeed = .15 // a second, for each unit of load off the target
	partSpeed = 1.0 // a second; smooths the admitted part for the shares
	leastPart = .02
	warmAt    = .6
	memory    = 3 * time.Second // of the demand
	shareEach = 500 * time.Millisecond
	planLife  = 10 * time.Minute
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
		if l.Slots > 0 {
			p.load.Store(l.Busy / l.Slots)
		}
		c.outage(p, now, l.Slots > 0)
		c.control(p, dt)
		p.order(dt)
		if a := p.accounts.Load(); a != nil && now.Sub(p.shared) >= shareEach {
			a.divide(p.share.Load(), now.Sub(p.shared).Seconds(), c.opts.Weight)
			p.shared = now
		}
	}
	c.profiles.Range(func(key, value any) bool {
		c.refresh(key.(*Profile), value.(*plan), now)
		return true
	})
}

// outage applies the hysteresis of a pool without usable servers. Running the
// stages before it would only spend them: dependents wait until an attempt has
// succeeded, and then come back little by little.
func (c *Controller) outage(p *pool, now time.Time, usable bool) {
	if usable {
		p.unusable = time.Time{}
	} else if p.unusable.IsZero() {
		p.unusable = now
	}
	switch {
	case !p.down.Load():
		if !p.unusable.IsZero() && now.Sub(p.unusable) >= c.opts.DownAfter {
			p.downSince.Store(now.UnixNano())
			p.probed.Store(now.UnixNano())
			p.down.Store(true)
		}
	case usable && p.succeeded.Load() > p.downSince.Load():
		p.down.Store(false)
	}
}

// control moves the band towards the target load.
func (c *Controller) control(p *pool, dt float64) {
	load := p.now()
	base := p.base.Load()
	if part := p.part(); part < 1 {
		base += bandSpeed * dt * (c.opts.Target - load)
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
	keep := math.Exp(-dt / memory.Seconds())
	for i := range p.demand {
		p.demand[i].Scale(keep)
		sum += p.demand[i].Load()
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
