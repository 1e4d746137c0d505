package accountshare

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// ServiceState is what this host knows of a service that is short of room. Amounts are costs per
// second of the hosts that it covers: this one and those that report to it.
type ServiceState struct {
	Service   string
	Since     time.Time // when this host learned of the shortage
	Hosts     int       // that the amounts cover
	Taken     float64   // by servers
	Refused   float64   // by servers, for want of room
	DecidedBy string    // host that divides the room; empty: none is known, all requests are admitted
	DecidedAt time.Time // zero: see DecidedBy
	Covered   int       // hosts that the decision covers
	Capacity  float64   // that the decision divides
	Level     float64   // due of each account that asks for more
	Accounts  []AccountState
}

// AccountState is an account's part of a ServiceState.
type AccountState struct {
	Account  string // name, or its hash if only other hosts have seen it
	Demand   float64
	Admitted float64 // part of the demand that is admitted, 1 for all
}

// State returns the services that are short, by name.
func (s *Shares) State() []ServiceState {
	var out []ServiceState
	now := s.opts.Clock.Now()
	for _, svc := range *s.services.Load() {
		svc.mu.Lock()
		if svc.short {
			out = append(out, svc.state(now))
		}
		svc.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// state returns the state of a service. The caller holds svc.mu.
func (svc *service) state(now time.Time) ServiceState {
	t := svc.totals(now)
	out := ServiceState{Service: svc.name, Since: svc.shortSince, Hosts: t.hosts, Taken: t.taken, Refused: t.refused}
	if d := svc.currentDecision(now); d != nil {
		out.DecidedBy, out.DecidedAt, out.Covered, out.Capacity, out.Level = d.by, d.at, d.hosts, d.capacity, d.level
	}
	for _, c := range t.classes() {
		name := svc.names[c.account]
		if name == "" {
			name = fmt.Sprintf("%08x", uint32(c.account))
		}
		if n := len(out.Accounts); n == 0 || out.Accounts[n-1].Account != name {
			out.Accounts = append(out.Accounts, AccountState{Account: name})
		}
		a := &out.Accounts[len(out.Accounts)-1]
		a.Demand += t.demand[c]
		a.Admitted += t.demand[c] * svc.fraction(c, now)
	}
	for i := range out.Accounts {
		out.Accounts[i].Admitted /= max(out.Accounts[i].Demand, minDemand)
	}
	return out
}

// minDemand is taken for the demand of an account that asks for less.
const minDemand = 1e-9
