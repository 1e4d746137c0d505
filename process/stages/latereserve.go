package stages

import "time"

// lateReserveShare is the share of the in-flight limit up to which late requests start before
// all others if they are close to their latest start time: an overload would otherwise refuse
// the requests of the least worth for its whole duration.
const lateReserveShare = 0.35

// lateReserveLead is how long before its latest start time a late request may use the
// reserve.
const lateReserveLead = 700 * time.Millisecond

// nearLatestStart reports whether a late request is close enough to its latest start time to use
// the reserve. The latest start time is the deadline less latePath.
func (a *Admission) nearLatestStart(t *Ticket, now time.Time) bool {
	return now.Add(t.latePath() + lateReserveLead).After(t.Request.Deadline)
}

// latePathFactor is the factor by which the stages of a late request may take longer than
// their critical path: late requests run after those that can be on time, and during an overload
// there are many of those. With less time, many would not finish and their work would be lost.
const latePathFactor = 1.5

// latePath returns the time to allow for the stages of a late request.
func (t *Ticket) latePath() time.Duration {
	return time.Duration(latePathFactor * float64(t.criticalPath))
}

// fitsLateReserve reports whether the reserve for late requests has capacity for a request.
func (a *Admission) fitsLateReserve(t *Ticket) bool {
	for i, s := range t.Request.Stages {
		svc, ok := a.service(s.Service)
		if !ok || s.Items == 0 {
			continue
		}
		used := a.lateInFlight[s.Service]
		if used.items > 0 && used.plus(s).exceeds(svc.inFlightLimit(t.graph.positions[i]), lateReserveShare) {
			return false
		}
	}
	return true
}
