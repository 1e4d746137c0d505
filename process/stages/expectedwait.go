package stages

import (
	"maps"
	"math"
	"time"
)

// waitNews is what a host's last answer told of the waits there.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func (p *Pool) recordWait(region string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := maps.Clone(*p.reportedWaits.Load())
	next[region] = reportedWait{wait, p.clock.Now()}
	p.reportedWaits.Store(&next)
}

// waitHalfLife lets old news of waits fade, so that a region that gets no work for
// its waits is tried again.
const waitHalfLife = time.Second

// Wait returns how long stage work for a failure domain waits, as far as is known.
// It takes no lock: each request asks it for several domains.
func (p *Pool) ExpectedWait(domain string) time.Duration {
	news := (*p.reportedWaits.Load())[p.region(domain)]
	if news.wait <= 0 {
		return 0
	}
	age := p.clock.Now().Sub(news.at)
	return time.Duration(float64(news.wait) * math.Exp2(-age.Seconds()/waitHalfLife.Seconds()))
}
