package gateway

import (
	"time"

	"bilberrydale/process/directory"
)

// prefix names the shared part before the longest one; empty: there is none.
func (x *exchange) prefix() string {
	if n := len(x.client.PromptParts); x.route.PrefixAffinity && n > 2 {
		return x.client.PromptParts[n-3].ID
	}
	return ""
}

// fetchTime is how long an engine takes to get so many tokens from another one.
func (x *exchange) fetchTime(tokens int) time.Duration {
	if s := x.plan.Service(x.service); s != nil {
		return s.Engine.KVTransferTime(tokens)
	}
	return 0
}

// fetchFrom returns the address of the server from which another one gets the shared part
// of the prompt; empty: it reads the part.
func (x *exchange) fetchFrom(to *directory.Server, now time.Time) string {
	for _, id := range []string{x.fetch, x.target} {
		s := x.opts.Directory.View().Server(id)
		if s != nil && s.ID != to.ID && s.AcceptsWork() && x.allowed.Allows(s.Region) && !s.InBackoff(now) && x.fetchTime(1) > 0 {
			return s.Address
		}
	}
	return ""
}

// affinity names the longest part of the prompt that other requests share: all
// but the last, which belongs to this request or its session. tokens counts it
// and the parts before it.
func (x *exchange) affinity() (part string, tokens int) {
	n := len(x.client.PromptParts)
	if !x.route.PrefixAffinity || n == 0 {
		return "", 0
	}
	shared := x.client.PromptParts[:max(n-1, 1)]
	for _, p := range shared {
		tokens += p.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}
