package admission

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/estimate"
)

// accounts counts, for one pool, what each client account asked for and got
// lately. Its size is fixed whatever callers send: sets of a few places by the
// hash of the account's name. Accounts that find no place share one.
type accounts struct {
	sets   [accountSets][accountWays]account
	shared account
	asked  []claimed // scratch of divide
}

// claimed is what one account asked for, by its weight.
type claimed struct{ demand, weight float64 }

const (
	accountSets = 4096 // with 12,000 accounts 3 in each set on average
	accountWays = 8
)

// account is the place of one client account.
type account struct {
	id        atomic.Uint64 // hash of the name; 0: free
	demand    estimate.AtomicFloat64
	admitted  estimate.AtomicFloat64
	threshold estimate.AtomicFloat64 // admitted part of the demand
	surplus   estimate.AtomicFloat64 // got over its due, to be worked off
	weight    estimate.AtomicFloat64
}

func accountHash(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

func newAccounts() *accounts {
	a := &accounts{}
	a.shared.threshold.Store(1)
	a.shared.weight.Store(1)
	return a
}

// find returns the place of an account, taking a free one at first sight.
func (a *accounts) find(id uint64) *account {
	set := &a.sets[id%accountSets]
	for i := range set {
		if set[i].id.Load() == id {
			return &set[i]
		}
	}
	for i := range set {
		x := &set[i]
		if x.id.Load() != 0 {
			continue
		}
		x.threshold.Store(1)
		if x.id.CompareAndSwap(0, id) || x.id.Load() == id {
			return x
		}
	}
	return &a.shared
}

// each calls f for every account in use.
func (a *accounts) each(f func(*account)) {
	for s := range a.sets {
		for i := range a.sets[s] {
			if x := &a.sets[s][i]; x.id.Load() != 0 {
				f(x)
			}
		}
	}
	if a.shared.demand.Load() > 0 {
		f(&a.shared)
	}
}

const (
	forgotten  = 1e-4 // seconds of demand below which a place is freed
	repay      = .1   // how fast a difference from the due is worked off
	mostRepaid = .3
)

// divide shares the admitted part of the demand by weighted max-min: an account
// that asks for less than its share gets all it asks for, and what it leaves is
// lent to the others. Dues and what was got are compared over the memory of
// the demand, so that an account whose requests are worth little is not starved.
func (a *accounts) divide(part, dt float64) {
	var total float64
	a.asked = a.asked[:0]
	a.each(func(x *account) {
		c := claimed{x.demand.Load(), x.weight.Load()}
		total += c.demand
		a.asked = append(a.asked, c)
	})
	if total <= 0 {
		return
	}
	lv := a.level(part * total)
	keep := math.Exp(-dt / memory.Seconds())
	a.each(func(x *account) {
		x.settle(lv)
		x.demand.Scale(keep)
		x.admitted.Scale(keep)
		if x.demand.Load() < forgotten && x != &a.shared {
			x.free()
		}
	})
}

// free gives the place up, so that the next account starts without a past.
func (x *account) free() {
	x.demand.Store(0)
	x.admitted.Store(0)
	x.surplus.Store(0)
	x.id.Store(0)
}

// settle sets the threshold of an account from its due.
func (x *account) settle(lv float64) {
	asked := x.demand.Load()
	due := lv * x.weight.Load()
	if asked <= due || asked <= 0 {
		x.threshold.Store(1)
		x.surplus.Store(0)
		return
	}
	off := x.surplus.Load() + repay*(due-x.admitted.Load())/asked
	off = min(mostRepaid, max(-mostRepaid, off))
	x.surplus.Store(off)
	x.threshold.Store(min(1, max(leastPart, due/asked+off)))
}

// level returns the demand, for a weight of 1, up to which accounts are served
// in full when capacity is shared out.
func (a *accounts) level(capacity float64) float64 {
	lv := 0.0
	for range fillRounds {
		var below, over float64
		for _, x := range a.asked {
			if x.demand <= lv*x.weight {
				below += x.demand
			} else {
				over += x.weight
			}
		}
		if over == 0 {
			return lv
		}
		next := (capacity - below) / over
		if next <= lv*(1+fillPrecision) {
			return lv
		}
		lv = next
	}
	return lv
}

const (
	fillRounds    = 20
	fillPrecision = 1e-3
)
