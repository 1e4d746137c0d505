// Package pick selects the backend server for an attempt of a stage from the immutable set of
// a pool's servers. Pickers read the servers' states from atomics and take no locks.
package pick

import (
	"errors"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/table"
)

// ErrNoServer is returned when no backend server can be used for the attempt.
var ErrNoServer = errors.New("pick: no usable backend server")

// Server is a backend server of a pool: its row of the tables and its current state.
type Server struct {
	table.Server
	State *serverstate.State
	Slots int // requests that the server runs concurrently, before its weight is applied; below 1: 1

	outsideDomain bool // in another failure domain than the picker's host
}

// Attempt describes the attempt for which a server is picked.
type Attempt struct {
	Now        time.Time
	Rand       clock.Rand
	PrefixHash uint64      // hash of the prompt prefix for affinity; 0: none
	Class      table.Class // class of the request's route
	InputBytes int         // size of the stage's input, for regions whose traffic is billed
	// Exclude holds the servers that this request has already tried. It is searched linearly
	// and holds only a few.
	Exclude []*serverstate.State
}

// Excluded reports whether the request has already tried s.
func (a *Attempt) Excluded(s *serverstate.State) bool {
	for _, x := range a.Exclude {
		if x == s {
			return true
		}
	}
	return false
}

// Picker selects backend servers of one pool. It is created once per snapshot, immutable and
// safe for concurrent use.
type Picker interface {
	// Pick returns the selected server or ErrNoServer.
	Pick(attempt *Attempt) (*Server, error)
	// Servers returns all servers of the pool, including those that Pick never returns.
	Servers() []Server
}

// RandomPicker picks any usable server at random, regardless of locality and load.
type RandomPicker struct{ servers []Server }

// NewRandomPicker returns a RandomPicker for servers.
func NewRandomPicker(servers []Server) *RandomPicker { return &RandomPicker{servers} }

// Servers implements Picker.
func (r *RandomPicker) Servers() []Server { return r.servers }

// Pick implements Picker.
func (r *RandomPicker) Pick(attempt *Attempt) (*Server, error) {
	n := len(r.servers)
	if n == 0 {
		return nil, ErrNoServer
	}
	start := attempt.Rand.IntN(n)
	for i := range n {
		s := &r.servers[(start+i)%n]
		if s.State.Usable() && s.State.Pauses.Admits(attempt.Now) && !attempt.Excluded(s.State) {
			return s, nil
		}
	}
	return nil, ErrNoServer
}
