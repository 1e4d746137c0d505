package stages

import (
	"context"
	"slices"
	"sort"
	"time"

	"bilberrydale/process/peer"
)

// meetBound is how long requests wait for the other hosts to be known after a
// start. Without it all hosts of a fleet that starts at once do the stage work
// themselves, and their servers refuse most of the calls.
const peerDiscoveryTimeout = 1500 * time.Millisecond

// Met tells that the other hosts are known. It may be called more than once.
func (p *Pool) MarkPeersKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.peersKnown:
	default:
		close(p.peersKnown)
	}
}

func (p *Pool) waitForPeers(ctx context.Context) error {
	select {
	case <-p.peersKnown:
		return nil
	default:
	}
	select {
	case <-p.peersKnown:
	case <-p.clock.After(peerDiscoveryTimeout):
		p.MarkPeersKnown() // the platform's list cannot be had
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Ask tells whether a host answers.
func (p *Pool) Ping(ctx context.Context, host string) error {
	return p.link.Call(ctx, host, methodHello, nil, nil)
}

// helloHosts of those that may do the work of others hear of a new host at once;
// the rest find it in the platform's list. All of them would be a handshake
// between each two hosts when a fleet starts, which takes weak hosts seconds.
const maxAnnouncedHosts = 4

// Hello makes this host known to those that may do the work of others. The call
// itself proves who calls.
func (p *Pool) Announce() {
	list := slices.Clone(p.link.Peers())
	sort.Slice(list, func(i, j int) bool { return peer.Before(list[i], list[j]) })
	for _, id := range list[:min(len(list), maxAnnouncedHosts)] {
		p.notify(id.Host, methodHello)
	}
}
