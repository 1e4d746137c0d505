// Package pick chooses the backend server of one attempt from an immutable
// set. Pickers read atomics and take no lock.
package pick

import (
	"errors"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/server"
	"bilberrydale/version/table"
)

// ErrNone is returned when no backend server may take the attempt.
var ErrNoServer = errors.New("pick: no usable backend server")

// Server is one backend server as a picker sees it.
type Server struct {
	table.Server
	State *server.State
	Slots int

	outside bool // in another failure domain than the picker's host
}

// Info describes the attempt to place.
type Attempt struct {
	Now        time.Time
	Rand       clock.Rand
	PrefixHash uint64 // hash of the prompt prefix; 0: none
	Class      table.Class
	InputBytes int // size of the stage's input, for billed links
	// Exclude holds servers already tried by this request; at most a few.
	Exclude []*server.State
}

// Excluded reports whether the request already tried s.
func (i *Attempt) Excluded(s *server.State) bool {
	for _, x := range i.Exclude {
		if x == s {
			return true
		}
	}
	return false
}

// Picker chooses a backend server. It is immutable, made once for a snapshot,
// and called by any number of requests at once.
type Picker interface {
	// Pick returns the chosen server or ErrNone.
	Pick(info *Attempt) (*Server, error)
	// Servers returns every server of the pool, for status and explanation.
	Servers() []Server
}

// Random is the naive picker: any usable server, uniformly.
type RandomPicker struct{ servers []Server }

// NewRandom returns a Random picker over servers.
func NewRandomPicker(servers []Server) *RandomPicker { return &RandomPicker{servers} }

// Servers implements Picker.
func (r *RandomPicker) Servers() []Server { return r.servers }

// Pick implements Picker.
func (r *RandomPicker) Pick(info *Attempt) (*Server, error) {
	n := len(r.servers)
	if n == 0 {
		return nil, ErrNoServer
	}
	start := info.Rand.IntN(n)
	for i := range n {
		s := &r.servers[(start+i)%n]
		if s.State.Usable() && !info.Excluded(s.State) {
			return s, nil
		}
	}
	return nil, ErrNoServer
}
