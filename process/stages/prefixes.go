package stages

import (
	"context"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// cachedPrefix names a shared prompt prefix and a server that has it in its cache. It is an
// element of the payload of methodCachedPrefixes.
type cachedPrefix struct {
	Prefix   string // key of the prefix, as in Prompt.LongPrefix
	ServerID string
}

const (
	// minAnnouncedPrefill is the shortest prefill time of a prefix that is announced to other regions.
	minAnnouncedPrefill = 2 * time.Millisecond
	// prefixNoticeDelay is how long notices are collected before they are sent.
	prefixNoticeDelay = 100 * time.Millisecond
	// maxPrefixNotices bounds the number of notices in a message.
	maxPrefixNotices = 512
)

// queuePrefixNotice schedules a notice to the owners of other regions that a server has
// cached a prefix which they would not expect there. Each region's owner handles only its
// own requests: without the notice, a prefix that a busy home server did not prefill would
// be prefilled there once more for each other region.
func (p *Pool) queuePrefixNotice(notice cachedPrefix) {
	if p.regionOfDomain(p.link.Self().Domain) == "" {
		return // a single host owns all requests
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingNotices) == maxPrefixNotices {
		return // the other regions prefill the prefix again
	}
	p.pendingNotices = append(p.pendingNotices, notice)
	if len(p.pendingNotices) > 1 {
		return // a message is already scheduled
	}
	go func() {
		<-p.clock.After(prefixNoticeDelay)
		p.sendPrefixNotices()
	}()
}

// sendPrefixNotices sends the pending notices to the owners of the other regions.
func (p *Pool) sendPrefixNotices() {
	peers := p.link.Peers()
	p.mu.Lock()
	notices := p.pendingNotices
	p.pendingNotices = nil
	owners := p.ownersOfOtherRegions(peers)
	p.mu.Unlock()
	for _, host := range owners {
		p.sendAsync(host, methodCachedPrefixes, notices)
	}
}

// ownersOfOtherRegions returns the owners of the other regions. The caller holds p.mu.
func (p *Pool) ownersOfOtherRegions(peers []peer.Identity) []string {
	self := p.link.Self()
	seen := map[string]bool{self.Region: true}
	var out []string
	for _, id := range peers {
		if seen[id.Region] {
			continue
		}
		seen[id.Region] = true
		if owner := p.selectOwner(peers, id.Region, residency.Set{}); owner.Host != self.Host {
			out = append(out, owner.Host)
		}
	}
	return out
}

// serveCachedPrefixes handles methodCachedPrefixes: it records the notices of another region's
// owner.
func (p *Pool) serveCachedPrefixes(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var notices []cachedPrefix
	if err := peer.Unmarshal(payload, &notices); err != nil {
		return nil, err
	}
	now := p.clock.Now()
	for _, notice := range notices[:min(len(notices), maxPrefixNotices)] {
		p.coordinator.prompts.recordRemoteHolder(now, notice)
	}
	return peer.Marshal(nil)
}
