package admission

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/estimate"
	"bilberrydale/process/fairshare"
)

// accountTable tracks the recent demand and admitted work of each client
// account on one pool. It is a set-associative hash table of fixed size, so
// that callers cannot make it grow. Accounts that find no free entry in their
// set share the overflow entry.
type accountTable struct {
	sets     [accountSets][accountWays]accountEntry
	overflow accountEntry       // shared by the accounts without an entry of their own
	demands  []fairshare.Demand // scratch buffer of updateFractions; in slot seconds
}

const (
	accountSets = 4096 // 12,000 accounts fill 3 entries of a set on average
	accountWays = 8    // entries of a set
)

// accountEntry is the entry of one client account.
type accountEntry struct {
	id               atomic.Uint64          // hash of the account's name; 0: free
	demand           estimate.AtomicFloat64 // slot seconds requested, decaying
	admitted         estimate.AtomicFloat64 // slot seconds admitted, decaying
	admittedFraction estimate.AtomicFloat64 // fraction of the demand to admit
	// correction is added to admittedFraction. It integrates the difference
	// between the fair share and what was admitted.
	correction estimate.AtomicFloat64
	weight     estimate.AtomicFloat64 // fair-share weight; see Profile.AccountWeights
}

// accountHash returns the id of an account; it is never 0, the id of a free
// entry.
func accountHash(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// newAccountTable returns a table without accounts.
func newAccountTable() *accountTable {
	a := &accountTable{}
	a.overflow.admittedFraction.Store(1)
	a.overflow.weight.Store(1)
	return a
}

// find returns the entry of an account. For a new account it claims a free
// entry, or returns the overflow entry if the set is full.
func (a *accountTable) find(id uint64) *accountEntry {
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
		x.admittedFraction.Store(1)
		if x.id.CompareAndSwap(0, id) || x.id.Load() == id {
			return x
		}
	}
	return &a.overflow
}

// forEach calls f for every entry in use.
func (a *accountTable) forEach(f func(*accountEntry)) {
	for s := range a.sets {
		for i := range a.sets[s] {
			if x := &a.sets[s][i]; x.id.Load() != 0 {
				f(x)
			}
		}
	}
	if a.overflow.demand.Load() > 0 {
		f(&a.overflow)
	}
}

const (
	minDemandSeconds = 1e-4 // an entry with less recent demand, in slot seconds, is freed
	correctionGain   = .1   // part of the relative error added at each update
	maxCorrection    = .3   // bound of the correction in both directions
)

// updateFractions divides admittedPart, a fraction in [0,1] of the total demand,
// among the accounts by weighted max-min fairness: an account that requests less
// than its share is admitted in full, and the rest of its share goes to the
// others. dt is the time since the last update in seconds. Fair shares are
// compared with what was admitted over the time constant of the demand, so that
// an account whose requests have a low worth is not starved.
func (a *accountTable) updateFractions(admittedPart, dt float64) {
	var total float64
	a.demands = a.demands[:0]
	a.forEach(func(x *accountEntry) {
		d := fairshare.Demand{Amount: x.demand.Load(), Weight: x.weight.Load()}
		total += d.Amount
		a.demands = append(a.demands, d)
	})
	if total <= 0 {
		return
	}
	level := fairshare.Level(admittedPart*total, a.demands)
	decay := math.Exp(-dt / demandTimeConstant.Seconds())
	a.forEach(func(x *accountEntry) {
		x.updateFraction(level)
		x.demand.Scale(decay)
		x.admitted.Scale(decay)
		if x.demand.Load() < minDemandSeconds && x != &a.overflow {
			x.free()
		}
	})
}

// free resets the entry, so that the next account that claims it starts
// without the state of this one.
func (x *accountEntry) free() {
	x.demand.Store(0)
	x.admitted.Store(0)
	x.correction.Store(0)
	x.id.Store(0)
}

// updateFraction sets the admitted fraction of an account from its fair share,
// given the fair-share level (see fairshare.Level).
func (x *accountEntry) updateFraction(level float64) {
	demand := x.demand.Load()
	share := level * x.weight.Load()
	if demand <= share || demand <= 0 {
		x.admittedFraction.Store(1)
		x.correction.Store(0)
		return
	}
	correction := x.correction.Load() + correctionGain*(share-x.admitted.Load())/demand
	correction = min(maxCorrection, max(-maxCorrection, correction))
	x.correction.Store(correction)
	x.admittedFraction.Store(min(1, max(minAdmittedFraction, share/demand+correction)))
}
