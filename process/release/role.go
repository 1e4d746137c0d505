package release

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

const (
	// roleEvery is how often a host looks whether it is to watch the platform,
	// beside changes of the membership.
	roleEvery = time.Second
	// otherDomainShare is the share of comparisons with other domains.
	otherDomainShare = 0.25
)

// live returns the other entry hosts whose state is not beyond worst.
func (s *Distributor) live(worst member.State) []peer.Identity {
	if s.opts.View == nil {
		return s.opts.Link.Peers()
	}
	var out []peer.Identity
	for _, p := range s.opts.View.Peers() {
		if p.State <= worst {
			out = append(out, p.Identity)
		}
	}
	return out
}

// near returns the live hosts of this domain without this one.
func (s *Distributor) near(worst member.State) []peer.Identity {
	var out []peer.Identity
	for _, p := range s.live(worst) {
		if p.Domain == s.opts.Link.Self().Domain {
			out = append(out, p)
		}
	}
	return out
}

// ranked returns the live hosts of this domain, this one included, by
// rendezvous hashing: all hosts agree on the order without asking each other,
// and a host that comes or goes moves no other.
func (s *Distributor) ranked(worst member.State) []string {
	self := s.opts.Link.Self()
	hosts := []string{self.Host}
	for _, p := range s.near(worst) {
		hosts = append(hosts, p.Host)
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := weight(self.Domain, hosts[i]), weight(self.Domain, hosts[j])
		return a > b || (a == b && hosts[i] < hosts[j])
	})
	return hosts
}

func weight(domain, host string) uint64 { return xxhash.Sum64String(domain + "/" + host) }

// keepRole watches the platform while this host is among the chosen of its
// domain, or while the chosen ones are silent.
func (s *Distributor) keepRole(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	changed := make(chan struct{}, 1)
	if s.opts.View != nil {
		s.opts.View.OnChange(func() {
			select {
			case changed <- struct{}{}:
			default:
			}
		})
	}
	var stop context.CancelFunc
	for ctx.Err() == nil {
		watching := stop != nil
		switch want := s.shouldWatch(ctx, watching); {
		case want && !watching:
			var term context.Context
			term, stop = context.WithCancel(ctx)
			s.watching.Store(true)
			g.Go(func() error { return s.f.Watch(term) })
		case !want && watching:
			s.watching.Store(false)
			stop()
			stop = nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.f.opts.Clock.After(roleEvery):
		}
	}
	if stop != nil {
		stop()
	}
	return g.Wait()
}

// shouldWatch reports whether this host is to watch the platform.
func (s *Distributor) shouldWatch(ctx context.Context, watching bool) bool {
	hosts := s.ranked(member.Alive)
	for i, h := range hosts {
		if h == s.opts.Link.Self().Host && i < s.opts.Watchers {
			return true
		}
	}
	if s.heardLately() {
		return false
	}
	// The chosen ones are silent. Each of n hosts tries the platform in one of
	// n periods, so that an outage does not turn the whole domain on it.
	if watching || s.f.opts.Rand.IntN(len(hosts)) > 0 {
		return watching
	}
	_, err := s.f.opts.Store.Get(ctx, HeadKey)
	return err == nil
}

// heardLately reports whether some other host of the domain has reached the
// platform lately, by what peers tell.
func (s *Distributor) heardLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heardOf.IsZero() && s.f.opts.Clock.Now().Sub(s.heardOf) < s.opts.WatcherTimeout
}

// compare asks one random peer in each period what it has.
func (s *Distributor) compare(ctx context.Context) error {
	for {
		wait := time.Duration((0.75 + 0.5*s.f.opts.Rand.Float64()) * float64(s.opts.SyncInterval))
		if s.cutOff() {
			wait /= 2
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.f.opts.Clock.After(wait):
		}
		if p, ok := s.partner(); ok {
			_ = s.ask(ctx, p)
		}
	}
}

// partner draws the peer to compare with: mostly one of this domain, now and
// then one of another, and every second time when the platform is out of reach.
func (s *Distributor) partner() (peer.Identity, bool) {
	var near, far []peer.Identity
	for _, p := range s.live(member.Alive) {
		if p.Domain == s.opts.Link.Self().Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	share := otherDomainShare
	if s.cutOff() {
		share = 0.5
	}
	from := near
	if len(near) == 0 || (len(far) > 0 && s.f.opts.Rand.Float64() < share) {
		from = far
	}
	if len(from) == 0 {
		return peer.Identity{}, false
	}
	return from[s.f.opts.Rand.IntN(len(from))], true
}

// ask compares with one peer and fetches what it has more.
func (s *Distributor) ask(ctx context.Context, p peer.Identity) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var a summary
	asked := s.f.opts.Clock.Now()
	if err := s.opts.Link.Call(callCtx, p.Host, methodSummary, nil, &a); err != nil {
		return err
	}
	s.measured(p.Host, s.f.opts.Clock.Now().Sub(asked))
	s.notePlatform(p, &a)
	if s.f.Needs(a.Number, a.Hash, p.Host) {
		return s.pull(ctx, p, a.Number)
	}
	return nil
}

func (s *Distributor) heardPlatform(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.f.opts.Clock.Now().Add(-age); at.After(s.heardOf) {
		s.heardOf = at
	}
}

// join asks the platform once and the peers, first those of this domain, which
// release they have.
func (s *Distributor) join(ctx context.Context) error {
	defer s.joined.Store(true)
	defer s.f.open()
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var g errgroup.Group
	var platformErr error
	g.Go(func() error {
		_, platformErr = s.f.readHead(callCtx)
		return nil
	})
	peers := s.expectPeers(callCtx)
	var answered atomic.Int64
	for _, p := range peers {
		g.Go(func() error {
			if s.ask(callCtx, p) == nil {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	if number, _ := s.f.Summary(); number == 0 && ctx.Err() == nil {
		s.f.setFault(faultJoin, fmt.Errorf("%w: %d of %d peers answered; platform: %w", ErrNoRelease, answered.Load(), len(peers), platformErr))
	}
	return nil
}

// expectPeers returns the peers to ask: those of this domain, or all others if
// there are none.
func (s *Distributor) expectPeers(ctx context.Context) []peer.Identity {
	for range 20 {
		if len(s.opts.Link.Peers()) > 0 || !s.opts.PeersConfigured {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.f.opts.Clock.After(joinTimeout / 40):
		}
	}
	var near []peer.Identity
	for _, p := range s.opts.Link.Peers() {
		if p.Domain == s.opts.Link.Self().Domain {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		return s.opts.Link.Peers()
	}
	return near
}
