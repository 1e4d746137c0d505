package admission

import (
	"math"
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// levels divide requests by worth a second of a pool's time: eight to an octave,
// level 0 the highest.
const (
	levels     = 128
	perOctave  = 8
	zeroOctave = 8 // log2 of the worth a second at level 0
)

func level(worth, seconds float64) int {
	l := perOctave * (zeroOctave - math.Log2(max(worth, 1e-9)/max(seconds, 1e-6)))
	return int(min(levels-1, max(0, math.Round(l))))
}

// pool is what admission knows of one pool. Requests read and add; Tick writes.
type pool struct {
	name      string
	details   [len(reasons)]string   // of refusals, made once
	base      estimate.AtomicFloat64 // load at which the band starts
	share     estimate.AtomicFloat64 // part of the demand that is admitted, smoothed
	load      estimate.AtomicFloat64 // requests for a slot at the last tick, less heading
	slots     estimate.AtomicFloat64 // usable slots within reach
	warm      atomic.Bool            // loaded enough for accounts to be counted
	down      atomic.Bool
	heading   atomic.Int64 // admitted here and not yet at this stage
	trials    atomic.Int64 // servers that a probe would try
	probed    atomic.Int64 // unix nanoseconds
	downSince atomic.Int64 // unix nanoseconds
	fullSince atomic.Int64 // unix nanoseconds since which background work waits
	usable    bool         // some server is; used by Tick alone, as all below
	since     time.Time    // of the last change of usable
	then      float64      // load by reports, summed over the memory
	ownThen   float64      // of that, this host's
	ticked    time.Time
	shared    time.Time
	demand    [levels]estimate.AtomicFloat64 // seconds asked for lately
	above     [levels]estimate.AtomicFloat64 // part of the demand at higher levels
	mass      [levels]estimate.AtomicFloat64 // part of the demand at this level
	accounts  atomic.Pointer[accounts]
}

func newPool(name string) *pool {
	p := &pool{name: name}
	for i, r := range reasons {
		p.details[i] = string(r) + ": pool " + name
	}
	p.share.Store(1)
	p.base.Store(bandFirst)
	return p
}

// now returns the load with what is on its way to the pool from this host.
func (p *pool) now() float64 {
	slots := p.slots.Load()
	if slots <= 0 {
		return p.load.Load()
	}
	return p.load.Load() + float64(max(0, p.heading.Load()))/slots
}

// part returns the part of the demand that is admitted at this moment.
func (p *pool) part() float64 {
	return min(1, max(leastPart, 1-(p.now()-p.base.Load())/bandWidth))
}

// probe lets one request through to a down pool for each interval, if a server
// is due for a trial: only a request that runs can show that the pool is back,
// and each costs the stages before it.
func (p *pool) probe(now time.Time, every time.Duration) bool {
	if p.trials.Load() == 0 {
		return false
	}
	last := p.probed.Load()
	return now.UnixNano()-last >= int64(every) && p.probed.CompareAndSwap(last, now.UnixNano())
}

// What has lasted for a while will likely last about as long again.
const (
	leastWait = 2 * time.Second
	mostWait  = 30 * time.Second
)

func likely(now time.Time, since int64) time.Duration {
	return min(mostWait, max(leastWait, time.Duration(now.UnixNano()-since))).Round(time.Second)
}

// outageWait returns when a down pool may be back.
func (p *pool) outageWait(now time.Time) time.Duration { return likely(now, p.downSince.Load()) }

// fullWait returns when a pool may have room for what is worth least.
func (p *pool) fullWait(now time.Time) time.Duration { return likely(now, p.fullSince.Load()) }

// demand counts what the request asks of each pool, whether or not it is
// admitted. Background work has no claim on a full pool and is left out.
func (c *Controller) demand(r *Request, p *plan) {
	if r.Profile.Class == Background {
		return
	}
	for i := range p.stages {
		s := &p.stages[i]
		if !s.pool.warm.Load() {
			continue
		}
		sec := s.seconds()
		s.pool.demand[s.level.Load()].Add(sec)
		if a := s.pool.accounts.Load(); a != nil {
			x := a.find(accountHash(r.Account))
			x.demand.Add(sec)
			x.weight.Store(r.Profile.share(r.Account))
		}
	}
}

func (c *Controller) admitted(r *Request, p *plan) {
	for i := range p.stages {
		s := &p.stages[i]
		if !s.pool.warm.Load() {
			continue
		}
		if a := s.pool.accounts.Load(); a != nil {
			a.find(accountHash(r.Account)).admitted.Add(s.seconds())
		}
	}
}
