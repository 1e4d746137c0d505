// Package limit bounds additional attempts. Retries and hedges help when few
// requests need them and make an overload worse when many do, so each is paid
// for by first attempts that went before it.
package limit

import "sync/atomic"

// BudgetOptions set a Budget.
type RetryBudgetOptions struct {
	Ratio float64 // additional attempts earned by each first attempt
	Burst float64 // that can be saved up
}

// DefaultBudget allows one retry for ten first attempts and ten at once.
func DefaultRetryBudget() RetryBudgetOptions { return RetryBudgetOptions{Ratio: .1, Burst: 10} }

const unit = 1000 // a whole attempt, so that earnings are whole numbers

// Budget counts additional attempts at one pool. It takes no lock.
type RetryBudget struct {
	earn, most int64
	saved      atomic.Int64
	denied     atomic.Int64
}

// NewBudget returns a full budget.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	b := &RetryBudget{earn: int64(o.Ratio * unit), most: int64(o.Burst * unit)}
	b.saved.Store(b.most)
	return b
}

// First counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt() {
	for {
		old := b.saved.Load()
		if old >= b.most || b.saved.CompareAndSwap(old, min(b.most, old+b.earn)) {
			return
		}
	}
}

// Allow takes one additional attempt from the budget, or returns false.
func (b *RetryBudget) Allow() bool {
	for {
		old := b.saved.Load()
		if old < unit {
			b.denied.Add(1)
			return false
		}
		if b.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Saved returns the additional attempts that are allowed now.
func (b *RetryBudget) Available() float64 { return float64(b.saved.Load()) / unit }

// Denied returns how many were refused so far.
func (b *RetryBudget) Denied() int64 { return b.denied.Load() }
