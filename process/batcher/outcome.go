package batcher

import "time"

// Answer is the outcome of a call, one result an item.
type Response struct {
	Results []Result // Reason Failed: the item may be given to another server
	// Err is set if the call failed as a whole; its items go to others.
	Err error
	// Busy tells that the server refused the call for the work that it has.
	Busy bool
}

// Ended takes the outcome of a call. Items that may be made elsewhere wait
// again.
func (q *Queue) CompleteCall(c *Call, a Response, now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	s := q.servers[c.Server.ID]
	if s != nil && s.LocalState == c.Server.LocalState {
		q.settle(s, c, a, now)
	}
	again := map[*Job]bool{}
	for i, part := range c.Items {
		j := part.Job
		reason := Failed
		switch {
		case a.Busy:
			reason = NoCapacity
		case a.Err == nil:
			reason = a.Results[i].Reason
		}
		if reason != Failed && reason != NoCapacity {
			if !c.fetched {
				j.noteFetched()
			}
			j.OnResult(part.Index, a.Results[i])
			continue
		}
		j.next = append(j.next, part.Index)
		if c.fetched {
			j.fetched--
		}
		again[j] = again[j] || reason == Failed
		if reason == Failed {
			if j.failedOn == nil {
				j.failedOn = map[string]bool{}
			}
			j.failedOn[c.Server.ID] = true
		}
	}
	for j, failed := range again {
		q.requeue(j, failed)
	}
}

// requeue puts a job back of which items are to be made again.
func (q *Queue) requeue(j *Job, failed bool) {
	if failed {
		j.attempts++
	}
	switch {
	case j.cancelled:
		q.remove(j)
		j.end(Cancelled)
	case j.spent.Load():
		q.remove(j)
		j.end(InputLost)
	case j.attempts >= maxAttempts:
		q.remove(j)
		j.end(Failed)
	case !contains(q.waiting, j):
		q.insert(j)
	}
}

func (q *Queue) remove(j *Job) {
	for i, other := range q.waiting {
		if other == j {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

func contains(list []*Job, j *Job) bool {
	for _, other := range list {
		if other == j {
			return true
		}
	}
	return false
}

// slowShare is the weight of the newest call in a server's speed: after two
// calls most of a change is known, one odd call does not decide.
const slowShare = 0.5

// settle notes what a call tells of its server.
func (q *Queue) settle(s *server, c *Call, a Response, now time.Time) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	made, noRoom := int64(0), false
	for i, r := range a.Results {
		if r.Handle != "" {
			made += c.Items[i].Job.ResultBytes
		}
		noRoom = noRoom || r.Reason == NoCapacity
	}
	switch {
	case a.Busy:
		// Another host gives it work, too; its calls take their time.
		s.fullTil = now.Add(busyPause)
	case a.Err != nil:
		// How long a call without an answer takes is at least known.
		waited := float64(now.Sub(c.ExpectedStart)) / float64(q.opts.expected(len(c.Items)))
		s.slow = min(max(s.slow, waited), maxSlow)
	case made > 0 && !noRoom:
		took := now.Add(-s.oneWay).Sub(c.ExpectedStart)
		ratio := float64(took) / float64(q.opts.expected(len(c.Items)))
		s.slow += slowShare * (min(max(ratio, minSlow), maxSlow) - s.slow)
	}
	if noRoom {
		// Less fits than was thought: sizes are approximate, and another host
		// may have given the server work. Asking again before anything was
		// freed would only be refused again.
		s.room = max(s.held()-c.bytes+made, int64(leastRoom*float64(q.opts.ResultMemoryBytes)))
		s.fullTil = now.Add(fullPause)
		s.ask = true
	}
	s.inCalls -= c.bytes
	if made > 0 {
		s.results = append(s.results, heldResults{until: now.Add(q.opts.ResultTTL), bytes: made})
	}
	// A call behind this one begins now, earlier or later than was expected.
	if n := len(s.calls); n >= q.opts.slots() {
		behind := s.calls[n-1]
		behind.ExpectedStart = now.Add(-s.oneWay)
		behind.ExpectedEnd = behind.ExpectedStart.Add(behind.ExpectedDuration)
	}
}

// busyPause: half of a call's time, after which a busy server's queue has room.
const busyPause = 120 * time.Millisecond

// fullPause is how long a server without room is left alone if nothing is
// freed there before: about the rest of a call of the stage that follows.
const fullPause = 150 * time.Millisecond

// Bounds of the speed that is believed of a server.
const (
	minSlow = 0.6
	maxSlow = 8
)

// Recover lets the believed speed of idle servers drift back to what is
// expected, so that one that was slow is tried again. It is called each second.
func (q *Queue) DecayEstimates() {
	for _, s := range q.servers {
		if len(s.calls) == 0 {
			s.slow += slowRecovery * (1 - s.slow)
		}
		s.recoverRoom(q.opts.ResultMemoryBytes)
	}
}

// slowRecovery: a server five times too slow counts as normal again after
// about four seconds without a call.
const slowRecovery = 0.4
