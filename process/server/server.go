// Package server keeps what an entry host knows of each backend server for as
// long as the process lives: requests in flight, evidence of health, the last
// load report. Snapshots of the tables point at these states, so that a new
// release does not forget them. All reads on the request path are atomic.
package server

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the knowledge about one backend server. Its address is fixed: a
// server that moves gets a new State.
type State struct {
	Name    string
	Address string
	hash    uint64 // of the address, for rendezvous hashing

	inflight atomic.Int64
	down     atomic.Bool
	leaving  atomic.Bool
	since    atomic.Int64 // unix nanoseconds of the first sight, for slow start

	reported reported
	health   health
}

// Load is a backend server's own report; it lags by up to its reporting period.
type Load struct {
	Running  int
	Queued   int
	Slots    int
	Models   []string // model/adapter@version loaded
	Role     string
	Received time.Time
}

// Hash returns a hash of the address that is the same on every entry host.
func (s *State) Hash() uint64 { return s.hash }

// Begin counts a request as in flight; End must follow once.
func (s *State) BeginRequest() { s.inflight.Add(1) }

// End undoes Begin.
func (s *State) EndRequest() { s.inflight.Add(-1) }

// Inflight returns the requests this entry host has running on the server.
func (s *State) InFlight() int64 { return s.inflight.Load() }

// SetDown records whether the server is believed dead.
func (s *State) SetDown(down bool) { s.down.Store(down) }

// SetLeaving records the first sign, from any source, that the server leaves.
func (s *State) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Leaving reports whether the server is known to leave.
func (s *State) Leaving() bool { return s.leaving.Load() }

// Usable reports whether the server may get new work.
func (s *State) Usable() bool { return !s.down.Load() && !s.leaving.Load() }

// FirstSeen returns when this entry host first heard of the server.
func (s *State) FirstSeen() time.Time { return time.Unix(0, s.since.Load()) }

// Age returns how long this host has known the server.
func (s *State) Age(now int64) time.Duration { return time.Duration(now - s.since.Load()) }

// Registry holds the states by server name and address.
type Registry struct {
	mu     sync.Mutex
	states map[string]*State
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{states: map[string]*State{}} }

// Get returns the state of the server, making one at first sight. It takes a
// lock and is called when a snapshot is built, never for a request.
func (r *Registry) Get(name, address string, now time.Time) *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := name + "|" + address
	s, ok := r.states[key]
	if !ok {
		s = &State{Name: name, Address: address, hash: xxhash.Sum64String(address)}
		s.since.Store(now.UnixNano())
		r.states[key] = s
	}
	return s
}

// Each calls f for every state.
func (r *Registry) Each(f func(*State)) {
	r.mu.Lock()
	all := make([]*State, 0, len(r.states))
	for _, s := range r.states {
		all = append(all, s)
	}
	r.mu.Unlock()
	for _, s := range all {
		f(s)
	}
}
