package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/limit"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// Place is where an entry host stands.
type Location struct{ Name, Domain, Region string }

// Decider is the decision code of one entry host.
type HostPolicy struct {
	Admitter  admission.Admitter
	NewPicker func(table.Pool, []pick.Server) pick.Picker
	// Tick runs the periodic part of the decisions; nil: none.
	Tick func(now time.Time, pools map[string]pick.Picker)
	// Record tells the decisions how an attempt ended; nil: not told.
	RecordOutcome func(now time.Time, s *server.State, o server.Outcome, took time.Duration)
	// Retry reports whether the budget allows another attempt at a pool;
	// First counts a first attempt.
	AllowRetry         func(pool string) bool
	RecordFirstAttempt func(pool string)
	// Blind deciders send no priority and repeat whatever failed.
	Naive bool
}

// Policy makes the deciders of a run.
type Policy struct {
	Name string
	New  func(at Location, r clock.Rand) *HostPolicy
}

// Naive is the baseline: a random server, first come first served, three blind
// retries, no admission.
func Naive() Policy {
	return Policy{"naive", func(Location, clock.Rand) *HostPolicy {
		return &HostPolicy{
			Admitter:  admission.AlwaysAdmit{},
			NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker { return pick.NewRandomPicker(s) },
			Naive:     true,
		}
	}}
}

// Placement is the naive policy with servers chosen by place and load, priority
// at the engines and a retry budget, but no admission.
func Placement() Policy {
	return Policy{"placement", func(at Location, _ clock.Rand) *HostPolicy {
		d := &HostPolicy{
			Admitter: admission.AlwaysAdmit{},
			NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker {
				return pick.NewLocalityPicker(pick.DefaultOptions(at.Name, at.Domain, at.Region), s)
			},
			RecordOutcome: func(now time.Time, s *server.State, o server.Outcome, took time.Duration) {
				s.RecordOutcome(now, o, took)
			},
		}
		d.budgets()
		return d
	}}
}

// Current is the policy of the entry host.
func Current() Policy {
	return Policy{"current", func(at Location, r clock.Rand) *HostPolicy {
		d := Placement().New(at, r)
		c := admission.NewController(admission.DefaultOptions(), r)
		d.Admitter = c
		d.Tick = func(now time.Time, pools map[string]pick.Picker) { c.Tick(now, loads(now, pools)) }
		return d
	}}
}

func loads(now time.Time, pools map[string]pick.Picker) []admission.PoolLoad {
	var out []admission.PoolLoad
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		l := pools[name].(*pick.LocalityPicker).Load(now)
		out = append(out, admission.PoolLoad{Pool: name, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport, ProbesDue: l.ProbesDue})
	}
	return out
}

// budgets gives the decider a retry budget for each pool.
func (d *HostPolicy) budgets() {
	pools := map[string]*limit.RetryBudget{}
	of := func(pool string) *limit.RetryBudget {
		if pools[pool] == nil {
			pools[pool] = limit.NewRetryBudget(limit.DefaultRetryBudget())
		}
		return pools[pool]
	}
	d.RecordFirstAttempt = func(pool string) { of(pool).RecordFirstAttempt() }
	d.AllowRetry = func(pool string) bool { return of(pool).Allow() }
}

// Policies returns every policy, the baseline first.
func Policies() []Policy { return []Policy{Naive(), Placement(), Current()} }

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
