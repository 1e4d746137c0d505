package pipeline

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/retrybudget"
)

// Options limit retries and set the timeouts of attempts. Zero values are used as they
// are; start from DefaultOptions.
type Options struct {
	MaxAttempts int     // servers tried per stage, the first one included
	RetryRatio  float64 // retries per first attempt, for each pool
	RetryBurst  float64 // unused retries that a pool may accumulate
	// MinStallTimeout is the lower bound of the time without progress after which a
	// connection counts as stalled. The timeout itself follows from the mean and the
	// deviation of the pool's measured delays.
	MinStallTimeout    time.Duration
	InitialIdleTimeout time.Duration // between chunks, until delays have been measured
	ProbeTimeout       time.Duration // for a health check on a new connection
	// LateResultTimeout is the time after the deadline for which a non-repeatable stage
	// may keep running, so that its result can be recorded.
	LateResultTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	budget := retrybudget.DefaultOptions()
	return Options{
		MaxAttempts: 3, RetryRatio: budget.Ratio, RetryBurst: budget.Burst, MinStallTimeout: 100 * time.Millisecond,
		InitialIdleTimeout: time.Second, ProbeTimeout: 300 * time.Millisecond, LateResultTimeout: 10 * time.Second,
	}
}

// Counters count events other than first attempts. Stalls counts timeouts without
// progress. LateResponsesUsed counts responses of an attempt that arrived while a later
// attempt of the same stage was running.
type Counters struct {
	Retries, RetriesDenied, Stalls, ProbesFailed, Resumptions, LateResponsesUsed atomic.Int64
}

// Map returns the counts by metric name.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"retries": c.Retries.Load(), "retries_denied": c.RetriesDenied.Load(), "doubted": c.Stalls.Load(),
		"probes_failed": c.ProbesFailed.Load(), "resumed": c.Resumptions.Load(), "late_used": c.LateResponsesUsed.Load(),
	}
}
