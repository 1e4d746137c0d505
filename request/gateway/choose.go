package gateway

import (
	"bilberrydale/process/balance"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/directory"
)

// tried keeps the servers that one request was given to.
type tried map[string]bool

// choose returns the server for the next attempt; nil: there is none.
func (x *exchange) choose(t tried) *directory.Server {
	if s := x.chosen(t); s != nil {
		return s
	}
	return balance.Choose(x.query(t))
}

// chosen is the server that was chosen with the request's results, as long as nothing
// speaks against it; nil: choose another.
func (x *exchange) chosen(t tried) *directory.Server {
	s := x.opts.Directory.View().Server(x.target)
	now := x.opts.Clock.Now()
	if s == nil || !s.AcceptsWork() || s.Service != x.service || !x.allowed.Allows(s.Region) || t[s.ID] || s.InBackoff(now) || !x.opts.ColdStart.WouldAllow(s, x.cold(), now) {
		return nil
	}
	return s
}

// candidates are the servers on which the request may run.
func (x *exchange) candidates() directory.Candidates {
	return x.opts.Directory.View().Candidates(x.service, x.allowed)
}

// cold is what the request's servers bear while they are cold.
func (x *exchange) cold() coldstart.Limit {
	if s := x.plan.Service(x.service); s != nil {
		return s.ColdStart
	}
	return coldstart.Limit{}
}

func (x *exchange) query(t tried) balance.Query {
	affinity, tokens := x.affinity()
	now, cold := x.opts.Clock.Now(), x.cold()
	return balance.Query{
		Servers: x.candidates(), OneWayLatency: x.opts.Distance,
		AffinityKey: affinity, PrefixTokens: tokens, PrefillTimePerToken: x.reads.token(x.service), InputDomain: x.near, InputBytes: x.nearBytes,
		Exclude: func(s *directory.Server) bool { return t[s.ID] || !x.opts.ColdStart.WouldAllow(s, cold, now) }, Now: now,
	}
}
