package stages

import (
	"context"

	"bilberrydale/process/peer"
)

// Leave notifies the connected hosts that this host is shutting down; it does not wait for their
// responses. Admitted work continues here. Requests that wait for admission here, and new work of
// this host's own requests, go to another host.
func (p *Pool) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	for _, host := range p.link.Connected() {
		p.notify(host, methodLeave)
	}
	p.coordinator.rejectWaiting()
}

// serveLeave handles methodLeave.
func (p *Pool) serveLeave(_ context.Context, from peer.Identity, _ []byte) ([]byte, error) {
	p.mu.Lock()
	p.leavingIncarnations[from.Host] = from.Incarnation
	p.mu.Unlock()
	return peer.Marshal(nil)
}

// HasLeft reports whether the given incarnation of a host has announced its shutdown.
func (p *Pool) HasLeft(id peer.Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leavingIncarnations[id.Host] == id.Incarnation
}

// markLeaving records that the current incarnation of a host is shutting down.
func (p *Pool) markLeaving(host string) {
	for _, id := range p.link.Peers() {
		if id.Host == host {
			p.mu.Lock()
			p.leavingIncarnations[host] = id.Incarnation
			p.mu.Unlock()
		}
	}
}
