package stages

import (
	"math"
	"time"
)

// waitNews is what a host's last answer told of the waits there.
type waitNews struct {
	wait time.Duration
	at   time.Time
}

func (p *Pool) noteWait(region string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[region] = waitNews{wait, p.clock.Now()}
}

// waitHalfLife lets old news of waits fade, so that a region that gets no work for
// its waits is tried again.
const waitHalfLife = time.Second

// Wait returns how long stage work for a failure domain waits, as far as is known.
func (p *Pool) Wait(domain string) time.Duration {
	region := p.region(domain)
	p.mu.Lock()
	news := p.waits[region]
	p.mu.Unlock()
	if news.wait <= 0 {
		return 0
	}
	age := p.clock.Now().Sub(news.at)
	return time.Duration(float64(news.wait) * math.Exp2(-age.Seconds()/waitHalfLife.Seconds()))
}
