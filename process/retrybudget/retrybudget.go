// Package retrybudget limits the retries and hedged attempts at a pool. They help when few
// requests need them but aggravate an overload when many do, so they are limited to a
// fraction of the preceding first attempts.
package retrybudget

import "sync/atomic"

// RetryBudgetOptions configure a RetryBudget.
type Options struct {
	Ratio float64 // retries earned by each first attempt
	Burst float64 // maximum number of unused retries
}

// DefaultRetryBudget allows one retry per ten first attempts and a burst of ten retries.
func DefaultOptions() Options { return Options{Ratio: .1, Burst: 10} }

// unitsPerAttempt is the scale of RetryBudget, which counts in thousandths of an attempt to
// use integers.
const unitsPerAttempt = 1000

// RetryBudget limits the retries and hedged attempts at one pool. It is safe for concurrent
// use and takes no lock.
type Budget struct {
	earnedUnits, burstUnits int64
	availableUnits          atomic.Int64
	denied                  atomic.Int64
}

// NewRetryBudget returns a budget with all retries of the burst available.
func New(o Options) *Budget {
	b := &Budget{earnedUnits: int64(o.Ratio * unitsPerAttempt), burstUnits: int64(o.Burst * unitsPerAttempt)}
	b.availableUnits.Store(b.burstUnits)
	return b
}

// RecordFirstAttempt records a first attempt, which earns a fraction of a retry.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.availableUnits.Load()
		if old >= b.burstUnits || b.availableUnits.CompareAndSwap(old, min(b.burstUnits, old+b.earnedUnits)) {
			return
		}
	}
}

// Allow takes one retry from the budget. It returns false if none is available.
func (b *Budget) Allow() bool {
	for {
		old := b.availableUnits.Load()
		if old < unitsPerAttempt {
			b.denied.Add(1)
			return false
		}
		if b.availableUnits.CompareAndSwap(old, old-unitsPerAttempt) {
			return true
		}
	}
}

// Available returns the number of retries that are currently available, with fractions.
func (b *Budget) Available() float64 { return float64(b.availableUnits.Load()) / unitsPerAttempt }

// Denied returns the number of retries that Allow has refused.
func (b *Budget) Denied() int64 { return b.denied.Load() }
