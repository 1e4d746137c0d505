package batcher

import (
	"slices"
	"sort"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/serverspeed"
)

// Queue assigns items to servers. It is not safe for concurrent use; Batcher guards it
// with a mutex.
type Queue struct {
	opts       Options
	waiting    []*Job             // jobs with items that are not in a call, by TargetTime
	servers    map[string]*server // by server id
	lastSubmit time.Time          // time of the last Submit
	usual      serverspeed.Usual  // time of calls, each as if it were full
}

// NewQueue returns an empty queue without servers.
func NewQueue(opts Options) *Queue {
	return &Queue{opts: opts, servers: map[string]*server{}}
}

// server is the queue's state of one backend server.
type server struct {
	*directory.Server
	calls         []*Call         // in flight, in the order in which they were sent
	slowdown      float64         // ratio of observed to expected call times; 1: as expected
	inFlightBytes int64           // estimated bytes of the results of calls in flight
	results       []storedResults // of completed calls, oldest first
	memoryLimit   int64           // learned limit of the result memory, in bytes; 0: as configured
	foreignBytes  int64           // bytes of results that this queue did not produce, from the last probe
	needsProbe    bool            // its free memory is to be probed
	nextProbe     time.Time       // earliest time of the next probe
	fullUntil     time.Time       // it gets no calls before this time, after a refusal
	oneWayLatency time.Duration   // network latency from this host
}

// Call is a batch of items sent to one server.
type Call struct {
	Server           *directory.Server
	Items            []ItemRef
	ExpectedDuration time.Duration // estimated processing time at the server
	ExpectedStart    time.Time     // when the server should start: once the call has arrived and a slot is free
	// ExpectedEnd is when the server should complete the call.
	ExpectedEnd time.Time

	resultBytes   int64 // estimated size of the results of its items
	sentAt        time.Time
	completed     bool // CompleteCall was called for it
	inputsFetched bool // the server has fetched the inputs of its items
}

// ItemRef refers to one item of a job.
type ItemRef struct {
	Job   *Job
	Index int // index in Job.Items
}

// Configure replaces the options.
func (q *Queue) Configure(opts Options) { q.opts = opts }

// SetServers replaces the servers. State of servers that stay is kept; a server with a new
// LocalState, for example one that restarted under its ID, counts as new. oneWay returns
// the one-way network latency to a server.
func (q *Queue) SetServers(list []*directory.Server, oneWay func(*directory.Server) time.Duration) {
	next := make(map[string]*server, len(list))
	for _, listed := range list {
		state := q.servers[listed.ID]
		if state == nil || state.LocalState != listed.LocalState {
			state = &server{slowdown: 1}
		}
		state.Server, state.oneWayLatency = listed, oneWay(listed)
		next[listed.ID] = state
	}
	q.servers = next
}

// Submit adds a job with all its items pending.
func (q *Queue) Submit(j *Job, now time.Time) {
	q.learnSpeedsAfterIdle(now)
	q.probeAfterIdle(now)
	j.queuedAt = now
	j.pendingItems = make([]int, len(j.Items))
	for i := range j.pendingItems {
		j.pendingItems[i] = i
	}
	q.insert(j)
}

// insert puts a job into the queue in order of TargetTime.
func (q *Queue) insert(j *Job) {
	i := sort.Search(len(q.waiting), func(i int) bool { return j.TargetTime.Before(q.waiting[i].TargetTime) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = j
}

// Cancel marks the waiting jobs of a request as cancelled; the next call of NextCalls ends
// them.
func (q *Queue) Cancel(requestID string) {
	for _, j := range q.waiting {
		if j.Items[0].RequestID == requestID {
			j.cancelled = true
		}
	}
}

// WaitingItems returns the number of items that are not in a call yet.
func (q *Queue) WaitingItems() int {
	n := 0
	for _, j := range q.waiting {
		n += len(j.pendingItems)
	}
	return n
}

// NextCalls returns the calls to send now, and when it has to be called again at the
// latest; zero: only after another event. It ends the jobs that were cancelled or cannot
// complete before their deadline.
func (q *Queue) NextCalls(now time.Time) (calls []*Call, wakeAt time.Time) {
	q.dropExpired(now)
	fetched := q.updateFetchedInputs(now)
	free := q.freeServers(now)
	for len(free) > 0 && len(q.waiting) > 0 && !q.waitsForFullerBatch(free, now) {
		c := q.composeCall(free, now)
		if c == nil {
			break
		}
		calls = append(calls, c)
		fetched = earlier(fetched, c.inputsFetchedAt())
		free = q.freeServers(now)
	}
	return calls, q.nextWake(now, fetched)
}

// nextWake returns the earliest time at which a busy server can get its next call, jobs
// have to be checked again, or the inputs of a call are fetched; zero: none of these.
func (q *Queue) nextWake(now, fetched time.Time) time.Time {
	if len(q.waiting) == 0 {
		return fetched
	}
	at := earlier(fetched, now.Add(maxWakeInterval))
	for _, s := range q.servers {
		if s.InBackoff(now) || len(s.calls) != q.opts.slotCount() {
			continue
		}
		if t := s.sendAt(); t.After(now) && t.Before(at) {
			at = t
		}
	}
	return at
}

// maxWakeInterval bounds the time between checks for jobs that expired or waited long enough.
const maxWakeInterval = 25 * time.Millisecond

// sendAt returns when the next call has to be sent to arrive as a running call ends.
// Without the lead a server is idle for a round trip after each call, which is a tenth
// of its time between regions.
func (s *server) sendAt() time.Time {
	first := s.calls[0].ExpectedEnd
	for _, c := range s.calls[1:] {
		first = earlier(first, c.ExpectedEnd)
	}
	return first.Add(-2*s.oneWayLatency - sendLead)
}

// expectedEnds returns the expected ends of the calls in flight in ascending order.
func (s *server) expectedEnds() []time.Time {
	out := make([]time.Time, len(s.calls))
	for i, c := range s.calls {
		out[i] = c.ExpectedEnd
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// sendLead is how much earlier, beyond the round trip, a call is sent than a running call
// is expected to end. It covers the variance of call times: a call that arrives early
// waits in the server's queue; one that arrives late leaves the server idle.
const sendLead = 10 * time.Millisecond

// freeServers returns the servers that can take a call now, in ascending order of slowdown.
func (q *Queue) freeServers(now time.Time) []*server {
	var out []*server
	for _, s := range q.servers {
		s.dropExpiredResults(now)
		if s.InBackoff(now) || s.Delisted() || len(s.calls) > q.opts.slotCount() || now.Before(s.fullUntil) || !s.Pauses.Admits(now) || !q.opts.withinLimit(s.Server) {
			continue
		}
		if len(s.calls) == q.opts.slotCount() && now.Before(s.sendAt()) {
			continue
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].slowdown != out[j].slowdown {
			return out[i].slowdown < out[j].slowdown
		}
		return out[i].ID < out[j].ID
	})
	return out
}

// dropExpired ends the jobs that are cancelled, cannot meet their deadline or have no server in
// a region that they allow.
func (q *Queue) dropExpired(now time.Time) {
	minCallTime := q.opts.CallTime / 2 // the configured time is approximate
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		switch {
		case j.cancelled:
			j.finishPending(Cancelled)
		case now.Add(minCallTime).After(j.Deadline):
			j.finishPending(TooLate)
		case !q.hasAllowedServer(j):
			j.finishPending(NoServer)
		case q.pausedUntil(j, now).Add(minCallTime).After(j.Deadline):
			j.finishPending(TooLate)
		default:
			kept = append(kept, j)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// hasAllowedServer reports whether some listed server is in a region that the job allows.
// Jobs without a region restriction are ended by FailAll if there is no server at all.
func (q *Queue) hasAllowedServer(j *Job) bool {
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

// pausedUntil returns the time until which all servers that a job allows want no calls of this host;
// zero: one takes calls.
func (q *Queue) pausedUntil(j *Job, now time.Time) (first time.Time) {
	for _, s := range q.servers {
		if !j.AllowedRegions.Allows(s.Region) {
			continue
		}
		p := s.Pauses.Pause(now)
		if p == nil {
			return time.Time{}
		}
		if first.IsZero() || p.Until.Before(first) {
			first = p.Until
		}
	}
	return first
}

// finishPending ends all pending items of the job with a reason.
func (j *Job) finishPending(r Reason) {
	items := j.pendingItems
	j.pendingItems = nil
	for _, i := range items {
		j.OnResult(i, Result{Reason: r})
	}
}

// FailAll ends every waiting job with a reason. It is for a service without any server.
func (q *Queue) FailAll(r Reason) {
	waiting := q.waiting
	q.waiting = nil
	for _, j := range waiting {
		j.finishPending(r)
	}
}

// Capacity is the current capacity of the servers of a service.
type Capacity struct {
	ListedServers    int      // number of servers of the service
	Regions          []string // regions of these servers
	AvailableServers int      // number of these servers that are not in backoff after a failure and want calls
	ItemsPerSecond   float64  // throughput of the available servers with full calls
	// PausedUntil is the time until which all listed servers want no calls of this host; zero: one
	// takes calls.
	PausedUntil time.Time
	// FreeResultBytes is the result memory that remains on available servers after
	// reserving it for waiting items; it may be negative. TotalResultBytes is the
	// result memory of the available servers; 0: unlimited.
	FreeResultBytes, TotalResultBytes int64
}

// Capacity returns the capacity at the given time.
func (q *Queue) Capacity(now time.Time) Capacity {
	c := Capacity{ListedServers: len(q.servers), PausedUntil: q.pausedUntil(&Job{}, now)}
	fullCallSeconds := q.opts.expectedCallTime(q.opts.MaxItems).Seconds()
	for _, s := range q.servers {
		if !slices.Contains(c.Regions, s.Region) {
			c.Regions = append(c.Regions, s.Region)
		}
		if !s.InBackoff(now) && s.Pauses.Pause(now) == nil {
			c.AvailableServers++
			callsPerSecond := float64(q.opts.slotCount()) / (fullCallSeconds * s.slowdown)
			if limit := s.RateLimit.Limit(); limit != nil {
				callsPerSecond = min(callsPerSecond, limit.PerSecond)
			}
			c.ItemsPerSecond += callsPerSecond * float64(q.opts.MaxItems)
			c.TotalResultBytes += q.resultMemory(s)
			c.FreeResultBytes += q.resultMemory(s) - s.usedBytes()
		}
	}
	for _, j := range q.waiting {
		c.FreeResultBytes -= int64(len(j.pendingItems)) * j.ResultBytes
	}
	return c
}

// slotFreeAt returns when the server can start one more call.
func (q *Queue) slotFreeAt(s *server, now time.Time) time.Time {
	excess := len(s.calls) - q.opts.slotCount()
	if excess < 0 {
		return now
	}
	if at := s.expectedEnds()[excess]; at.After(now) {
		return at
	}
	return now
}
