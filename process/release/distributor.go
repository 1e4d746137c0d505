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
	defaultWatcherTimeout = 20 * time.Second
	peerTimeout           = 500 * time.Millisecond
	fetchTimeout          = 5 * time.Second
	initialSyncTimeout    = time.Second
	// maxOneWay bounds the estimate of a message's way: a longer time is a
	// process that got no processor, and would make this host switch early.
	maxOneWayDelay = 50 * time.Millisecond
)

// Spread passes releases between entry hosts: few hosts of a failure domain
// watch the platform, the others hear of a release from them and fetch the rows
// that changed, and every host compares with a peer now and then, which mends
// whatever was lost on the way.
type Distributor struct {
	opts     DistributorOptions
	follower *Follower
	joined   atomic.Bool
	watching atomic.Bool                     // this host watches the platform
	runCtx   atomic.Pointer[context.Context] // of Run, for work that notices start

	mu                   sync.Mutex
	forwarded            map[string]uint64 // root -> number forwarded last
	fetching             map[uint64]chan struct{}
	fetchingLocal        map[uint64]bool      // those of pulling that come from this domain
	roundTrips           map[string]roundTrip // by peer
	localWatcherResponse time.Time            // when a watcher of the domain last reached the platform, as told
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
		opts.WatcherTimeout = defaultWatcherTimeout
	}
	d := &Distributor{opts: opts, follower: opts.Follower, forwarded: map[string]uint64{}, fetching: map[uint64]chan struct{}{}, fetchingLocal: map[uint64]bool{}, roundTrips: map[string]roundTrip{}}
	if opts.Link == nil {
		return d
	}
	opts.Link.Handle(methodSummary, d.onSummary)
	opts.Link.Handle(methodFetch, d.onFetch)
	opts.Link.Handle(methodNotice, d.onNotice)
	d.follower.OnPrepared(d.announcePrepared)
	d.follower.pauseActivation()
	return d
}

// Run follows releases until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	d.runCtx.Store(&ctx)
	d.recordPlatformResponse(0) // the chosen watchers get the time of Silence to be heard of
	g.Go(func() error { return d.follower.RunActivation(ctx) })
	if d.opts.Link == nil {
		d.joined.Store(true)
		g.Go(func() error { return d.follower.Watch(ctx) })
		return g.Wait()
	}
	g.Go(func() error { return d.initialSync(ctx) })
	g.Go(func() error { return d.runWatcherElection(ctx) })
	g.Go(func() error { return d.runPeerSync(ctx) })
	return g.Wait()
}

// Joined reports whether this host asked its peers for their release since it
// started. Until then it may know less than its callers have seen already: a
// host that restarts while the platform is down or behind must not serve an
// earlier release than it did before.
func (d *Distributor) Joined() bool { return d.joined.Load() }

// Summary returns number and hash of the newest release here, for heartbeats.
func (d *Distributor) Summary() (number uint64, hash string) { return d.follower.Summary() }

// Heard takes what a peer says it has, from a heartbeat or an answer. It returns
// at once; a newer release is fetched in the background.
func (d *Distributor) ObservePeerRelease(from peer.Identity, number uint64, hash string) {
	if !d.follower.Needs(number, hash, from.Host) {
		return
	}
	d.runInBackground(func(ctx context.Context) { _ = d.fetchOnce(ctx, from, number) })
}

func (d *Distributor) runInBackground(work func(context.Context)) {
	if ctx := d.runCtx.Load(); ctx != nil && (*ctx).Err() == nil {
		go work(*ctx)
	}
}

// pull fetches the newest release of from. One pull of a number runs at a time.
func (d *Distributor) fetchOnce(ctx context.Context, from peer.Identity, number uint64) error {
	d.mu.Lock()
	if inProgress, busy := d.fetching[number]; busy {
		d.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return ctx.Err()
		}
		return d.fetchOnce(ctx, from, number)
	}
	done := make(chan struct{})
	d.fetching[number] = done
	d.fetchingLocal[number] = from.Domain == d.opts.Link.Self().Domain
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.fetching, number)
		delete(d.fetchingLocal, number)
		d.mu.Unlock()
		close(done)
	}()
	if have, _ := d.follower.Summary(); have >= number {
		return nil
	}
	if err := d.fetchFrom(ctx, from.Host); err != nil {
		return err
	}
	if have, _ := d.follower.Summary(); have < number {
		return fmt.Errorf("%w: %s does not have release %d", ErrNotRetained, from.Host, number)
	}
	return nil
}

func (d *Distributor) fetchFrom(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := d.follower.Newest()
	request := fetchRequest{}
	if base != nil {
		request.Number, request.Hash = base.Number, base.Hash
	}
	var response fetchResponse
	start := d.follower.opts.Clock.Now()
	if err := d.opts.Link.Call(ctx, host, methodFetch, request, &response); err != nil {
		return fmt.Errorf("fetch release from %s: %w", host, err)
	}
	now := d.follower.opts.Clock.Now()
	// The answer was under way for some time. Without it each step would put the
	// switch off by that much.
	oneWay := d.recordRoundTrip(host, now.Sub(start)-time.Duration(response.ServiceMicros)*time.Microsecond)
	acceptedAt := now.Add(-time.Duration(response.AgeMicros)*time.Microsecond - oneWay)
	rel, err := response.release(base)
	if err == nil {
		err = d.follower.Offer(rel, d.follower.opts.Clock.Now().Sub(acceptedAt), host)
	}
	return err
}

// tripsKept bounds the peers whose round trip is remembered.
const maxRoundTrips = 512

// measured takes the time of one call to host and returns the estimate of a
// message's way. The smoothed lowest time counts and not this one: on a loaded
// host a call waits for a processor, and its half would switch the host early.
func (d *Distributor) recordRoundTrip(host string, elapsed time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.roundTrips) >= maxRoundTrips {
		clear(d.roundTrips)
	}
	trip := d.roundTrips[host]
	trip.update(max(elapsed, time.Microsecond))
	d.roundTrips[host] = trip
	return min(trip.oneWay(), elapsed/2)
}

func (d *Distributor) onFetch(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var request fetchRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode fetch: %w", err)
	}
	newest := d.follower.Newest()
	if newest == nil {
		return nil, ErrNotRetained
	}
	start := d.follower.opts.Clock.Now()
	response, err := newFetchResponse(newest, d.follower.recentRelease(request.Number, request.Hash))
	if err != nil {
		return nil, err
	}
	now := d.follower.opts.Clock.Now()
	response.AgeMicros, response.ServiceMicros = now.Sub(newest.AcceptedAt).Microseconds(), now.Sub(start).Microseconds()
	return msgpack.Marshal(&response)
}

func (d *Distributor) onSummary(context.Context, peer.Identity, []byte) ([]byte, error) {
	number, hash := d.follower.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, PlatformAgeMillis: d.platformAgeMillis()})
}

// HeartbeatPart returns what a heartbeat says of this host's releases.
func (d *Distributor) HeartbeatPayload() []byte {
	data, err := d.onSummary(context.Background(), peer.Identity{}, nil)
	if err != nil {
		return nil // comparing with peers goes on without
	}
	return data
}

// OnHeartbeatPart takes what HeartbeatPart returned at from. It returns at once.
func (d *Distributor) OnHeartbeatPayload(from peer.Identity, data []byte) {
	var peerSummary summary
	if msgpack.Unmarshal(data, &peerSummary) != nil {
		return
	}
	d.recordPeerPlatformAge(from, &peerSummary)
	d.ObservePeerRelease(from, peerSummary.Number, peerSummary.Hash)
}

// notePlatform records how the peer stands with the platform: watchers of a domain
// speak for all of it.
func (d *Distributor) recordPeerPlatformAge(from peer.Identity, peerSummary *summary) {
	if peerSummary.PlatformAgeMillis >= 0 && from.Domain == d.opts.Link.Self().Domain {
		d.recordPlatformResponse(time.Duration(peerSummary.PlatformAgeMillis) * time.Millisecond)
	}
}

// platformAge is the age of the newest news of the platform in this domain in
// milliseconds; below 0: none.
func (d *Distributor) platformAgeMillis() int64 {
	d.mu.Lock()
	last := d.localWatcherResponse
	d.mu.Unlock()
	if ownResponse := d.follower.platformLastResponse(); ownResponse.After(last) {
		last = ownResponse
	}
	if last.IsZero() {
		return -1
	}
	return d.follower.opts.Clock.Now().Sub(last).Milliseconds()
}

// cutOff reports whether peers are this host's only source of releases now.
func (d *Distributor) platformUnreachable() bool {
	if d.watching.Load() && d.follower.platformLastResponse().IsZero() {
		return true
	}
	age := d.platformAgeMillis()
	return age < 0 || age >= d.opts.WatcherTimeout.Milliseconds()
}
