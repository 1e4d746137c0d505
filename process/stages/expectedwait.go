package stages

import (
	"maps"
	"math"
	"time"
)

// reportedWait is the mean wait for admission that a region's owner reported last.
type reportedWait struct {
	wait time.Duration
	at   time.Time // when the report arrived
}

// recordWait records the mean wait for admission that a region's owner has reported.
func (p *Pool) recordWait(region string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := maps.Clone(*p.reportedWaits.Load())
	next[region] = reportedWait{wait, p.clock.Now()}
	p.reportedWaits.Store(&next)
}

// waitHalfLife is the half-life of reported waits: they decay so that a region that gets no
// requests because of its waits, and therefore reports none, gets requests again.
const waitHalfLife = time.Second

// ExpectedWait returns the expected wait for admission of stage work whose results are used in a
// failure domain; 0 if nothing is known. It takes no lock because each request calls it for several
// domains.
func (p *Pool) ExpectedWait(domain string) time.Duration {
	reported := (*p.reportedWaits.Load())[p.regionOfDomain(domain)]
	if reported.wait <= 0 {
		return 0
	}
	age := p.clock.Now().Sub(reported.at)
	return time.Duration(float64(reported.wait) * math.Exp2(-age.Seconds()/waitHalfLife.Seconds()))
}
