package batcher

import "time"

// Response is the outcome of a call.
type Response struct {
	Results []Result // one per item of the call, in their order; an item with reason Failed may be retried on another server
	// Err is set if the call failed as a whole. Its items are retried on other servers.
	Err error
	// Busy is set together with Err if the server refused the call because it is overloaded.
	// It has run none of the items, and the refusal does not count as a failed attempt.
	Busy bool
}

// CompleteCall applies the response to a call and requeues the items that may be
// retried. Further responses to the same call are ignored.
func (q *Queue) CompleteCall(c *Call, resp Response, now time.Time) {
	if c.completed {
		return
	}
	c.completed = true
	s := q.servers[c.Server.ID]
	if s != nil && s.LocalState == c.Server.LocalState {
		q.updateServer(s, c, resp, now)
	}
	retries := map[*Job]bool{}
	for i, item := range c.Items {
		j := item.Job
		reason := Failed
		switch {
		case resp.Busy:
			reason = NoCapacity
		case resp.Err == nil:
			reason = resp.Results[i].Reason
		}
		if reason != Failed && reason != NoCapacity {
			if !c.inputsFetched {
				j.itemInputsFetched()
			}
			j.OnResult(item.Index, resp.Results[i])
			continue
		}
		j.pendingItems = append(j.pendingItems, item.Index)
		if c.inputsFetched {
			j.fetchedItems--
		}
		retries[j] = retries[j] || reason == Failed
		if reason == Failed {
			if j.failedServers == nil {
				j.failedServers = map[string]bool{}
			}
			j.failedServers[c.Server.ID] = true
		}
	}
	for j, failed := range retries {
		q.requeue(j, failed)
	}
}

// requeue puts a job with items to retry back into the queue, or ends these items if they must
// not be retried. failed is true if an item failed, false if servers only lacked capacity.
func (q *Queue) requeue(j *Job, failed bool) {
	if failed {
		j.failedAttempts++
	}
	switch {
	case j.cancelled:
		q.remove(j)
		j.finishPending(Cancelled)
	case j.inputsReleased.Load():
		q.remove(j)
		j.finishPending(InputLost)
	case j.failedAttempts >= maxAttempts:
		q.remove(j)
		j.finishPending(Failed)
	case !contains(q.waiting, j):
		q.insert(j)
	}
}

// remove removes a job from the queue, if it is there.
func (q *Queue) remove(j *Job) {
	for i, other := range q.waiting {
		if other == j {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// contains reports whether j is in the list.
func contains(list []*Job, j *Job) bool {
	for _, other := range list {
		if other == j {
			return true
		}
	}
	return false
}

// slowdownWeight is the weight of the newest call in a server's slowdown. Two calls
// reveal most of a change, while a single outlier has limited effect.
const slowdownWeight = 0.5

// updateServer updates the state of a server from the response to a call.
func (q *Queue) updateServer(s *server, c *Call, resp Response, now time.Time) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	stored, full := int64(0), false
	for i, r := range resp.Results {
		if r.Handle != "" {
			stored += c.Items[i].Job.ResultBytes
		}
		full = full || r.Reason == NoCapacity
	}
	switch {
	case resp.Busy:
		// Other entry hosts send it calls too, and those take their time.
		s.fullUntil = now.Add(busyPause)
	case resp.Err != nil:
		// The elapsed time is a lower bound on the time of the call that failed.
		atLeast := float64(now.Sub(c.ExpectedStart)) / float64(q.opts.expectedCallTime(len(c.Items)))
		s.slowdown = min(max(s.slowdown, atLeast), maxSlowdown)
	case stored > 0 && !full:
		took := now.Add(-s.oneWayLatency).Sub(c.ExpectedStart)
		ratio := float64(took) / float64(q.opts.expectedCallTime(len(c.Items)))
		s.slowdown += slowdownWeight * (min(max(ratio, minSlowdown), maxSlowdown) - s.slowdown)
		q.measureSpeed(s, ratio, now)
	}
	if full {
		// Less fits than estimated: result sizes are approximate, and other entry
		// hosts may use the server. Another call before some results are released
		// would be refused again.
		s.memoryLimit = max(s.usedBytes()-c.resultBytes+stored, int64(minMemoryShare*float64(q.opts.ResultMemoryBytes)))
		s.fullUntil = now.Add(fullPause)
		s.needsProbe = true
	}
	s.inFlightBytes -= c.resultBytes
	if stored > 0 {
		s.results = append(s.results, storedResults{expiresAt: now.Add(q.opts.ResultTTL), bytes: stored})
	}
	// The call queued behind this one starts now, earlier or later than expected.
	if n := len(s.calls); n >= q.opts.slotCount() {
		behind := s.calls[n-1]
		behind.ExpectedStart = now.Add(-s.oneWayLatency)
		behind.ExpectedEnd = behind.ExpectedStart.Add(behind.ExpectedDuration)
	}
}

// busyPause is the pause after a server refused a call as overloaded. It is half of a
// call time, after which the server can queue another call.
const busyPause = 120 * time.Millisecond

// fullPause is the pause after a server ran out of result memory, unless results are
// released there earlier. It is about the remaining time of a call of the next stage.
const fullPause = 150 * time.Millisecond

// Bounds of the estimated slowdown of a server: the ratio of observed to expected call times.
const (
	minSlowdown = 0.6
	maxSlowdown = 8
)

// DecayEstimates moves the estimated slowdown of idle servers towards 1, and the learned
// memory limits towards the configured one, so that servers that were slow or full are
// used again. It has to be called once per second.
func (q *Queue) DecayEstimates() {
	for _, s := range q.servers {
		if len(s.calls) == 0 {
			s.slowdown += slowdownRecovery * (1 - s.slowdown)
		}
		s.recoverMemoryLimit(q.opts.ResultMemoryBytes)
	}
}

// slowdownRecovery is the fraction of the excess slowdown that an idle server loses per
// second. A server with slowdown 5 counts as normal after about four seconds without a call.
const slowdownRecovery = 0.4
