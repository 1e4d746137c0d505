package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/retrybudget"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// Location is the name, failure domain and region of an entry host.
type Location struct{ Name, Domain, Region string }

// HostPolicy is the decision code of one entry host under a policy.
type HostPolicy struct {
	Admitter  admission.Admitter
	NewPicker func(table.Pool, []pick.Server) pick.Picker
	// Tick runs the periodic updates of the decision code; nil: none.
	Tick func(now time.Time, pools map[string]pick.Picker)
	// RecordOutcome records the outcome and duration of an attempt; nil: not
	// recorded.
	RecordOutcome func(now time.Time, s *serverstate.State, o serverstate.Outcome, duration time.Duration)
	// AllowRetry reports whether the retry budget of a pool allows another
	// attempt, and RecordFirstAttempt counts a first one; nil: no budget.
	AllowRetry         func(pool string) bool
	RecordFirstAttempt func(pool string)
	// Naive hosts send no priority to the servers and make one retry more.
	Naive bool
}

// Policy creates the decision code of each entry host of a replay.
type Policy struct {
	Name string
	New  func(at Location, r clock.Rand) *HostPolicy
}

// Naive is the baseline: random servers, first come first served, up to three
// retries without a budget, no admission control.
func Naive() Policy {
	return Policy{"naive", func(Location, clock.Rand) *HostPolicy {
		return &HostPolicy{
			Admitter:  admission.AlwaysAdmit{},
			NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker { return pick.NewRandomPicker(s) },
			Naive:     true,
		}
	}}
}

// Placement picks servers by locality and load, sends priorities to the servers
// and has a retry budget, but no admission control.
func Placement() Policy {
	return Policy{"placement", func(at Location, _ clock.Rand) *HostPolicy {
		hp := &HostPolicy{
			Admitter: admission.AlwaysAdmit{},
			NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker {
				return pick.NewLocalityPicker(pick.DefaultOptions(at.Name, at.Domain, at.Region), s)
			},
			RecordOutcome: func(now time.Time, s *serverstate.State, o serverstate.Outcome, duration time.Duration) {
				s.RecordOutcome(now, o, duration)
			},
		}
		hp.useRetryBudgets()
		return hp
	}}
}

// Current is the policy of a real entry host.
func Current() Policy {
	return Policy{"current", func(at Location, r clock.Rand) *HostPolicy {
		hp := Placement().New(at, r)
		c := admission.NewController(admission.DefaultOptions(), r)
		hp.Admitter = c
		hp.Tick = func(now time.Time, pools map[string]pick.Picker) { c.Tick(now, poolLoads(now, pools)) }
		return hp
	}}
}

// poolLoads returns the load of each pool for admission control, by name.
func poolLoads(now time.Time, pools map[string]pick.Picker) []admission.PoolLoad {
	var out []admission.PoolLoad
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		l := pools[name].(*pick.LocalityPicker).Load(now)
		out = append(out, admission.PoolLoad{Pool: name, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport, ProbesDue: l.ProbesDue})
	}
	return out
}

// useRetryBudgets gives the host a retry budget for each pool.
func (hp *HostPolicy) useRetryBudgets() {
	budgets := map[string]*retrybudget.Budget{}
	budgetOf := func(pool string) *retrybudget.Budget {
		if budgets[pool] == nil {
			budgets[pool] = retrybudget.New(retrybudget.DefaultOptions())
		}
		return budgets[pool]
	}
	hp.RecordFirstAttempt = func(pool string) { budgetOf(pool).RecordFirstAttempt() }
	hp.AllowRetry = func(pool string) bool { return budgetOf(pool).Allow() }
}

// Policies returns every policy, the baseline first.
func Policies() []Policy { return []Policy{Naive(), Placement(), Current()} }

// PolicyNames returns the names of Policies, in the same order.
func PolicyNames() []string {
	var out []string
	for _, p := range Policies() {
		out = append(out, p.Name)
	}
	return out
}

// PolicyByName returns the policy of that name, or an error that lists the names.
func PolicyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q; the policies are %s", name, strings.Join(PolicyNames(), ", "))
}
