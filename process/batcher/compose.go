package batcher

import (
	"time"
)

// compose fills one call for one of the free servers, or returns nil.
func (q *Queue) compose(free []*server, now time.Time) *Call {
	s := q.placeFirst(free, now)
	if s == nil {
		return nil
	}
	c := &Call{Server: s.Server, sent: now}
	start := s.freeAt(now)
	if arrive := now.Add(s.oneWay); arrive.After(start) {
		start = arrive
	}
	c.StartBy = start
	q.fill(c, s, &q.onTime, start)
	q.fill(c, s, &q.late, start)
	if len(c.Items) == 0 {
		return nil
	}
	c.Expect = time.Duration(float64(q.opts.expected(len(c.Items))) * s.slow)
	c.FreeAt = start.Add(c.Expect)
	s.calls = append(s.calls, c)
	s.inCalls += c.bytes
	return c
}

// placeFirst returns a server for the first job that has one.
func (q *Queue) placeFirst(free []*server, now time.Time) *server {
	for _, list := range [][]*Job{q.onTime, q.late} {
		for _, j := range list {
			if s := q.place(j, free, now); s != nil {
				return s
			}
		}
	}
	return nil
}

// place chooses the server for a job: one in the job's own failure domain, so
// that its results need not cross domains, unless that one is slow.
func (q *Queue) place(j *Job, free []*server, now time.Time) *server {
	var best *server
	for _, s := range free {
		if !q.fits(s, j.ItemBytes) {
			continue
		}
		finish := s.freeAt(now).Add(q.takes(s, j))
		if !j.late && finish.After(j.AimBy) && s.slow > slowFrom {
			continue
		}
		if best == nil || q.better(s, best, j) {
			best = s
		}
	}
	return best
}

// takes is how long a call with just this job would take.
func (q *Queue) takes(s *server, j *Job) time.Duration {
	return time.Duration(float64(q.opts.expected(j.pending)) * s.slow)
}

// slowFrom is how much longer than expected calls take at a server that is
// counted as slow; call times that are only approximate stay below.
const slowFrom = 1.6

func (q *Queue) better(a, b *server, j *Job) bool {
	if slowA, slowB := a.slow > slowFrom, b.slow > slowFrom; slowA != slowB {
		return slowB
	}
	return a.Domain == j.Domain && b.Domain != j.Domain
}

func (q *Queue) fits(s *server, bytes int64) bool {
	return q.opts.RoomBytes <= 0 || s.held()+bytes <= q.opts.RoomBytes
}

// fill moves items of waiting jobs into the call.
func (q *Queue) fill(c *Call, s *server, list *[]*Job, start time.Time) {
	kept := (*list)[:0]
	for _, j := range *list {
		if j.late || s.slow <= slowFrom || !start.Add(q.takes(s, j)).After(j.AimBy) {
			q.move(c, s, j)
		}
		if j.pending > 0 {
			kept = append(kept, j)
		}
	}
	clear((*list)[len(kept):])
	*list = kept
}

func (q *Queue) move(c *Call, s *server, j *Job) {
	for j.pending > 0 && len(c.Items) < q.opts.MaxItems {
		if q.opts.RoomBytes > 0 && s.held()+c.bytes+j.ItemBytes > q.opts.RoomBytes {
			return
		}
		c.Items = append(c.Items, Part{j, j.next[0]})
		j.next = j.next[1:]
		j.pending--
		c.bytes += j.ItemBytes
	}
}

// Answer is the outcome of a call, one result an item.
type Answer struct {
	Results []Result // Reason Failed: the item may be given to another server
	// Err is set if the call failed as a whole; its items go to others.
	Err error
}

// Ended takes the outcome of a call. Items that may be made elsewhere wait
// again.
func (q *Queue) Ended(c *Call, a Answer, now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	s := q.servers[c.Server.ID]
	if s != nil && s.State == c.Server.State {
		q.settle(s, c, a, now)
	}
	again := map[*Job]bool{}
	for i, part := range c.Items {
		j := part.Job
		if a.Err == nil && a.Results[i].Reason != Failed {
			j.left--
			j.Done(part.Index, a.Results[i])
			continue
		}
		j.next = append(j.next, part.Index)
		j.pending++
		again[j] = true
	}
	for j := range again {
		q.requeue(j)
	}
}

// requeue puts a job back whose items failed, unless it waits already.
func (q *Queue) requeue(j *Job) {
	j.attempts++
	waiting := contains(q.onTime, j) || contains(q.late, j)
	if j.attempts >= maxAttempts || j.cancelled {
		if !waiting {
			r := Failed
			if j.cancelled {
				r = Cancelled
			}
			j.end(r, 0)
		}
		return
	}
	if !waiting {
		q.insert(j)
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
func (q *Queue) settle(s *server, c *Call, a Answer, now time.Time) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	made := int64(0)
	if a.Err == nil {
		for i, r := range a.Results {
			if r.Handle != "" {
				made += c.Items[i].Job.ItemBytes
			}
		}
		took := now.Add(-s.oneWay).Sub(c.StartBy)
		if took > 0 {
			ratio := float64(took) / float64(q.opts.expected(len(c.Items)))
			s.slow += slowShare * (min(max(ratio, minSlow), maxSlow) - s.slow)
		}
	}
	if a.Err != nil {
		// How long a call without an answer takes is at least known.
		waited := float64(now.Sub(c.StartBy)) / float64(q.opts.expected(len(c.Items)))
		s.slow = min(max(s.slow, waited), maxSlow)
	}
	s.inCalls -= c.bytes
	if made > 0 {
		s.results = append(s.results, heldResults{until: now.Add(q.opts.ResultTTL), bytes: made})
	}
	// A call behind this one begins now, earlier or later than was expected.
	for _, other := range s.calls {
		other.StartBy = now.Add(-s.oneWay)
		other.FreeAt = other.StartBy.Add(other.Expect)
	}
}

// Bounds of the speed that is believed of a server.
const (
	minSlow = 0.6
	maxSlow = 8
)

// Freed notes that a server no longer holds results of the given size.
func (q *Queue) Freed(serverID string, bytes int64) {
	s := q.servers[serverID]
	if s == nil {
		return
	}
	for bytes > 0 && len(s.results) > 0 {
		oldest := &s.results[0]
		part := min(bytes, oldest.bytes)
		oldest.bytes -= part
		bytes -= part
		if oldest.bytes == 0 {
			s.results = s.results[1:]
		}
	}
}

// heldResults are results of one call at a server.
type heldResults struct {
	until time.Time // when the server frees them by itself
	bytes int64
}

// held is the size of the results that a server keeps or is making.
func (s *server) held() int64 {
	sum := s.inCalls
	for _, r := range s.results {
		sum += r.bytes
	}
	return sum
}

// expire forgets results that nobody freed and that are gone by now: their
// host may have died, and the room would count as taken for good.
func (s *server) expire(now time.Time) {
	for len(s.results) > 0 && !now.Before(s.results[0].until) {
		s.results = s.results[1:]
	}
}

// Recover lets the believed speed of idle servers drift back to what is
// expected, so that one that was slow is tried again. It is called each second.
func (q *Queue) Recover() {
	for _, s := range q.servers {
		if len(s.calls) == 0 {
			s.slow += slowRecovery * (1 - s.slow)
		}
	}
}

// slowRecovery: a server five times too slow counts as normal again after
// about four seconds without a call.
const slowRecovery = 0.4
