package stages

import (
	"context"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// heldPart is a shared part of prompts and a server that has read it.
type cachedPrefix struct {
	Prefix   string
	ServerID string
}

const (
	// leastTold is the reading time of a part that is worth a word to other regions.
	minAnnouncedPrefill = 2 * time.Millisecond
	// tellHoldsEvery is how long news is gathered.
	prefixNoticeDelay = 100 * time.Millisecond
	// maxHolds bounds a message.
	maxPrefixNotices = 512
)

// tellHolder tells the hosts that do the stage work of other regions that a server has
// read a part which they would not expect there. Each region sees only its own requests:
// without this a part that a busy home did not read is read there once more for each
// other region.
func (p *Pool) queuePrefixNotice(h cachedPrefix) {
	if p.region(p.link.Self().Domain) == "" {
		return // all requests come by one host
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingNotices) == maxPrefixNotices {
		return // they read it again
	}
	p.pendingNotices = append(p.pendingNotices, h)
	if len(p.pendingNotices) > 1 {
		return // a message is due
	}
	go func() {
		<-p.clock.After(prefixNoticeDelay)
		p.sendPrefixNotices()
	}()
}

func (p *Pool) sendPrefixNotices() {
	peers := p.link.Peers()
	p.mu.Lock()
	news := p.pendingNotices
	p.pendingNotices = nil
	owners := p.ownersOfOtherRegions(peers)
	p.mu.Unlock()
	for _, host := range owners {
		p.sendAsync(host, methodCachedPrefixes, news)
	}
}

// otherOwners returns the hosts that come first for the other regions. It is called with
// p.mu held.
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

func (p *Pool) serveCachedPrefixes(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var news []cachedPrefix
	if err := peer.Unmarshal(payload, &news); err != nil {
		return nil, err
	}
	now := p.clock.Now()
	for _, h := range news[:min(len(news), maxPrefixNotices)] {
		p.coordinator.prompts.recordRemoteHolder(now, h)
	}
	return peer.Marshal(nil)
}
