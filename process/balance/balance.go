// Package balance chooses the backend server of one request among those that
// the platform lists. It is pure: time, distance and load are inputs.
package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/directory"
)

// Query is what a choice depends on.
type Query struct {
	Servers       directory.Candidates
	OneWayLatency func(domain string) time.Duration // one way
	// Affinity names the part of the prompt that requests share, of SharedTokens
	// tokens with those before it. They go to the same server, wherever it is,
	// while it is not fuller than others. Empty: none.
	AffinityKey  string
	PrefixTokens int
	// TokenTime is how long a server reads a token of a prompt.
	PrefillTimePerToken time.Duration
	// Near is the failure domain that holds the request's inputs, of NearBytes;
	// empty: none.
	InputDomain string
	InputBytes  int64
	// Busy is the cost of a failure domain whose stage work waits; nil: none.
	QueueingCost func(domain string) time.Duration
	Exclude      func(*directory.Server) bool
	Now          time.Time
}

const (
	// reportMaxAge: a server's own report of its load counts for so long. The
	// load of short requests changes within some hundred milliseconds.
	reportMaxAge = 500 * time.Millisecond
	// fullCost is the cost of one request beyond a server's slots: about the
	// time until a place is free at a plain service.
	fullCost = 20 * time.Millisecond
	// shareCost is the cost of one request beside which a request runs, for
	// servers that share their speed among their requests.
	shareCost = 2 * time.Millisecond
	// affinityGain is what a shared part in an engine's memory is worth beside
	// the time of its reading. It outweighs the way there and back between
	// regions: a part that two regions read takes memory and time at both, and
	// the streams that run beside the reading pause.
	affinityGain = 45 * time.Millisecond
	// wholeGain is the reading time of a shared part from which that gain is whole.
	// Less is read sooner than a message goes to another region and back, and
	// streams that stay pay no way between regions.
	wholeGain = 27 * time.Millisecond
	// leastShared tokens make affinity worth anything.
	leastShared = 100
	// nearTime is what it is worth for each megabyte of inputs to run where
	// they lie, and maxNear the most.
	nearTime = 40 * time.Millisecond
	maxNear  = 60 * time.Millisecond
	// errorCost is the cost of certain failure: a server that fails a third of its
	// answers costs as much as the way to another region and back.
	errorCost = 150 * time.Millisecond
	// avoidCost keeps servers that failed a short time ago for the case that
	// there is no other.
	avoidCost = 10 * time.Second
)

// Choose returns the cheapest server, or nil if there is none.
func Choose(q Query) *directory.Server {
	var best ScoredServer
	home := q.home()
	for s := range q.Servers.All() {
		if q.Exclude != nil && q.Exclude(s) {
			continue
		}
		if c := q.choice(s, home); best.Server == nil || q.before(c, best) {
			best = c
		}
	}
	return best.Server
}

// Choice is a server that a request may go to.
type ScoredServer struct {
	Server *directory.Server
	// Cost against other servers; in that of a Rank no home has its gain.
	Cost time.Duration
	Home bool // the shared part's requests prefer it
}

// Rank returns servers to choose from: the home of the shared part, the next one in
// its place, and the cheapest others, n at most in all.
func Rank(q Query, n int) []ScoredServer {
	home, next := q.homes()
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
		for i > 0 && q.before(c, others[i-1]) {
			i--
		}
		if i < n {
			others = slices.Insert(others, i, c)
			others = others[:min(len(others), n)]
		}
	}
	return append(homes, others[:min(len(others), n-len(homes))]...)
}

func (q *Query) choice(s, home *directory.Server) ScoredServer {
	c := ScoredServer{Server: s, Cost: q.Cost(s), Home: s == home}
	if c.Home {
		c.Cost -= q.AffinityDiscount()
	}
	return c
}

func (q *Query) before(a, b ScoredServer) bool {
	return a.Cost < b.Cost || a.Cost == b.Cost && q.tie(a.Server) > q.tie(b.Server)
}

// Reading is how long the shared part takes to read.
func (q *Query) PrefillTime() time.Duration {
	return time.Duration(q.PrefixTokens) * q.PrefillTimePerToken
}

// Gain is what a server is worth that has read the shared part.
func (q *Query) AffinityDiscount() time.Duration {
	if q.AffinityKey == "" || q.PrefixTokens < leastShared {
		return 0
	}
	part := min(float64(q.PrefillTime())/float64(wholeGain), 1)
	return time.Duration(part*float64(affinityGain)) + q.PrefillTime()
}

// Cost is what a request costs at a server, but for what was read there before.
func (q *Query) Cost(s *directory.Server) time.Duration {
	load := EstimatedLoad(s, q.Now)
	c := 2*q.OneWayLatency(s.Domain) + time.Duration(load)*shareCost
	if over := load + 1 - s.Slots; over > 0 {
		c += time.Duration(over) * fullCost
	}
	if q.InputDomain != "" && s.Domain != q.InputDomain {
		c += RemoteInputCost(q.InputBytes)
	}
	if q.QueueingCost != nil {
		c += q.QueueingCost(s.Domain)
	}
	if s.InBackoff(q.Now) {
		c += avoidCost
	}
	c += time.Duration(s.FailureRate(q.Now) * float64(errorCost))
	if s.ColdRemaining > 0 {
		c += fullCost
	}
	return c
}

// AwayCost is what it costs a request that so many bytes of its inputs lie in other
// failure domains.
func RemoteInputCost(bytes int64) time.Duration {
	return min(time.Duration(float64(nearTime)*float64(bytes)/1e6), maxNear)
}

// Load is the number of requests at a server: this host's, or all as the
// server last said, whichever is more.
func EstimatedLoad(s *directory.Server, now time.Time) int {
	load := int(s.InFlight.Load())
	if running, waiting, age := s.ReportedLoad(now); age < reportMaxAge {
		load = max(load, running+waiting)
	}
	return load
}

// home is the server that requests with the same affinity prefer.
func (q *Query) home() *directory.Server {
	home, _ := q.homes()
	return home
}

// homes are the first two servers by hashing, so that every host names the same.
func (q *Query) homes() (home, next *directory.Server) {
	if q.AffinityKey == "" || q.PrefixTokens < leastShared {
		return nil, nil
	}
	var first, second uint64
	for s := range q.Servers.All() {
		if s.InBackoff(q.Now) {
			continue
		}
		switch h := q.tie(s); {
		case home == nil || h > first:
			home, next, first, second = s, home, h, first
		case next == nil || h > second:
			next, second = s, h
		}
	}
	return home, next
}

// tie spreads equal servers differently for each thing asked about.
func (q *Query) tie(s *directory.Server) uint64 {
	return xxhash.Sum64String(q.AffinityKey + "\x00" + s.ID)
}
