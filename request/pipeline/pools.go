package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/limit"
	"bilberrydale/version/snapshot"
)

// pools keeps what was measured of each pool across releases.
type pools struct{ byName sync.Map }

type poolState struct {
	budget    *limit.RetryBudget // of retries
	firstByte progress
	gap       progress // between chunks
}

func (r *Runner) pool(st *snapshot.Stage) *poolState {
	if p, ok := r.pools.byName.Load(st.Pool.Name); ok {
		return p.(*poolState)
	}
	fresh := &poolState{budget: limit.NewRetryBudget(limit.RetryBudgetOptions{Ratio: r.Options.RetryRatio, Burst: r.Options.RetryBurst})}
	p, _ := r.pools.byName.LoadOrStore(st.Pool.Name, fresh)
	return p.(*poolState)
}

// progress estimates how long the next byte may take: the mean and the mean
// deviation of what was measured, as TCP does for its retransmission timer.
type progress struct{ mean, deviation atomic.Int64 } // nanoseconds; 0: not measured

const (
	meanShift      = 3 // weight 1/8
	deviationShift = 2 // weight 1/4
	deviations     = 8
)

func (p *progress) observe(d time.Duration) {
	mean := p.mean.Load()
	if mean == 0 {
		p.mean.Store(int64(d))
		p.deviation.Store(int64(d) / 2)
		return
	}
	diff := int64(d) - mean
	p.mean.Store(mean + diff>>meanShift)
	dev := p.deviation.Load()
	p.deviation.Store(dev + (max(diff, -diff)-dev)>>deviationShift)
}

// bound returns the wait after which a connection is doubted.
func (p *progress) bound(least, unmeasured time.Duration) time.Duration {
	mean := p.mean.Load()
	if mean == 0 {
		return max(unmeasured, least)
	}
	return max(time.Duration(mean+deviations*p.deviation.Load()), least)
}
