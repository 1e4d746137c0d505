package release

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

// SpreadOptions configure a Spread; zero values get defaults.
type DistributorOptions struct {
	Follower *Follower
	Link     peer.Link   // nil: the host runs alone
	View     member.View // nil: every peer of the link counts as live
	// Watchers is how many hosts of a domain watch the platform; default 2.
	Watchers int
	// Poll is the period in which a host compares with one peer; default 2 s.
	SyncInterval time.Duration
	// Silence is how old the newest news of the platform may get before hosts
	// other than the chosen ones try the platform; default 20 s.
	WatcherTimeout time.Duration
	// ExpectPeers says that peers are configured, so that a host which starts
	// waits a moment for the link to know them.
	PeersConfigured bool
}

// Defaults of SpreadOptions.
const (
	DefaultWatchers     = 2
	DefaultSyncInterval = 2 * time.Second
)

const (
	defaultSilence = 20 * time.Second
	peerTimeout    = 500 * time.Millisecond
	fetchTimeout   = 5 * time.Second
	joinTimeout    = time.Second
	// maxOneWay bounds the estimate of a message's way: a longer time is a
	// process that got no processor, and would make this host switch early.
	maxOneWay = 50 * time.Millisecond
)

// Spread passes releases between entry hosts: few hosts of a failure domain
// watch the platform, the others hear of a release from them and fetch the rows
// that changed, and every host compares with a peer now and then, which mends
// whatever was lost on the way.
type Distributor struct {
	opts     DistributorOptions
	f        *Follower
	joined   atomic.Bool
	watching atomic.Bool                     // this host watches the platform
	ctx      atomic.Pointer[context.Context] // of Run, for work that notices start

	mu          sync.Mutex
	sent        map[string]uint64 // root -> number forwarded last
	pulling     map[uint64]chan struct{}
	pullingNear map[uint64]bool      // those of pulling that come from this domain
	trips       map[string]roundTrip // by peer
	heardOf     time.Time            // when a watcher of the domain last reached the platform, as told
}

// NewSpread registers the peer methods; it is called before the link starts.
func NewDistributor(opts DistributorOptions) *Distributor {
	if opts.Watchers <= 0 {
		opts.Watchers = DefaultWatchers
	}
	if opts.SyncInterval <= 0 {
		opts.SyncInterval = DefaultSyncInterval
	}
	if opts.WatcherTimeout <= 0 {
		opts.WatcherTimeout = defaultSilence
	}
	s := &Distributor{opts: opts, f: opts.Follower, sent: map[string]uint64{}, pulling: map[uint64]chan struct{}{}, pullingNear: map[uint64]bool{}, trips: map[string]roundTrip{}}
	if opts.Link == nil {
		return s
	}
	opts.Link.Handle(methodSummary, s.onSummary)
	opts.Link.Handle(methodFetch, s.onFetch)
	opts.Link.Handle(methodNotice, s.onNotice)
	s.f.OnPrepared(s.prepared)
	s.f.close()
	return s
}

// Run follows releases until ctx ends.
func (s *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.ctx.Store(&ctx)
	s.heardPlatform(0) // the chosen watchers get the time of Silence to be heard of
	g.Go(func() error { return s.f.RunActivation(ctx) })
	if s.opts.Link == nil {
		s.joined.Store(true)
		g.Go(func() error { return s.f.Watch(ctx) })
		return g.Wait()
	}
	g.Go(func() error { return s.join(ctx) })
	g.Go(func() error { return s.keepRole(ctx) })
	g.Go(func() error { return s.compare(ctx) })
	return g.Wait()
}

// Joined reports whether this host asked its peers for their release since it
// started. Until then it may know less than its callers have seen already: a
// host that restarts while the platform is down or behind must not serve an
// earlier release than it did before.
func (s *Distributor) Joined() bool { return s.joined.Load() }

// Summary returns number and hash of the newest release here, for heartbeats.
func (s *Distributor) Summary() (number uint64, hash string) { return s.f.Summary() }

// Heard takes what a peer says it has, from a heartbeat or an answer. It returns
// at once; a newer release is fetched in the background.
func (s *Distributor) ObservePeerRelease(from peer.Identity, number uint64, hash string) {
	if !s.f.Needs(number, hash, from.Host) {
		return
	}
	s.background(func(ctx context.Context) { _ = s.pull(ctx, from, number) })
}

func (s *Distributor) background(f func(context.Context)) {
	if ctx := s.ctx.Load(); ctx != nil && (*ctx).Err() == nil {
		go f(*ctx)
	}
}

// pull fetches the newest release of from. One pull of a number runs at a time.
func (s *Distributor) pull(ctx context.Context, from peer.Identity, number uint64) error {
	s.mu.Lock()
	if other, busy := s.pulling[number]; busy {
		s.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return ctx.Err()
		}
		return s.pull(ctx, from, number)
	}
	done := make(chan struct{})
	s.pulling[number] = done
	s.pullingNear[number] = from.Domain == s.opts.Link.Self().Domain
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pulling, number)
		delete(s.pullingNear, number)
		s.mu.Unlock()
		close(done)
	}()
	if have, _ := s.f.Summary(); have >= number {
		return nil
	}
	if err := s.fetch(ctx, from.Host); err != nil {
		return err
	}
	if have, _ := s.f.Summary(); have < number {
		return fmt.Errorf("%w: %s does not have release %d", ErrNotRetained, from.Host, number)
	}
	return nil
}

func (s *Distributor) fetch(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := s.f.Newest()
	ask := fetch{}
	if base != nil {
		ask.Number, ask.Hash = base.Number, base.Hash
	}
	var t transfer
	asked := s.f.opts.Clock.Now()
	if err := s.opts.Link.Call(ctx, host, methodFetch, ask, &t); err != nil {
		return fmt.Errorf("fetch release from %s: %w", host, err)
	}
	now := s.f.opts.Clock.Now()
	// The answer was under way for some time. Without it each step would put the
	// switch off by that much.
	way := s.measured(host, now.Sub(asked)-time.Duration(t.Spent)*time.Microsecond)
	origin := now.Add(-time.Duration(t.Age)*time.Microsecond - way)
	rel, err := t.release(base)
	if err == nil {
		err = s.f.Offer(rel, s.f.opts.Clock.Now().Sub(origin), host)
	}
	return err
}

// tripsKept bounds the peers whose round trip is remembered.
const tripsKept = 512

// measured takes the time of one call to host and returns the estimate of a
// message's way. The smoothed lowest time counts and not this one: on a loaded
// host a call waits for a processor, and its half would switch the host early.
func (s *Distributor) measured(host string, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.trips) >= tripsKept {
		clear(s.trips)
	}
	trip := s.trips[host]
	trip.measured(max(d, time.Microsecond))
	s.trips[host] = trip
	return min(trip.oneWay(), d/2)
}

func (s *Distributor) onFetch(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var ask fetch
	if err := msgpack.Unmarshal(payload, &ask); err != nil {
		return nil, fmt.Errorf("decode fetch: %w", err)
	}
	held := s.f.Newest()
	if held == nil {
		return nil, ErrNotRetained
	}
	asked := s.f.opts.Clock.Now()
	t, err := newTransfer(held, s.f.remembered(ask.Number, ask.Hash))
	if err != nil {
		return nil, err
	}
	now := s.f.opts.Clock.Now()
	t.Age, t.Spent = now.Sub(held.AcceptedAt).Microseconds(), now.Sub(asked).Microseconds()
	return msgpack.Marshal(&t)
}

func (s *Distributor) onSummary(context.Context, peer.Identity, []byte) ([]byte, error) {
	number, hash := s.f.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, Platform: s.platformAge()})
}

// HeartbeatPart returns what a heartbeat says of this host's releases.
func (s *Distributor) HeartbeatPayload() []byte {
	data, err := s.onSummary(context.Background(), peer.Identity{}, nil)
	if err != nil {
		return nil // comparing with peers goes on without
	}
	return data
}

// OnHeartbeatPart takes what HeartbeatPart returned at from. It returns at once.
func (s *Distributor) OnHeartbeatPayload(from peer.Identity, data []byte) {
	var a summary
	if msgpack.Unmarshal(data, &a) != nil {
		return
	}
	s.notePlatform(from, &a)
	s.ObservePeerRelease(from, a.Number, a.Hash)
}

// notePlatform records how the peer stands with the platform: watchers of a domain
// speak for all of it.
func (s *Distributor) notePlatform(from peer.Identity, a *summary) {
	if a.Platform >= 0 && from.Domain == s.opts.Link.Self().Domain {
		s.heardPlatform(time.Duration(a.Platform) * time.Millisecond)
	}
}

// platformAge is the age of the newest news of the platform in this domain in
// milliseconds; below 0: none.
func (s *Distributor) platformAge() int64 {
	s.mu.Lock()
	at := s.heardOf
	s.mu.Unlock()
	if own := s.f.platformAnsweredAt(); own.After(at) {
		at = own
	}
	if at.IsZero() {
		return -1
	}
	return s.f.opts.Clock.Now().Sub(at).Milliseconds()
}

// cutOff reports whether peers are this host's only source of releases now.
func (s *Distributor) cutOff() bool {
	if s.watching.Load() && s.f.platformAnsweredAt().IsZero() {
		return true
	}
	age := s.platformAge()
	return age < 0 || age >= s.opts.WatcherTimeout.Milliseconds()
}
