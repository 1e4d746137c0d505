package gateway

import (
	"time"

	"bilberrydale/process/directory"
)

// shorterPrefix returns the ID of the second longest prompt prefix that other requests share.
// Empty: there is none, or the route has no prefix affinity.
func (x *exchange) shorterPrefix() string {
	if n := len(x.clientRequest.PromptParts); x.route.PrefixAffinity && n > 2 {
		return x.clientRequest.PromptParts[n-3].ID
	}
	return ""
}

// kvTransferTime returns how long an engine takes to fetch the KV cache of so many tokens
// from another engine. 0: it cannot.
func (x *exchange) kvTransferTime(tokens int) time.Duration {
	if s := x.services.Service(x.service); s != nil {
		return s.Engine.KVTransferTime(tokens)
	}
	return 0
}

// kvSourceAddress returns the address (host:port) of the server from which the server "to" fetches
// the KV cache of the shared prompt prefix, which has to run the same software. Empty: it computes
// the prefix itself.
//
// The second candidate is the server that was chosen with the stage results, in case the request
// runs elsewhere: the choice counts that server as a holder of the prefix from then on.
// kvTransferTime(1) > 0 means that the engines of the service can transfer KV caches at all.
func (x *exchange) kvSourceAddress(to *directory.Server, now time.Time) string {
	if x.kvTransferTime(1) == 0 {
		return ""
	}
	sources := x.opts.Directory.View().Candidates(x.service, x.allowed, to.Writer)
	for _, id := range []string{x.kvSource, x.preferredServer} {
		s := sources.Server(id)
		if s != nil && s.ID != to.ID && !s.InBackoff(now) {
			return s.Address
		}
	}
	return ""
}

// sharedPrefix returns the ID of the longest prompt prefix that other requests share, and its
// length in tokens, earlier parts included; empty without prefix affinity. The last of several
// parts is left out, as it belongs to this request or its session.
func (x *exchange) sharedPrefix() (part string, tokens int) {
	n := len(x.clientRequest.PromptParts)
	if !x.route.PrefixAffinity || n == 0 {
		return "", 0
	}
	shared := x.clientRequest.PromptParts[:max(n-1, 1)]
	for _, p := range shared {
		tokens += p.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}
