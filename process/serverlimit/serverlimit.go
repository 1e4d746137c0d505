// Package serverlimit keeps to the limits that backend servers name in their responses: the
// requests per second that a server takes from all entry hosts together. Each host computes
// its own share, so that the limit also holds for hosts that cannot reach each other.
package serverlimit

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/clock"
	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
)

// Hosts returns the name of this entry host, and those of all known ones including it. It
// returns none until the other hosts are known; nothing is sent to servers with a limit then.
type Hosts func() (self string, all []string)

// Server identifies one process of a backend server.
type Server struct {
	ID            string
	StartedUnixMS int64 // start of the process by its own clock, in Unix milliseconds; 0: unknown
}

// Options configure a Limiter. All fields but Link and OnLoan are required.
type Options struct {
	Hosts Hosts
	Clock clock.Clock
	Link  peer.Link // nil: there are no other hosts
	// Lookup returns the state of a server, or nil if this host does not know the process.
	Lookup func(Server) *State
	// OnChange is called when the limit of a server changes. It may be called concurrently.
	OnChange func(Change)
	// OnBrittle is called when a server becomes brittle or is no longer. It may be called
	// concurrently.
	OnBrittle func(BrittleChange)
	// OnLoan is called with the number of requests that other hosts have lent. It may be called
	// concurrently.
	OnLoan func(requests int)
}

// Change is a change of the limit of a server.
type Change struct {
	Server    Server
	PerSecond float64 // requests per second; valid if Limited is set
	Limited   bool
	From      string // name of the host that has told of it; empty: the server itself
}

// Limiter decides whether this host may send a request to a server. It is safe for concurrent
// use.
type Limiter struct {
	opts Options
	pace loan.Pace // of questions for loans
}

// New returns a limiter and registers its handlers with the link, which must not have been
// started.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts}
	if opts.Link != nil {
		opts.Link.Handle(methodTell, l.onTell)
		opts.Link.Handle(methodBrittle, l.onBrittle)
		opts.Link.Handle(methodLoan, l.onLoan)
		opts.Link.Handle(methodBrittleLoan, l.onBrittleLoan)
	}
	return l
}

// WouldAllow reports whether a request may be sent to a server now, without counting one.
func (l *Limiter) WouldAllow(server Server, s *State) bool { return l.use(server, s, false, 0) }

// Allow reports whether a request may be sent to a server now. If so, it is counted.
func (l *Limiter) Allow(server Server, s *State) bool { return l.use(server, s, false, 1) }

// use takes n requests of this host's share, or of the whole limit if sole is set. It returns
// false if none is left, or if a brittle server would have to refuse too many.
func (l *Limiter) use(server Server, s *State, sole bool, n int) bool {
	if s.Limit() == nil && s.Brittle() == nil {
		return true
	}
	hosts := l.opts.Hosts
	if sole {
		hosts = l.thisHost
	}
	if !l.withinRefusals(server, s, hosts, 0) || !l.withinLimit(server, s, hosts, n) {
		return false
	}
	return n == 0 || l.withinRefusals(server, s, hosts, n)
}

// withinLimit takes n requests of this host's share of the limit of a server, if it has one.
func (l *Limiter) withinLimit(server Server, s *State, hosts Hosts, n int) bool {
	limit := s.Limit()
	if limit == nil {
		return true
	}
	s.share.mu.Lock()
	defer s.share.mu.Unlock()
	if s.share.available(server.ID, limit, hosts, l.opts.Clock.Now()) == 0 {
		return false
	}
	s.share.take(n)
	return true
}

// thisHost is a Hosts with this host alone.
func (l *Limiter) thisHost() (string, []string) {
	self, _ := l.opts.Hosts()
	return self, []string{self}
}

// Sole is a Limiter for servers that get requests from this host only.
type Sole struct{ limiter *Limiter }

// Sole returns the limiter for servers that get requests from this host only.
func (l *Limiter) Sole() Sole { return Sole{l} }

// WouldAllow is Limiter.WouldAllow.
func (s Sole) WouldAllow(server Server, state *State) bool {
	return s.limiter.use(server, state, true, 0)
}

// Allow is Limiter.Allow.
func (s Sole) Allow(server Server, state *State) bool { return s.limiter.use(server, state, true, 1) }

// Response is what a response of a server says of its limit.
type Response struct {
	PerSecond float64 // requests per second; valid if Limited is set
	Limited   bool
	// NotRun is set if the server refused the request. It may leave out its limit then.
	NotRun bool
	SentAt time.Time // when the request was sent
	// MaxRefusals is what a brittle server names; valid if Brittle is set.
	MaxRefusals float64
	Brittle     bool
	Refused     bool // for want of room
}

// Observe records what a response says that has just arrived. The other hosts are told of a
// change.
func (l *Limiter) Observe(server Server, s *State, r Response) {
	l.observeBrittle(server, s, r)
	old, now := s.Limit(), l.opts.Clock.Now()
	if r.Limited {
		named := newLimit(old, r.PerSecond, now)
		if s.replace(old, named, now) && (old == nil || differs(old.PerSecond, r.PerSecond)) {
			l.changed(Change{Server: server, PerSecond: r.PerSecond, Limited: true})
		}
		return
	}
	// A response to a request that was sent before the limit was named says nothing.
	if old == nil || r.NotRun || r.SentAt.Before(old.NamedAt) {
		return
	}
	if s.replace(old, nil, now) {
		l.changed(Change{Server: server})
	}
}

// differs reports whether a limit changed enough to tell the other hosts: by a fifth.
func differs(before, after float64) bool { return after < 0.8*before || after > 1.2*before }

// changed reports a change that a response has shown.
func (l *Limiter) changed(c Change) {
	l.opts.OnChange(c)
	if l.opts.Link != nil {
		go l.tellAll(methodTell, message{ServerID: c.Server.ID, StartedUnixMS: c.Server.StartedUnixMS, PerSecond: c.PerSecond, Limited: c.Limited})
	}
}

// methodTell is the call that tells a host of a change.
const methodTell peer.Method = "serverlimit.tell"

// tellTimeout is the time in which a host can open connections to all peers.
const tellTimeout = time.Second

// maxParallelTells bounds the concurrent calls for one change.
const maxParallelTells = 32

// message is the payload of methodTell.
type message struct {
	ServerID      string
	StartedUnixMS int64
	PerSecond     float64
	Limited       bool
}

// tellAll sends a message to all peers. One that it does not reach learns of it from the server.
func (l *Limiter) tellAll(method peer.Method, m any) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelTells)
	for _, p := range l.opts.Link.Peers() {
		g.Go(func() error {
			_ = l.opts.Link.Call(ctx, p.Host, method, m, nil) // see above
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}

// onTell handles methodTell.
func (l *Limiter) onTell(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var m message
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("serverlimit: malformed message: %w", err)
	}
	if !isLimit(m.PerSecond) {
		return nil, fmt.Errorf("serverlimit: %v requests per second is no limit", m.PerSecond)
	}
	server := Server{ID: m.ServerID, StartedUnixMS: m.StartedUnixMS}
	s := l.opts.Lookup(server)
	if s == nil {
		return msgpack.Marshal(false)
	}
	now := l.opts.Clock.Now()
	if m.Limited && endedWithin(s.endedAt.Load(), tellTimeout, now) {
		return msgpack.Marshal(false) // sent before the limit ended
	}
	old, next := s.Limit(), (*Limit)(nil)
	if m.Limited {
		next = newLimit(old, m.PerSecond, now)
	}
	known := (old == nil) == (next == nil) && (old == nil || !differs(old.PerSecond, next.PerSecond))
	if !known && s.replace(old, next, now) {
		l.opts.OnChange(Change{Server: server, PerSecond: m.PerSecond, Limited: m.Limited, From: from.Host})
	}
	return msgpack.Marshal(!known)
}
