package release

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
)

// DistributorOptions configure a Distributor. Follower is required; Watchers and
// the durations get their defaults if zero.
type DistributorOptions struct {
	Follower *Follower
	Link     peer.Link       // nil: the host has no peers
	View     membership.View // nil: every peer of the link counts as alive
	// Watchers is the number of hosts per failure domain that watch the
	// platform; default 2.
	Watchers int
	// SyncInterval is the mean interval at which a host compares its release
	// with that of one peer; default 2 s. It is halved while the platform is
	// unreachable.
	SyncInterval time.Duration
	// WatcherTimeout is how long the failure domain may go without a reported
	// response of the platform before hosts other than its elected watchers try
	// the platform; default 20 s.
	WatcherTimeout time.Duration
	// PeersConfigured makes a host that starts wait briefly until the link has
	// discovered a peer.
	PeersConfigured bool
}

// Defaults of DistributorOptions.
const (
	DefaultWatchers     = 2
	DefaultSyncInterval = 2 * time.Second
)

const (
	defaultWatcherTimeout = 20 * time.Second
	peerTimeout           = 500 * time.Millisecond // of one summary or notice call
	fetchTimeout          = 5 * time.Second        // of one fetch call
	initialSyncTimeout    = time.Second            // of the read of the head and the comparison with all peers at the start
	// maxOneWayDelay bounds the estimated one-way delay of a message. A longer
	// time means that a process was waiting for a CPU, and would make this host
	// activate releases early.
	maxOneWayDelay = 50 * time.Millisecond
)

// Distributor passes releases between entry hosts. Few hosts of a failure
// domain watch the platform; the others are notified of a release by them and
// fetch the rows that changed. In addition, every host periodically compares
// its release with that of a random peer, which repairs whatever was lost on
// the way.
type Distributor struct {
	opts     DistributorOptions
	follower *Follower
	joined   atomic.Bool                     // see Joined
	watching atomic.Bool                     // this host watches the platform
	runCtx   atomic.Pointer[context.Context] // of Run, for background work

	mu                   sync.Mutex               // guards the fields below
	forwarded            map[string]uint64        // by root of the notice (see notice.Root): number forwarded last
	fetching             map[uint64]chan struct{} // by number: closed when the fetch ends
	fetchingLocal        map[uint64]bool          // by number: the fetch is from this failure domain
	roundTrips           map[string]roundTrip     // to the peer, by host name
	localWatcherResponse time.Time                // last response of the platform to a watcher of the domain, as reported
}

// NewDistributor returns a distributor and registers its methods with the link.
// It must be called before the link starts. If there is a link, the follower
// activates no release until Run has queried the peers.
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

// Run follows and distributes releases until ctx ends, and then returns nil. It
// activates releases of the follower, too.
func (d *Distributor) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	d.runCtx.Store(&ctx)
	d.recordPlatformResponse(0) // gives the elected watchers WatcherTimeout to report
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

// Joined reports whether this host has queried its peers for their release
// since its start. Until then it may have an earlier release than its callers
// have already seen: a host that restarts while the platform is down or stale
// must not serve an earlier release than before.
func (d *Distributor) Joined() bool { return d.joined.Load() }

// Summary returns number and hash of the newest release on this host; both are
// zero if there is none.
func (d *Distributor) Summary() (number uint64, hash string) { return d.follower.Summary() }

// ObservePeerRelease handles the newest release that a peer reports in a
// heartbeat or response. It returns at once; a newer release is fetched in the
// background.
func (d *Distributor) ObservePeerRelease(from peer.Identity, number uint64, hash string) {
	if !d.follower.Needs(number, hash, from.Host) {
		return
	}
	d.runInBackground(func(ctx context.Context) { _ = d.fetchOnce(ctx, from, number) })
}

// runInBackground runs work in a goroutine with the context of Run. It does
// nothing unless Run is running.
func (d *Distributor) runInBackground(work func(context.Context)) {
	if ctx := d.runCtx.Load(); ctx != nil && (*ctx).Err() == nil {
		go work(*ctx)
	}
}

// fetchOnce fetches the newest release of from unless this host already has
// number or a later one. Only one fetch per number runs at a time. It returns
// ErrNotRetained if from does not have the release, or the error of fetchFrom.
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

// fetchFrom fetches the newest release of host, as a delta if possible, and
// offers it to the follower. Its errors are those of the call, of decoding and of
// Follower.Offer.
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
	// Add the one-way delay of the response to its age. Otherwise each hop would
	// postpone the activation by that delay.
	oneWay := d.recordRoundTrip(host, now.Sub(start)-time.Duration(response.ServiceMicros)*time.Microsecond)
	acceptedAt := now.Add(-time.Duration(response.AgeMicros)*time.Microsecond - oneWay)
	rel, err := response.release(base)
	if err == nil {
		err = d.follower.Offer(rel, d.follower.opts.Clock.Now().Sub(acceptedAt), host)
	}
	return err
}

// maxRoundTrips bounds the peers whose round-trip time is kept.
const maxRoundTrips = 512

// recordRoundTrip adds a sample of the round-trip time to host and returns the
// estimated one-way delay of a message. The estimate uses the smoothed minimum
// and not the sample alone: on a loaded host a call waits for a CPU, and half
// of that time would make this host activate releases early.
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

// onFetch responds with the newest release of this host, as a delta if it
// recently had the release of the caller. It returns ErrNotRetained if this host
// has no release.
func (d *Distributor) onFetch(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var request fetchRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode fetch request: %w", err)
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

// onSummary responds with the summary of this host.
func (d *Distributor) onSummary(context.Context, peer.Identity, []byte) ([]byte, error) {
	number, hash := d.follower.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, PlatformAgeMillis: d.platformAgeMillis()})
}

// HeartbeatPayload returns the encoded summary of this host for its heartbeats,
// or nil if it cannot be encoded.
func (d *Distributor) HeartbeatPayload() []byte {
	data, err := d.onSummary(context.Background(), peer.Identity{}, nil)
	if err != nil {
		return nil // peers still learn of releases by periodic comparison
	}
	return data
}

// OnHeartbeatPayload handles the HeartbeatPayload of a peer. It returns at once
// and does not keep data; an invalid payload is ignored.
func (d *Distributor) OnHeartbeatPayload(from peer.Identity, data []byte) {
	var peerSummary summary
	if msgpack.Unmarshal(data, &peerSummary) != nil {
		return
	}
	d.recordPeerPlatformAge(from, &peerSummary)
	d.ObservePeerRelease(from, peerSummary.Number, peerSummary.Hash)
}

// recordPeerPlatformAge records when the platform last responded according to a
// peer of this failure domain.
func (d *Distributor) recordPeerPlatformAge(from peer.Identity, peerSummary *summary) {
	if peerSummary.PlatformAgeMillis >= 0 && from.Domain == d.opts.Link.Self().Domain {
		d.recordPlatformResponse(time.Duration(peerSummary.PlatformAgeMillis) * time.Millisecond)
	}
}

// platformAgeMillis returns the milliseconds since the last response of the
// platform to this host or, as reported, its failure domain; -1 if there was
// none.
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

// platformUnreachable reports whether peers are currently the only source of
// releases of this host: its own watch fails, or its failure domain has reported
// no response of the platform for WatcherTimeout.
func (d *Distributor) platformUnreachable() bool {
	if d.watching.Load() && d.follower.platformLastResponse().IsZero() {
		return true
	}
	age := d.platformAgeMillis()
	return age < 0 || age >= d.opts.WatcherTimeout.Milliseconds()
}
