// Package serverstate holds the state of each backend server as seen by an entry
// host, for the lifetime of the process: requests in flight, health, and the
// last load report. Snapshots of the tables point to these states, so that they
// survive a new release. All reads on the request path are atomic.
package serverstate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/retryafter"
	"bilberrydale/process/serverlimit"
)

// State is the state of one backend server. Its address is fixed: a server that
// moves gets a new State. It is safe for concurrent use.
type State struct {
	Name    string // in the tables
	Address string // host:port
	hash    uint64 // of the address, for rendezvous hashing

	inFlight  atomic.Int64 // requests of this entry host
	down      atomic.Bool  // see SetDown
	leaving   atomic.Bool  // see SetLeaving
	firstSeen atomic.Int64 // unix nanoseconds, for slow start

	RateLimit serverlimit.State // the limit that the server has named
	Pauses    retryafter.State  // until when the server wants no requests of this host

	report loadReport
	health health
}

// Load is the last load report of a backend server. It lags by up to the
// reporting period.
type Load struct {
	Running  int       // requests being executed
	Queued   int       // requests waiting
	Slots    int       // requests that the server executes concurrently
	Models   []string  // loaded models, as model/adapter@version
	Role     string    // as reported by the server
	Received time.Time // when this entry host received the report
}

// Process returns what identifies the server to other entry hosts.
func (s *State) Process() serverlimit.Server { return serverlimit.Server{ID: s.Name + "|" + s.Address} }

// Hash returns a hash of the address that is the same on every entry host.
func (s *State) Hash() uint64 { return s.hash }

// BeginRequest counts a request as in flight. Each call must be followed by one
// EndRequest.
func (s *State) BeginRequest() { s.inFlight.Add(1) }

// EndRequest ends a request that BeginRequest counted.
func (s *State) EndRequest() { s.inFlight.Add(-1) }

// InFlight returns the number of requests that this entry host has in flight on
// the server.
func (s *State) InFlight() int64 { return s.inFlight.Load() }

// SetDown records whether polls of the server fail to connect.
func (s *State) SetDown(down bool) { s.down.Store(down) }

// SetLeaving records whether the server, or the platform's host list, reports
// that it is leaving.
func (s *State) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Leaving reports whether the server is leaving.
func (s *State) Leaving() bool { return s.leaving.Load() }

// Usable reports whether the server may get new work: it is neither down nor
// leaving.
func (s *State) Usable() bool { return !s.down.Load() && !s.leaving.Load() }

// FirstSeen returns when this entry host created the state of the server.
func (s *State) FirstSeen() time.Time { return time.Unix(0, s.firstSeen.Load()) }

// Age returns the time from FirstSeen to now, a time in unix nanoseconds.
func (s *State) Age(now int64) time.Duration { return time.Duration(now - s.firstSeen.Load()) }

// Registry holds the states by server name and address. It is safe for
// concurrent use.
type Registry struct {
	mu        sync.Mutex        // guards states
	states    map[string]*State // by name|address; never removed
	byAddress sync.Map          // string -> *State, the first one with the address
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{states: map[string]*State{}} }

// Get returns the state of a server and creates it on the first call, with now as
// FirstSeen. It takes a
// lock: it is called when a snapshot is built, never for a request.
func (r *Registry) Get(name, address string, now time.Time) *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := name + "|" + address
	s, ok := r.states[key]
	if !ok {
		s = &State{Name: name, Address: address, hash: xxhash.Sum64String(address)}
		s.firstSeen.Store(now.UnixNano())
		r.states[key] = s
		r.byAddress.LoadOrStore(address, s)
	}
	return s
}

// ByAddress returns the state of the server at an address (host:port), or nil. It takes no lock.
func (r *Registry) ByAddress(address string) *State {
	s, ok := r.byAddress.Load(address)
	if !ok {
		return nil
	}
	return s.(*State)
}

// Lookup returns the state with the given Process, or nil.
func (r *Registry) Lookup(server serverlimit.Server) *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[server.ID]; s != nil && s.Process() == server {
		return s
	}
	return nil
}

// Each calls f for every state, in no particular order, without holding the
// lock.
func (r *Registry) Each(f func(*State)) {
	r.mu.Lock()
	states := make([]*State, 0, len(r.states))
	for _, s := range r.states {
		states = append(states, s)
	}
	r.mu.Unlock()
	for _, s := range states {
		f(s)
	}
}
