// Package retrybudget limits the retries and hedged attempts (second attempts that start while the
// first one still runs) at a pool. They help when few requests need them but aggravate an overload
// when many do, so they are limited to a fraction of the preceding first attempts.
package retrybudget

import "sync/atomic"

// Options configure a Budget. With a zero value no retry is allowed.
type Options struct {
	Ratio float64 // retries earned by each first attempt
	Burst float64 // maximum number of unused retries, and their number at the start
}

// DefaultOptions allows one retry per ten first attempts and a burst of ten retries.
func DefaultOptions() Options { return Options{Ratio: .1, Burst: 10} }

// unitsPerAttempt is the scale of Budget, which counts in thousandths of an attempt to
// use integers.
const unitsPerAttempt = 1000

// Budget limits the retries and hedged attempts at one pool. It is safe for concurrent
// use and takes no lock.
type Budget struct {
	// In units of 1/unitsPerAttempt of a retry: earned by each first attempt, and the maximum
	// of availableUnits.
	earnedUnits, burstUnits int64
	availableUnits          atomic.Int64
	denied                  atomic.Int64 // retries and hedged attempts that Allow has refused
}

// New returns a budget with all retries of the burst available.
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

// Allow takes one retry or hedged attempt from the budget. It returns false if less than a whole
// one is available.
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

// Denied returns the number of retries and hedged attempts that Allow has refused.
func (b *Budget) Denied() int64 { return b.denied.Load() }
