package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/retrybudget"
	"bilberrydale/version/snapshot"
)

// poolStates holds the state of each pool by name. It outlives releases.
type poolStates struct{ byName sync.Map } // string -> *poolState

// poolState is the retry budget and the measured delays of a pool.
type poolState struct {
	retryBudget    *retrybudget.Budget // shared by all requests
	firstByteDelay delayEstimator      // from sending to the complete response or the first chunk
	chunkInterval  delayEstimator      // between chunks of a streamed response
}

// pool returns the state of the stage's pool and creates it on first use.
func (r *Runner) pool(st *snapshot.Stage) *poolState {
	if p, ok := r.pools.byName.Load(st.Pool.Name); ok {
		return p.(*poolState)
	}
	created := &poolState{retryBudget: retrybudget.New(retrybudget.Options{Ratio: r.Options.RetryRatio, Burst: r.Options.RetryBurst})}
	p, _ := r.pools.byName.LoadOrStore(st.Pool.Name, created)
	return p.(*poolState)
}

// delayEstimator estimates the delay until the next byte by exponentially weighted
// averages of the delay and its absolute deviation, like TCP's retransmission timer.
type delayEstimator struct{ mean, deviation atomic.Int64 } // nanoseconds; a mean of 0: no measurement yet

const (
	meanShift         = 3 // weight 1/8 for a new delay
	deviationShift    = 2 // weight 1/4 for a new deviation
	timeoutDeviations = 8 // mean deviations above the mean after which a connection counts as stalled
)

// observe adds a measured delay.
func (e *delayEstimator) observe(d time.Duration) {
	mean := e.mean.Load()
	if mean == 0 {
		e.mean.Store(int64(d))
		e.deviation.Store(int64(d) / 2)
		return
	}
	diff := int64(d) - mean
	e.mean.Store(mean + diff>>meanShift)
	deviation := e.deviation.Load()
	e.deviation.Store(deviation + (max(diff, -diff)-deviation)>>deviationShift)
}

// timeout returns the delay after which a connection counts as stalled: initial before
// the first measurement, and never less than minimum.
func (e *delayEstimator) timeout(minimum, initial time.Duration) time.Duration {
	mean := e.mean.Load()
	if mean == 0 {
		return max(initial, minimum)
	}
	return max(time.Duration(mean+timeoutDeviations*e.deviation.Load()), minimum)
}
