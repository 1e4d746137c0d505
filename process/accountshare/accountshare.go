// Package accountshare divides the room of a service that is short of it among client accounts, over
// all entry hosts. While servers refuse requests for want of room, the most urgent requests go first;
// requests of one urgency are divided among accounts by max-min fairness, and what an account leaves
// goes to the others.
//
// The hosts that see the shortage count what accounts ask of the service and what its servers take,
// and add the counts up along a tree, which rendezvous hashing gives for each service. The host at
// its root divides the room; its answer goes down the tree with the responses to the reports.
package accountshare

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Options configure Shares. Hosts, Clock and Rand are required.
type Options struct {
	// Hosts returns the name of this entry host, and those of all known ones including it; none
	// before they are known.
	Hosts func() (self string, all []string)
	Clock clock.Clock
	Rand  clock.Rand
	Link  peer.Link // nil: there are no other hosts
	// OnChange is called when a service becomes short of room at this host or one that reports to
	// it, and when it no longer is; nil: not called. It must not call Shares.
	OnChange func(Change)
	// OnRefusal is called for each request that Admit refuses; nil: not called. It must not call
	// Shares.
	OnRefusal func(service string)
	// OnFailure is called when a host does not take a report, with the reason; nil: not called.
	OnFailure func(host string, err error)
}

// Change is the beginning or end of a shortage.
type Change struct {
	Service string
	Short   bool
	Lasted  time.Duration // valid if Short is not set
}

// Request is what is known of a client's request before it is sent to a server.
type Request struct {
	Service  string
	Account  string
	Priority int     // 0: most urgent
	Cost     float64 // expected work of the servers, in a unit of the service; positive
}

// Outcome is what became of an admitted request.
type Outcome int

// Outcomes of an admitted request. One that is not sent for another reason than want of room has none.
const (
	Taken   Outcome = iota + 1 // a server took it, whether or not it succeeded
	Refused                    // no server had room for it for a time; Taken may follow if it waited
)

// Shares decides which requests this host admits. It is safe for concurrent use.
type Shares struct {
	opts     Options
	wake     chan struct{}                       // receives a value when a service becomes short
	mu       sync.Mutex                          // guards changes of services
	services atomic.Pointer[map[string]*service] // by name; the map is not modified
	suspects suspects
}

// New returns Shares and registers its handler with the link, which must not have been started.
// Run has to be called.
func New(opts Options) *Shares {
	s := &Shares{opts: opts, wake: make(chan struct{}, 1)}
	s.services.Store(&map[string]*service{})
	if opts.Link != nil {
		opts.Link.Handle(methodReport, s.onReport)
	}
	return s
}

// service is this host's state of one service.
type service struct {
	name       string
	mu         sync.Mutex // guards the fields below
	classes    map[class]*classState
	names      map[accountID]string // of the accounts in classes
	taken      rate
	refused    rate
	short      bool                // reports are sent
	shortUntil time.Time           // unless another refusal is seen
	shortSince time.Time           // start of the shortage
	children   map[string]received // last reports of other hosts, by host
	capacity   capacity            // while this host is the root
	decision   *decision           // last one; nil: none
}

// classState is the state of the requests of one class at this host.
type classState struct {
	demand rate
	credit float64 // requests that may be admitted; the next one is from 1 on
}

// decision is the division of a service's room, by this host or the root.
type decision struct {
	limits
	at    time.Time // when it was made, by the clock of this host
	by    string    // host that made it
	hosts int       // that it covers
}

const (
	// keepTime is how long a decision holds without a newer one.
	keepTime = 3 * time.Second
	// shortTime is how long a service counts as short after a refusal.
	shortTime = 3 * time.Second
	// sweepInterval is the time between two removals of what is idle, and the time after which it is.
	sweepInterval = 10 * time.Second
	// maxPriority is the least urgent priority that is told apart.
	maxPriority = 255
)

// get returns the state of a service, which is created if needed.
func (s *Shares) get(name string) *service {
	if svc := (*s.services.Load())[name]; svc != nil {
		return svc
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.services.Load()
	if svc := old[name]; svc != nil {
		return svc
	}
	next := maps.Clone(old)
	next[name] = &service{name: name, classes: map[class]*classState{}, names: map[accountID]string{}, children: map[string]received{}}
	s.services.Store(&next)
	return next[name]
}

// idOf returns the id of an account.
func idOf(account string) accountID { return accountID(rendezvous.Hash(account)) }

// Admit counts a request and reports whether it may be sent to a server. If not, retryAfter is when
// its client may come again, so that those who are refused come back spread over the time in which
// the account's share takes them.
func (s *Shares) Admit(r Request) (admitted bool, retryAfter time.Duration) {
	now, svc := s.opts.Clock.Now(), s.get(r.Service)
	c := class{idOf(r.Account), uint8(min(max(r.Priority, 0), maxPriority))}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.classes[c]
	if state == nil {
		state = &classState{credit: s.opts.Rand.Float64()}
		svc.classes[c], svc.names[c.account] = state, r.Account
	}
	state.demand.add(r.Cost, rateWindow, now)
	part := svc.fraction(c, now)
	if part >= 1 {
		return true, 0
	}
	state.credit += part
	if state.credit >= 1 {
		state.credit--
		return true, 0
	}
	s.extend(svc, now, shortTime)
	if s.opts.OnRefusal != nil {
		s.opts.OnRefusal(r.Service)
	}
	return false, retryAfterShare(part, s.opts.Rand.Float64())
}

// sweep removes the accounts that have been idle for sweepInterval, and the services without any that are
// not short. A request that is just being counted at such a service may get lost.
func (s *Shares) sweep() {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]*service{}
	for name, svc := range *s.services.Load() {
		if !svc.sweep(now) {
			kept[name] = svc
		}
	}
	s.services.Store(&kept)
}

// sweep removes accounts that are idle, and reports whether the service is.
func (svc *service) sweep(now time.Time) (idle bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	maps.DeleteFunc(svc.classes, func(_ class, s *classState) bool { return now.Sub(s.demand.at) >= sweepInterval })
	kept := map[accountID]string{}
	for c := range svc.classes {
		kept[c.account] = svc.names[c.account]
	}
	svc.names = kept
	return !svc.short && len(svc.classes) == 0 && now.Sub(svc.taken.at) >= sweepInterval
}

// fraction returns the part of the requests of a class that is admitted. The caller holds svc.mu.
func (svc *service) fraction(c class, now time.Time) float64 {
	if d := svc.currentDecision(now); d != nil {
		return d.fraction(c)
	}
	return 1
}

// currentDecision returns the decision that holds, or nil. The caller holds svc.mu.
func (svc *service) currentDecision(now time.Time) *decision {
	if d := svc.decision; d != nil && now.Sub(d.at) < keepTime {
		return d
	}
	return nil
}

const (
	// minRetryAfter is the shortest time after which a refused client may come again.
	minRetryAfter = 200 * time.Millisecond
	// maxRetrySpread bounds the time over which refused clients come again.
	maxRetrySpread = 5 * time.Second
)

// retryAfterShare returns when a refused client may come again, of whose requests a part is
// admitted: what is refused in a second takes the account's share (1-part)/part seconds. u is
// uniformly distributed in [0,1).
func retryAfterShare(part, u float64) time.Duration {
	spread := maxRetrySpread
	if seconds := (1 - part) / max(part, 1e-3); seconds < maxRetrySpread.Seconds() {
		spread = time.Duration(seconds * float64(time.Second))
	}
	return minRetryAfter + time.Duration(u*float64(spread))
}

// Record counts the outcome of an admitted request of a service.
func (s *Shares) Record(name string, cost float64, o Outcome) {
	now, svc := s.opts.Clock.Now(), s.get(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	switch o {
	case Taken:
		svc.taken.add(cost, rateWindow, now)
	case Refused:
		svc.refused.add(cost, refusalWindow, now)
		s.extend(svc, now, shortTime)
	}
}

// extend notes that the service is short, for a time from now on. The caller holds svc.mu.
func (s *Shares) extend(svc *service, now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(svc.shortUntil) {
		svc.shortUntil = until
	}
	if svc.short {
		return
	}
	svc.short, svc.shortSince = true, now
	s.changed(Change{Service: svc.name, Short: true})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// changed calls OnChange.
func (s *Shares) changed(c Change) {
	if s.opts.OnChange != nil {
		s.opts.OnChange(c)
	}
}
