// Package directory holds the backend servers that the platform lists, with
// what this host has learned of each. Readers load an immutable view; only the
// follower of the list replaces it.
package directory

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is one backend server as the platform lists it.
type Entry struct {
	ID       string // of this incarnation; other processes at the address have another
	Service  string
	Address  string // host:port
	Domain   string // failure domain
	Version  string // of its software
	Slots    int
	Draining bool
	ColdLeft time.Duration // how much longer it is slow after its start
	Born     int64         // Unix milliseconds of its start, by its own clock
}

// Server is a listed backend server and what this host knows of it. The entry
// does not change; a changed entry makes a new Server that shares State.
type Server struct {
	Entry
	*State
}

// State is what this host has seen of a backend server.
type State struct {
	Inflight atomic.Int64 // requests of this host at the server
	// running, waiting: as the server last said
	running, waiting atomic.Int64
	loadAt           atomic.Int64 // nanoseconds of the clock passed in; 0: never
	avoidUntil       atomic.Int64
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
func (s *State) Failed(now time.Time) {
	n := min(s.failures.Add(1), 8)
	d := min(minAvoid<<(n-1), maxAvoid)
	s.avoidUntil.Store(now.Add(d).UnixNano())
}

// Succeeded notes an answer.
func (s *State) Succeeded() {
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
func (s *State) Answered(failed bool, now time.Time) {
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
func (s *State) Errors(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faded(now)
}

// faded is called with s.mu held.
func (s *State) faded(now time.Time) float64 {
	if s.errors == 0 {
		return 0
	}
	return s.errors * math.Exp2(-now.Sub(s.errorsAt).Seconds()/errorsHalfLife.Seconds())
}

// Avoided reports whether the server failed a short time ago.
func (s *State) Avoided(now time.Time) bool { return s.avoidUntil.Load() > now.UnixNano() }

// Load notes the server's own report of its running and waiting requests.
func (s *State) Load(running, waiting int, now time.Time) {
	s.running.Store(int64(running))
	s.waiting.Store(int64(waiting))
	s.loadAt.Store(now.UnixNano())
}

// Reported returns the last report and its age; a large age if there is none.
func (s *State) Reported(now time.Time) (running, waiting int, age time.Duration) {
	return int(s.running.Load()), int(s.waiting.Load()), time.Duration(now.UnixNano() - s.loadAt.Load())
}

// Gone reports whether the platform no longer lists the server.
func (s *State) Gone() bool { return s.gone.Load() }

// View is an immutable state of the list.
type View struct {
	services map[string][]*Server
	byID     map[string]*Server
}

// Servers returns the usable servers of a service in order of their ids. The
// caller must not change the slice.
func (v *View) Servers(service string) []*Server { return v.services[service] }

// Server returns a listed server by id, draining ones included, or nil.
func (v *View) Server(id string) *Server { return v.byID[id] }

// All returns every listed server in no order.
func (v *View) All() map[string]*Server { return v.byID }

// Count returns the number of listed servers.
func (v *View) Count() int { return len(v.byID) }

// Directory is the list in force.
type Directory struct {
	view   atomic.Pointer[View]
	mu     sync.Mutex // held by writers
	states map[string]*State
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{states: map[string]*State{}}
	d.view.Store(&View{})
	return d
}

// View returns the list in force.
func (d *Directory) View() *View { return d.view.Load() }

// Replace puts entries in force. A server that starts again under its old id
// gets a new State: nothing of before holds for it.
func (d *Directory) Replace(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &View{services: map[string][]*Server{}, byID: make(map[string]*Server, len(entries))}
	old := d.view.Load()
	states := make(map[string]*State, len(entries))
	for _, e := range entries {
		state := d.states[e.ID]
		if before := old.byID[e.ID]; state == nil || before != nil && (before.Born != e.Born || before.Address != e.Address) {
			state = &State{}
		}
		states[e.ID] = state
		s := &Server{Entry: e, State: state}
		v.byID[e.ID] = s
		if !e.Draining {
			v.services[e.Service] = append(v.services[e.Service], s)
		}
	}
	for id, s := range d.states {
		if states[id] != s {
			s.gone.Store(true)
		}
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.states = states
	d.view.Store(v)
}
