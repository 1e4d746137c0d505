package stages

import (
	"slices"
	"time"

	"bilberrydale/process/batcher"
)

// reasonLine rejects a request that cannot end before its deadline because of the requests before it.
const reasonLine batcher.Reason = "line"

const (
	// lineInterval is how often the line is checked for requests that will not be reached in time.
	lineInterval = 40 * time.Millisecond
	// linePriorities is the number of priorities, from 0; less urgent ones count as the last.
	linePriorities = 10
	// maxLineRetryAfter is the longest time after which a refused request is asked to return.
	maxLineRetryAfter = 10 * time.Second
)

// line is the work of the requests that wait for one service with the share of one account, in server
// seconds by priority. It is filled in the order in which the requests start.
type line struct {
	onTime [linePriorities]float64 // of requests that will be on time
	late   [linePriorities]float64 // of late ones that will be reached before their deadline
}

// linePriority returns the index of a request's priority in a line.
func (t *Ticket) linePriority() int { return min(max(t.Request.Priority, 0), linePriorities-1) }

// refuseUnreachable rejects the waiting requests that cannot be reached in time even if no other
// request arrives and their account gets all of the servers, at most once in lineInterval. It errs on the
// side of waiting: servers count at their fullest rate of late, and of the requests before one only
// those of its account count that are more urgent and that will be served themselves.
func (a *Admission) refuseUnreachable(now time.Time) {
	if now.Sub(a.lineCheckedAt) < lineInterval {
		return
	}
	a.lineCheckedAt = now
	a.shares.clearLines()
	candidates := slices.Clone(a.late)
	for _, t := range a.onTime {
		if !t.joinOnTime(now) {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(x, y *Ticket) int { return x.Request.Deadline.Compare(y.Request.Deadline) })
	unreachable := map[*Ticket]bool{}
	for _, t := range candidates {
		if !t.joinLate(now) {
			t.retryAfter = t.bookReturn(now)
			unreachable[t] = true
		}
	}
	if len(unreachable) == 0 {
		return
	}
	for _, list := range []*[]*Ticket{&a.onTime, &a.late} {
		*list = slices.DeleteFunc(*list, func(t *Ticket) bool { return unreachable[t] })
	}
	for _, t := range candidates {
		if unreachable[t] {
			a.reject(t, reasonLine)
		}
	}
}

// joinOnTime adds a request to the lines of its stages and reports whether it will be on time there.
// If not, they stay as they are.
func (t *Ticket) joinOnTime(now time.Time) bool {
	p := t.linePriority()
	wait := t.longestWait(func(l *line) float64 { return sum(l.onTime[:p+1]) })
	if now.Add(wait + t.criticalPath).After(t.Request.TargetTime) {
		return false
	}
	for _, s := range t.shares {
		s.account.line.onTime[p] += s.account.serverSeconds(s.items)
	}
	return true
}

// joinLate adds a late request to the lines of its stages if it will be reached before its deadline. It
// reports whether the request goes on waiting: one of which the client has a part does so in any case. Late
// requests wait for those that can be on time, or use the late reserve, whichever is sooner.
func (t *Ticket) joinLate(now time.Time) bool {
	p := t.linePriority()
	wait := t.longestWait(func(l *line) float64 {
		late := sum(l.late[:p+1])
		return min(sum(l.onTime[:p+1])+late, late/lateReserveShare)
	})
	if now.Add(wait + t.latePath()).After(t.Request.Deadline) {
		return t.Request.Continues
	}
	for _, s := range t.shares {
		s.account.line.late[p] += s.account.serverSeconds(s.items)
	}
	return true
}

// longestWait returns the longest wait at the services of a request; before returns the work before it
// in a line.
func (t *Ticket) longestWait(before func(*line) float64) time.Duration {
	longest := 0.0
	for _, s := range t.shares {
		longest = max(longest, before(&s.account.line))
	}
	return time.Duration(longest * float64(time.Second))
}

// bookReturn books time for the return of a refused request, behind the requests that wait and those
// refused before, and returns the time until then. Beyond maxLineRetryAfter the bookings begin anew.
func (t *Ticket) bookReturn(now time.Time) time.Duration {
	var latest time.Duration
	for _, s := range t.shares {
		a := s.account
		seconds := func(x float64) time.Duration { return time.Duration(x / a.portion * float64(time.Second)) }
		drained := now.Add(min(seconds(sum(a.line.onTime[:])+sum(a.line.late[:])), maxLineRetryAfter/2))
		if a.bookedUntil.Before(drained) || a.bookedUntil.Sub(now) > maxLineRetryAfter {
			a.bookedUntil = drained
		}
		a.bookedUntil = a.bookedUntil.Add(seconds(a.serverSeconds(s.items)))
		latest = max(latest, a.bookedUntil.Sub(now))
	}
	return min(latest, maxLineRetryAfter)
}

// sum returns the sum of a list.
func sum(list []float64) (total float64) {
	for _, x := range list {
		total += x
	}
	return total
}
