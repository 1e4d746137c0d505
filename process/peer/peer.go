// Package peer defines the calls between entry hosts and keeps the
// connections that carry them: msgpack frames over TCP between processes that
// authenticated each other with a shared secret. Heartbeats, releases,
// quarantine reports and transfers of claims go over them.
package peer

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Errors of Link.Call. Compare with errors.Is.
var (
	// ErrUnreachable means that the peer cannot have read any byte of the call.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoResponse means that the call was sent and no response arrived; the
	// peer may have executed it.
	ErrNoResponse = errors.New("peer: no answer")
	// ErrFailureResponse means that the peer responded with an error: its handler
	// failed, it has no handler for the method, or too many calls are running. A
	// handler that failed may have had an effect.
	ErrFailureResponse = errors.New("peer: refused")
	// ErrNoHandler is an ErrFailureResponse of a peer that has no handler for the method, as its build
	// does not know it.
	ErrNoHandler = fmt.Errorf("%w: no handler", ErrFailureResponse)
	// ErrTooManyCalls is an ErrFailureResponse of a peer that runs too many calls to handle another.
	ErrTooManyCalls = fmt.Errorf("%w: not handled", ErrFailureResponse)
)

// Texts with which peers respond to calls that they do not handle, also those of builds before.
const (
	noHandlerText = "no handler for " // begins the text
	// TooManyCallsText is the response to a call beyond those that may run.
	TooManyCallsText = "too many calls in flight"
)

// FailureResponse returns the error of a call to which a peer responded with the text of an error:
// ErrNoHandler, ErrTooManyCalls or another ErrFailureResponse.
func FailureResponse(text string) error {
	switch {
	case strings.HasPrefix(text, noHandlerText):
		return fmt.Errorf("%w: %s", ErrNoHandler, text)
	case text == TooManyCallsText:
		return fmt.Errorf("%w: %s", ErrTooManyCalls, text)
	}
	return fmt.Errorf("%w: %s", ErrFailureResponse, text)
}

// NotHandled reports whether an error of Link.Call proves that no handler has run. A handler that failed
// may have had an effect.
func NotHandled(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNoHandler) || errors.Is(err, ErrTooManyCalls)
}

// Identity identifies one process of an entry host.
type Identity struct {
	Host        string // name of the entry host
	Incarnation uint64 // increases with every start of the process
	Domain      string // failure domain
	Region      string // region of the failure domain
	Address     string // peer address, host:port
	// Cores is the processor time available to the host, in cores; 0: unknown.
	// Hosts with more of it are preferred for work on behalf of others.
	Cores float64 `json:"Share"`
}

// Outranks reports whether a is preferred to b for work on behalf of other
// hosts. The host with more cores is preferred, then the one that started
// first: it is more likely to stay, and it keeps the work when others join.
// Equal ones are ordered by name, so that all hosts compute the same order.
func Outranks(a, b Identity) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Host < b.Host
}

// Method is the name of a call, as sent on the wire.
type Method string

// Handler executes a call from another host. payload and the result are
// msgpack. The handler must not retain payload after it returns.
type Handler func(ctx context.Context, from Identity, payload []byte) ([]byte, error)

// Link sends calls to the other entry hosts and receives theirs.
// Implementations are safe for concurrent use.
type Link interface {
	// Self returns the identity of this entry host.
	Self() Identity
	// Peers returns the known peers, reachable or not, sorted by host name. The
	// caller must not modify the slice.
	Peers() []Identity
	// Handle registers h for calls of method m. It must be called before the
	// link starts.
	Handle(m Method, h Handler)
	// Call sends in, encoded as msgpack, to the entry host named host and decodes the response into out; nil discards it.
	// It returns ErrUnreachable, ErrNoResponse or ErrFailureResponse if the call
	// failed, and another error if in or the response cannot be encoded or decoded.
	Call(ctx context.Context, host string, m Method, in, out any) error
}
