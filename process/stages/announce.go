package stages

import (
	"context"
	"slices"
	"sort"
	"time"

	"bilberrydale/process/peer"
)

// peerDiscoveryTimeout bounds how long requests wait after a start until the other hosts are
// known. Without the wait, all hosts of a fleet that starts at once would run stage work
// themselves and their servers would refuse most calls.
const peerDiscoveryTimeout = 1500 * time.Millisecond

// MarkPeersKnown records that the other hosts are known, which lets waiting requests proceed.
// It may be called more than once.
func (p *Pool) MarkPeersKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.peersKnown:
	default:
		close(p.peersKnown)
	}
}

// waitForPeers waits until the other hosts are known, at most for peerDiscoveryTimeout, after
// which no request waits any more. The error is ctx's.
func (p *Pool) waitForPeers(ctx context.Context) error {
	select {
	case <-p.peersKnown:
		return nil
	default:
	}
	select {
	case <-p.peersKnown:
	case <-p.clock.After(peerDiscoveryTimeout):
		p.MarkPeersKnown() // the platform's list of hosts is unavailable
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Ping calls another host and returns nil once it has responded; host is its name. The error is
// that of Link.Call.
func (p *Pool) Ping(ctx context.Context, host string) error {
	return p.link.Call(ctx, host, methodHello, nil, nil)
}

// maxAnnouncedHosts is the number of potential owners that are notified of a new host
// directly; the other hosts find it in the platform's list. Notifying all of them would need a
// handshake between every two hosts when a fleet starts, which takes weak hosts seconds.
const maxAnnouncedHosts = 4

// Announce makes this host known to the maxAnnouncedHosts hosts that are preferred as owners of
// stage work (see Pool). The call has no content: opening its connection tells the other host
// which host and incarnation this is. Announce does not wait for the calls.
func (p *Pool) Announce() {
	list := slices.Clone(p.link.Peers())
	sort.Slice(list, func(i, j int) bool { return peer.Outranks(list[i], list[j]) })
	for _, id := range list[:min(len(list), maxAnnouncedHosts)] {
		p.notify(id.Host, methodHello)
	}
}
