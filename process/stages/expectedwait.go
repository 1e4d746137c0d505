package stages

import (
	"slices"
	"time"

	"bilberrydale/process/spill"
)

// lineWait returns how long a request that has just been queued is expected to wait for admission:
// the time that the servers of one of its services take for the items of the waiting requests
// before it, after their pause, the longest of these times. For a request that was refused because of the
// line it is the time that it would have waited. 0 if it does not wait.
func (a *Admission) lineWait(t *Ticket, now time.Time) time.Duration {
	if !t.refused && !slices.Contains(a.onTime, t) && !slices.Contains(a.late, t) {
		return 0
	}
	var longest time.Duration
	for _, s := range t.Request.Stages {
		if svc, ok := a.service(s.Service); ok && s.Items > 0 {
			longest = max(longest, svc.pausedFor(now)+a.timeOf(s.Service, a.itemsBefore(t, s.Service)))
		}
	}
	return longest
}

// itemsBefore returns the items for a service of the waiting requests that start before t.
func (a *Admission) itemsBefore(t *Ticket, service string) (items int) {
	for _, list := range [][]*Ticket{a.onTime, a.late} {
		for _, other := range list {
			if other == t || !other.startsBefore(t) {
				continue
			}
			for _, s := range other.Request.Stages {
				if s.Service == service {
					items += s.Items
				}
			}
		}
	}
	return items
}

// startsBefore reports whether a waiting request is expected to start before another that has just been queued.
// A request that is late or was refused is behind all that are as urgent.
func (t *Ticket) startsBefore(queued *Ticket) bool {
	switch {
	case queued.late || queued.refused:
		return t.Request.Priority <= queued.Request.Priority
	case t.late:
		return t.Request.Priority < queued.Request.Priority
	}
	return !beforeOnTime(queued, t)
}

// timeOf returns the time that the servers of a service take for items, at their last known rate while none
// can be used; 0 if that is not known.
func (a *Admission) timeOf(service string, items int) time.Duration {
	rate := 0.0
	if svc, ok := a.service(service); ok {
		rate = svc.ItemsPerSecond
	}
	if of := a.shares.services[service]; rate <= 0 && of != nil {
		rate = of.peakRate
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(items) / rate * float64(time.Second))
}

// ExpectedWait returns the expected wait for admission of stage work of a priority whose results are
// used in a failure domain; 0 if nothing is known. It takes no lock because each request calls it for several
// domains.
func (p *Pool) ExpectedWait(domain string, priority int) time.Duration {
	return p.waits.Expected(p.regionOfDomain(domain), priority, p.clock.Now())
}

// Waits returns the expected waits that the owners of regions told this host last.
func (p *Pool) Waits() []spill.Told { return p.waits.List(p.clock.Now()) }
