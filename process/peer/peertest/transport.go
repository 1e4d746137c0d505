package peertest

import (
	"context"

	"bilberrydale/process/peer"
)

// Learn does nothing: every link knows the whole network.
func (l *Link) AddPeer(peer.Identity) {}

// Forget does nothing, as Learn.
func (l *Link) RemovePeer(string) {}

// Fresh succeeds when host has joined and no cut is in between. A lost answer
// fails it too: the proof would not arrive.
func (l *Link) Reconnect(_ context.Context, host string) error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	pair := [2]string{l.self.Host, host}
	c := l.net.cuts[pair]
	if l.net.links[host] == nil || (c != 0 && c != cutConnection) {
		return peer.ErrUnreachable
	}
	delete(l.net.cuts, pair)
	return nil
}

// Meet finds the host by its address.
func (l *Link) DialAddress(ctx context.Context, address string) (peer.Identity, error) {
	l.net.mu.Lock()
	var found *Link
	for _, other := range l.net.links {
		if other.self.Address == address {
			found = other
		}
	}
	l.net.mu.Unlock()
	if found == nil || l.Reconnect(ctx, found.self.Host) != nil {
		return peer.Identity{}, peer.ErrUnreachable
	}
	return found.self, nil
}

// Break makes calls from a to b fail while fresh connections work, as on a
// connection that something in between has forgotten. Heal undoes it.
func (n *Network) BreakConnection(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cutConnection
}
