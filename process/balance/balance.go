// Package balance chooses the backend server of one request among those that
// the platform lists. It is pure: time, distance and load are inputs.
package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/directory"
)

// Query is what a choice depends on.
type Query struct {
	Servers  []*directory.Server
	Distance func(domain string) time.Duration // one way
	// Affinity names what requests share; they go to the same server while it
	// is not fuller than others. Empty: none.
	Affinity string
	// Near is the failure domain that holds the request's inputs; empty: none.
	Near     string
	NearCost time.Duration // what it is worth to stay there
	Exclude  func(*directory.Server) bool
	Now      time.Time
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
	// affinityGain is what a server with the shared part in its memory saves:
	// reading a prompt part of 5,000 tokens takes about 90 ms.
	affinityGain = 90 * time.Millisecond
	// avoidCost keeps servers that failed a short time ago for the case that
	// there is no other.
	avoidCost = 10 * time.Second
)

// Choose returns the cheapest server, or nil if there is none.
func Choose(q Query) *directory.Server {
	var best *directory.Server
	var bestCost time.Duration
	home := q.home()
	for _, s := range q.Servers {
		if q.Exclude != nil && q.Exclude(s) {
			continue
		}
		c := q.cost(s)
		if s == home {
			c -= affinityGain
		}
		if best == nil || c < bestCost || c == bestCost && q.tie(s) > q.tie(best) {
			best, bestCost = s, c
		}
	}
	return best
}

func (q *Query) cost(s *directory.Server) time.Duration {
	load := Load(s, q.Now)
	c := 2*q.Distance(s.Domain) + time.Duration(load)*shareCost
	if over := load + 1 - s.Slots; over > 0 {
		c += time.Duration(over) * fullCost
	}
	if q.Near != "" && s.Domain != q.Near {
		c += q.NearCost
	}
	if s.Avoided(q.Now) {
		c += avoidCost
	}
	if s.ColdLeft > 0 {
		c += fullCost
	}
	return c
}

// Load is the number of requests at a server: this host's, or all as the
// server last said, whichever is more.
func Load(s *directory.Server, now time.Time) int {
	load := int(s.Inflight.Load())
	if running, waiting, age := s.Reported(now); age < reportMaxAge {
		load = max(load, running+waiting)
	}
	return load
}

// home is the server that requests with the same affinity prefer: the first by
// hashing among the nearest, so that every host of a place names the same one.
func (q *Query) home() *directory.Server {
	if q.Affinity == "" {
		return nil
	}
	var home *directory.Server
	var best uint64
	near := time.Duration(-1)
	for _, s := range q.Servers {
		if s.Avoided(q.Now) {
			continue
		}
		d := q.Distance(s.Domain)
		h := xxhash.Sum64String(q.Affinity + "\x00" + s.ID)
		if home == nil || d < near || d == near && h > best {
			home, best, near = s, h, d
		}
	}
	return home
}

// tie spreads equal servers differently for each thing asked about.
func (q *Query) tie(s *directory.Server) uint64 {
	return xxhash.Sum64String(q.Affinity + s.ID)
}
