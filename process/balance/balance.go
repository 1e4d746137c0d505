// Package balance selects the backend server for a request among the candidates of a
// service. It does no I/O and reads no clock: the time, network latencies and server loads
// are inputs.
package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/directory"
	"bilberrydale/process/rendezvous"
)

// Query holds the inputs of a server selection.
type Query struct {
	Servers       directory.Candidates
	OneWayLatency func(domain string) time.Duration // network latency from the host of the request to a failure domain
	// AffinityKey identifies the prompt prefix of PrefixTokens tokens that the request
	// may share with other ones. Requests with the same key go to the same server in any
	// region, unless it is more heavily loaded than others. Empty: no shared prefix.
	AffinityKey  string
	PrefixTokens int
	// Seed orders servers of equal cost for requests without an affinity key. It should differ
	// between hosts: those that see the same loads then do not all choose the same server.
	Seed uint64
	// PrefillTimePerToken is the time that a server takes to process one prompt token.
	PrefillTimePerToken time.Duration
	// InputDomain is the failure domain that holds the request's inputs of InputBytes
	// bytes; empty: the request has no stored inputs.
	InputDomain string
	InputBytes  int64
	// QueueingCost returns the extra cost of a failure domain in which stage work is
	// queued; nil: none.
	QueueingCost func(domain string) time.Duration
	// BeginCost returns the extra cost of a request that begins at a server; nil: none.
	BeginCost func(*directory.Server) time.Duration
	// UsualTime is how long such a request usually takes at a server; 0: not known.
	UsualTime time.Duration
	// MayRepeat reports that the request may be sent again if its server takes too long. Such
	// requests show whether a slow server is well again.
	MayRepeat bool
	// Exclude reports whether a server must not be selected; nil: none is excluded.
	Exclude func(*directory.Server) bool
	Now     time.Time // time of the selection
}

const (
	// maxReportAge is the age from which a server's own load report is ignored. The load
	// of short requests changes within a few hundred milliseconds.
	maxReportAge = 500 * time.Millisecond
	// queuedRequestCost is the cost of each request beyond a server's slots, about the
	// time until a slot becomes free at a plain (non-engine) service.
	queuedRequestCost = 20 * time.Millisecond
	// concurrentRequestCost is the cost of each request that is already at the server:
	// some servers divide their speed among concurrent requests.
	concurrentRequestCost = 2 * time.Millisecond
	// maxAffinityDiscount is the value of a prefix cached by an engine, beyond the prefill
	// time that it saves. It exceeds the round trip between regions: a prefix that is
	// processed in two regions takes memory and time in both, and prefill pauses the other
	// streams of the engine.
	maxAffinityDiscount = 45 * time.Millisecond
	// fullDiscountPrefillTime is the prefill time of a prefix from which the discount is
	// maxAffinityDiscount; below it the discount is proportional. A shorter prefix is
	// processed in less time than a message takes to another region and back, and a stream
	// that stays in its region avoids the latency between regions.
	fullDiscountPrefillTime = 27 * time.Millisecond
	// minPrefixTokens is the shortest prefix for which affinity is considered.
	minPrefixTokens = 100
	// The cost of inputs in another failure domain grows with each megabyte (1e6 bytes),
	// up to maxRemoteInputCost.
	remoteInputCostPerMB = 40 * time.Millisecond
	maxRemoteInputCost   = 60 * time.Millisecond
	// certainFailureCost is the cost of a server with a failure rate of 1; it scales
	// linearly. A server that fails a third of its responses costs as much as a round trip
	// to another region.
	certainFailureCost = 150 * time.Millisecond
	// backoffCost is so high that a server in backoff after a recent failure is selected
	// only if there is no other.
	backoffCost = 10 * time.Second
)

// Choose returns the server with the lowest cost, or nil if every candidate is excluded or
// there is none.
func Choose(q Query) *directory.Server {
	var best ScoredServer
	home := q.homeServer()
	for s := range q.Servers.All() {
		if q.Exclude != nil && q.Exclude(s) {
			continue
		}
		if c := q.score(s, home); best.Server == nil || q.cheaper(c, best) {
			best = c
		}
	}
	return best.Server
}

// ScoredServer is a candidate server and its cost.
type ScoredServer struct {
	Server *directory.Server
	// Cost is comparable between the servers of one query only. Rank does not subtract the
	// affinity discount from the cost of the home server.
	Cost time.Duration
	Home bool // whether it is the home server: the first server by rendezvous hashing for the affinity key
}

// Rank returns up to n servers: the home server of the shared prefix, the server that
// replaces it when it is unavailable, and the others with the lowest cost in ascending
// order. n has to be at least 2 if the query has an affinity key.
func Rank(q Query, n int) []ScoredServer {
	home, next := q.homeServers()
	var homes, others []ScoredServer
	for s := range q.Servers.All() {
		if q.Exclude != nil && q.Exclude(s) {
			continue
		}
		c := ScoredServer{Server: s, Cost: q.Cost(s), Home: s == home}
		if s == home || s == next {
			homes = append(homes, c)
			continue
		}
		i := len(others)
		for i > 0 && q.cheaper(c, others[i-1]) {
			i--
		}
		if i < n {
			others = slices.Insert(others, i, c)
			others = others[:min(len(others), n)]
		}
	}
	return append(homes, others[:min(len(others), n-len(homes))]...)
}

// score returns the cost of a server with the affinity discount for the home server.
func (q *Query) score(s, home *directory.Server) ScoredServer {
	c := ScoredServer{Server: s, Cost: q.Cost(s), Home: s == home}
	if c.Home {
		c.Cost -= q.AffinityDiscount()
	}
	return c
}

// cheaper reports whether a costs less than b. The hash breaks ties.
func (q *Query) cheaper(a, b ScoredServer) bool {
	return a.Cost < b.Cost || a.Cost == b.Cost && q.affinityHash(a.Server) > q.affinityHash(b.Server)
}

// PrefillTime returns the time that a server takes to process the shared prefix.
func (q *Query) PrefillTime() time.Duration {
	return time.Duration(q.PrefixTokens) * q.PrefillTimePerToken
}

// AffinityDiscount returns how much the cost of a server is lowered if it has the shared
// prefix in its cache; 0 if the prefix is shorter than minPrefixTokens.
func (q *Query) AffinityDiscount() time.Duration {
	if q.AffinityKey == "" || q.PrefixTokens < minPrefixTokens {
		return 0
	}
	fraction := min(float64(q.PrefillTime())/float64(fullDiscountPrefillTime), 1)
	return time.Duration(fraction*float64(maxAffinityDiscount)) + q.PrefillTime()
}

// Cost returns the cost of running the request on a server, without the affinity discount. Costs
// are durations: estimated time, or a penalty expressed as time. It adds the network round trip,
// the load, the transfer of inputs, queued stage work, the failure rate, and a surcharge for
// servers in backoff or cold servers.
func (q *Query) Cost(s *directory.Server) time.Duration {
	load := EstimatedLoad(s, q.Now)
	cost := 2*q.OneWayLatency(s.Domain) + time.Duration(load)*concurrentRequestCost
	if excess := load + 1 - s.Slots; excess > 0 {
		cost += time.Duration(excess) * queuedRequestCost
	}
	if q.InputDomain != "" && s.Domain != q.InputDomain {
		cost += RemoteInputCost(q.InputBytes)
	}
	if q.QueueingCost != nil {
		cost += q.QueueingCost(s.Domain)
	}
	if q.BeginCost != nil {
		cost += q.BeginCost(s)
	}
	if s.InBackoff(q.Now) {
		cost += backoffCost
	}
	cost += time.Duration(s.FailureRate(q.Now) * float64(certainFailureCost))
	if s.ColdRemaining > 0 {
		cost += queuedRequestCost
	}
	if load > 0 {
		cost += min(s.Speed.Overdue(q.Now), maxSpeedCost)
	}
	if f, unusual := s.Speed.Figures(); unusual {
		cost += q.speedCost(s, f, load)
	}
	return cost
}

// RemoteInputCost returns the cost of a request of which the given number of input bytes
// is stored in other failure domains.
func RemoteInputCost(bytes int64) time.Duration {
	return min(time.Duration(float64(remoteInputCostPerMB)*float64(bytes)/1e6), maxRemoteInputCost)
}

// EstimatedLoad returns the number of requests at a server: the larger of this host's
// requests in flight and the server's own report of running and queued requests, if that
// is recent enough.
func EstimatedLoad(s *directory.Server, now time.Time) int {
	load := int(s.InFlight.Load())
	if running, waiting, age := s.ReportedLoad(now); age < maxReportAge {
		load = max(load, running+waiting)
	}
	return load
}

// homeServer returns the server that requests with this affinity key prefer. It is nil without a
// key, for a prefix that is too short, and if all servers are left out.
func (q *Query) homeServer() *directory.Server {
	home, _ := q.homeServers()
	return home
}

// homeServers returns the home server and the one that replaces it: the first two servers by
// rendezvous hashing, so that every host selects the same ones. Servers in backoff, slow ones and
// those that want no requests are left out, and either result may be nil.
func (q *Query) homeServers() (home, next *directory.Server) {
	if q.AffinityKey == "" || q.PrefixTokens < minPrefixTokens {
		return nil, nil
	}
	var first, second uint64
	for s := range q.Servers.All() {
		if s.InBackoff(q.Now) || s.Pauses.Pause(q.Now) != nil || s.Speed.Slow() {
			continue
		}
		switch h := q.affinityHash(s); {
		case home == nil || h > first:
			home, next, first, second = s, home, h, first
		case next == nil || h > second:
			next, second = s, h
		}
	}
	return home, next
}

// affinityHash returns the rank of a server in the order for the affinity key; the highest is
// preferred. The order of the same servers differs between keys, and without a key between seeds.
func (q *Query) affinityHash(s *directory.Server) uint64 {
	if q.AffinityKey == "" {
		return rendezvous.Combine(q.Seed, xxhash.Sum64String(s.ID))
	}
	return xxhash.Sum64String(q.AffinityKey + "\x00" + s.ID)
}
