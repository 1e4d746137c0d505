package stages

import "time"

// lastChanceShare of the bound on items under way is for late requests whose last
// chance has come: an overload would otherwise turn requests of the least worth
// away for as long as it lasts.
const lateReserveShare = 0.35

// lastChanceTime before its latest begin, a late request takes what is kept
// for such requests.
const lateReserveLead = 700 * time.Millisecond

func (a *Admission) nearLatestStart(t *Ticket, now time.Time) bool {
	return now.Add(t.latePath() + lateReserveLead).After(t.Request.Deadline)
}

// lateFactor is how much longer the stages of a late request may take: it runs
// behind those that can be on time, while there are most of them. Begun with less
// time, many are not finished, and their work is lost.
const latePathFactor = 1.5

func (t *Ticket) latePath() time.Duration {
	return time.Duration(latePathFactor * float64(t.criticalPath))
}

// fitsLate tells whether the part that is kept for last chances has room.
func (a *Admission) fitsLateReserve(r *Request) bool {
	for i, s := range r.Stages {
		svc, ok := a.service(s.Service)
		if !ok || s.Items == 0 {
			continue
		}
		used := a.lateInFlight[s.Service]
		if used.items > 0 && used.plus(s).exceeds(svc.inFlightLimit(r.position(i)), lateReserveShare) {
			return false
		}
	}
	return true
}
