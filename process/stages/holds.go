package stages

import (
	"context"
	"time"

	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// heldPart is a shared part of prompts and a server that has read it.
type heldPart struct {
	Part   string
	Server string
}

const (
	// leastTold is the reading time of a part that is worth a word to other regions.
	leastTold = 2 * time.Millisecond
	// tellHoldsEvery is how long news is gathered.
	tellHoldsEvery = 100 * time.Millisecond
	// maxHolds bounds a message.
	maxHolds = 512
)

// tellHolder tells the hosts that do the stage work of other regions that a server has
// read a part which they would not expect there. Each region sees only its own requests:
// without this a part that a busy home did not read is read there once more for each
// other region.
func (p *Pool) tellHolder(h heldPart) {
	if p.region(p.link.Self().Domain) == "" {
		return // all requests come by one host
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.news) == maxHolds {
		return // they read it again
	}
	p.news = append(p.news, h)
	if len(p.news) > 1 {
		return // a message is due
	}
	go func() {
		<-p.clock.After(tellHoldsEvery)
		p.sendHolds()
	}()
}

func (p *Pool) sendHolds() {
	peers := p.link.Peers()
	p.mu.Lock()
	news := p.news
	p.news = nil
	owners := p.otherOwners(peers)
	p.mu.Unlock()
	for _, host := range owners {
		p.send(host, methodHolds, news)
	}
}

// otherOwners returns the hosts that come first for the other regions. It is called with
// p.mu held.
func (p *Pool) otherOwners(peers []peer.Identity) []string {
	self := p.link.Self()
	seen := map[string]bool{self.Region: true}
	var out []string
	for _, id := range peers {
		if seen[id.Region] {
			continue
		}
		seen[id.Region] = true
		if owner := p.first(peers, id.Region, residency.Set{}); owner.Host != self.Host {
			out = append(out, owner.Host)
		}
	}
	return out
}

func (p *Pool) serveHolds(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var news []heldPart
	if err := peer.Unmarshal(payload, &news); err != nil {
		return nil, err
	}
	now := p.clock.Now()
	for _, h := range news[:min(len(news), maxHolds)] {
		p.local.readings.heard(now, h)
	}
	return peer.Marshal(nil)
}
