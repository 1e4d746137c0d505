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
	q.fill(c, s, now)
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
		if q.take(nil, s, j) == 0 || j.failedOn[s.ID] && q.others(j) {
			continue
		}
		if s.slow > slowFrom && s.freeAt(now).Add(q.takes(s, j)).After(j.DieBy) {
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
	for id := range q.servers {
		if !j.failedOn[id] {
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
		if s != slow && !s.Avoided(now) && q.fits(s, j.ItemBytes) && s.freeAt(now).Add(q.takes(s, j)).Before(done) {
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

// roomShare of the configured room is filled: sizes of results are approximate.
const roomShare = 0.96

// roomOf is the room for results at a server; 0: not bounded.
func (q *Queue) roomOf(s *server) int64 {
	room := int64(roomShare * float64(q.opts.RoomBytes))
	if s.room > 0 {
		room = min(room, s.room)
	}
	return room
}

func (q *Queue) fits(s *server, bytes int64) bool {
	room := q.roomOf(s)
	// An empty server takes one item whatever its size.
	return room <= 0 || s.held() == 0 || s.held()+bytes <= room
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
		if len(c.Items) == 0 || !q.waitsForHome(j, now) {
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

// homeWait is how long a job waits for a server of its own failure domain. Longer
// waits keep more results in their domain (7 to 10% less crosses with 120 ms) but
// cost more requests their target latency than that is worth.
const homeWait = 50 * time.Millisecond

// waitsForHome tells whether a job can wait a little for a server of its own
// failure domain, which spares the results a way between domains.
func (q *Queue) waitsForHome(j *Job, now time.Time) bool {
	if now.Sub(j.since) >= homeWait || j.AwayBytes < homeBytes {
		return false
	}
	for _, s := range q.servers {
		if s.Domain == j.Domain && !s.Avoided(now) && !now.Before(s.fullTil) && len(s.calls) < 2 && q.fits(s, j.ItemBytes) &&
			s.freeAt(now).Sub(now) < homeWait {
			return true
		}
	}
	return false
}

// homeBytes: what less than this crosses domains is not worth a wait.
const homeBytes = 100_000

// take is how many items of a job a call (nil: an empty one) to a server takes.
func (q *Queue) take(c *Call, s *server, j *Job) int {
	items, bytes := 0, int64(0)
	if c != nil {
		items, bytes = len(c.Items), c.bytes
	}
	n := min(len(j.next), q.opts.MaxItems-items)
	if room := q.roomOf(s); room > 0 && j.ItemBytes > 0 {
		left := room - s.held() - bytes
		if s.held()+bytes == 0 {
			left = max(left, j.ItemBytes) // an empty server takes one item whatever its size
		}
		n = min(n, int(max(left, 0)/j.ItemBytes))
	}
	return n
}

func (q *Queue) move(c *Call, s *server, j *Job) {
	if j.failedOn[s.ID] && q.others(j) {
		return // a server that fails part of its items would have them all three times
	}
	n := q.take(c, s, j)
	for _, i := range j.next[:n] {
		c.Items = append(c.Items, Part{j, i})
	}
	j.next = j.next[n:]
	c.bytes += int64(n) * j.ItemBytes
}

// Answer is the outcome of a call, one result an item.
type Answer struct {
	Results []Result // Reason Failed: the item may be given to another server
	// Err is set if the call failed as a whole; its items go to others.
	Err error
	// Busy tells that the server refused the call for the work that it has.
	Busy bool
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
		reason := Failed
		switch {
		case a.Busy:
			reason = NoRoom
		case a.Err == nil:
			reason = a.Results[i].Reason
		}
		if reason != Failed && reason != NoRoom {
			j.Done(part.Index, a.Results[i])
			continue
		}
		j.next = append(j.next, part.Index)
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
func (q *Queue) settle(s *server, c *Call, a Answer, now time.Time) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			break
		}
	}
	made, noRoom := int64(0), false
	for i, r := range a.Results {
		if r.Handle != "" {
			made += c.Items[i].Job.ItemBytes
		}
		noRoom = noRoom || r.Reason == NoRoom
	}
	switch {
	case a.Busy:
		// Another host gives it work, too; its calls take their time.
		s.fullTil = now.Add(busyPause)
	case a.Err != nil:
		// How long a call without an answer takes is at least known.
		waited := float64(now.Sub(c.StartBy)) / float64(q.opts.expected(len(c.Items)))
		s.slow = min(max(s.slow, waited), maxSlow)
	case made > 0 && !noRoom:
		took := now.Add(-s.oneWay).Sub(c.StartBy)
		ratio := float64(took) / float64(q.opts.expected(len(c.Items)))
		s.slow += slowShare * (min(max(ratio, minSlow), maxSlow) - s.slow)
	}
	if noRoom {
		// Less fits than was thought: sizes are approximate, and another host
		// may have given the server work. Asking again before anything was
		// freed would only be refused again.
		s.room = max(s.held()-c.bytes+made, int64(leastRoom*float64(q.opts.RoomBytes)))
		s.fullTil = now.Add(fullPause)
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

// Freed notes that a server no longer holds results of the given size.
func (q *Queue) Freed(serverID string, bytes int64) {
	s := q.servers[serverID]
	if s == nil {
		return
	}
	s.fullTil = time.Time{}
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
		s.room += int64(roomRecovery * float64(q.opts.RoomBytes))
	}
}

const (
	// leastRoom of the configured room is always believed in: what another host
	// put there is gone within seconds.
	leastRoom = 0.5
	// roomRecovery of the configured room is believed in again each second.
	roomRecovery = 0.15
)

// slowRecovery: a server five times too slow counts as normal again after
// about four seconds without a call.
const slowRecovery = 0.4
