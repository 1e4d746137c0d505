package admission

import (
	"math"
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// levels divide requests by worth a second of a pool's time: four to an octave,
// level 0 the highest.
const (
	levels     = 64
	perOctave  = 4
	zeroOctave = 8 // log2 of the worth a second at level 0
)

func level(worth, seconds float64) int {
	l := perOctave * (zeroOctave - math.Log2(max(worth, 1e-9)/max(seconds, 1e-6)))
	return int(min(levels-1, max(0, math.Round(l))))
}

// pool is what admission knows of one pool. Requests read and add; Tick writes.
type pool struct {
	name      string
	base      estimate.Float // load at which the band starts
	share     estimate.Float // part of the demand that is admitted, smoothed
	load      estimate.Float // requests for a slot at the last tick, less heading
	slots     estimate.Float // usable slots within reach
	warm      atomic.Bool    // loaded enough for accounts to be counted
	down      atomic.Bool
	heading   atomic.Int64 // admitted here and not yet at this stage
	succeeded atomic.Int64 // unix nanoseconds of the last whole stage
	probed    atomic.Int64 // unix nanoseconds
	downSince atomic.Int64 // unix nanoseconds
	unusable  time.Time    // since when no server is usable; used by Tick alone
	ticked    time.Time
	shared    time.Time
	demand    [levels]estimate.Float // seconds asked for lately
	above     [levels]estimate.Float // part of the demand at higher levels
	mass      [levels]estimate.Float // part of the demand at this level
	accounts  atomic.Pointer[accounts]
}

func newPool(name string) *pool {
	p := &pool{name: name}
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

// probe lets one request through to a down pool for each interval.
func (p *pool) probe(now time.Time, every time.Duration) bool {
	last := p.probed.Load()
	return now.UnixNano()-last >= int64(every) && p.probed.CompareAndSwap(last, now.UnixNano())
}

// An outage that has lasted for a while will likely last about as long again.
const (
	leastOutage = 2 * time.Second
	mostOutage  = 30 * time.Second
)

func (p *pool) outageWait(now time.Time) time.Duration {
	age := time.Duration(now.UnixNano() - p.downSince.Load())
	return min(mostOutage, max(leastOutage, age)).Round(time.Second)
}

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
			a.find(accountHash(r.Account)).demand.Add(sec)
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
