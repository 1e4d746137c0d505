package batcher

import (
	"time"
)

// compose fills one call for one of the free servers, or returns nil.
func (q *Queue) compose(free []*server, now time.Time) *Call {
	q.holdForHome(now)
	s := q.placeFirst(free, now)
	if s == nil {
		return nil
	}
	c := &Call{Server: s.Server, sent: now}
	start := q.freeAt(s, now)
	if arrive := now.Add(s.oneWay); arrive.After(start) {
		start = arrive
	}
	c.ExpectedStart = start
	q.fill(c, s, now)
	if len(c.Items) == 0 {
		return nil
	}
	c.ExpectedDuration = time.Duration(float64(q.opts.expected(len(c.Items))) * s.slow)
	c.ExpectedEnd = start.Add(c.ExpectedDuration)
	s.calls = append(s.calls, c)
	s.inCalls += c.bytes
	return c
}

// placeFirst returns a server for the first job that has one.
func (q *Queue) placeFirst(free []*server, now time.Time) *server {
	for _, j := range q.waiting {
		if s := q.place(j, free, now); s != nil {
			return s
		}
	}
	return nil
}

// place chooses the server for a job: one in the job's own failure domain, so
// that its results need not cross domains, unless that one is slow.
func (q *Queue) place(j *Job, free []*server, now time.Time) *server {
	var best *server
	for _, s := range free {
		if j.held && s.Domain != j.Domain || q.take(nil, s, j) == 0 || j.failedOn[s.ID] && q.others(j) {
			continue
		}
		if s.slow > slowFrom && q.freeAt(s, now).Add(q.takes(s, j)).After(j.Deadline) {
			continue
		}
		if best == nil || q.better(s, best, j) {
			best = s
		}
	}
	if best != nil && best.slow > slowFrom && q.soonerElsewhere(best, j, now) {
		return nil
	}
	return best
}

// others tells whether there is a server that has not failed on the job.
func (q *Queue) others(j *Job) bool {
	for id, s := range q.servers {
		if !j.failedOn[id] && j.AllowedRegions.Allows(s.Region) {
			return true
		}
	}
	return false
}

// soonerElsewhere tells whether a job is done sooner if it waits for a busy
// server than if it goes to the free but slow one now.
func (q *Queue) soonerElsewhere(slow *server, j *Job, now time.Time) bool {
	done := now.Add(q.takes(slow, j))
	for _, s := range q.servers {
		if s != slow && !s.InBackoff(now) && q.take(nil, s, j) > 0 && q.freeAt(s, now).Add(q.takes(s, j)).Before(done) {
			return true
		}
	}
	return false
}

// takes is how long a call with just this job would take.
func (q *Queue) takes(s *server, j *Job) time.Duration {
	return time.Duration(float64(q.opts.expected(min(len(j.next), q.opts.MaxItems))) * s.slow)
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

// fill moves waiting items into the call: first those that are best made here,
// then others that had better not wait for a server of their own domain.
func (q *Queue) fill(c *Call, s *server, now time.Time) {
	for _, j := range q.waiting {
		if j.Domain == s.Domain {
			q.move(c, s, j)
		}
	}
	for _, j := range q.waiting {
		if !j.held {
			q.move(c, s, j)
		}
	}
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if len(j.next) > 0 {
			kept = append(kept, j)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// take is how many items of a job a call (nil: an empty one) to a server takes; none to
// one in a region that the job does not allow.
func (q *Queue) take(c *Call, s *server, j *Job) int {
	if !j.AllowedRegions.Allows(s.Region) {
		return 0
	}
	items, bytes := 0, int64(0)
	if c != nil {
		items, bytes = len(c.Items), c.bytes
	}
	n := min(len(j.next), q.opts.MaxItems-items)
	if room := q.roomOf(s); room > 0 && j.ResultBytes > 0 {
		left := room - s.held() - bytes
		if s.held()+bytes == 0 {
			left = max(left, j.ResultBytes) // an empty server takes one item whatever its size
		}
		n = min(n, int(max(left, 0)/j.ResultBytes))
	}
	return n
}

func (q *Queue) move(c *Call, s *server, j *Job) {
	if j.failedOn[s.ID] && q.others(j) {
		return // a server that fails part of its items would have them all three times
	}
	n := q.take(c, s, j)
	for _, i := range j.next[:n] {
		c.Items = append(c.Items, ItemRef{j, i})
	}
	j.next = j.next[n:]
	c.bytes += int64(n) * j.ResultBytes
}
