package batcher

import (
	"sort"
	"time"

	"bilberrydale/process/directory"
)

// Queue decides which server takes which items. It is not safe for concurrent
// use; Batcher guards it.
type Queue struct {
	opts    Options
	onTime  []*Job // can still keep their target latency
	late    []*Job // cannot, but are of use until DieBy
	servers map[string]*server
}

// NewQueue returns a queue without servers.
func NewQueue(opts Options) *Queue {
	return &Queue{opts: opts, servers: map[string]*server{}}
}

// server is what the queue knows of one backend server.
type server struct {
	*directory.Server
	calls   []*Call
	slow    float64 // time that calls take over the expected time; 1: as expected
	inCalls int64   // bytes of results that present calls make
	results []heldResults
	oneWay  time.Duration
}

// Call is a call to one server.
type Call struct {
	Server  *directory.Server
	Items   []Part
	Expect  time.Duration // how long the server should work on it
	StartBy time.Time     // when the server should begin, at the latest
	// FreeAt is when the server should be done.
	FreeAt time.Time

	bytes int64
	sent  time.Time
	ended bool
}

// Part is one item of a call.
type Part struct {
	Job   *Job
	Index int // in Job.Items
}

// Configure puts new options in force.
func (q *Queue) Configure(opts Options) { q.opts = opts }

// SetServers replaces the servers that may get work. oneWay tells how long a
// message takes to a server.
func (q *Queue) SetServers(list []*directory.Server, oneWay func(*directory.Server) time.Duration) {
	next := make(map[string]*server, len(list))
	for _, d := range list {
		s := q.servers[d.ID]
		if s == nil || s.State != d.State {
			s = &server{slow: 1}
		}
		s.Server, s.oneWay = d, oneWay(d)
		next[d.ID] = s
	}
	q.servers = next
}

// Submit adds a job.
func (q *Queue) Submit(j *Job, now time.Time) {
	j.pending, j.left, j.enqueued = len(j.Items), len(j.Items), now
	j.next = make([]int, len(j.Items))
	for i := range j.next {
		j.next[i] = i
	}
	q.insert(j)
}

func (q *Queue) insert(j *Job) {
	if j.late {
		q.late = insertBy(q.late, j, func(a, b *Job) bool { return a.DieBy.Before(b.DieBy) })
		return
	}
	q.onTime = insertBy(q.onTime, j, func(a, b *Job) bool { return a.AimBy.Before(b.AimBy) })
}

func insertBy(list []*Job, j *Job, less func(a, b *Job) bool) []*Job {
	i := sort.Search(len(list), func(i int) bool { return less(j, list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = j
	return list
}

// Cancel drops the waiting items of a request.
func (q *Queue) Cancel(requestID string) {
	for _, list := range [][]*Job{q.onTime, q.late} {
		for _, j := range list {
			if j.Items[0].RequestID == requestID {
				j.cancelled = true
			}
		}
	}
}

// Waiting returns the number of items that wait for a call, on time and late.
func (q *Queue) Waiting() (onTime, late int) {
	for _, j := range q.onTime {
		onTime += j.pending
	}
	for _, j := range q.late {
		late += j.pending
	}
	return onTime, late
}

// Next returns the calls to send now and when to ask again at the latest. Jobs
// that have become hopeless are ended.
func (q *Queue) Next(now time.Time) (calls []*Call, again time.Time) {
	q.drop(now)
	q.demote(now)
	free := q.free(now)
	for len(free) > 0 && len(q.onTime)+len(q.late) > 0 {
		c := q.compose(free, now)
		if c == nil {
			break
		}
		calls = append(calls, c)
		free = q.free(now)
	}
	return calls, q.wake(now)
}

// wake returns when the next busy server can be given its next call.
func (q *Queue) wake(now time.Time) time.Time {
	if len(q.onTime)+len(q.late) == 0 {
		return time.Time{}
	}
	at := now.Add(maxSleep)
	for _, s := range q.servers {
		if s.Avoided(now) || len(s.calls) != 1 {
			continue
		}
		if t := s.sendAt(); t.After(now) && t.Before(at) {
			at = t
		}
	}
	return at
}

// maxSleep bounds the wait until hopeless jobs are looked for again.
const maxSleep = 100 * time.Millisecond

// sendAt is when the next call has to leave so that it arrives as the present
// one ends. Without the lead a server stands idle for the way there and back
// after each call, a tenth of its time between regions.
func (s *server) sendAt() time.Time { return s.calls[0].FreeAt.Add(-2*s.oneWay - sendLead) }

// sendLead covers the spread of call times: a call that arrives early waits in
// the server's own queue, one that arrives late leaves the server idle.
const sendLead = 10 * time.Millisecond

// free returns the servers that can take a call now, the fastest first.
func (q *Queue) free(now time.Time) []*server {
	var out []*server
	for _, s := range q.servers {
		s.expire(now)
		if s.Avoided(now) || s.Gone() || len(s.calls) > 1 {
			continue
		}
		if len(s.calls) == 1 && now.Before(s.sendAt()) {
			continue
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].slow != out[j].slow {
			return out[i].slow < out[j].slow
		}
		return out[i].ID < out[j].ID
	})
	return out
}

// drop ends jobs that are cancelled or that no server could make in time.
func (q *Queue) drop(now time.Time) {
	least := q.opts.CallTime / 2 // the configured time is approximate
	keep := func(list []*Job) []*Job {
		kept := list[:0]
		for _, j := range list {
			switch {
			case j.cancelled:
				j.end(Cancelled, 0)
			case now.Add(least).After(j.DieBy):
				j.end(Late, 0)
			default:
				kept = append(kept, j)
			}
		}
		clear(list[len(kept):])
		return kept
	}
	q.onTime = keep(q.onTime)
	q.late = keep(q.late)
}

// end gives all waiting items their outcome.
func (j *Job) end(r Reason, ready time.Duration) {
	for _, i := range j.next {
		j.left--
		j.Done(i, Result{Reason: r, Ready: ready})
	}
	j.next, j.pending = nil, 0
}

// Fail ends every waiting job, for a service that has lost all servers.
func (q *Queue) Fail(r Reason, ready time.Duration) {
	for _, list := range [][]*Job{q.onTime, q.late} {
		for _, j := range list {
			j.end(r, ready)
		}
	}
	q.onTime, q.late = nil, nil
}

// demote moves jobs that will miss their aim out of the way of those that can
// still make it. Serving strictly by aim would make every job of an overload
// late by a little; giving up those of the least worth for their work keeps the
// others on time (Moore and Hodgson's rule, with worth).
func (q *Queue) demote(now time.Time) {
	rate := q.rate(now)
	if rate <= 0 {
		return
	}
	finish := q.firstFree(now).Sub(now).Seconds()
	tail := q.opts.expected(q.opts.MaxItems / 2).Seconds()
	kept := make([]*Job, 0, len(q.onTime))
	for _, j := range q.onTime {
		kept = append(kept, j)
		finish += float64(j.pending) / rate
		for len(kept) > 0 {
			last := kept[len(kept)-1]
			if finish+tail <= last.AimBy.Sub(now).Seconds() {
				break
			}
			i := least(kept)
			if tail > last.AimBy.Sub(now).Seconds() {
				i = len(kept) - 1 // hopeless by itself: no other need go for it
			}
			out := kept[i]
			kept = append(kept[:i], kept[i+1:]...)
			finish -= float64(out.pending) / rate
			out.late = true
			q.insert(out)
		}
	}
	q.onTime = kept
}

// least returns the job with the least worth for an item.
func least(jobs []*Job) int {
	at := 0
	for i, j := range jobs {
		if j.Worth/float64(j.left) <= jobs[at].Worth/float64(jobs[at].left) {
			at = i
		}
	}
	return at
}

// rate is how many items a second the servers make in full calls.
func (q *Queue) rate(now time.Time) float64 {
	var sum float64
	full := q.opts.expected(q.opts.MaxItems).Seconds()
	for _, s := range q.servers {
		if !s.Avoided(now) {
			sum += float64(q.opts.MaxItems) / (full * s.slow)
		}
	}
	return sum
}

func (q *Queue) firstFree(now time.Time) time.Time {
	first := now.Add(q.opts.expected(q.opts.MaxItems))
	for _, s := range q.servers {
		if at := s.freeAt(now); !s.Avoided(now) && at.Before(first) {
			first = at
		}
	}
	return first
}

func (s *server) freeAt(now time.Time) time.Time {
	if n := len(s.calls); n > 0 && s.calls[n-1].FreeAt.After(now) {
		return s.calls[n-1].FreeAt
	}
	return now
}

// Backlog is how long a job that came now would wait for a server.
func (q *Queue) Backlog(now time.Time) time.Duration {
	rate := q.rate(now)
	if rate <= 0 {
		return q.opts.expected(q.opts.MaxItems)
	}
	onTime, _ := q.Waiting()
	return q.firstFree(now).Sub(now) + time.Duration(float64(onTime)/rate*float64(time.Second))
}
