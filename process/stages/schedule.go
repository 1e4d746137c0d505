package stages

import (
	"slices"
	"time"
)

// Schedule admits and rejects waiting requests according to the state at now. Late requests near their
// latest start come first, up to the late reserve; then all others by priority. While several accounts
// ask for a service that is short, of the requests of one priority those of accounts within their due
// come first, and what they leave goes to all.
func (a *Admission) Schedule(now time.Time) {
	a.serviceCache = a.serviceCache[:0]
	a.shares.recordRates(a.service)
	a.shares.compute(now)
	a.classify(now)
	reserved := &reservations{services: map[string]bool{}, resultBytes: map[string]int64{}}
	if a.shares.contended {
		a.startShared(now, reserved)
	} else {
		a.startLateReserve(now, anyTicket)
		a.startByPriority(reserved, anyTicket)
	}
	a.recordHeld()
	a.shares.markShort(reserved, now)
	a.refuseUnreachable(now)
}

// anyTicket gives all requests a turn.
func anyTicket(*Ticket) bool { return true }

// startShared starts requests while several accounts ask for a service that is short.
func (a *Admission) startShared(now time.Time, reserved *reservations) {
	withinDue := func(t *Ticket) bool {
		t.beyondDue = !t.withinDue()
		return !t.beyondDue
	}
	a.startLateReserve(now, withinDue)
	a.startLateReserve(now, anyTicket)
	for _, priority := range a.waitingPriorities() {
		samePriority := func(t *Ticket) bool { return t.Request.Priority == priority }
		a.startByPriority(reserved, func(t *Ticket) bool { return samePriority(t) && withinDue(t) })
		a.startByPriority(reserved, samePriority)
	}
}

// waitingPriorities returns the priorities of the waiting requests, the most urgent first.
func (a *Admission) waitingPriorities() (list []int) {
	for _, waiting := range [][]*Ticket{a.onTime, a.late} { // each in the order of priorities
		for _, t := range waiting {
			if n := len(list); n == 0 || list[n-1] != t.Request.Priority {
				list = append(list, t.Request.Priority)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// recordHeld records which of the requests that still wait are behind others because of their shares.
func (a *Admission) recordHeld() {
	for _, list := range [][]*Ticket{a.onTime, a.late} {
		for _, t := range list {
			t.HeldByShare = a.shares.contended && t.beyondDue
		}
	}
}

// startLateReserve starts the late requests near their latest start that have a turn, up to the late
// reserve.
func (a *Admission) startLateReserve(now time.Time, hasTurn func(*Ticket) bool) {
	a.late = a.startFitting(a.late, func(t *Ticket) bool {
		return a.nearLatestStart(t, now) && hasTurn(t) && a.fitsLateReserve(t)
	})
}

// startByPriority starts the requests that have a turn and fit, the most urgent first; of one priority those that
// can be on time, then late ones. Late requests do not wait behind less urgent ones: these would be
// served more often than they in a lasting shortage.
func (a *Admission) startByPriority(reserved *reservations, hasTurn func(*Ticket) bool) {
	onTimeBefore, lateBefore := a.onTime, a.late
	onTime, late := a.onTime, a.late
	a.onTime, a.late = a.onTime[:0], a.late[:0]
	for len(onTime) > 0 || len(late) > 0 {
		from, kept := &late, &a.late
		if len(late) == 0 || len(onTime) > 0 && onTime[0].Request.Priority <= late[0].Request.Priority {
			from, kept = &onTime, &a.onTime
		}
		t := (*from)[0]
		*from = (*from)[1:]
		if hasTurn(t) && a.fits(t, reserved) {
			a.start(t)
			continue
		}
		*kept = append(*kept, t)
	}
	clear(onTimeBefore[len(a.onTime):])
	clear(lateBefore[len(a.late):])
}

// startFitting starts the requests for which fits is true, in the order of the list, and returns
// the others.
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

// reservations is the capacity, by service name, that is kept for requests which are earlier in the
// order of admission and do not fit.
type reservations struct {
	services    map[string]bool  // services at their limit in flight
	resultBytes map[string]int64 // the most result memory that such a request needs at the service, in bytes
}

// fits reports whether all services of a request have capacity for it. A request that does not
// fit reserves the services that lack capacity: otherwise requests behind it would take each
// bit of capacity before it.
func (a *Admission) fits(t *Ticket, reserved *reservations) bool {
	fits := true
	r := t.Request
	for i, s := range r.Stages {
		if s.Items == 0 {
			continue
		}
		svc, ok := a.service(s.Service)
		if !ok {
			continue // an unknown service; the request fails with NoServer when it is submitted
		}
		at, used := t.graph.positions[i], a.inFlight[s.Service]
		if !r.begun() && (reserved.services[s.Service] || used.items > 0 && used.plus(s).exceeds(svc.inFlightLimit(at), 1)) {
			fits = false
			t.BlockedBy, t.BlockedByMemory = s.Service, false
			reserved.services[s.Service] = true
		}
		need := int64(s.Items) * s.ResultBytes
		if at.depth == 0 && (need*smallNeedDivisor > reserved.resultBytes[s.Service] && reserved.resultBytes[s.Service] > 0 || svc.resultMemoryFull(need)) {
			fits = false
			t.BlockedBy, t.BlockedByMemory = s.Service, true
			reserved.resultBytes[s.Service] = max(reserved.resultBytes[s.Service], need)
		}
	}
	return fits
}

// smallNeedDivisor sets which requests need not wait behind another one that waits for result
// memory: those that need at most 1/smallNeedDivisor of its memory, because they hardly delay it.
const smallNeedDivisor = 20
