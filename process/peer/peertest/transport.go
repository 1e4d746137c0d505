package peertest

import (
	"context"

	"bilberrydale/process/peer"
)

// AddPeer does nothing: every link knows the whole network.
func (l *Link) AddPeer(peer.Identity) {}

// RemovePeer does nothing, for the same reason as AddPeer.
func (l *Link) RemovePeer(string) {}

// Reconnect succeeds if host has joined and no fault but a stale connection is
// set; it removes that one. Lost responses make it fail, because the handshake
// needs a response.
func (l *Link) Reconnect(_ context.Context, host string) error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	pair := [2]string{l.self.Host, host}
	f := l.net.faults[pair]
	if l.net.links[host] == nil || (f != 0 && f != staleConnection) {
		return peer.ErrUnreachable
	}
	delete(l.net.faults, pair)
	return nil
}

// DialAddress returns the identity of the host with the given address.
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

// BreakConnection makes calls from a to b fail until a reconnects, as on a
// connection whose state a middlebox has dropped. Heal undoes it.
func (n *Network) BreakConnection(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{a, b}] = staleConnection
}
