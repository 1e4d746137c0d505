package stages

import (
	"context"

	"bilberrydale/process/peer"
)

// Leave tells the other hosts that this one stops. What has begun here goes on;
// what still waits goes to another host, and so does new work of this one.
func (p *Pool) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	for _, host := range p.link.Connected() {
		p.notify(host, methodLeave)
	}
	p.coordinator.rejectWaiting()
}

func (p *Pool) serveLeave(_ context.Context, from peer.Identity, _ []byte) ([]byte, error) {
	p.mu.Lock()
	p.leftIncarnations[from.Host] = from.Incarnation
	p.mu.Unlock()
	return peer.Marshal(nil)
}

// Left tells whether a host has said that it stops.
func (p *Pool) HasLeft(id peer.Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leftIncarnations[id.Host] == id.Incarnation
}

func (p *Pool) markLeft(host string) {
	for _, id := range p.link.Peers() {
		if id.Host == host {
			p.mu.Lock()
			p.leftIncarnations[host] = id.Incarnation
			p.mu.Unlock()
		}
	}
}
