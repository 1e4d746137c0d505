package release

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
)

const (
	// roleCheckInterval is how often a host checks whether it should watch the
	// platform, in addition to membership changes.
	roleCheckInterval = time.Second
	// crossDomainShare is the fraction of the periodic comparisons that are made
	// with peers of other failure domains.
	crossDomainShare = 0.25
)

// livePeers returns the other entry hosts whose membership state is at most
// maxState.
func (d *Distributor) livePeers(maxState membership.State) []peer.Identity {
	if d.opts.View == nil {
		return d.opts.Link.Peers()
	}
	var out []peer.Identity
	for _, p := range d.opts.View.Peers() {
		if p.State <= maxState {
			out = append(out, p.Identity)
		}
	}
	return out
}

// localPeers returns the live peers of this failure domain, without this host.
func (d *Distributor) localPeers(maxState membership.State) []peer.Identity {
	var out []peer.Identity
	for _, p := range d.livePeers(maxState) {
		if p.Domain == d.opts.Link.Self().Domain {
			out = append(out, p)
		}
	}
	return out
}

// rankedHosts returns the live hosts of this failure domain, including this
// one, ordered by rendezvous hashing. All hosts with the same membership
// compute the same order without communication, and a host that joins or leaves
// does not change the order of the others.
func (d *Distributor) rankedHosts(maxState membership.State) []string {
	self := d.opts.Link.Self()
	hosts := []string{self.Host}
	for _, p := range d.localPeers(maxState) {
		hosts = append(hosts, p.Host)
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := rendezvousWeight(self.Domain, hosts[i]), rendezvousWeight(self.Domain, hosts[j])
		return a > b || (a == b && hosts[i] < hosts[j])
	})
	return hosts
}

// rendezvousWeight returns the weight by which rankedHosts orders host.
func rendezvousWeight(domain, host string) uint64 { return xxhash.Sum64String(domain + "/" + host) }

// runWatcherElection watches the platform while this host is an elected watcher
// of its failure domain, or while the elected ones report no response of the
// platform.
func (d *Distributor) runWatcherElection(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	changed := make(chan struct{}, 1)
	if d.opts.View != nil {
		d.opts.View.OnChange(func() {
			select {
			case changed <- struct{}{}:
			default:
			}
		})
	}
	var stopWatch context.CancelFunc
	for ctx.Err() == nil {
		watching := stopWatch != nil
		switch shouldWatch := d.shouldWatch(ctx, watching); {
		case shouldWatch && !watching:
			var watchCtx context.Context
			watchCtx, stopWatch = context.WithCancel(ctx)
			d.watching.Store(true)
			g.Go(func() error { return d.follower.Watch(watchCtx) })
		case !shouldWatch && watching:
			d.watching.Store(false)
			stopWatch()
			stopWatch = nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.follower.opts.Clock.After(roleCheckInterval):
		}
	}
	if stopWatch != nil {
		stopWatch()
	}
	return g.Wait()
}

// shouldWatch reports whether this host should watch the platform; watching
// says whether it does now.
func (d *Distributor) shouldWatch(ctx context.Context, watching bool) bool {
	hosts := d.rankedHosts(membership.Alive)
	for i, h := range hosts {
		if h == d.opts.Link.Self().Host && i < d.opts.Watchers {
			return true
		}
	}
	if d.localWatcherActive() {
		return false
	}
	// The elected watchers report no response of the platform. Each of the n
	// hosts tries the platform in one of n intervals on average, so that not the
	// whole domain calls the platform during an outage.
	if watching || d.follower.opts.Rand.IntN(len(hosts)) > 0 {
		return watching
	}
	_, err := d.follower.opts.Store.Get(ctx, HeadKey)
	return err == nil
}

// localWatcherActive reports whether a host of the failure domain has reached
// the platform within WatcherTimeout, as reported by peers.
func (d *Distributor) localWatcherActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.localWatcherResponse.IsZero() && d.follower.opts.Clock.Now().Sub(d.localWatcherResponse) < d.opts.WatcherTimeout
}

// runPeerSync compares the release of this host with that of one random peer
// per SyncInterval, with jitter, until ctx ends.
func (d *Distributor) runPeerSync(ctx context.Context) error {
	for {
		wait := time.Duration((0.75 + 0.5*d.follower.opts.Rand.Float64()) * float64(d.opts.SyncInterval))
		if d.platformUnreachable() {
			wait /= 2
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.follower.opts.Clock.After(wait):
		}
		if target, ok := d.pickSyncPeer(); ok {
			_ = d.syncWith(ctx, target)
		}
	}
}

// pickSyncPeer picks the peer to compare with: usually one of this failure
// domain, and one of another with probability crossDomainShare, or 0.5 while
// the platform is unreachable. It reports false if there is no live peer.
func (d *Distributor) pickSyncPeer() (peer.Identity, bool) {
	var local, remote []peer.Identity
	for _, p := range d.livePeers(membership.Alive) {
		if p.Domain == d.opts.Link.Self().Domain {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	share := crossDomainShare
	if d.platformUnreachable() {
		share = 0.5
	}
	candidates := local
	if len(local) == 0 || (len(remote) > 0 && d.follower.opts.Rand.Float64() < share) {
		candidates = remote
	}
	if len(candidates) == 0 {
		return peer.Identity{}, false
	}
	return candidates[d.follower.opts.Rand.IntN(len(candidates))], true
}

// syncWith reads the summary of one peer and fetches its release if it is newer.
// Its errors are those of the call and of fetchOnce.
func (d *Distributor) syncWith(ctx context.Context, p peer.Identity) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var peerSummary summary
	start := d.follower.opts.Clock.Now()
	if err := d.opts.Link.Call(callCtx, p.Host, methodSummary, nil, &peerSummary); err != nil {
		return err
	}
	d.recordRoundTrip(p.Host, d.follower.opts.Clock.Now().Sub(start))
	d.recordPeerPlatformAge(p, &peerSummary)
	if d.follower.Needs(peerSummary.Number, peerSummary.Hash, p.Host) {
		return d.fetchOnce(ctx, p, peerSummary.Number)
	}
	return nil
}

// recordPlatformResponse records that the platform responded to a host of this
// failure domain age ago.
func (d *Distributor) recordPlatformResponse(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if respondedAt := d.follower.opts.Clock.Now().Add(-age); respondedAt.After(d.localWatcherResponse) {
		d.localWatcherResponse = respondedAt
	}
}

// initialSync reads the head of the platform once and queries the peers,
// preferably those of this failure domain, for their release. It then permits
// activation. It records a fault if no source had a release.
func (d *Distributor) initialSync(ctx context.Context) error {
	defer d.joined.Store(true)
	defer d.follower.resumeActivation()
	callCtx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	var g errgroup.Group
	var platformErr error
	g.Go(func() error {
		_, platformErr = d.follower.readHead(callCtx)
		return nil
	})
	peers := d.awaitInitialPeers(callCtx)
	var responses atomic.Int64
	for _, p := range peers {
		g.Go(func() error {
			if d.syncWith(callCtx, p) == nil {
				responses.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	if number, _ := d.follower.Summary(); number == 0 && ctx.Err() == nil {
		d.follower.setFault(faultNoRelease, fmt.Errorf("%w: %d of %d peers responded; platform: %w", ErrNoRelease, responses.Load(), len(peers), platformErr))
	}
	return nil
}

// awaitInitialPeers returns the peers of this failure domain, or all peers if
// there are none. If peers are configured, it first waits until the link has
// one, for at most half of initialSyncTimeout.
func (d *Distributor) awaitInitialPeers(ctx context.Context) []peer.Identity {
	for range 20 {
		if len(d.opts.Link.Peers()) > 0 || !d.opts.PeersConfigured {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.follower.opts.Clock.After(initialSyncTimeout / 40):
		}
	}
	var local []peer.Identity
	for _, p := range d.opts.Link.Peers() {
		if p.Domain == d.opts.Link.Self().Domain {
			local = append(local, p)
		}
	}
	if len(local) == 0 {
		return d.opts.Link.Peers()
	}
	return local
}
