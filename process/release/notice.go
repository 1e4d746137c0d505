package release

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
)

const (
	// fanout is the number of hosts that each host notifies. A release reaches
	// a failure domain of n hosts in log_fanout(n) steps, and no host sends
	// more notices than this.
	fanout = 4
	// maxFetchAttempts bounds the hosts tried in turn for a release announced
	// by a notice.
	maxFetchAttempts = 6
	// maxForwardedRoots bounds the roots whose last forwarded number is kept.
	maxForwardedRoots = 64
)

// announcePrepared starts a notice in this failure domain for a release that
// came from the platform or from another domain. A release from this domain is
// announced by the host that brought it into the domain.
func (d *Distributor) announcePrepared(rel *PreparedRelease) {
	d.mu.Lock()
	local := d.fetchingLocal[rel.Number]
	d.mu.Unlock()
	if local {
		return
	}
	n := notice{Number: rel.Number, Hash: rel.Hash, Root: d.opts.Link.Self().Host}
	d.runInBackground(func(ctx context.Context) { d.forward(ctx, n) })
}

// onNotice fetches the release if this host needs it, and forwards the notice.
// It forwards the notice of a known release, too: the tree of another root may
// have lost a host on the path.
func (d *Distributor) onNotice(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var n notice
	if err := msgpack.Unmarshal(payload, &n); err != nil {
		return nil, fmt.Errorf("decode release notice: %w", err)
	}
	d.runInBackground(func(ctx context.Context) { d.handleNotice(ctx, from, n) })
	number, hash := d.follower.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, PlatformAgeMillis: d.platformAgeMillis()})
}

// handleNotice fetches the announced release if needed and forwards the notice
// unless the fetch failed.
func (d *Distributor) handleNotice(ctx context.Context, from peer.Identity, n notice) {
	if d.follower.Needs(n.Number, n.Hash, from.Host) && d.fetchFromAny(ctx, from, n) != nil {
		return // the periodic comparison with peers repairs it
	}
	d.forward(ctx, n)
}

// fetchFromAny fetches the announced release from the sender, the root or then
// random hosts of the failure domain, whichever first has it. If a host gave up
// after the first lost connection, all hosts below it in the tree would get the
// release only by periodic comparison, which takes seconds.
func (d *Distributor) fetchFromAny(ctx context.Context, from peer.Identity, n notice) error {
	root := from
	root.Host = n.Root
	sources := []peer.Identity{from, root}
	var err error
	failures := 0
	for range maxFetchAttempts {
		if failures > 0 {
			d.follower.backoff(ctx, &failures)
		}
		if len(sources) == 0 {
			sources = d.localPeers(membership.Suspect)
			d.shufflePeers(sources)
		}
		if len(sources) == 0 {
			return err
		}
		err = d.fetchOnce(ctx, sources[0], n.Number)
		if err == nil || !d.follower.Needs(n.Number, n.Hash, from.Host) {
			return err
		}
		sources, failures = sources[1:], failures+1
	}
	return err
}

// shufflePeers puts peers into random order.
func (d *Distributor) shufflePeers(peers []peer.Identity) {
	for i := len(peers) - 1; i > 0; i-- {
		j := d.follower.opts.Rand.IntN(i + 1)
		peers[i], peers[j] = peers[j], peers[i]
	}
}

// forward sends the notice to the children of this host in the tree of its
// root, once per root and number.
func (d *Distributor) forward(ctx context.Context, n notice) {
	d.mu.Lock()
	seen := d.forwarded[n.Root] >= n.Number
	if !seen {
		if len(d.forwarded) >= maxForwardedRoots {
			clear(d.forwarded)
		}
		d.forwarded[n.Root] = n.Number
	}
	d.mu.Unlock()
	if seen {
		return
	}
	hosts := d.noticeTree(n.Root)
	for i, host := range hosts {
		if host == d.opts.Link.Self().Host {
			d.notifyChildren(ctx, hosts, i, n)
			return
		}
	}
}

// notifyChildren sends the notice to the children of the host at position i of
// the tree, whose hosts are in the order of noticeTree. If a child does not
// respond, it sends the notice to the children of that child directly, so that a
// dead host does not cut off the hosts below it.
func (d *Distributor) notifyChildren(ctx context.Context, hosts []string, i int, n notice) {
	var g errgroup.Group
	for child := fanout*i + 1; child <= fanout*i+fanout && child < len(hosts); child++ {
		g.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			var reply summary
			if err := d.opts.Link.Call(callCtx, hosts[child], methodNotice, n, &reply); err != nil {
				d.notifyChildren(ctx, hosts, child, n)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// noticeTree returns the hosts of this failure domain in the order of the
// notice tree: root first, then the others by rank, so that all hosts with the
// same membership view agree on it. It includes suspected hosts: most of them
// are merely slow, and dead ones are skipped by notifyChildren.
func (d *Distributor) noticeTree(root string) []string {
	hosts := []string{root}
	for _, h := range d.rankedHosts(membership.Suspect) {
		if h != root {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
