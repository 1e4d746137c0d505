// Package peer is what entry hosts say to each other: msgpack frames over TCP
// between processes that proved a shared secret. It carries heartbeats,
// releases, suspects and hand-overs of claims.
package peer

import (
	"context"
	"errors"
)

// Errors of the link. Use errors.Is.
var (
	// ErrUnreachable: no byte of the call can have been read by the peer.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoAnswer: the call was sent and its answer did not come.
	ErrNoResponse = errors.New("peer: no answer")
	// ErrRefused: the peer's handler returned an error.
	ErrRefused = errors.New("peer: refused")
)

// Identity names one incarnation of one entry host.
type Identity struct {
	Host        string // name of the entry host
	Incarnation uint64 // differs at every start of the process
	Domain      string // failure domain
	Region      string
	Address     string // peer address, host:port
	// Cores is the processor time of the host in cores; 0: not known. Work for
	// other hosts goes to a strong one.
	Cores float64 `json:"Share"`
}

// Before tells whether a comes before b as the host that works for others: the
// stronger, then the one that has run for longer, which is most likely to stay
// and keeps the work when others come.
func Outranks(a, b Identity) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Host < b.Host
}

// Method names a kind of call.
type Method string

// Handler answers a call. payload and the result are msgpack. It must not
// keep payload.
type Handler func(ctx context.Context, from Identity, payload []byte) ([]byte, error)

// Link connects this entry host with the others. Implementations are safe for
// concurrent use.
type Link interface {
	Self() Identity
	// Peers returns the peers known now, reachable or not, by name. The caller must
	// not change the slice.
	Peers() []Identity
	// Handle registers h; it is called before the link starts.
	Handle(m Method, h Handler)
	// Call sends in to host and decodes its answer into out (nil: none).
	Call(ctx context.Context, host string, m Method, in, out any) error
}
