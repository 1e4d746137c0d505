// Package coldstart limits the request rate to cold backend servers: a server that has
// just started crashes if it gets more requests per second, from all hosts together, than
// it can take. Each host computes its own quota without messages to other hosts, so that
// the limit also holds for hosts that are disconnected from each other.
package coldstart

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// rateWindow is the sliding window in which a host uses each of its rate units once: one
// second, plus the amount by which the delay of two requests sent a second apart may
// differ.
const rateWindow = 1200 * time.Millisecond

// Limit is the request rate that cold servers of a service can take.
type Limit struct {
	RequestsPerSecond float64       // from all hosts together; 0: unlimited
	ColdDuration      time.Duration // how long a server stays cold after its start
}

// rateUnits returns the whole number of requests per second that all hosts together may
// send, at least 1. It is at most maxRate, whatever the limit, as the owner of each unit is computed.
func (l Limit) rateUnits() int { return max(int(math.Floor(min(l.RequestsPerSecond, maxRate))), 1) }

// Hosts returns the names of all known entry hosts, including this one. It returns none
// until the other hosts are known; requests to cold servers are refused until then.
type Hosts func() []string

// Options configure a Limiter. Self, Hosts and Clock are required.
type Options struct {
	Self  string // name of this host
	Hosts Hosts
	Clock clock.Clock
	Link  peer.Link // nil: there are no other hosts
	// OnLoan is called with the number of requests that other hosts have lent; nil: nobody is
	// told. It may be called concurrently.
	OnLoan func(requests int)
}

// Limiter decides whether this host may send a request to a cold server. It is safe for
// concurrent use.
//
// The rate is divided into units of one request per second. Each unit is assigned to a
// host by rendezvous hashing of the host's name, the server's id and the unit's number.
// While two hosts have different host lists, both may own the same unit; the platform's
// limit is over twice the rate that is assigned.
type Limiter struct {
	opts  Options
	loans singleflight.Group // questions for loans in progress, by server id
	pace  loan.Pace          // of questions

	mu     sync.Mutex        // guards quotas
	quotas map[string]*quota // by server id
}

// quota is this host's part of the rate of one server.
type quota struct {
	units      int         // requests that this host may send per rateWindow
	assignedAt time.Time   // when units was last computed; zero: never
	sentAt     []time.Time // requests within the window, oldest first; those lent count as sent
	borrowed   loan.Credit
	// askedInVainAt is when this host last asked for loans that nobody gave.
	askedInVainAt time.Time
}

// New returns a limiter and registers its handler with the link, which must not have been started.
func New(opts Options) *Limiter {
	limiter := &Limiter{opts: opts, quotas: map[string]*quota{}}
	if opts.Link != nil {
		opts.Link.Handle(methodLoan, limiter.onLoan)
	}
	return limiter
}

// WouldAllow reports whether a request may be sent to the server now, without counting
// one.
func (limiter *Limiter) WouldAllow(s *directory.Server, l Limit, now time.Time) bool {
	if !limiter.applies(s, l, now) {
		return true
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.quotaFor(s.ID, l, now).available(now)
}

// Allow reports whether a request may be sent to the server now. If so, it is counted. It is
// always true for servers that are not cold or have no limit.
func (limiter *Limiter) Allow(s *directory.Server, l Limit, now time.Time) bool {
	if !limiter.applies(s, l, now) {
		return true
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.quotaFor(s.ID, l, now).take(now)
}

// applies reports whether the limit applies to the server now: its service has one and the
// server may be cold.
func (limiter *Limiter) applies(s *directory.Server, l Limit, now time.Time) bool {
	return l.RequestsPerSecond > 0 && s.MayBeCold(now, l.ColdDuration)
}

const (
	// reassignInterval is how often quotas are recomputed from the list of hosts.
	reassignInterval = time.Second
	// maxQuotas is the number of quotas from which unused ones are removed.
	maxQuotas = 512
)

// quotaFor returns this host's quota for a server, with up-to-date units. It has to be
// called with limiter.mu held.
func (limiter *Limiter) quotaFor(id string, l Limit, now time.Time) *quota {
	q := limiter.quotas[id]
	if q == nil {
		limiter.dropUnused(now)
		q = &quota{}
		limiter.quotas[id] = q
	}
	if q.assignedAt.IsZero() || now.Sub(q.assignedAt) >= reassignInterval {
		q.units, q.assignedAt = assignedUnits(id, limiter.opts.Self, limiter.opts.Hosts(), l.rateUnits()), now
	}
	q.expire(now)
	return q
}

// dropUnused removes quotas that have not been used within the window, if there are
// maxQuotas. It has to be called with limiter.mu held.
func (limiter *Limiter) dropUnused(now time.Time) {
	if len(limiter.quotas) < maxQuotas {
		return
	}
	for id, q := range limiter.quotas {
		if q.expire(now); len(q.sentAt) == 0 {
			delete(limiter.quotas, id)
		}
	}
}

// left returns the units that are not used in the current window. The caller has called expire.
func (q *quota) left() int { return max(q.units-len(q.sentAt), 0) }

// available reports whether a unit of this host, or one that it has borrowed, is left. The caller
// has called expire.
func (q *quota) available(now time.Time) bool { return q.left() > 0 || q.borrowed.Available(now) }

// take uses a unit of this host, or one that it has borrowed. It returns false if there is none.
func (q *quota) take(now time.Time) bool {
	if q.left() == 0 {
		return q.borrowed.Take(now)
	}
	q.sentAt = append(q.sentAt, now)
	return true
}

// expire forgets requests that were sent before the current window.
func (q *quota) expire(now time.Time) {
	n := 0
	for n < len(q.sentAt) && now.Sub(q.sentAt[n]) >= rateWindow {
		n++
	}
	q.sentAt = q.sentAt[n:]
}

// assignedUnits returns how many of the given number of units of a server's rate are assigned to
// the host self; 0 if it is not among the hosts. server is the server's id.
func assignedUnits(server, self string, hosts []string, units int) int {
	return rendezvous.OwnedUnits(self, hosts, rendezvous.Hash(server), units)
}
