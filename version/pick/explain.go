package pick

import (
	"time"

	"bilberrydale/process/server"
)

// Candidate is one server as the picker sees it.
type Candidate struct {
	Name        string  `json:"name"`
	Tier        string  `json:"tier"` // domain, region, remote or unused
	Load        float64 `json:"load"` // requests for a slot
	State       string  `json:"state"`
	OwnInFlight int64   `json:"own"`              // requests of this host in flight
	ReportAge   float64 `json:"report,omitempty"` // age of the load report in seconds
	// Latency is the mean of this host's attempts that succeeded, in seconds.
	MeanLatency float64 `json:"latency,omitempty"`
}

// Explain describes every server of the pool.
func (p *LocalityPicker) Explain(now time.Time) []Candidate {
	tiers := map[*Server]string{}
	for name, t := range map[string]tier{"domain": p.near, "region": p.region, "remote": p.remote} {
		for _, s := range t {
			tiers[s] = name
		}
	}
	out := make([]Candidate, 0, len(p.servers))
	for i := range p.servers {
		s := &p.servers[i]
		c := Candidate{Name: s.Name, Tier: tiers[s], Load: p.load(s, now), State: describe(s, now), OwnInFlight: s.State.InFlight()}
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

func describe(s *Server, now time.Time) string {
	switch {
	case s.State.Leaving():
		return "leaving"
	case !s.State.Usable():
		return "down"
	}
	switch s.State.Health(now) {
	case server.TrialDue:
		return "on trial"
	case server.Outlier:
		return "ejected: attempts fail"
	case server.Disconnected:
		return "ejected: no connection"
	}
	return "usable"
}

// Reach returns the servers that this host may use, near ones first.
func (p *LocalityPicker) Eligible() []*server.State {
	return append(p.near.states(), p.EligibleOutsideDomain()...)
}

// Outside returns the servers in other domains that this host may use.
func (p *LocalityPicker) EligibleOutsideDomain() []*server.State {
	return append(p.region.states(), p.remote.states()...)
}

func (t tier) states() []*server.State {
	out := make([]*server.State, len(t))
	for i, s := range t {
		out[i] = s.State
	}
	return out
}
