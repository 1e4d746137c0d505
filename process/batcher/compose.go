package batcher

import (
	"time"
)

// composeCall composes a call for one of the free servers and records it as in flight
// there. It returns nil if no waiting job can go to any of them.
func (q *Queue) composeCall(free []*server, now time.Time) *Call {
	q.holdForLocalServers(now)
	s := q.firstServer(free, now)
	if s == nil {
		return nil
	}
	c := &Call{Server: s.Server, sentAt: now}
	start := q.slotFreeAt(s, now)
	if arrive := now.Add(s.oneWayLatency); arrive.After(start) {
		start = arrive
	}
	c.ExpectedStart = start
	q.fillCall(c, s, now)
	if len(c.Items) == 0 {
		return nil
	}
	c.ExpectedDuration = time.Duration(float64(q.opts.expectedCallTime(len(c.Items))) * s.slowdown)
	c.ExpectedEnd = start.Add(c.ExpectedDuration)
	s.calls = append(s.calls, c)
	s.inFlightBytes += c.resultBytes
	q.opts.countCall(s.Server)
	return c
}

// firstServer returns the server for the first waiting job that has one; nil if none has.
func (q *Queue) firstServer(free []*server, now time.Time) *server {
	for _, j := range q.waiting {
		if s := q.chooseServer(j, free, now); s != nil {
			return s
		}
	}
	return nil
}

// chooseServer returns the free server for a job, or nil if none takes an item of it or waiting for
// a busy server is faster. It prefers servers in the job's failure domain, so that its results need
// not cross domains, unless those are slow.
func (q *Queue) chooseServer(j *Job, free []*server, now time.Time) *server {
	var best *server
	for _, s := range free {
		if j.heldForLocal && s.Domain != j.Domain || q.itemsThatFit(nil, s, j) == 0 || j.failedServers[s.ID] && q.hasOtherServer(j) {
			continue
		}
		if s.slowdown > slowThreshold && q.slotFreeAt(s, now).Add(q.jobCallTime(s, j)).After(j.Deadline) {
			continue
		}
		if best == nil || q.preferable(s, best, j) {
			best = s
		}
	}
	if best != nil && best.slowdown > slowThreshold && q.busyServerIsSooner(best, j, now) {
		return nil
	}
	return best
}

// hasOtherServer reports whether some server in a region that the job allows has not failed on it.
func (q *Queue) hasOtherServer(j *Job) bool {
	for id, s := range q.servers {
		if !j.failedServers[id] && j.AllowedRegions.Allows(s.Region) {
			return true
		}
	}
	return false
}

// busyServerIsSooner reports whether a job would complete sooner by waiting for a busy
// server than on the given free but slow server.
func (q *Queue) busyServerIsSooner(free *server, j *Job, now time.Time) bool {
	done := now.Add(q.jobCallTime(free, j))
	for _, s := range q.servers {
		if s != free && !s.InBackoff(now) && s.Pauses.Pause(now) == nil && q.itemsThatFit(nil, s, j) > 0 && q.slotFreeAt(s, now).Add(q.jobCallTime(s, j)).Before(done) {
			return true
		}
	}
	return false
}

// jobCallTime returns the expected time of a call to s with only this job's items.
func (q *Queue) jobCallTime(s *server, j *Job) time.Duration {
	return time.Duration(float64(q.opts.expectedCallTime(min(len(j.pendingItems), q.opts.MaxItems))) * s.slowdown)
}

// slowThreshold is the slowdown above which a server counts as slow. The configured call
// times are approximate; their errors stay below it.
const slowThreshold = 1.6

// preferable reports whether a suits the job better than b: a server that is not slow,
// then one in the job's failure domain.
func (q *Queue) preferable(a, b *server, j *Job) bool {
	if slowA, slowB := a.slowdown > slowThreshold, b.slowdown > slowThreshold; slowA != slowB {
		return slowB
	}
	return a.Domain == j.Domain && b.Domain != j.Domain
}

// fillCall moves waiting items into the call: those of urgent jobs, or else first those of jobs in the
// server's failure domain, then those of jobs that are not held for a server of their own domain.
func (q *Queue) fillCall(c *Call, s *server, now time.Time) {
	q.addItemsOf(c, s, func(j *Job) bool { return j.Urgent })
	if len(c.Items) == 0 {
		q.addItemsOf(c, s, func(j *Job) bool { return j.Domain == s.Domain })
		q.addItemsOf(c, s, func(j *Job) bool { return !j.heldForLocal })
	}
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if len(j.pendingItems) > 0 {
			kept = append(kept, j)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// itemsThatFit returns how many items of a job can be added to a call to a server; a nil
// call is an empty one. It returns 0 if the job does not allow the server's region.
func (q *Queue) itemsThatFit(c *Call, s *server, j *Job) int {
	if !j.AllowedRegions.Allows(s.Region) {
		return 0
	}
	items, bytes := 0, int64(0)
	if c != nil {
		items, bytes = len(c.Items), c.resultBytes
	}
	n := min(len(j.pendingItems), q.opts.MaxItems-items)
	if limit := q.resultMemory(s); limit > 0 && j.ResultBytes > 0 {
		free := limit - s.usedBytes() - bytes
		if s.usedBytes()+bytes == 0 {
			free = max(free, j.ResultBytes) // an empty server takes one item of any size
		}
		n = min(n, int(max(free, 0)/j.ResultBytes))
	}
	return n
}

// addItemsOf moves waiting items of some jobs into the call.
func (q *Queue) addItemsOf(c *Call, s *server, wanted func(*Job) bool) {
	for _, j := range q.waiting {
		if wanted(j) {
			q.addItems(c, s, j)
		}
	}
}

// addItems moves as many items of a job into the call as fit.
func (q *Queue) addItems(c *Call, s *server, j *Job) {
	if j.failedServers[s.ID] && q.hasOtherServer(j) {
		return // otherwise a server that fails some items would use up all attempts of a job
	}
	n := q.itemsThatFit(c, s, j)
	for _, i := range j.pendingItems[:n] {
		c.Items = append(c.Items, ItemRef{j, i})
	}
	j.pendingItems = j.pendingItems[n:]
	c.resultBytes += int64(n) * j.ResultBytes
}
