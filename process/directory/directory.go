// Package directory holds the backend servers that the platform lists, together with what
// this host knows of each. Readers load an immutable view without locking; only the code
// that follows the platform's lists publishes new ones.
package directory

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/residency"
	"bilberrydale/process/retryafter"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverspeed"
	"bilberrydale/process/streamwriter"
	"bilberrydale/process/waitline"
)

// Entry describes a backend server as the platform lists it.
type Entry struct {
	ID            string // other processes at the same address have other ids
	Service       string
	Address       string        // host:port
	Domain        string        // failure domain
	Region        string        // of the failure domain
	Version       string        // version of the server's software; empty: not told
	Slots         int           // requests that it runs concurrently
	Draining      bool          // gets no new work
	ColdRemaining time.Duration // time for which it is still slow after its start
	StartedUnixMS int64         // start time by the server's own clock, in Unix milliseconds
}

// Server is a listed backend server with this host's state of it. It is immutable
// except for the LocalState; a changed entry makes a new Server that shares the
// LocalState.
type Server struct {
	Entry
	*LocalState
	// Writer is the software that writes the server's streams. A server that does not tell its
	// version is a writer of its own.
	Writer streamwriter.Writer
	// Evacuated reports that the operators have evacuated the server's failure domain: it
	// gets no new work.
	Evacuated bool
	// EvacuationEndedAt is the time at which the last evacuation of the failure domain
	// ended; zero: it has not been evacuated.
	EvacuationEndedAt time.Time
}

// Process returns what identifies the server's process.
func (e *Entry) Process() serverlimit.Server {
	return serverlimit.Server{ID: e.ID, StartedUnixMS: e.StartedUnixMS}
}

// writer returns the software that writes the server's streams.
func (e *Entry) writer() streamwriter.Writer {
	version := e.Version
	if version == "" {
		version = fmt.Sprintf("of process %s %d", e.ID, e.StartedUnixMS)
	}
	return streamwriter.Writer{Service: e.Service, Version: version}
}

// AcceptsWork reports whether the server may get new work.
func (s *Server) AcceptsWork() bool { return !s.Leaves() && !s.Evacuated }

// Leaves reports whether the server leaves: by the platform's list, or by its own word.
func (s *Server) Leaves() bool { return s.Draining || s.leaving.Load() }

// LocalState is what this host knows of a backend server, from its own calls, the server's
// load reports and the platform's list. It is safe for concurrent use.
type LocalState struct {
	InFlight  atomic.Int64      // requests of this host in flight at the server; callers count them
	RateLimit serverlimit.State // the limit that the server has named
	Pauses    retryafter.State  // until when the server wants no requests of this host
	Room      waitline.State    // requests at the server, from all hosts
	Speed     serverspeed.State // how long work takes at the server
	// running and waiting are the requests in the server's last load report.
	running, waiting atomic.Int64
	reportedAt       atomic.Int64  // Unix nanoseconds by the clock of RecordLoad's caller; 0: never
	relativeTime     atomic.Uint64 // bits of the last relative service time; 0: never reported
	backoffUntil     atomic.Int64  // Unix nanoseconds; 0: no backoff
	lastFailureAt    atomic.Int64  // Unix nanoseconds; 0: never
	// coldUntil is the end of the time, from the platform's list, for which the server is
	// still slow after its start (cold), in Unix nanoseconds; 0: not cold.
	coldUntil           atomic.Int64
	consecutiveFailures atomic.Int64 // calls of RecordFailure since the last RecordSuccess
	delisted            atomic.Bool  // see Delisted
	leaving             atomic.Bool  // the server has said that it leaves; ends with its process

	mu            sync.Mutex // guards failureRate and failureRateAt
	failureRate   float64    // at failureRateAt, 0 to 1
	failureRateAt time.Time  // last update of failureRate
}

// Bounds of the backoff after failures. The minimum is about the time in which the process of a
// backend server restarts, or one lost packet is retransmitted. The maximum is the time of a few
// heartbeats of a backend server to the platform: without them for that time, the platform itself
// removes the server from the list.
const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// RecordFailure records that the server could not be reached or did not respond, and
// starts or extends its backoff.
func (s *LocalState) RecordFailure(now time.Time) {
	n := min(s.consecutiveFailures.Add(1), 8)
	d := min(minBackoff<<(n-1), maxBackoff)
	s.backoffUntil.Store(now.Add(d).UnixNano())
	s.lastFailureAt.Store(now.UnixNano())
}

// RecordRunning records that the process of the server, which failed before, was still running at
// a time: it is not cold for a failure until then.
func (s *LocalState) RecordRunning(at time.Time) {
	if failedAt := s.lastFailureAt.Load(); failedAt <= at.UnixNano() {
		s.lastFailureAt.CompareAndSwap(failedAt, 0)
	}
}

// RecordSuccess records a response and ends the backoff.
func (s *LocalState) RecordSuccess() {
	s.consecutiveFailures.Store(0)
	s.backoffUntil.Store(0)
}

const (
	// newestResponseWeight is the weight of the latest response in the failure rate. With
	// it a dozen responses distinguish a server that fails half of its requests from one
	// with the few failures that all servers have.
	newestResponseWeight = 0.08
	// failureRateHalfLife is the half-life of the failure rate, so that a server that gets
	// no requests because of its failures gets requests again after some seconds.
	failureRateHalfLife = 3 * time.Second
)

// RecordResponse updates the failure rate with one response. failed reports whether the
// response was a failure of the server. Unlike RecordFailure it does not affect the backoff.
func (s *LocalState) RecordResponse(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.decayedFailureRate(now)
	if failed {
		rate += newestResponseWeight * (1 - rate)
	} else {
		rate -= newestResponseWeight * rate
	}
	s.failureRate, s.failureRateAt = rate, now
}

// FailureRate returns the weighted share of recent responses that were failures, 0 to 1.
func (s *LocalState) FailureRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayedFailureRate(now)
}

// decayedFailureRate returns the failure rate as decayed until now. The caller holds s.mu.
func (s *LocalState) decayedFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureRateHalfLife.Seconds())
}

// InBackoff reports whether the server failed so recently that requests should avoid it.
func (s *LocalState) InBackoff(now time.Time) bool { return s.backoffUntil.Load() > now.UnixNano() }

// MayBeCold reports whether a server that is slow for coldDuration after its start may be
// so now: because the list says so, because it failed within that time and may have
// restarted, or because an evacuation of its failure domain ended within that time. A
// restart is listed only with the server's next heartbeat.
func (s *Server) MayBeCold(now time.Time, coldDuration time.Duration) bool {
	recent := func(at int64) bool { return at > 0 && now.UnixNano()-at < int64(coldDuration) }
	return s.coldUntil.Load() > now.UnixNano() || recent(s.lastFailureAt.Load()) ||
		!s.EvacuationEndedAt.IsZero() && recent(s.EvacuationEndedAt.UnixNano())
}

// RecordLoad records the server's own report of its running and waiting requests.
func (s *LocalState) RecordLoad(running, waiting int, now time.Time) {
	s.running.Store(int64(running))
	s.waiting.Store(int64(waiting))
	s.reportedAt.Store(now.UnixNano())
	s.Room.Report(running+waiting, now)
}

// ReportedLoad returns the last load report and its age. Without a report the age is very
// large.
func (s *LocalState) ReportedLoad(now time.Time) (running, waiting int, age time.Duration) {
	return int(s.running.Load()), int(s.waiting.Load()), time.Duration(now.UnixNano() - s.reportedAt.Load())
}

// RecordRelativeServiceTime records the server's own report of how long work takes there, relative
// to the usual time (1).
func (s *LocalState) RecordRelativeServiceTime(t float64) { s.relativeTime.Store(math.Float64bits(t)) }

// RelativeServiceTime returns the last report of RecordRelativeServiceTime; 0: there is none.
func (s *LocalState) RelativeServiceTime() float64 {
	return math.Float64frombits(s.relativeTime.Load())
}

// Delisted reports whether the platform no longer lists the server, or lists a restarted
// one under its id.
func (s *LocalState) Delisted() bool { return s.delisted.Load() }

// View is an immutable snapshot of the directory.
type View struct {
	byService map[string][]*Server // servers that accept work, by service name, ordered by id
	byID      map[string]*Server   // all listed servers
	evacuated map[string]bool      // by failure domain
	byWriter  map[streamwriter.Writer]WriterServers
}

// WriterServers counts the listed servers that run one version of a service's software.
type WriterServers struct {
	Accepting int // accept work
	Leaving   int // are draining or evacuated
}

// WriterServers returns the number of listed servers that run a software.
func (v *View) WriterServers(w streamwriter.Writer) WriterServers { return v.byWriter[w] }

// Servers returns the servers of a service that accept work, ordered by id. The caller
// must not modify the slice. The server of a single request is selected from Candidates
// instead.
func (v *View) Servers(service string) []*Server { return v.byService[service] }

// Candidates is the set of servers of a service on which one request may run.
type Candidates struct {
	servers []*Server           // of the service, in any region
	allowed residency.Set       // regions that the request allows
	begun   streamwriter.Writer // what began the stream of the request; zero: it has not begun
}

// Candidates returns the servers of a service that accept work, are in regions that the request
// allows and, if its stream has begun, run the software that began it. Only a View creates them,
// so that no server selection can bypass the residency rules of a request, or join in one stream
// what two versions write.
func (v *View) Candidates(service string, allowed residency.Set, begun streamwriter.Writer) Candidates {
	return Candidates{v.byService[service], allowed, begun}
}

// allows reports whether the request may run on a server of the service that accepts work.
func (c Candidates) allows(s *Server) bool {
	return c.allowed.Allows(s.Region) && c.begun.Allows(s.Writer)
}

// Server returns the candidate with the id; nil: there is none.
func (c Candidates) Server(id string) *Server {
	i, found := slices.BinarySearchFunc(c.servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
	if !found || !c.allows(c.servers[i]) {
		return nil
	}
	return c.servers[i]
}

// All iterates over the servers, ordered by id.
func (c Candidates) All() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, s := range c.servers {
			if c.allows(s) && !yield(s) {
				return
			}
		}
	}
}

// Empty reports whether there is no server.
func (c Candidates) Empty() bool { return !c.Any(func(*Server) bool { return true }) }

// Any reports whether at least one server satisfies f.
func (c Candidates) Any(f func(*Server) bool) bool {
	for s := range c.All() {
		if f(s) {
			return true
		}
	}
	return false
}

// Server returns the listed server with the id, even if it accepts no work; nil: it is not
// listed.
func (v *View) Server(id string) *Server { return v.byID[id] }

// All returns every listed server by id. The caller must not modify the map.
func (v *View) All() map[string]*Server { return v.byID }

// entries returns the entries of all listed servers.
func (v *View) entries() []Entry {
	entries := make([]Entry, 0, len(v.byID))
	for _, s := range v.byID {
		entries = append(entries, s.Entry)
	}
	return entries
}

// Count returns the number of listed servers.
func (v *View) Count() int { return len(v.byID) }

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// Directory holds the current view. It is safe for concurrent use.
type Directory struct {
	view           atomic.Pointer[View]
	mu             sync.Mutex // guards statesByID, evacuationEnds and the replacement of view
	statesByID     map[string]*LocalState
	delisted       map[string]delistedServer // by server ID; what it said outlives a gap in the list
	evacuationEnds map[string]time.Time      // end of the last evacuation, by failure domain
}

// delistedServer is a server process that the list has held, or that has been replaced under its ID.
type delistedServer struct {
	startedUnixMS int64
	state         *LocalState
	at            time.Time
}

// delistedTTL is how long it is remembered what a server said that is listed no more. Entries that
// expire in an outage of the platform are back sooner.
const delistedTTL = 10 * time.Minute

// New returns an empty directory.
func New() *Directory {
	d := &Directory{statesByID: map[string]*LocalState{}, delisted: map[string]delistedServer{}, evacuationEnds: map[string]time.Time{}}
	d.view.Store(&View{})
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Replace publishes a new list of entries that was received at now. A server that
// restarted under its id, or moved to another address, gets a new LocalState: earlier
// observations do not apply to it. What a process itself has said is kept while it is not listed.
func (d *Directory) Replace(entries []Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	states := make(map[string]*LocalState, len(entries))
	for i := range entries {
		e := &entries[i]
		state, before := d.statesByID[e.ID], old.byID[e.ID]
		if state == nil || before != nil && (before.StartedUnixMS != e.StartedUnixMS || before.Address != e.Address) {
			if before != nil {
				d.delisted[e.ID] = delistedServer{before.StartedUnixMS, state, now}
			}
			state, before = d.newState(e), nil
		}
		if before == nil || before.ColdRemaining != e.ColdRemaining {
			state.setColdRemaining(e.ColdRemaining, now)
		}
		states[e.ID] = state
	}
	for id, s := range d.statesByID {
		if states[id] != s {
			s.delisted.Store(true)
			if states[id] == nil {
				d.delisted[id] = delistedServer{old.byID[id].StartedUnixMS, s, now}
			}
		}
	}
	maps.DeleteFunc(d.delisted, func(_ string, s delistedServer) bool { return now.Sub(s.at) >= delistedTTL })
	d.statesByID = states
	d.publish(entries, old.evacuated)
}

// MarkLeaving records that a server has said that it leaves, and publishes a view in which it gets no
// new work. It returns false if that is known.
func (d *Directory) MarkLeaving(s *Server) bool {
	if s.leaving.Swap(true) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	d.publish(old.entries(), old.evacuated)
	return true
}

// newState returns the state of a server that is listed anew. The caller holds d.mu.
func (d *Directory) newState(e *Entry) *LocalState {
	state := &LocalState{}
	before, known := d.delisted[e.ID]
	if !known {
		return state
	}
	if before.startedUnixMS == e.StartedUnixMS {
		state.Pauses.Inherit(&before.state.Pauses, time.Time{})
		state.leaving.Store(before.state.leaving.Load())
		return state
	}
	state.Pauses.Inherit(&before.state.Pauses, time.UnixMilli(e.StartedUnixMS))
	return state
}

// ForgetFailures forgets that servers failed after since, or at any time if that is zero: the way
// to them had failed.
func (d *Directory) ForgetFailures(since time.Time) {
	for _, s := range d.View().byID {
		if at := s.lastFailureAt.Load(); at != 0 && (since.IsZero() || at >= since.UnixNano()) {
			s.lastFailureAt.Store(0)
			s.RecordSuccess()
		}
	}
}

// setColdRemaining records the cold time that the list reports as left at now.
func (s *LocalState) setColdRemaining(left time.Duration, now time.Time) {
	until := int64(0)
	if left > 0 {
		until = now.Add(left).UnixNano()
	}
	s.coldUntil.Store(until)
}

// SetEvacuated replaces the list of evacuated failure domains at now. Their servers get no
// new work.
func (d *Directory) SetEvacuated(domains []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	evacuated := make(map[string]bool, len(domains))
	for _, domain := range domains {
		evacuated[domain] = true
	}
	for domain := range old.evacuated {
		if !evacuated[domain] {
			d.evacuationEnds[domain] = now
		}
	}
	d.publish(old.entries(), evacuated)
}

// publish builds and stores a new view. It has to be called with d.mu held.
func (d *Directory) publish(entries []Entry, evacuated map[string]bool) {
	v := &View{byService: map[string][]*Server{}, byID: make(map[string]*Server, len(entries)), evacuated: evacuated, byWriter: map[streamwriter.Writer]WriterServers{}}
	for _, e := range entries {
		s := &Server{Entry: e, LocalState: d.statesByID[e.ID], Writer: e.writer(), Evacuated: evacuated[e.Domain], EvacuationEndedAt: d.evacuationEnds[e.Domain]}
		v.byID[e.ID] = s
		counts := v.byWriter[s.Writer]
		if s.AcceptsWork() {
			v.byService[e.Service] = append(v.byService[e.Service], s)
			counts.Accepting++
		} else {
			counts.Leaving++
		}
		v.byWriter[s.Writer] = counts
	}
	for _, list := range v.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.view.Store(v)
}
