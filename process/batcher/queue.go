package batcher

import (
	"slices"
	"sort"
	"time"

	"bilberrydale/process/directory"
)

// Queue decides which server takes which items. It is not safe for concurrent
// use; Batcher guards it.
type Queue struct {
	opts    Options
	waiting []*Job // with items that are not in a call, by AimBy
	servers map[string]*server
	worked  time.Time // when a job last came
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
	room    int64     // for results, as the server has shown; 0: as configured
	foreign int64     // bytes of results that nobody here knows of, as the server has told
	ask     bool      // it has to be asked for its room
	askAt   time.Time // not before
	fullTil time.Time // the server said that it has no room
	oneWay  time.Duration
}

// Call is a call to one server.
type Call struct {
	Server           *directory.Server
	Items            []ItemRef
	ExpectedDuration time.Duration // how long the server should work on it
	ExpectedStart    time.Time     // when the server should begin, at the latest
	// FreeAt is when the server should be done.
	ExpectedEnd time.Time

	bytes   int64
	sent    time.Time
	ended   bool
	fetched bool // the inputs of its items are at the server
}

// Part is one item of a call.
type ItemRef struct {
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
		if s == nil || s.LocalState != d.LocalState {
			s = &server{slow: 1}
		}
		s.Server, s.oneWay = d, oneWay(d)
		next[d.ID] = s
	}
	q.servers = next
}

// Submit adds a job.
func (q *Queue) Submit(j *Job, now time.Time) {
	q.begin(now)
	j.since = now
	j.next = make([]int, len(j.Items))
	for i := range j.next {
		j.next[i] = i
	}
	q.insert(j)
}

func (q *Queue) insert(j *Job) {
	i := sort.Search(len(q.waiting), func(i int) bool { return j.TargetTime.Before(q.waiting[i].TargetTime) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = j
}

// Cancel drops the waiting items of a request.
func (q *Queue) Cancel(requestID string) {
	for _, j := range q.waiting {
		if j.Items[0].RequestID == requestID {
			j.cancelled = true
		}
	}
}

// Waiting returns the number of items that wait for a call.
func (q *Queue) WaitingItems() int {
	n := 0
	for _, j := range q.waiting {
		n += len(j.next)
	}
	return n
}

// Next returns the calls to send now and when to ask again at the latest. Jobs
// that have become hopeless are ended.
func (q *Queue) NextCalls(now time.Time) (calls []*Call, again time.Time) {
	q.drop(now)
	fetched := q.noteFetched(now)
	free := q.free(now)
	for len(free) > 0 && len(q.waiting) > 0 && !q.gathers(free, now) {
		c := q.compose(free, now)
		if c == nil {
			break
		}
		calls = append(calls, c)
		fetched = earlier(fetched, c.fetchedAt())
		free = q.free(now)
	}
	return calls, q.wake(now, fetched)
}

// wake returns when the next busy server can be given its next call, a job has waited
// long enough, or the inputs of a call are fetched; zero: nothing is to be done then.
func (q *Queue) wake(now, fetched time.Time) time.Time {
	if len(q.waiting) == 0 {
		return fetched
	}
	at := earlier(fetched, now.Add(maxSleep))
	for _, s := range q.servers {
		if s.InBackoff(now) || len(s.calls) != q.opts.slots() {
			continue
		}
		if t := s.sendAt(); t.After(now) && t.Before(at) {
			at = t
		}
	}
	return at
}

// maxSleep bounds the wait until hopeless jobs and those that wait for others are
// looked for again.
const maxSleep = 25 * time.Millisecond

// sendAt is when the next call has to leave so that it arrives as the present
// one ends. Without the lead a server stands idle for the way there and back
// after each call, a tenth of its time between regions.
func (s *server) sendAt() time.Time {
	first := s.calls[0].ExpectedEnd
	for _, c := range s.calls[1:] {
		first = earlier(first, c.ExpectedEnd)
	}
	return first.Add(-2*s.oneWay - sendLead)
}

// ends are the expected ends of the present calls, the first one first.
func (s *server) ends() []time.Time {
	out := make([]time.Time, len(s.calls))
	for i, c := range s.calls {
		out[i] = c.ExpectedEnd
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// sendLead covers the spread of call times: a call that arrives early waits in
// the server's own queue, one that arrives late leaves the server idle.
const sendLead = 10 * time.Millisecond

// free returns the servers that can take a call now, the fastest first.
func (q *Queue) free(now time.Time) []*server {
	var out []*server
	for _, s := range q.servers {
		s.expire(now)
		if s.InBackoff(now) || s.Delisted() || len(s.calls) > q.opts.slots() || now.Before(s.fullTil) {
			continue
		}
		if len(s.calls) == q.opts.slots() && now.Before(s.sendAt()) {
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
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		switch {
		case j.cancelled:
			j.end(Cancelled)
		case now.Add(least).After(j.Deadline):
			j.end(TooLate)
		case !q.served(j):
			j.end(NoServer)
		default:
			kept = append(kept, j)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// served tells whether some server may take a job, now or later. A service without any
// server is told of by Fail.
func (q *Queue) served(j *Job) bool {
	if !j.AllowedRegions.Restricted() {
		return true
	}
	for _, s := range q.servers {
		if j.AllowedRegions.Allows(s.Region) {
			return true
		}
	}
	return false
}

// end gives all waiting items their outcome.
func (j *Job) end(r Reason) {
	items := j.next
	j.next = nil
	for _, i := range items {
		j.OnResult(i, Result{Reason: r})
	}
}

// Fail ends every waiting job, for a service that has lost all servers.
func (q *Queue) FailAll(r Reason) {
	waiting := q.waiting
	q.waiting = nil
	for _, j := range waiting {
		j.end(r)
	}
}

// Capacity is what the servers of a service can do now.
type Capacity struct {
	ListedServers    int      // servers
	Regions          []string // of these servers
	AvailableServers int      // of these, that are not avoided
	ItemsPerSecond   float64  // items a second in full calls
	// Room is what is left for results, in bytes, beside those of the items that
	// already wait; it may be negative. RoomAll is all room; 0: not bounded.
	FreeResultBytes, TotalResultBytes int64
}

// Capacity returns what the servers can do at now.
func (q *Queue) Capacity(now time.Time) Capacity {
	c := Capacity{ListedServers: len(q.servers)}
	full := q.opts.expected(q.opts.MaxItems).Seconds()
	for _, s := range q.servers {
		if !slices.Contains(c.Regions, s.Region) {
			c.Regions = append(c.Regions, s.Region)
		}
		if !s.InBackoff(now) {
			c.AvailableServers++
			c.ItemsPerSecond += float64(q.opts.slots()*q.opts.MaxItems) / (full * s.slow)
			c.TotalResultBytes += q.roomOf(s)
			c.FreeResultBytes += q.roomOf(s) - s.held()
		}
	}
	for _, j := range q.waiting {
		c.FreeResultBytes -= int64(len(j.next)) * j.ResultBytes
	}
	return c
}

// freeAt is when the server can begin one more call.
func (q *Queue) freeAt(s *server, now time.Time) time.Time {
	over := len(s.calls) - q.opts.slots()
	if over < 0 {
		return now
	}
	if at := s.ends()[over]; at.After(now) {
		return at
	}
	return now
}
