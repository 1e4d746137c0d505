package release

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

const (
	// fanout is how many hosts each host notifies. A release reaches a domain
	// of n hosts in log_fanout(n) steps, and no host sends more than this.
	fanout = 4
	// pullTries is how many hosts are asked for a release that was noticed.
	maxFetchAttempts = 6
	// rootsKept bounds what is remembered of the roots of notices.
	maxForwardedRoots = 64
)

// prepared starts a notice in this host's domain for a release that came from
// the platform or from another domain. One from this domain has its root there.
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

// onNotice fetches the release if it is new here and passes the notice on. The
// notice is passed on also when the release is known: the tree of another root
// may have lost a host half-way.
func (d *Distributor) onNotice(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var n notice
	if err := msgpack.Unmarshal(payload, &n); err != nil {
		return nil, fmt.Errorf("decode notice: %w", err)
	}
	d.runInBackground(func(ctx context.Context) { d.handleNotice(ctx, from, n) })
	number, hash := d.follower.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, PlatformAgeMillis: d.platformAgeMillis()})
}

func (d *Distributor) handleNotice(ctx context.Context, from peer.Identity, n notice) {
	if d.follower.Needs(n.Number, n.Hash, from.Host) && d.fetchFromAny(ctx, from, n) != nil {
		return // comparing with peers mends it
	}
	d.forward(ctx, n)
}

// pullFromAny tries the sender, the root and then random hosts of the domain. A
// host that gave up at the first lost connection would leave all hosts behind it
// in the tree to find out by comparing, which takes seconds.
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
			sources = d.localPeers(member.Suspect)
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

func (d *Distributor) shufflePeers(peers []peer.Identity) {
	for i := len(peers) - 1; i > 0; i-- {
		j := d.follower.opts.Rand.IntN(i + 1)
		peers[i], peers[j] = peers[j], peers[i]
	}
}

// forward notifies this host's children in the tree of the notice's root, once.
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

// notify tells the children of the host at position i. Those of a child that
// does not answer are told directly: a host that died must not cut off the
// hosts behind it.
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

// tree lays out the hosts of this domain: root first, the others by rank, so
// that all hosts with the same view agree on it. Suspected hosts are in it: most
// are merely slow, and one that is dead is passed over.
func (d *Distributor) noticeTree(root string) []string {
	hosts := []string{root}
	for _, h := range d.rankedHosts(member.Suspect) {
		if h != root {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
