package stages

import (
	"context"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// maxOwners bounds the peers that are tried before this host does the work
// itself: after a loss of power several that are down may stand before one that
// is not.
const maxOwnerAttempts = 5

// suspect is a peer that did not answer.
type suspect struct {
	until    time.Time
	failures int
}

// firstAnswer is how long a host's first answer is awaited: a few ways between
// regions, and a handshake on a busy host.
const ownerConfirmTimeout = 400 * time.Millisecond

// findOwner returns the host that does the stage work of a region (empty: of all) for a
// request that is bound to some regions; empty: this one. A host is the owner only once it
// has answered: after a loss of power the platform's list still tells of the processes
// before it, and by these each host of a fleet would name another owner for seconds, which
// fill the same servers. The answer's connection tells which process is there now.
func (p *Pool) findOwner(ctx context.Context, region string, allowed residency.Set) string {
	for failed := 0; failed < maxOwnerAttempts; {
		owner, known := p.owner(region, allowed)
		if owner.Host == p.link.Self().Host {
			return ""
		}
		if known {
			return owner.Host
		}
		err := p.confirmOwner(ctx, owner.Host)
		if ctx.Err() != nil {
			return owner.Host // the request is over; asking tells the caller
		}
		if err != nil {
			failed++
			p.markSuspect(owner.Host, err)
		}
	}
	return ""
}

// confirm asks a host whether it is there, and notes which process answered.
func (p *Pool) confirmOwner(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, ownerConfirmTimeout)
	defer cancel()
	if err := p.Ping(ctx, host); err != nil {
		return err
	}
	for _, id := range p.link.Peers() {
		if id.Host == host {
			p.mu.Lock()
			p.confirmedIncarnations[host] = id.Incarnation
			p.mu.Unlock()
		}
	}
	return nil
}

// owner returns the host that comes first for a region and a request, and whether it
// has answered. Hosts of other regions follow those of the region itself.
func (p *Pool) owner(region string, allowed residency.Set) (owner peer.Identity, known bool) {
	peers := p.link.Peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	owner = p.selectOwner(peers, region, allowed)
	known = owner.Host == p.link.Self().Host || p.confirmedIncarnations[owner.Host] == owner.Incarnation
	// Requests that are bound to regions may have an owner of their own; it is no change.
	if known && !allowed.Restricted() && owner.Host != p.loggedOwners[region] {
		p.loggedOwners[region] = owner.Host
		p.log.OwnerChanged(region, owner.Host, owner.Incarnation)
	}
	return owner, known
}

// first returns the first host that can do the work of a region and may see the
// request; this one if there is no other. It is called with p.mu held.
func (p *Pool) selectOwner(peers []peer.Identity, region string, allowed residency.Set) peer.Identity {
	self, now := p.link.Self(), p.clock.Now()
	best, found := self, !p.leaving
	for _, id := range peers {
		if !allowed.Allows(id.Region) || p.leftIncarnations[id.Host] == id.Incarnation || !now.After(p.suspects[id.Host].until) {
			continue
		}
		if !found || ownerBefore(region, id, best) {
			best, found = id, true
		}
	}
	return best
}

// before orders hosts as those that do the work of a region (empty: of all).
func ownerBefore(region string, a, b peer.Identity) bool {
	if in, bn := a.Region == region, b.Region == region; region != "" && in != bn {
		return in
	}
	return peer.Before(a, b)
}

// Bounds of the time for which a peer that did not answer is passed over. The
// first is about a restart; the last bounds what it costs to try a dead one.
const (
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 3 * time.Second
)

func (p *Pool) markSuspect(host string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[host]
	if p.clock.Now().Before(s.until) {
		return // many calls fail with one connection
	}
	s.failures = min(s.failures+1, 8)
	d := min(minSuspectTime<<(s.failures-1), maxSuspectTime)
	s.until = p.clock.Now().Add(d)
	p.suspects[host] = s
	p.log.OwnerFailed(host, d, err)
}

func (p *Pool) clearSuspect(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, host)
}
