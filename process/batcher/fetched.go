package batcher

import "time"

// fetchedShare of a call's expected time after its turn began, its server has fetched the
// inputs of all items: it does that first, and the rest of the call is work.
const fetchedShare = 0.3

// Fetching is how long after the begin of a call of some expected length its inputs are
// needed.
func Fetching(expect time.Duration) time.Duration {
	return time.Duration(fetchedShare * float64(expect))
}

// fetchedAt is when the server of a call has fetched its inputs. It is called for calls
// whose turn has begun.
func (c *Call) fetchedAt() time.Time { return c.StartBy.Add(Fetching(c.Expect)) }

// begun returns the calls that a server works on; those behind them wait at the server.
func (q *Queue) begun(s *server) []*Call { return s.calls[:min(len(s.calls), q.opts.slots())] }

// noteFetched tells the jobs whose inputs servers have fetched by now.
func (q *Queue) noteFetched(now time.Time) {
	for _, s := range q.servers {
		for _, c := range q.begun(s) {
			if c.fetched || now.Before(c.fetchedAt()) {
				continue
			}
			c.fetched = true
			for _, part := range c.Items {
				part.Job.noteFetched()
			}
		}
	}
}

// noteFetched notes that the inputs of one more item were fetched.
func (j *Job) noteFetched() {
	j.fetched++
	if j.Fetched != nil && j.fetched == len(j.Items) {
		j.Fetched()
	}
}

// nextFetched is when the inputs of a call will next have been fetched; zero: no call is
// at that.
func (q *Queue) nextFetched(now time.Time) time.Time {
	var next time.Time
	for _, s := range q.servers {
		for _, c := range q.begun(s) {
			if at := c.fetchedAt(); !c.fetched && at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}
