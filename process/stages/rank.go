package stages

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rank orders requests by what the operator calls urgent: 0 first. It has two digits, the
// priority of the client account before that of the route.
type Rank int

// MakeRank joins the priorities, 0 to 9 each, of a client account and of a route. An account
// without one has the route's.
func MakeRank(account, route int) Rank {
	return Rank(10*min(max(account, 0), 9) + min(max(route, 0), 9))
}

// lateRank is that of all requests that cannot be on time any more.
const lateRank Rank = 100

// rank of a ticket; what is late comes behind all that is not.
func (t *Ticket) rank() Rank {
	if t.late {
		return lateRank
	}
	return min(max(t.Request.Rank, 0), lateRank-1)
}

// ranked is the work of one service by rank, in their order. Few ranks are in use.
type ranked struct {
	list  []rankWork
	asked pace // items a second of all ranks, over lastingTime
}

type rankWork struct {
	rank  Rank
	used  amount // under way
	asked pace   // items a second of requests that could be on time
}

// of is the work of a rank. The pointer holds until the next call for a rank that is new.
func (w *ranked) of(rank Rank) *rankWork {
	i, found := slices.BinarySearchFunc(w.list, rank, func(x rankWork, r Rank) int { return int(x.rank - r) })
	if !found {
		w.list = slices.Insert(w.list, i, rankWork{rank: rank})
	}
	return &w.list[i]
}

// upTo is what is under way of a rank and those before it.
func (w *ranked) upTo(rank Rank) (sum amount) {
	for i := range w.list {
		if x := &w.list[i]; x.rank <= rank {
			sum = sum.plus(x.used)
		}
	}
	return sum
}

// from is what is under way of a rank and those behind it; what is late counts only for
// what is late.
func (w *ranked) from(rank Rank) (sum amount) {
	for i := range w.list {
		if x := &w.list[i]; x.rank >= rank && (x.rank < lateRank || rank == lateRank) {
			sum = sum.plus(x.used)
		}
	}
	return sum
}

// askedBefore is how many items a second the ranks before one ask for.
func (w *ranked) askedBefore(rank Rank, now time.Time) (sum float64) {
	for i := range w.list {
		if x := &w.list[i]; x.rank < rank {
			sum += x.asked.rate(now)
		}
	}
	return sum
}

// pace is a mean of events a second, in which older ones count for less and less.
type pace struct {
	over time.Duration // after which an event counts for 1/e; 0: askedTime
	sum  float64       // of the events, as they counted at that time
	at   time.Time
}

const (
	// askedTime is long enough for some dozen requests and short enough to follow a burst.
	askedTime = time.Second
	// lastingTime tells a shortage that lasts from a burst of some seconds.
	lastingTime = 10 * time.Second
)

func (p *pace) add(n float64, now time.Time) { p.sum, p.at = p.left(now)+n, now }

func (p *pace) rate(now time.Time) float64 { return p.left(now) / p.time().Seconds() }

func (p *pace) left(now time.Time) float64 {
	return p.sum * math.Exp(-now.Sub(p.at).Seconds()/p.time().Seconds())
}

func (p *pace) time() time.Duration { return cmp.Or(p.over, askedTime) }

// ownShare of what a rank asks for is begun in time whatever the ranks before it ask for:
// an operator who calls some requests more urgent does not mean that the others get
// nothing for as long as a shortage lasts.
const ownShare = 0.25

// inShare tells whether a stage's items are within what a rank may have under way of a
// bound: its own share; beyond it all of the bound together with the ranks before it, and
// together with those behind it what these leave. Without that requests of little urgency,
// which come in between, hold the servers when an urgent one comes, and it waits for them
// until it is late.
func (a *Admission) inShare(t *Ticket, s Stage, svc Service, bound amount, b *blocked) bool {
	rank, w := t.rank(), a.of(s.Service)
	held, isHeld := b.rate[s.Service]
	if isHeld && held == rank {
		return false
	}
	behind := w.from(rank)
	if behind.items == 0 || rank != lateRank && w.inOwnShare(rank, s, bound, svc.Rate, b.now) {
		return true
	}
	if isHeld { // by a rank before it
		return false
	}
	left := w.left(rank, svc.Rate, b.now)
	return !w.upTo(rank).with(s).over(bound, 1) && (left >= 1 || !behind.with(s).over(bound, left))
}

// inOwnShare tells whether items of a rank are within its own share of a bound, at
// servers that make so many items a second.
func (w *ranked) inOwnShare(rank Rank, s Stage, bound amount, rate float64, now time.Time) bool {
	own := w.of(rank)
	return rate > 0 && !own.used.with(s).over(bound, ownShare*own.asked.rate(now)/rate)
}

// left is the share of what servers of some rate can do that the demand of the ranks
// before one leaves.
func (w *ranked) left(rank Rank, rate float64, now time.Time) float64 {
	if rate <= 0 {
		return 1
	}
	return max(0, 1-w.askedBefore(rank, now)/rate)
}
