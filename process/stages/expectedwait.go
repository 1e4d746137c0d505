package stages

import (
	"time"

	"bilberrydale/process/spill"
)

// lineWait returns how long a request that has just been queued is expected to wait for admission:
// the time that the servers of one of its services take for the items of the waiting requests
// before it, the longest of these times. 0 if it does not wait, or cannot be on time.
func (a *Admission) lineWait(t *Ticket) time.Duration {
	if len(a.onTime) == 0 {
		return 0
	}
	before := map[string]int{} // items by service
	waits := false
	for _, other := range a.onTime {
		if waits = other == t; waits {
			break
		}
		for _, s := range other.Request.Stages {
			before[s.Service] += s.Items
		}
	}
	if !waits {
		return 0
	}
	var longest float64 // seconds
	for _, s := range t.Request.Stages {
		if svc, ok := a.service(s.Service); ok && s.Items > 0 && svc.ItemsPerSecond > 0 {
			longest = max(longest, float64(before[s.Service])/svc.ItemsPerSecond)
		}
	}
	return time.Duration(longest * float64(time.Second))
}

// ExpectedWait returns the expected wait for admission of stage work of a priority whose results are
// used in a failure domain; 0 if nothing is known. It takes no lock because each request calls it for several
// domains.
func (p *Pool) ExpectedWait(domain string, priority int) time.Duration {
	return p.waits.Expected(p.regionOfDomain(domain), priority, p.clock.Now())
}

// Waits returns the expected waits that the owners of regions told this host last.
func (p *Pool) Waits() []spill.Told { return p.waits.List(p.clock.Now()) }
