package replay

import (
	"fmt"
	"strings"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// Place is where an entry host stands.
type Place struct{ Name, Domain, Region string }

// Decider is the decision code of one entry host.
type Decider struct {
	Admitter  admission.Admitter
	NewPicker func(table.Pool, []pick.Server) pick.Picker
	// Tick runs the periodic part of the decisions; nil: none.
	Tick func(now time.Time, pools map[string]pick.Picker)
	// Record tells the decisions how an attempt ended; nil: not told.
	Record func(now time.Time, s *server.State, ok bool, took time.Duration)
	// Retry reports whether the budget allows another attempt at a pool;
	// First counts a first attempt.
	Retry func(pool string) bool
	First func(pool string)
	// Blind deciders send no priority and repeat whatever failed.
	Blind bool
}

// Policy makes the deciders of a run.
type Policy struct {
	Name string
	New  func(at Place, r clock.Rand) *Decider
}

// Naive is the baseline: a random server, first come first served, three blind
// retries, no admission.
func Naive() Policy {
	return Policy{"naive", func(Place, clock.Rand) *Decider {
		return &Decider{
			Admitter:  admission.Always{},
			NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker { return pick.NewRandom(s) },
			Blind:     true,
		}
	}}
}

// Policies returns every policy, the baseline first.
func Policies() []Policy { return []Policy{Naive()} }

// PolicyNames returns their names.
func PolicyNames() []string {
	var out []string
	for _, p := range Policies() {
		out = append(out, p.Name)
	}
	return out
}

// PolicyByName returns the policy of that name.
func PolicyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("there is no policy %q; there are %s", name, strings.Join(PolicyNames(), ", "))
}
