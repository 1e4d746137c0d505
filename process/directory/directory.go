// Package directory holds the backend servers that the platform lists, with
// what this host has learned of each. Readers load an immutable view; only the
// follower of the list replaces it.
package directory

import (
	"iter"
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/residency"
)

// Entry is one backend server as the platform lists it.
type Entry struct {
	ID            string // of this incarnation; other processes at the address have another
	Service       string
	Address       string // host:port
	Domain        string // failure domain
	Region        string // of the failure domain
	Version       string // of its software
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // how much longer it is slow after its start
	StartedUnixMS int64         // Unix milliseconds of its start, by its own clock
}

// Server is a listed backend server and what this host knows of it. The entry
// does not change; a changed entry makes a new Server that shares State.
type Server struct {
	Entry
	*LocalState
	// Evacuated tells that the operators want no work sent to its failure domain.
	Evacuated bool
	// OpenSince is when the last evacuation of its failure domain was taken back;
	// zero: none was.
	EvacuationEndedAt time.Time
}

// Takes reports whether the server may get new work.
func (s *Server) AcceptsWork() bool { return !s.Draining && !s.Evacuated }

// State is what this host has seen of a backend server.
type LocalState struct {
	InFlight atomic.Int64 // requests of this host at the server
	// running, waiting: as the server last said
	running, waiting atomic.Int64
	loadAt           atomic.Int64 // nanoseconds of the clock passed in; 0: never
	avoidUntil       atomic.Int64
	failedAt         atomic.Int64 // nanoseconds; 0: never
	coldUntil        atomic.Int64 // nanoseconds, as the list told; 0: it is not cold
	failures         atomic.Int64 // in a row
	gone             atomic.Bool

	mu       sync.Mutex
	errors   float64   // share of late answers that were failures
	errorsAt time.Time // of its last change
}

// Bounds of the time for which a failing server is avoided: the first is the
// time of a restart or of one lost packet's repeat, the last that of a few
// heartbeats, after which the list itself drops a dead server.
const (
	minAvoid = 300 * time.Millisecond
	maxAvoid = 2 * time.Second
)

// Failed notes a failure to reach the server or to get its answer.
func (s *LocalState) RecordFailure(now time.Time) {
	n := min(s.failures.Add(1), 8)
	d := min(minAvoid<<(n-1), maxAvoid)
	s.avoidUntil.Store(now.Add(d).UnixNano())
	s.failedAt.Store(now.UnixNano())
}

// Succeeded notes an answer.
func (s *LocalState) RecordSuccess() {
	s.failures.Store(0)
	s.avoidUntil.Store(0)
}

const (
	// newestShare is the weight of the newest answer in the share of failures:
	// a dozen answers tell a server that fails half of its requests from one
	// with the few failures that all have.
	newestShare = 0.08
	// errorsHalfLife lets the share fade, so that a server that gets no requests
	// for its failures is tried again after some seconds.
	errorsHalfLife = 3 * time.Second
)

// Answered notes whether an answer was a failure of the server.
func (s *LocalState) RecordResponse(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.faded(now)
	if failed {
		share += newestShare * (1 - share)
	} else {
		share -= newestShare * share
	}
	s.errors, s.errorsAt = share, now
}

// Errors returns the share of late answers that were failures, 0 to 1.
func (s *LocalState) FailureRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faded(now)
}

// faded is called with s.mu held.
func (s *LocalState) faded(now time.Time) float64 {
	if s.errors == 0 {
		return 0
	}
	return s.errors * math.Exp2(-now.Sub(s.errorsAt).Seconds()/errorsHalfLife.Seconds())
}

// Avoided reports whether the server failed a short time ago.
func (s *LocalState) InBackoff(now time.Time) bool { return s.avoidUntil.Load() > now.UnixNano() }

// Cold reports whether a server that stays cold for a time after its start may be so
// now: the list says so, or it failed a moment ago and may have started again, or its
// failure domain was evacuated until a moment ago. The list tells of a start only with
// the server's next heartbeat.
func (s *Server) MayBeCold(now time.Time, after time.Duration) bool {
	recent := func(at int64) bool { return at > 0 && now.UnixNano()-at < int64(after) }
	return s.coldUntil.Load() > now.UnixNano() || recent(s.failedAt.Load()) ||
		!s.EvacuationEndedAt.IsZero() && recent(s.EvacuationEndedAt.UnixNano())
}

// Load notes the server's own report of its running and waiting requests.
func (s *LocalState) RecordLoad(running, waiting int, now time.Time) {
	s.running.Store(int64(running))
	s.waiting.Store(int64(waiting))
	s.loadAt.Store(now.UnixNano())
}

// Reported returns the last report and its age; a large age if there is none.
func (s *LocalState) ReportedLoad(now time.Time) (running, waiting int, age time.Duration) {
	return int(s.running.Load()), int(s.waiting.Load()), time.Duration(now.UnixNano() - s.loadAt.Load())
}

// Gone reports whether the platform no longer lists the server.
func (s *LocalState) Delisted() bool { return s.gone.Load() }

// View is an immutable state of the list.
type View struct {
	services  map[string][]*Server
	byID      map[string]*Server
	evacuated map[string]bool
}

// Servers returns the servers of a service that take work, in order of their ids. The
// caller must not change the slice. One request's server is chosen from Candidates.
func (v *View) Servers(service string) []*Server { return v.services[service] }

// Candidates are the servers of a service on which one request may run.
type Candidates struct {
	servers []*Server
	allowed residency.Set
}

// Candidates returns the servers of a service that take work and lie in regions that a
// request allows. Only a View makes them: no choice of a server can leave out what
// binds the request.
func (v *View) Candidates(service string, allowed residency.Set) Candidates {
	return Candidates{v.services[service], allowed}
}

// All returns the servers in order of their ids.
func (c Candidates) All() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, s := range c.servers {
			if c.allowed.Allows(s.Region) && !yield(s) {
				return
			}
		}
	}
}

// Empty reports whether there are none.
func (c Candidates) Empty() bool { return !c.Any(func(*Server) bool { return true }) }

// Any reports whether one of the servers satisfies f.
func (c Candidates) Any(f func(*Server) bool) bool {
	for s := range c.All() {
		if f(s) {
			return true
		}
	}
	return false
}

// Server returns a listed server by id, also one that takes no work, or nil.
func (v *View) Server(id string) *Server { return v.byID[id] }

// All returns every listed server in no order.
func (v *View) All() map[string]*Server { return v.byID }

// Count returns the number of listed servers.
func (v *View) Count() int { return len(v.byID) }

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// Directory is the list in force.
type Directory struct {
	view   atomic.Pointer[View]
	mu     sync.Mutex // held by writers
	states map[string]*LocalState
	opened map[string]time.Time // when evacuations were taken back, by failure domain
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{states: map[string]*LocalState{}, opened: map[string]time.Time{}}
	d.view.Store(&View{})
	return d
}

// View returns the list in force.
func (d *Directory) View() *View { return d.view.Load() }

// Replace puts entries in force that were learned of at now. A server that starts again
// under its old id gets a new State: nothing of before holds for it.
func (d *Directory) Replace(entries []Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	states := make(map[string]*LocalState, len(entries))
	for i := range entries {
		e := &entries[i]
		state, before := d.states[e.ID], old.byID[e.ID]
		if state == nil || before != nil && (before.StartedUnixMS != e.StartedUnixMS || before.Address != e.Address) {
			state, before = &LocalState{}, nil
		}
		if before == nil || before.ColdRemaining != e.ColdRemaining {
			state.setCold(e.ColdRemaining, now)
		}
		states[e.ID] = state
	}
	for id, s := range d.states {
		if states[id] != s {
			s.gone.Store(true)
		}
	}
	d.states = states
	d.show(entries, old.evacuated)
}

func (s *LocalState) setCold(left time.Duration, now time.Time) {
	until := int64(0)
	if left > 0 {
		until = now.Add(left).UnixNano()
	}
	s.coldUntil.Store(until)
}

// Evacuate puts the failure domains in force, from now on, that are to get no work.
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
			d.opened[domain] = now
		}
	}
	entries := make([]Entry, 0, len(old.byID))
	for _, s := range old.byID {
		entries = append(entries, s.Entry)
	}
	d.show(entries, evacuated)
}

// show puts a new view in force. It is called with d.mu held.
func (d *Directory) show(entries []Entry, evacuated map[string]bool) {
	v := &View{services: map[string][]*Server{}, byID: make(map[string]*Server, len(entries)), evacuated: evacuated}
	for _, e := range entries {
		s := &Server{Entry: e, LocalState: d.states[e.ID], Evacuated: evacuated[e.Domain], EvacuationEndedAt: d.opened[e.Domain]}
		v.byID[e.ID] = s
		if s.AcceptsWork() {
			v.services[e.Service] = append(v.services[e.Service], s)
		}
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.view.Store(v)
}
