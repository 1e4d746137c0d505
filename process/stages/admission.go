package stages

import (
	"sort"
	"time"

	"bilberrydale/process/batcher"
)

// Admission decides which requests start, and when. It does no I/O and reads no clock. It is
// not safe for concurrent use; Coordinator guards it.
//
// A request is on time if its stages can end by its target time when started now, and late if
// they cannot. Late requests still run if they can end before their deadline.
//
// The order in which requests start: the more urgent one first; of one priority, those of client
// accounts within their due of the services that are short, before those of accounts beyond it; then
// those that can be on time by worth per second of server time, then late ones by deadline. No server
// is left idle for the sake of a share: what accounts within their due leave goes to the others at
// once. A part of the capacity goes first to late requests near their latest start (the late reserve),
// in the same order.
//
// Items in flight are limited for each service to what its servers complete in the time that
// an item is in flight (Little's law). Up to this limit calls are full. Above it, requests
// would only wait after their start, occupying results and memory, and requests that will
// miss their target latency could no longer be separated from those that need not.
type Admission struct {
	lookupService func(name string) (Service, bool) // false: there is no service of that name
	// serviceCache holds the services by name as of the start of the current decision. Looking them
	// up for each waiting request would use the whole processor of an overloaded host.
	serviceCache []cachedService
	inFlight     map[string]workAmount // admitted and not finished, by service name
	// lateInFlight is the part of inFlight that belongs to late requests.
	lateInFlight map[string]workAmount
	onTime       []*Ticket // waiting, by beforeOnTime
	late         []*Ticket // waiting, by beforeLate
	shares       *accountShares
	// lineCheckedAt is when refuseUnreachable last checked the line.
	lineCheckedAt time.Time
}

// Ticket is a request that waits for admission or is in flight.
type Ticket struct {
	Request *Request
	Start   func()                 // called once, on admission; must not block
	Reject  func(r batcher.Reason) // called once instead, if the request is rejected; must not block

	// BlockedBy is the service that last kept the request from starting;
	// BlockedByMemory reports whether that service lacked result memory.
	BlockedBy       string
	BlockedByMemory bool
	// HeldByShare reports that the request last waited behind others because its account was beyond
	// its due. Due and Used are those of the account in the service where it has least left, in server
	// seconds, as the wait ended; both are 0 while nothing is divided.
	HeldByShare bool
	Due, Used   float64
	StageTimes  []time.Duration // duration by stage, as in Request.Stages, once the work is done
	TargetID    string          // server chosen to run the request, once the work is done
	TargetWait  time.Duration   // for other prompts pending at that server
	FetchFrom   string          // server from which that server transfers a prompt prefix

	graph         graph         // of the request's stages, set by Enqueue
	late          bool          // see Late
	refused       bool          // rejected because it would not have ended in time
	beyondDue     bool          // its account was beyond its due in the last decision among several accounts
	shares        []stageShare  // by stage with items; none for a request without a share
	retryAfter    time.Duration // when a rejected request may return; 0: unknown
	serverSeconds float64       // time that its items occupy all servers of a service, summed over services
	criticalPath  time.Duration // expected duration of its stages once started, as last computed
}

// NewAdmission returns an admission without requests; services looks up a service by name and
// reports whether it exists.
func NewAdmission(services func(name string) (Service, bool)) *Admission {
	return &Admission{lookupService: services, inFlight: map[string]workAmount{}, lateInFlight: map[string]workAmount{}, shares: newAccountShares()}
}

// cachedService is the outcome of a lookup.
type cachedService struct {
	name    string
	service Service
	found   bool
}

// service returns a service from the cache or the lookup, to be used within the current decision;
// false: there is none of that name.
func (a *Admission) service(name string) (*Service, bool) {
	for i := range a.serviceCache {
		if c := &a.serviceCache[i]; c.name == name {
			return &c.service, c.found
		}
	}
	s, ok := a.lookupService(name)
	a.serviceCache = append(a.serviceCache, cachedService{name, s, ok})
	return &a.serviceCache[len(a.serviceCache)-1].service, ok
}

// Enqueue adds a request that arrives at now to those that wait for admission. Schedule has to be called to
// start it.
func (a *Admission) Enqueue(t *Ticket, now time.Time) {
	a.serviceCache = a.serviceCache[:0]
	t.graph = t.Request.graph()
	t.serverSeconds = a.serverSeconds(t.Request)
	a.shares.forgetBeforeArrival(now)
	a.shares.join(t, a.service)
	a.onTime = insertSorted(a.onTime, t, beforeOnTime)
}

// beforeOnTime orders requests that can be on time: by priority, then by worth per second of server
// time, highest first.
func beforeOnTime(x, y *Ticket) bool {
	if x.Request.Priority != y.Request.Priority {
		return x.Request.Priority < y.Request.Priority
	}
	return x.worthPerSecond() > y.worthPerSecond()
}

// beforeLate orders late requests: by priority, then by deadline, earliest first.
func beforeLate(x, y *Ticket) bool {
	if x.Request.Priority != y.Request.Priority {
		return x.Request.Priority < y.Request.Priority
	}
	return x.Request.Deadline.Before(y.Request.Deadline)
}

// insertSorted inserts a ticket behind all that it is not ordered before.
func insertSorted(list []*Ticket, t *Ticket, before func(a, b *Ticket) bool) []*Ticket {
	i := sort.Search(len(list), func(i int) bool { return before(t, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = t
	return list
}

// Late reports whether the request could no longer meet its target latency when this was last
// computed: by Schedule while it waited, or by Restart.
func (t *Ticket) Late() bool { return t.late }

// worthPerSecond returns the worth that a request earns per second of server time.
func (t *Ticket) worthPerSecond() float64 {
	return t.Request.Worth / max(t.serverSeconds, minServerSeconds)
}

// minServerSeconds avoids a division by zero for requests without stage work.
const minServerSeconds = 1e-3

// serverSeconds returns the time that the items of a request occupy all servers of a service,
// in seconds, summed over its stages.
func (a *Admission) serverSeconds(r *Request) float64 {
	var sum float64
	for _, s := range r.Stages {
		sum += a.stageSeconds(s)
	}
	return sum
}

// stageSeconds returns the time that the items of a stage occupy all servers of its service, in
// seconds; 0 if that is not known.
func (a *Admission) stageSeconds(s Stage) float64 {
	if svc, ok := a.service(s.Service); ok && s.Items > 0 && svc.ItemsPerSecond > 0 {
		return float64(s.Items) / svc.ItemsPerSecond
	}
	return 0
}

// Remove removes a waiting request and reports whether it was waiting.
func (a *Admission) Remove(t *Ticket) bool {
	for _, list := range []*[]*Ticket{&a.onTime, &a.late} {
		for i, other := range *list {
			if other == t {
				*list = append((*list)[:i], (*list)[i+1:]...)
				t.leave(false)
				return true
			}
		}
	}
	return false
}

// RejectAll rejects all waiting requests with a reason.
func (a *Admission) RejectAll(r batcher.Reason) {
	for _, list := range [][]*Ticket{a.onTime, a.late} {
		for _, t := range list {
			a.reject(t, r)
		}
	}
	a.onTime, a.late = nil, nil
}

// StageFinished removes the items of a stage from the work in flight. late is whether its request
// was late when the items were counted.
func (a *Admission) StageFinished(s Stage, late bool) {
	a.inFlight[s.Service] = a.inFlight[s.Service].minus(s)
	if late {
		a.lateInFlight[s.Service] = a.lateInFlight[s.Service].minus(s)
	}
}

// Waiting returns the number of waiting requests: those that can still meet their target
// latency, and late ones.
func (a *Admission) Waiting() (onTime, late int) { return len(a.onTime), len(a.late) }

// classify moves requests that can no longer be on time to the late list and rejects those
// that can no longer finish before their deadline.
func (a *Admission) classify(now time.Time) {
	a.onTime = a.filterViable(a.onTime, now, func(t *Ticket) bool {
		if !now.Add(t.criticalPath).After(t.Request.TargetTime) {
			return true
		}
		t.late = true
		a.late = insertSorted(a.late, t, beforeLate)
		return false
	})
	a.late = a.filterViable(a.late, now, func(*Ticket) bool { return true })
}

// filterViable rejects requests of a list that cannot be served, and returns those of the rest
// for which stay is true.
func (a *Admission) filterViable(list []*Ticket, now time.Time, stay func(*Ticket) bool) []*Ticket {
	kept := list[:0]
	for _, t := range list {
		t.criticalPath = a.criticalPath(t.Request, now)
		needs := t.criticalPath
		if t.late {
			needs = t.latePath()
		}
		if now.Add(needs).After(t.Request.Deadline) {
			if t.needsShort(now) {
				t.retryAfter = t.bookReturn(now)
			}
			a.reject(t, batcher.TooLate)
			continue
		}
		if a.lacksServer(t.Request) {
			a.reject(t, batcher.NoServer)
			continue
		}
		if stay(t) {
			kept = append(kept, t)
		}
	}
	clear(list[len(kept):])
	return kept
}

// lacksServer reports whether a stage has no server that may run it. Such requests are
// rejected at once: waiting would only use up the time in which a retry may succeed.
func (a *Admission) lacksServer(r *Request) bool {
	for _, s := range r.Stages {
		if svc, ok := a.service(s.Service); ok && s.Items > 0 && (svc.ListedServers == 0 || r.AllowedRegions.Restricted() && !r.AllowedRegions.AllowsAny(svc.Regions)) {
			return true
		}
	}
	return false
}

// criticalPath returns the expected time from now to the end of a request's stages, if they start
// as soon as their servers want calls.
func (a *Admission) criticalPath(r *Request, now time.Time) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	var longest time.Duration
	for i, s := range r.Stages {
		for _, dependency := range s.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		if svc, ok := a.service(s.Service); ok && s.Items > 0 {
			ends[i] = max(ends[i], svc.pausedFor(now)) + svc.fullCallTime() + callOverhead
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Restart counts the work of a request as in flight again for a repetition. It reports false
// if the request can no longer finish before its deadline.
func (a *Admission) Restart(t *Ticket, now time.Time) bool {
	a.serviceCache = a.serviceCache[:0]
	t.criticalPath = a.criticalPath(t.Request, now)
	if now.Add(t.criticalPath).After(t.Request.Deadline) {
		return false
	}
	t.late = t.late || now.Add(t.criticalPath).After(t.Request.TargetTime)
	a.addInFlight(t)
	t.use()
	return true
}

// reject ends the wait of a request and calls its Reject.
func (a *Admission) reject(t *Ticket, r batcher.Reason) {
	t.refused = r == batcher.TooLate || r == reasonLine
	t.leave(false)
	t.Reject(r)
}

// start admits a request and calls its Start.
func (a *Admission) start(t *Ticket) {
	t.leave(true)
	a.addInFlight(t)
	t.Start()
}

// addInFlight counts the stages of a request as in flight.
func (a *Admission) addInFlight(t *Ticket) {
	for _, s := range t.Request.Stages {
		a.inFlight[s.Service] = a.inFlight[s.Service].plus(s)
		if t.late {
			a.lateInFlight[s.Service] = a.lateInFlight[s.Service].plus(s)
		}
	}
}
