package stages

import (
	"sort"
	"time"

	"bilberrydale/process/batcher"
)

// Service is what admission knows of one service.
type Service struct {
	batcher.Options
	batcher.Capacity
}

// Admission decides which requests are begun, and when. It is pure and not
// safe for concurrent use; Coordinator guards it.
//
// Items under way are bounded for each service by what its servers finish in
// the time that an item is under way (Little's law). Up to this bound calls are
// full; above it requests only wait inside, holding results and room, and those
// that will miss their aim can no longer be told from those that need not.
type Admission struct {
	services func(name string) (Service, bool)
	underWay map[string]int // items begun and not finished, by service
	onTime   []*Ticket
	late     []*Ticket
}

// Ticket is a request that waits to be begun, or is under way.
type Ticket struct {
	Request  *Request
	Begin    func(late bool)        // called once, when it is begun
	Rejected func(r batcher.Reason) // called once instead

	late    bool
	cost    float64 // seconds of all servers of its services
	offered time.Time
}

// NewAdmission returns an admission; services tells what is known of a service.
func NewAdmission(services func(name string) (Service, bool)) *Admission {
	return &Admission{services: services, underWay: map[string]int{}}
}

// Offer adds a request that wants to be begun.
func (a *Admission) Offer(t *Ticket, now time.Time) {
	t.offered = now
	t.cost = a.cost(t.Request)
	a.onTime = insert(a.onTime, t, func(x, y *Ticket) bool { return x.density() > y.density() })
}

func insert(list []*Ticket, t *Ticket, before func(a, b *Ticket) bool) []*Ticket {
	i := sort.Search(len(list), func(i int) bool { return before(t, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = t
	return list
}

// density is worth for the servers' time: what a scarce second earns.
func (t *Ticket) density() float64 { return t.Request.Worth / max(t.cost, minCost) }

const minCost = 1e-3 // seconds

func (a *Admission) cost(r *Request) float64 {
	var sum float64
	for _, s := range r.Stages {
		if svc, ok := a.services(s.Service); ok && s.Items > 0 && svc.Rate > 0 {
			sum += float64(s.Items) / svc.Rate
		}
	}
	return sum
}

// Withdraw removes a request that is not yet begun; false: it is not waiting.
func (a *Admission) Withdraw(t *Ticket) bool {
	for _, list := range []*[]*Ticket{&a.onTime, &a.late} {
		for i, other := range *list {
			if other == t {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return true
			}
		}
	}
	return false
}

// RejectAll rejects every request that waits.
func (a *Admission) RejectAll(r batcher.Reason) {
	for _, list := range [][]*Ticket{a.onTime, a.late} {
		for _, t := range list {
			t.Rejected(r)
		}
	}
	a.onTime, a.late = nil, nil
}

// Finished notes that items of a service are no longer under way.
func (a *Admission) Finished(service string, items int) {
	a.underWay[service] = max(a.underWay[service]-items, 0)
}

// Waiting returns the number of requests that wait to be begun.
func (a *Admission) Waiting() (onTime, late int) { return len(a.onTime), len(a.late) }

// Next begins and rejects requests as it is right at now.
func (a *Admission) Next(now time.Time) {
	a.sort(now)
	blocked := map[string]bool{}
	a.onTime = a.begin(a.onTime, onTimeShare, blocked)
	if len(a.onTime) == 0 {
		a.late = a.begin(a.late, lateShare, blocked)
	}
}

// Shares of the bound on items under way. Late requests keep away from the
// last part of it, so that one that can still be on time finds room at once.
const (
	onTimeShare = 1.0
	lateShare   = 0.6
)

// sort moves requests that can no longer be on time behind the others and
// rejects those that can no longer be of use.
func (a *Admission) sort(now time.Time) {
	kept := a.onTime[:0]
	for _, t := range a.onTime {
		if now.Add(a.path(t.Request)).After(t.Request.AimBy) {
			t.late = true
			a.late = insert(a.late, t, func(x, y *Ticket) bool { return x.Request.DieBy.Before(y.Request.DieBy) })
			continue
		}
		kept = append(kept, t)
	}
	clear(a.onTime[len(kept):])
	a.onTime = kept
	a.reject(now)
}

func (a *Admission) reject(now time.Time) {
	kept := a.late[:0]
	for _, t := range a.late {
		reason := a.hopeless(t, now)
		if reason != "" {
			t.Rejected(reason)
			continue
		}
		kept = append(kept, t)
	}
	clear(a.late[len(kept):])
	a.late = kept
}

// hopeless tells why a request cannot be served any more; empty: it can.
func (a *Admission) hopeless(t *Ticket, now time.Time) batcher.Reason {
	if now.Add(a.path(t.Request)).After(t.Request.DieBy) {
		return batcher.Late
	}
	return ""
}

// path is how long the stages of a request take once it is begun.
func (a *Admission) path(r *Request) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	var longest time.Duration
	for i, s := range r.Stages {
		for _, after := range s.After {
			ends[i] = max(ends[i], ends[after])
		}
		if svc, ok := a.services(s.Service); ok && s.Items > 0 {
			ends[i] += svc.CallTime + time.Duration(float64(svc.MaxItems)*fullness)*svc.ItemTime + callWait
		}
		longest = max(longest, ends[i])
	}
	return longest
}

const (
	// fullness of the calls that a request is expected to share.
	fullness = 0.6
	// callWait is the usual wait for a server, with the way there and back.
	callWait = 60 * time.Millisecond
)

// begin starts what fits, in order. A request that does not fit keeps the
// services that it lacks for itself: smaller ones behind it would take each bit
// of room before it.
func (a *Admission) begin(list []*Ticket, share float64, blocked map[string]bool) []*Ticket {
	kept := list[:0]
	for _, t := range list {
		if a.fits(t.Request, share, blocked) {
			a.start(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(list[len(kept):])
	return kept
}

func (a *Admission) fits(r *Request, share float64, blocked map[string]bool) bool {
	fits := true
	for i, s := range r.Stages {
		if s.Items == 0 {
			continue
		}
		svc, ok := a.services(s.Service)
		if !ok {
			continue // the batcher tells what is wrong with it
		}
		used := a.underWay[s.Service]
		depth := r.depth(i)
		over := used > 0 && float64(used+s.Items) > share*svc.bound(depth)
		if blocked[s.Service] || over || depth == 0 && svc.full(s, share) {
			fits = false
			blocked[s.Service] = true
		}
	}
	return fits
}

// bound is how many items of a service may be under way. An item of a first
// stage waits a little and is worked on for one call; one of a later stage is
// counted from the begin of its request and waits for the stages before it.
func (s Service) bound(depth int) float64 {
	calls := firstCalls + float64(depth)*laterCalls
	return calls * float64(s.Servers*s.MaxItems)
}

// full tells whether a first stage lacks room for the results of s. Its servers
// keep results until the request runs; items that wait for room there would
// hold up all behind them.
func (s Service) full(stage Stage, share float64) bool {
	if s.RoomAll <= 0 {
		return false
	}
	need := int64(stage.Items) * stage.ItemBytes
	lent := int64(roomLent * float64(s.RoomAll))
	return need > s.Room+lent-int64((1-share)*float64(s.RoomAll)) && s.Room < s.RoomAll
}

// roomLent is room that is given away before it is free, so that a server finds
// work waiting when results are given up.
const roomLent = 0.25

const (
	firstCalls = 1.5 // calls' time from the begin to the end of a first stage
	laterCalls = 1.2 // more for each stage before
)

func (a *Admission) start(t *Ticket) {
	for _, s := range t.Request.Stages {
		a.underWay[s.Service] += s.Items
	}
	t.Begin(t.late)
}
