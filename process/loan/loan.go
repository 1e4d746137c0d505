// Package loan moves what bounds on the whole fleet deal to hosts, which have none of it left, from
// hosts that do not use theirs: clients may come to one host only.
package loan

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Timeout is the time in which hosts of another region respond.
const Timeout = 150 * time.Millisecond

const (
	// maxAsked is the number of owners that one question asks.
	maxAsked = 6
	// maxInVain bounds the questions in a second that bring nothing: in a shortage all hosts ask.
	maxInVain = 5
)

// Pace keeps a host from asking again and again while no host has anything left. The zero value is
// ready. It is safe for concurrent use.
type Pace struct {
	mu       sync.Mutex  // guards inVainAt
	inVainAt []time.Time // questions of the last second that brought nothing
}

// Allows reports whether a question may be asked now.
func (p *Pace) Allows(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inVainAt = slices.DeleteFunc(p.inVainAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return len(p.inVainAt) < maxInVain
}

// recordInVain records a question that brought nothing.
func (p *Pace) recordInVain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inVainAt = append(p.inVainAt, now)
}

// Question asks other hosts for units.
type Question struct {
	Link   peer.Link
	Method peer.Method // its response is the number of units lent
	Owners []string    // hosts that may have units
	Wanted int         // units
	Pace   *Pace       // that the caller has asked; gets the outcome
	Now    time.Time
	// Message returns the payload that asks one host for a number of units.
	Message func(units int) any
}

// Ask asks as many owners at a time as units are wanted, until these are lent or Timeout has
// passed. It returns the units lent, and the hosts that lent fewer than asked for.
func (q Question) Ask() (lent int, spent []string) {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	owners := slices.Clone(q.Owners[:min(maxAsked, len(q.Owners))])
	for lent < q.Wanted && len(owners) > 0 && ctx.Err() == nil {
		asked := owners[:min(q.Wanted-lent, len(owners))]
		units := (q.Wanted - lent + len(asked) - 1) / len(asked)
		for i, n := range q.askEach(ctx, asked, units) {
			lent += n
			if n < units {
				spent = append(spent, asked[i])
			}
		}
		owners = slices.DeleteFunc(owners, func(host string) bool { return slices.Contains(spent, host) })
	}
	if lent == 0 && len(q.Owners) > 0 {
		q.Pace.recordInVain(q.Now)
	}
	return lent, spent
}

// askEach asks some hosts for a number of units each, and returns what each lends.
func (q Question) askEach(ctx context.Context, hosts []string, units int) []int {
	lent := make([]int, len(hosts))
	var g errgroup.Group
	for i, host := range hosts {
		g.Go(func() error {
			var n int
			// A host that cannot be reached, or is of a build without loans, lends nothing.
			if q.Link.Call(ctx, host, q.Method, q.Message(units), &n) == nil {
				lent[i] = min(max(n, 0), units)
			}
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
	return lent
}

// Others returns the owners other than self, in an order that differs between hosts and keys, so
// that hosts do not all ask the same one first.
func Others(owners []string, self string, key uint64) []string {
	out := slices.DeleteFunc(slices.Clone(owners), func(host string) bool { return host == self })
	if len(out) < 2 {
		return out
	}
	first := int(rendezvous.Combine(rendezvous.Hash(self), key) % uint64(len(out)))
	return append(out[first:len(out):len(out)], out[:first]...)
}

// Credit is the units that a host has borrowed, which it may use for a time. The zero value has
// none. It is not safe for concurrent use.
type Credit struct {
	units     int
	expiresAt time.Time
}

// Add adds borrowed units. All of the credit may be used until expiresAt.
func (c *Credit) Add(units int, now, expiresAt time.Time) {
	if !c.Available(now) {
		c.units = 0
	}
	c.units, c.expiresAt = c.units+units, expiresAt
}

// Available reports whether a unit may be used now.
func (c *Credit) Available(now time.Time) bool { return c.units > 0 && now.Before(c.expiresAt) }

// Take uses a unit. It returns false if there is none.
func (c *Credit) Take(now time.Time) bool {
	if !c.Available(now) {
		return false
	}
	c.units--
	return true
}
