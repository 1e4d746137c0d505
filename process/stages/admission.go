package stages

import (
	"sort"
	"time"

	"bilberrydale/process/batcher"
)

// Admission decides which requests are begun, and when. It is pure and not
// safe for concurrent use; Coordinator guards it.
//
// Items under way are bounded for each service by what its servers finish in
// the time that an item is under way (Little's law). Up to this bound calls are
// full; above it requests only wait inside, holding results and room, and those
// that will miss their aim can no longer be told from those that need not.
type Admission struct {
	lookupService func(name string) (Service, bool)
	// known are the services as they were when the present decision began. Asking
	// for them anew for each waiting request takes the whole processor of an
	// overloaded host.
	serviceCache map[string]Service
	inFlight     map[string]workAmount // begun and not finished, by service
	// lateUnderWay is that of requests that were late when they began.
	lateInFlight map[string]workAmount
	onTime       []*Ticket
	late         []*Ticket
}

// Ticket is a request that waits to be begun, or is under way.
type Ticket struct {
	Request *Request
	Start   func()                 // called once, when it is begun
	Reject  func(r batcher.Reason) // called once instead

	// HeldBy is the service that last kept it from being begun, and whether that
	// lacked room for results.
	BlockedBy       string
	BlockedByMemory bool
	StageTimes      []time.Duration // by each stage, once the work is done
	TargetID        string          // server chosen to run on, once the work is done
	TargetWait      time.Duration   // for other prompts there
	FetchFrom       string          // server from which that one gets a part of the prompt

	late          bool
	serverSeconds float64       // seconds of all servers of its services
	criticalPath  time.Duration // that its stages take once it is begun, as last looked at
}

// NewAdmission returns an admission; services tells what is known of a service.
func NewAdmission(services func(name string) (Service, bool)) *Admission {
	return &Admission{lookupService: services, serviceCache: map[string]Service{}, inFlight: map[string]workAmount{}, lateInFlight: map[string]workAmount{}}
}

// service returns what is known of a service; false: there is none of that name.
func (a *Admission) service(name string) (Service, bool) {
	if s, ok := a.serviceCache[name]; ok {
		return s, true
	}
	s, ok := a.lookupService(name)
	if ok {
		a.serviceCache[name] = s
	}
	return s, ok
}

// Offer adds a request that wants to be begun.
func (a *Admission) Enqueue(t *Ticket) {
	clear(a.serviceCache)
	t.serverSeconds = a.serverSeconds(t.Request)
	a.onTime = insertSorted(a.onTime, t, func(x, y *Ticket) bool { return x.worthPerSecond() > y.worthPerSecond() })
}

func insertSorted(list []*Ticket, t *Ticket, before func(a, b *Ticket) bool) []*Ticket {
	i := sort.Search(len(list), func(i int) bool { return before(t, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = t
	return list
}

// Late reports whether the request could not be on time any more when it was
// begun or rejected.
func (t *Ticket) Late() bool { return t.late }

// density is worth for the servers' time: what a scarce second earns.
func (t *Ticket) worthPerSecond() float64 {
	return t.Request.Worth / max(t.serverSeconds, minServerSeconds)
}

const minServerSeconds = 1e-3 // seconds

func (a *Admission) serverSeconds(r *Request) float64 {
	var sum float64
	for _, s := range r.Stages {
		if svc, ok := a.service(s.Service); ok && s.Items > 0 && svc.ItemsPerSecond > 0 {
			sum += float64(s.Items) / svc.ItemsPerSecond
		}
	}
	return sum
}

// Withdraw removes a request that is not yet begun; false: it is not waiting.
func (a *Admission) Remove(t *Ticket) bool {
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
			t.Reject(r)
		}
	}
	a.onTime, a.late = nil, nil
}

// Finished notes that a stage's items are no longer under way.
func (a *Admission) StageFinished(s Stage, late bool) {
	a.inFlight[s.Service] = a.inFlight[s.Service].minus(s)
	if late {
		a.lateInFlight[s.Service] = a.lateInFlight[s.Service].minus(s)
	}
}

// Waiting returns the number of requests that wait to be begun.
func (a *Admission) Waiting() (onTime, late int) { return len(a.onTime), len(a.late) }

// Next begins and rejects requests as it is right at now.
func (a *Admission) Schedule(now time.Time) {
	clear(a.serviceCache)
	a.classify(now)
	b := &reservations{services: map[string]bool{}, resultBytes: map[string]int64{}}
	a.late = a.startFitting(a.late, func(t *Ticket) bool { return a.nearLatestStart(t, now) && a.fitsLateReserve(t.Request) })
	a.onTime = a.startFitting(a.onTime, func(t *Ticket) bool { return a.fits(t, b) })
	a.late = a.startFitting(a.late, func(t *Ticket) bool { return a.fits(t, b) })
}

// sort moves requests that can no longer be on time behind the others and
// rejects those that can no longer be of use.
func (a *Admission) classify(now time.Time) {
	a.onTime = a.filterViable(a.onTime, now, func(t *Ticket) bool {
		if !now.Add(t.criticalPath).After(t.Request.TargetTime) {
			return true
		}
		t.late = true
		a.late = insertSorted(a.late, t, func(x, y *Ticket) bool { return x.Request.Deadline.Before(y.Request.Deadline) })
		return false
	})
	a.late = a.filterViable(a.late, now, func(*Ticket) bool { return true })
}

// keep rejects the hopeless of a list and drops those that stay is false for.
func (a *Admission) filterViable(list []*Ticket, now time.Time, stay func(*Ticket) bool) []*Ticket {
	kept := list[:0]
	for _, t := range list {
		t.criticalPath = a.criticalPath(t.Request)
		needs := t.criticalPath
		if t.late {
			needs = t.latePath()
		}
		if now.Add(needs).After(t.Request.Deadline) {
			t.Reject(batcher.TooLate)
			continue
		}
		if a.lacksServer(t.Request) {
			t.Reject(batcher.NoServer)
			continue
		}
		if stay(t) {
			kept = append(kept, t)
		}
	}
	clear(list[len(kept):])
	return kept
}

// unserved tells whether a stage has no server that may do its work. Such requests are
// refused at once: waiting would only take the time in which another try may succeed.
func (a *Admission) lacksServer(r *Request) bool {
	for _, s := range r.Stages {
		if svc, ok := a.service(s.Service); ok && s.Items > 0 && (svc.ListedServers == 0 || r.AllowedRegions.Restricted() && !r.AllowedRegions.AllowsAny(svc.Regions)) {
			return true
		}
	}
	return false
}

// path is how long the stages of a request take once it is begun.
func (a *Admission) criticalPath(r *Request) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	var longest time.Duration
	for i, s := range r.Stages {
		for _, after := range s.DependsOn {
			ends[i] = max(ends[i], ends[after])
		}
		if svc, ok := a.service(s.Service); ok && s.Items > 0 {
			ends[i] += svc.fullCallTime() + callOverhead
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// begin starts what fits, in order.
func (a *Admission) startFitting(list []*Ticket, fits func(*Ticket) bool) []*Ticket {
	kept := list[:0]
	for _, t := range list {
		if fits(t) {
			a.start(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(list[len(kept):])
	return kept
}

// blocked are services for which a request of more worth waits.
type reservations struct {
	services    map[string]bool
	resultBytes map[string]int64 // bytes that it needs
}

// fits tells whether all services of a request have room for it. A request that
// does not fit keeps the services that it lacks for itself: others behind it
// would take each bit of room before it.
func (a *Admission) fits(t *Ticket, b *reservations) bool {
	fits := true
	r := t.Request
	for i, s := range r.Stages {
		if s.Items == 0 {
			continue
		}
		svc, ok := a.service(s.Service)
		if !ok {
			continue // the batcher tells what is wrong with it
		}
		at, used := r.position(i), a.inFlight[s.Service]
		if b.services[s.Service] || used.items > 0 && used.plus(s).exceeds(svc.inFlightLimit(at), 1) {
			fits = false
			t.BlockedBy, t.BlockedByMemory = s.Service, false
			b.services[s.Service] = true
		}
		need := int64(s.Items) * s.ResultBytes
		if at.depth == 0 && (need*smallNeedDivisor > b.resultBytes[s.Service] && b.resultBytes[s.Service] > 0 || svc.resultMemoryFull(need)) {
			fits = false
			t.BlockedBy, t.BlockedByMemory = s.Service, true
			b.resultBytes[s.Service] = max(b.resultBytes[s.Service], need)
		}
	}
	return fits
}

// smallNeed: a request that needs less than this part of the room that another
// waits for does not keep the other from it.
const smallNeedDivisor = 20

// BeginAgain counts the work of a request once more that has to be repeated;
// false: it can be of no use any more.
func (a *Admission) Restart(t *Ticket, now time.Time) bool {
	clear(a.serviceCache)
	t.criticalPath = a.criticalPath(t.Request)
	if now.Add(t.criticalPath).After(t.Request.Deadline) {
		return false
	}
	t.late = t.late || now.Add(t.criticalPath).After(t.Request.TargetTime)
	a.addInFlight(t)
	return true
}

func (a *Admission) start(t *Ticket) {
	a.addInFlight(t)
	t.Start()
}

func (a *Admission) addInFlight(t *Ticket) {
	for _, s := range t.Request.Stages {
		a.inFlight[s.Service] = a.inFlight[s.Service].plus(s)
		if t.late {
			a.lateInFlight[s.Service] = a.lateInFlight[s.Service].plus(s)
		}
	}
}
