package pipeline

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/limit"
)

// Options bound retries and the wait for progress.
type Options struct {
	MaxAttempts int     // of one stage
	RetryShare  float64 // retries for each first attempt, over a pool
	RetryBurst  float64 // retries that a quiet pool may have saved up
	// A connection without progress is doubted after the pool's measured time
	// to the first byte with its deviation, but never sooner than MinSilence.
	MinSilence time.Duration
	MaxIdle    time.Duration // between chunks, before anything is measured
	ProbeTime  time.Duration // for the answer on a fresh connection
	// Settle is how long a stage that must not be repeated may go on after
	// its caller was answered, so that its outcome is learnt.
	Settle time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	budget := limit.DefaultRetryBudget()
	return Options{
		MaxAttempts: 3, RetryShare: budget.Ratio, RetryBurst: budget.Burst, MinSilence: 100 * time.Millisecond,
		MaxIdle: time.Second, ProbeTime: 300 * time.Millisecond, Settle: 10 * time.Second,
	}
}

// Counters count what the runner did beside first attempts.
type Counters struct {
	Retries, RetriesDenied, Doubted, ProbesFailed, Resumed, LateUsed atomic.Int64
}

// Map returns the counts by name.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"retries": c.Retries.Load(), "retries_denied": c.RetriesDenied.Load(), "doubted": c.Doubted.Load(),
		"probes_failed": c.ProbesFailed.Load(), "resumed": c.Resumed.Load(), "late_used": c.LateUsed.Load(),
	}
}
