package stages

import (
	"context"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// maxOwnerAttempts bounds the hosts that are tried before this host runs the work itself:
// after a power failure, several failed hosts may be ordered before a live one.
const maxOwnerAttempts = 5

// suspect is a host that did not respond. It is not used as owner for a time.
type suspect struct {
	until    time.Time // until when it is skipped
	failures int       // consecutive failures, at most 8
}

// ownerConfirmTimeout bounds the wait for a host's first response: a few round trips between
// regions, and a handshake on a busy host.
const ownerConfirmTimeout = 400 * time.Millisecond

// findOwner returns the host that runs the stage work of a region (empty: of all regions) for
// a request restricted to the allowed regions; empty: this host. A host is used only once it
// has responded: after a power failure the platform's list still contains old incarnations,
// by which each host of a fleet would choose a different owner for seconds, and these owners
// would fill the same servers. The connection of the response identifies the incarnation
// that is running now.
func (p *Pool) findOwner(ctx context.Context, region string, allowed residency.Set) string {
	for failed := 0; failed < maxOwnerAttempts; {
		owner, confirmed := p.owner(region, allowed)
		if owner.Host == p.link.Self().Host {
			return ""
		}
		if confirmed {
			return owner.Host
		}
		err := p.confirmOwner(ctx, owner.Host)
		if ctx.Err() != nil {
			return owner.Host // the request has ended; the caller's call fails with ctx's error
		}
		if err != nil {
			failed++
			p.markSuspect(owner.Host, err)
		}
	}
	return ""
}

// confirmOwner pings a host and records the incarnation that responded. The error is that of Ping,
// at the latest after ownerConfirmTimeout.
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

// owner returns the preferred owner for a region and a request, and whether it has responded.
// Hosts of other regions are ordered after those of the region itself.
func (p *Pool) owner(region string, allowed residency.Set) (owner peer.Identity, confirmed bool) {
	peers := p.link.Peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	owner = p.selectOwner(peers, region, allowed)
	confirmed = owner.Host == p.link.Self().Host || p.confirmedIncarnations[owner.Host] == owner.Incarnation
	// Requests restricted to regions may have a different owner; that is not a change of owner.
	if confirmed && !allowed.Restricted() && owner.Host != p.loggedOwners[region] {
		p.loggedOwners[region] = owner.Host
		p.log.OwnerChanged(region, owner.Host, owner.Incarnation)
	}
	return owner, confirmed
}

// selectOwner returns the first host that may run the work of a region and receive the
// request, or this host if there is no other. The caller holds p.mu.
func (p *Pool) selectOwner(peers []peer.Identity, region string, allowed residency.Set) peer.Identity {
	self, now := p.link.Self(), p.clock.Now()
	best, found := self, !p.leaving
	for _, id := range peers {
		if !allowed.Allows(id.Region) || p.leavingIncarnations[id.Host] == id.Incarnation || !now.After(p.suspects[id.Host].until) {
			continue
		}
		if !found || ownerBefore(region, id, best) {
			best, found = id, true
		}
	}
	return best
}

// ownerBefore orders hosts by their preference as owner of a region (empty: of all regions).
func ownerBefore(region string, a, b peer.Identity) bool {
	if aInRegion, bInRegion := a.Region == region, b.Region == region; region != "" && aInRegion != bInRegion {
		return aInRegion
	}
	return peer.Outranks(a, b)
}

// Bounds of the time for which an unresponsive host is skipped. The minimum is about the
// duration of a restart; the maximum bounds the cost of trying a failed host.
const (
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 3 * time.Second
)

// markSuspect skips an unresponsive host for a time that doubles with each failure.
func (p *Pool) markSuspect(host string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[host]
	if p.clock.Now().Before(s.until) {
		return // one broken connection fails many calls
	}
	s.failures = min(s.failures+1, 8)
	d := min(minSuspectTime<<(s.failures-1), maxSuspectTime)
	s.until = p.clock.Now().Add(d)
	p.suspects[host] = s
	p.log.OwnerFailed(host, d, err)
}

// clearSuspect records that a host has responded, which makes it usable as owner again.
func (p *Pool) clearSuspect(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, host)
}
