package batcher

import "time"

// Two waits that a job takes upon itself though a server is free: one for a
// server where its inputs lie, one for a call that others share.

const (
	// homeWait is the longest that a job waits for a busy server of its own
	// failure domain. It is half of a usual call: two servers of a domain that
	// take turns both come free in that time. Longer waits make requests late.
	homeWait = 250 * time.Millisecond
	// homeSlack is kept of the time to a job's aim when it waits: the spread of
	// call times, which are only approximate.
	homeSlack = 50 * time.Millisecond
	// homeBytes: what less than this crosses domains is not worth a wait.
	homeBytes = 100_000
)

// holdForHome marks the jobs that had better wait for a busy server of their own
// failure domain than go to a free one elsewhere now. Jobs beyond what those
// servers take in the time are not held: a free server would stand idle while
// work piles up.
func (q *Queue) holdForHome(now time.Time) {
	ahead := map[string]int{} // items by domain
	for _, j := range q.waiting {
		before := ahead[j.Domain]
		ahead[j.Domain] += len(j.next)
		j.held = j.RemoteBytes >= homeBytes && before < q.opts.MaxItems*q.homeCalls(j, now)
	}
}

// homeCalls is how many calls the servers of a job's own failure domain can begin
// while the job may wait.
func (q *Queue) homeCalls(j *Job, now time.Time) int {
	n := 0
	for _, s := range q.servers {
		if s.Domain == j.Domain && q.works(s, now) && q.take(nil, s, j) > 0 && !q.freeAt(s, now).After(q.holdUntil(s, j)) {
			n++
		}
	}
	return n
}

// works tells whether a server can be expected to take a call soon.
func (q *Queue) works(s *server, now time.Time) bool {
	return !s.InBackoff(now) && !now.Before(s.fullTil) && s.slow <= slowFrom && len(s.calls) <= q.opts.slots()
}

// holdUntil is how long a job may wait for a server.
func (q *Queue) holdUntil(s *server, j *Job) time.Time {
	latest := j.TargetTime.Add(-q.takes(s, j) - homeSlack)
	if most := j.since.Add(homeWait); most.Before(latest) {
		return most
	}
	return latest
}

const (
	// fewFree is the share of the servers up to which a service counts as busy: a
	// free server then waits for a fuller call. A call of half its items takes
	// three quarters of the time of a full one, and a burst is served by what calls
	// hold. A usual load of four items each 50 ms takes 0.66 in place of 0.98 of
	// the time of five servers (the test of that load).
	fewFree = 0.4
	// gatherShare of a call's items is enough to send it.
	gatherShare = 0.7
	// gatherWait is the longest that a job waits for others: with two fifths of
	// the servers free the next one is free after about this time anyway.
	gatherWait = 100 * time.Millisecond
)

// gathers tells whether the free servers wait for more items to share a call.
func (q *Queue) gathers(free []*server, now time.Time) bool {
	if float64(len(free)) > fewFree*float64(len(q.servers)) {
		return false
	}
	items := 0
	for _, j := range q.waiting {
		if now.Sub(j.since) >= gatherWait || now.Add(q.opts.expected(q.opts.MaxItems)+gatherWait).After(j.TargetTime) {
			return false
		}
		items += len(j.next)
	}
	return float64(items) < gatherShare*float64(q.opts.MaxItems)
}
