package batcher

import "time"

// A job may wait although a server is free: for a server in the failure domain of its
// inputs, or for more items to fill a call.

const (
	// maxLocalWait is the longest that a job waits for a busy server of its own
	// failure domain. It is half of a typical call time: two servers of a domain that
	// alternate both become free within it. Longer waits make requests late.
	maxLocalWait = 250 * time.Millisecond
	// localWaitMargin is left between the expected end of a job that waits and its
	// target time. It covers the variance of call times, which are approximate.
	localWaitMargin = 50 * time.Millisecond
	// minRemoteBytes is the least cross-domain transfer that justifies a wait.
	minRemoteBytes = 100_000
)

// holdForLocalServers marks the jobs that should wait for a busy server of their own
// failure domain rather than use a free one in another domain. It does not hold more
// jobs than those servers can take in time: a free server would stay idle while the
// queue grows.
func (q *Queue) holdForLocalServers(now time.Time) {
	ahead := map[string]int{} // items of the jobs before j, by failure domain
	for _, j := range q.waiting {
		before := ahead[j.Domain]
		ahead[j.Domain] += len(j.pendingItems)
		j.heldForLocal = j.RemoteBytes >= minRemoteBytes && before < q.opts.MaxItems*q.localCallsInTime(j, now)
	}
}

// localCallsInTime returns how many calls the servers of a job's own failure domain can
// start before the job has to stop waiting.
func (q *Queue) localCallsInTime(j *Job, now time.Time) int {
	n := 0
	for _, s := range q.servers {
		if s.Domain == j.Domain && q.availableSoon(s, now) && q.itemsThatFit(nil, s, j) > 0 && !q.slotFreeAt(s, now).After(q.localWaitEnd(s, j)) {
			n++
		}
	}
	return n
}

// availableSoon reports whether a server is expected to accept a call soon.
func (q *Queue) availableSoon(s *server, now time.Time) bool {
	return !s.InBackoff(now) && s.Pauses.Admits(now) && !now.Before(s.fullUntil) && s.slowdown <= slowThreshold && len(s.calls) <= q.opts.slotCount()
}

// localWaitEnd returns until when a job may wait for the server s of its own domain.
func (q *Queue) localWaitEnd(s *server, j *Job) time.Time {
	latest := j.TargetTime.Add(-q.jobCallTime(s, j) - localWaitMargin)
	if maxWaitEnd := j.queuedAt.Add(maxLocalWait); maxWaitEnd.Before(latest) {
		return maxWaitEnd
	}
	return latest
}

const (
	// maxFreeShare is the fraction of free servers up to which a service counts as
	// busy. A free server of a busy service then waits for a fuller call: a call with
	// half the maximum of items takes three quarters of the time of a full one, and
	// the capacity that fuller calls save serves bursts. With requests of four items
	// every 50 ms, five servers are busy 0.66 of the time rather than 0.98 (see
	// TestNormalLoadLeavesCapacityForBurst).
	maxFreeShare = 0.4
	// minBatchShare is the fraction of Options.MaxItems that is enough to send a call.
	minBatchShare = 0.7
	// maxBatchWait is the longest that a job waits for more items. With two fifths
	// of the servers free, the next server becomes free after about this time.
	maxBatchWait = 100 * time.Millisecond
)

// waitsForFullerBatch reports whether the free servers should wait for more items.
func (q *Queue) waitsForFullerBatch(free []*server, now time.Time) bool {
	if float64(len(free)) > maxFreeShare*float64(len(q.servers)) {
		return false
	}
	items := 0
	for _, j := range q.waiting {
		if now.Sub(j.queuedAt) >= maxBatchWait || now.Add(q.opts.expectedCallTime(q.opts.MaxItems)+maxBatchWait).After(j.TargetTime) {
			return false
		}
		items += len(j.pendingItems)
	}
	return float64(items) < minBatchShare*float64(q.opts.MaxItems)
}
