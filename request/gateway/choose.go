package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/process/balance"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/directory"
)

// serverSet is a set of server IDs.
type serverSet map[string]bool

// chooseServer returns the server for the next attempt, or nil if there is none. Servers that were
// tried are excluded.
func (x *exchange) chooseServer(hist *attemptHistory) *directory.Server {
	if s := x.usablePreferredServer(hist.tried); s != nil && !hist.refusedByBrittle {
		return s
	}
	q := x.balanceQuery(hist.tried)
	if excluded, now := q.Exclude, q.Now; hist.refusedByBrittle {
		q.Exclude = func(s *directory.Server) bool { return excluded(s) || !hasRoom(s, now) }
	} else if hist.needsRoom {
		q.Exclude = func(s *directory.Server) bool { return excluded(s) || x.lacksRoom(s, now) }
	}
	return balance.Choose(q)
}

// maxRoomReportAge is the age up to which a load report shows that a server has room.
const maxRoomReportAge = 500 * time.Millisecond

// hasRoom reports whether half of a server's slots were free a moment ago.
func hasRoom(s *directory.Server, now time.Time) bool {
	running, waiting, age := s.ReportedLoad(now)
	return age < maxRoomReportAge && waiting == 0 && 2*running <= s.Slots
}

// usablePreferredServer returns the server that was chosen together with the stage results,
// or nil if it is no candidate, has been tried, is avoided after a failure, or takes no more
// requests of this host now.
func (x *exchange) usablePreferredServer(tried serverSet) *directory.Server {
	s, now := x.candidates().Server(x.preferredServer), x.opts.Clock.Now()
	if s == nil || tried[s.ID] || s.InBackoff(now) || !x.withinLimits(s, now) || !x.mayBeginAt(s) {
		return nil
	}
	return s
}

// withinLimits reports whether this host may send a request to the server now: it wants requests,
// it is not cold, or this host's share of its rate is not used up, and the same for the limit that it
// has named.
func (x *exchange) withinLimits(s *directory.Server, now time.Time) bool {
	return s.Pauses.Admits(now) && x.opts.ColdStart.WouldAllow(s, x.coldStartLimit(), now) && x.opts.ServerLimits.WouldAllow(s.Process(), &s.RateLimit)
}

// takeShare counts a request against the shares of withinLimits. It returns false if another
// request has used them up.
func (x *exchange) takeShare(s *directory.Server, now time.Time) bool {
	return x.opts.ColdStart.Allow(s, x.coldStartLimit(), now) && x.opts.ServerLimits.Allow(s.Process(), &s.RateLimit)
}

// maxBorrowedFor is the number of servers for whose limits a request borrows at once.
const maxBorrowedFor = 4

// borrowShares asks other hosts for what they do not need of the limits of some servers that have
// no other reason to be passed over. It returns whether one of them may get the request now.
func (x *exchange) borrowShares(ctx context.Context, hist *attemptHistory) bool {
	now := x.opts.Clock.Now()
	var limited []*directory.Server
	x.candidates().Any(func(s *directory.Server) bool {
		if !hist.tried[s.ID] && !s.InBackoff(now) && s.Pauses.Admits(now) && x.mayBeginAt(s) && !x.withinLimits(s, now) {
			limited = append(limited, s)
		}
		return len(limited) == maxBorrowedFor
	})
	var borrowed atomic.Bool
	var g errgroup.Group
	for _, s := range limited {
		g.Go(func() error {
			if x.borrowShare(ctx, s) {
				borrowed.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
	return borrowed.Load()
}

// borrowShare asks other hosts for what they do not need of the limits of a server.
func (x *exchange) borrowShare(ctx context.Context, s *directory.Server) bool {
	return x.opts.ServerLimits.Borrow(ctx, s.Process(), &s.RateLimit) && x.opts.ColdStart.Borrow(ctx, s, x.coldStartLimit()) &&
		x.withinLimits(s, x.opts.Clock.Now())
}

// candidates returns the servers of the service in the allowed regions, of the software that began
// the stream if it has begun.
func (x *exchange) candidates() directory.Candidates {
	return x.opts.Directory.View().Candidates(x.service, x.allowed, x.writer)
}

// coldStartLimit returns the service's limit on requests to cold servers.
func (x *exchange) coldStartLimit() coldstart.Limit {
	if s := x.services.Service(x.service); s != nil {
		return s.ColdStart
	}
	return coldstart.Limit{}
}

// balanceQuery returns the load balancing query of the request. Servers in tried, and those
// that take no more requests of this host now, are excluded.
func (x *exchange) balanceQuery(tried serverSet) balance.Query {
	affinity, tokens := x.sharedPrefix()
	now := x.opts.Clock.Now()
	q := balance.Query{
		Servers: x.candidates(), OneWayLatency: x.opts.OneWayLatency, Seed: x.balanceSeed,
		AffinityKey: affinity, PrefixTokens: tokens, PrefillTimePerToken: x.prefillTimes.estimate(x.service), InputDomain: x.inputDomain, InputBytes: x.inputDomainBytes,
		UsualTime: x.usual().Time(), MayRepeat: x.retryable(),
		Exclude: func(s *directory.Server) bool { return tried[s.ID] || !x.withinLimits(s, now) || !x.mayBeginAt(s) }, Now: now,
	}
	if x.beginsStream() {
		view := x.opts.Directory.View()
		q.BeginCost = func(s *directory.Server) time.Duration { return beginCost(view.WriterServers(s.Writer)) }
	}
	return q
}
