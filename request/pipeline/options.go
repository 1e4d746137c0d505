package pipeline

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/limit"
)

// Options bound retries and the wait for progress.
type Options struct {
	MaxAttempts int     // of one stage
	RetryRatio  float64 // retries for each first attempt, over a pool
	RetryBurst  float64 // retries that a quiet pool may have saved up
	// A connection without progress is doubted after the pool's measured time
	// to the first byte with its deviation, but never sooner than MinSilence.
	MinStallTimeout    time.Duration
	InitialIdleTimeout time.Duration // between chunks, before anything is measured
	ProbeTimeout       time.Duration // for the answer on a fresh connection
	// Settle is how long a stage that must not be repeated may go on after
	// its caller was answered, so that its outcome is learnt.
	LateResultTimeout time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	budget := limit.DefaultRetryBudget()
	return Options{
		MaxAttempts: 3, RetryRatio: budget.Ratio, RetryBurst: budget.Burst, MinStallTimeout: 100 * time.Millisecond,
		InitialIdleTimeout: time.Second, ProbeTimeout: 300 * time.Millisecond, LateResultTimeout: 10 * time.Second,
	}
}

// Counters count what the runner did beside first attempts.
type Counters struct {
	Retries, RetriesDenied, Stalls, ProbesFailed, Resumptions, LateResponsesUsed atomic.Int64
}

// Map returns the counts by name.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"retries": c.Retries.Load(), "retries_denied": c.RetriesDenied.Load(), "doubted": c.Stalls.Load(),
		"probes_failed": c.ProbesFailed.Load(), "resumed": c.Resumptions.Load(), "late_used": c.LateResponsesUsed.Load(),
	}
}
