// Package membership tracks which entry hosts are alive, by heartbeats and gossip
// between the hosts. A host declares another one gone only after its own new
// connections to it failed.
package membership

import "bilberrydale/process/peer"

// State is the state of an entry host as seen by this host.
type State int

// States of an entry host.
const (
	Alive   State = iota
	Suspect       // being checked on a new connection, since it may be dead
	Gone          // this host's new connections to it failed
)

// String returns the name of the state: alive, suspect or gone.
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

// MarshalText implements encoding.TextMarshaler with the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Peer is the membership entry of one other entry host.
type Peer struct {
	peer.Identity
	State    State
	Draining bool // takes no new requests
}

// View is the current membership. Implementations are safe for concurrent use
// and return immutable values.
type View interface {
	// Peers returns the other entry hosts, sorted by name.
	Peers() []Peer
	// Lookup returns the peer with the name host; false if it is unknown.
	Lookup(host string) (Peer, bool)
	// OnChange registers f, which is called after each change. Calls do not run
	// concurrently. f must not call OnChange.
	OnChange(f func())
}
