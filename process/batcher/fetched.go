package batcher

import "time"

// fetchedShare of a call's expected time after its turn began, its server has fetched the
// inputs of all items: it does that first, and the rest of the call is work.
const fetchedShare = 0.3

// Fetching is how long after the begin of a call of some expected length its inputs are
// needed.
func InputFetchTime(expect time.Duration) time.Duration {
	return time.Duration(fetchedShare * float64(expect))
}

// fetchedAt is when the server of a call has fetched its inputs. It is called for calls
// whose turn has begun.
func (c *Call) fetchedAt() time.Time { return c.ExpectedStart.Add(InputFetchTime(c.ExpectedDuration)) }

// begun returns the calls that a server works on; those behind them wait at the server.
func (q *Queue) begun(s *server) []*Call { return s.calls[:min(len(s.calls), q.opts.slots())] }

// noteFetched tells the jobs whose inputs servers have fetched by now, and returns when the
// next call's will have been; zero: no call is at that.
func (q *Queue) noteFetched(now time.Time) (next time.Time) {
	for _, s := range q.servers {
		for _, c := range q.begun(s) {
			if c.fetched {
				continue
			}
			if at := c.fetchedAt(); now.Before(at) {
				next = earlier(next, at)
				continue
			}
			c.fetched = true
			for _, part := range c.Items {
				part.Job.noteFetched()
			}
		}
	}
	return next
}

// noteFetched notes that the inputs of one more item were fetched.
func (j *Job) noteFetched() {
	j.fetched++
	if j.OnInputsFetched != nil && j.fetched == len(j.Items) {
		j.OnInputsFetched()
	}
}

// earlier returns the earlier of two times, of which the first may be zero: none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
