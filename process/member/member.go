// Package member knows which entry hosts and backend servers are alive, from
// the platform's lagging list and from this host's own evidence.
package member

import "bilberrydale/process/peer"

// State is what is believed of an entry host.
type State int

// States of an entry host.
const (
	Alive   State = iota
	Suspect       // silent on a connection; not yet judged
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "gone"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Peer is one other entry host.
type Peer struct {
	peer.Identity
	State    State
	Draining bool
}

// View is the present membership. Implementations are safe for concurrent use
// and return immutable values.
type View interface {
	// Peers returns the other entry hosts, sorted by name.
	Peers() []Peer
	// Lookup returns the peer called host.
	Lookup(host string) (Peer, bool)
	// OnChange registers f, which is called after each change, one at a time.
	OnChange(f func())
}
