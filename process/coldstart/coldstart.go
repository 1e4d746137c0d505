// Package coldstart bounds what cold backend servers get: a server that has just
// started crashes if more requests a second reach it than it bears, from all hosts
// together. Each host keeps to a share of its own that needs no word from another, so
// the bound holds also for hosts that are cut off from each other.
package coldstart

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/directory"
)

// window is the time in which a host uses each of its parts of a rate once: a second,
// and what two sends that leave a second apart may come closer on the way.
const window = 1200 * time.Millisecond

// Limit is what cold servers of a service bear.
type Limit struct {
	RequestsPerSecond float64       // requests, of all hosts together; 0: not bounded
	ColdDuration      time.Duration // how long a server stays cold after its start
}

// parts is the number of requests a second that hosts may send.
func (l Limit) parts() int { return max(int(math.Floor(l.RequestsPerSecond)), 1) }

// Hosts returns the names of all entry hosts that are known, this one included; none as
// long as the others are not known.
type Hosts func() []string

// Gate tells whether this host may send a request to a cold server. It is safe for
// concurrent use.
//
// The rate is dealt in parts of one request a second. Each part belongs to the host
// whose name, hashed with the server's and the part's number, comes first. While two
// hosts know different lists, a part may count for both; the bound of the platform is
// over twice the rate that is dealt.
type Limiter struct {
	self  string
	hosts Hosts

	mu     sync.Mutex
	shares map[string]*share // by server id
}

// share is what this host may send to one server.
type share struct {
	parts int
	dealt time.Time
	used  []time.Time // of the sends within the window
}

// New returns a gate for the host of a name.
func New(self string, hosts Hosts) *Limiter {
	return &Limiter{self: self, hosts: hosts, shares: map[string]*share{}}
}

// May reports whether a request may be sent to a server now.
func (g *Limiter) WouldAllow(s *directory.Server, l Limit, now time.Time) bool {
	if !g.applies(s, l, now) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share(s.ID, l, now).free()
}

// Take reports whether a request may be sent to a server now, and counts it.
func (g *Limiter) Allow(s *directory.Server, l Limit, now time.Time) bool {
	if !g.applies(s, l, now) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.share(s.ID, l, now)
	if !share.free() {
		return false
	}
	share.used = append(share.used, now)
	return true
}

func (g *Limiter) applies(s *directory.Server, l Limit, now time.Time) bool {
	return l.RequestsPerSecond > 0 && s.MayBeCold(now, l.ColdDuration)
}

const (
	// dealEvery is how often shares follow the list of hosts.
	dealEvery = time.Second
	// maxShares are kept before those that are not used are dropped.
	maxShares = 512
)

// share returns this host's share of a server. It is called with g.mu held.
func (g *Limiter) share(id string, l Limit, now time.Time) *share {
	s := g.shares[id]
	if s == nil {
		g.drop(now)
		s = &share{}
		g.shares[id] = s
	}
	if s.dealt.IsZero() || now.Sub(s.dealt) >= dealEvery {
		s.parts, s.dealt = deal(id, g.self, g.hosts(), l.parts()), now
	}
	s.expire(now)
	return s
}

// drop forgets shares that were not used within the window. It is called with g.mu held.
func (g *Limiter) drop(now time.Time) {
	if len(g.shares) < maxShares {
		return
	}
	for id, s := range g.shares {
		if s.expire(now); len(s.used) == 0 {
			delete(g.shares, id)
		}
	}
}

func (s *share) free() bool { return len(s.used) < s.parts }

func (s *share) expire(now time.Time) {
	n := 0
	for n < len(s.used) && now.Sub(s.used[n]) >= window {
		n++
	}
	s.used = s.used[n:]
}

// deal returns how many of the parts of a server's rate belong to a host.
func deal(server, self string, hosts []string, parts int) int {
	hashes := make([]uint64, len(hosts))
	mine := -1
	for i, host := range hosts {
		hashes[i] = xxhash.Sum64String(host)
		if host == self {
			mine = i
		}
	}
	if mine < 0 {
		return 0
	}
	own, seed := 0, xxhash.Sum64String(server)
	for part := range parts {
		if owner(hashes, both(seed, uint64(part))) == mine {
			own++
		}
	}
	return own
}

// owner returns the index of the host that a part belongs to.
func owner(hosts []uint64, part uint64) int {
	best, most := 0, uint64(0)
	for i, host := range hosts {
		if h := both(host, part); h > most {
			best, most = i, h
		}
	}
	return best
}

// both hashes two numbers into one.
func both(a, b uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], a)
	binary.LittleEndian.PutUint64(bytes[8:], b)
	return xxhash.Sum64(bytes[:])
}
