package batcher

import "time"

// inputFetchShare is the fraction of a call's expected time after which its server has
// fetched the inputs of all items. Servers fetch inputs before they compute.
const inputFetchShare = 0.3

// InputFetchTime returns how long after the start of a call of the given expected
// duration its inputs are still needed.
func InputFetchTime(expected time.Duration) time.Duration {
	return time.Duration(inputFetchShare * float64(expected))
}

// inputsFetchedAt returns when the server has fetched the inputs of a call. It is valid
// only for calls that the server has started.
func (c *Call) inputsFetchedAt() time.Time {
	return c.ExpectedStart.Add(InputFetchTime(c.ExpectedDuration))
}

// runningCalls returns the calls that a server runs; the others are queued at the server.
func (q *Queue) runningCalls(s *server) []*Call {
	return s.calls[:min(len(s.calls), q.opts.slotCount())]
}

// updateFetchedInputs notifies the jobs whose inputs have been fetched by now, according to the
// expected times. It returns when the next running call will have fetched its inputs, or the
// zero time if none is fetching.
func (q *Queue) updateFetchedInputs(now time.Time) (next time.Time) {
	for _, s := range q.servers {
		for _, c := range q.runningCalls(s) {
			if c.inputsFetched {
				continue
			}
			if at := c.inputsFetchedAt(); now.Before(at) {
				next = earlier(next, at)
				continue
			}
			c.inputsFetched = true
			for _, item := range c.Items {
				item.Job.itemInputsFetched()
			}
		}
	}
	return next
}

// itemInputsFetched records that the inputs of one more item have been fetched, and calls
// OnInputsFetched after the last one.
func (j *Job) itemInputsFetched() {
	j.fetchedItems++
	if j.OnInputsFetched != nil && j.fetchedItems == len(j.Items) {
		j.OnInputsFetched()
	}
}

// earlier returns the earlier of two times, or b if a is zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
