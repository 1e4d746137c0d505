package pick

import (
	"fmt"
	"time"

	"bilberrydale/process/serverstate"
)

// Candidate describes a server of the pool as the picker evaluates it, for operators.
type Candidate struct {
	Name        string  `json:"name"`
	Tier        string  `json:"tier"`             // domain, region, remote, or unused: not in this host's subsets
	Load        float64 `json:"load"`             // requests in flight per slot
	State       string  `json:"state"`            // usable, leaving, down, on trial or ejected, with the reason
	OwnInFlight int64   `json:"own"`              // requests in flight sent by this host
	ReportAge   float64 `json:"report,omitempty"` // age of the load report in seconds
	// MeanLatency is the mean duration of this host's successful attempts in seconds.
	MeanLatency float64 `json:"latency,omitempty"`
}

// Explain describes all servers of the pool, in the order of Servers.
func (p *LocalityPicker) Explain(now time.Time) []Candidate {
	tiers := map[*Server]string{}
	for name, t := range map[string]tier{"domain": p.domain, "region": p.region, "remote": p.remote} {
		for _, s := range t {
			tiers[s] = name
		}
	}
	out := make([]Candidate, 0, len(p.servers))
	for i := range p.servers {
		s := &p.servers[i]
		c := Candidate{Name: s.Name, Tier: tiers[s], Load: p.load(s, now), State: stateText(s, now), OwnInFlight: s.State.InFlight()}
		c.MeanLatency = s.State.Latency().Mean()
		if c.Tier == "" {
			c.Tier = "unused"
		}
		if l := s.State.Load(); l != nil {
			c.ReportAge = now.Sub(l.Received).Seconds()
		}
		out = append(out, c)
	}
	return out
}

// stateText returns the text of Candidate.State.
func stateText(s *Server, now time.Time) string {
	switch {
	case s.State.Leaving():
		return "leaving"
	case !s.State.Usable():
		return "down"
	}
	if p := s.State.Pauses.Pause(now); p != nil {
		return fmt.Sprintf("wants no requests of this host from %s until %s, told with request %q", p.Since.Format(time.RFC3339), p.Until.Format(time.RFC3339), p.ToldBy)
	}
	switch s.State.Health(now) {
	case serverstate.TrialDue:
		return "on trial"
	case serverstate.Outlier:
		return "ejected: attempts fail"
	case serverstate.Disconnected:
		return "ejected: no connection"
	}
	return "usable"
}

// Eligible returns the states of all servers that this host may use, those in the own failure
// domain first.
func (p *LocalityPicker) Eligible() []*serverstate.State {
	return append(p.domain.states(), p.EligibleOutsideDomain()...)
}

// EligibleOutsideDomain returns the states of the servers in other failure domains that this
// host may use.
func (p *LocalityPicker) EligibleOutsideDomain() []*serverstate.State {
	return append(p.region.states(), p.remote.states()...)
}

// states returns the states of the servers in t.
func (t tier) states() []*serverstate.State {
	out := make([]*serverstate.State, len(t))
	for i, s := range t {
		out[i] = s.State
	}
	return out
}
