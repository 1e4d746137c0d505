// Package backend carries one attempt of one stage to a backend server and
// back. It tells apart what a caller above must never confuse: nothing was
// sent, something may have been received, the answer is whole.
package backend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/server"
)

// Call is one attempt.
type Call struct {
	Server      *server.State
	Path        string
	RequestID   string
	Stage       string
	Attempt     int
	Host        string // name of the sending entry host
	Incarnation uint64
	Method      string // of the caller's request
	URI         string // path and query of the caller's request
	ContentType string // of Body; empty: JSON
	Body        []byte
	Account     string
	Priority    int // 0 is the most urgent
	// Key is passed on to services that check repeats themselves; may be empty.
	Key string
	// Resume is the offset from which a stream continues; 0: from the start.
	ResumeOffset int64
	// FirstByte bounds the wait for the first byte of the answer, and Idle the
	// wait between later ones. 0: only ctx bounds them.
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
	// Doubt, if set, is asked when a bound has passed without progress; true
	// gives the call up, false doubles the bound. Unset: the call is given up.
	// reused tells that the connection served an earlier call.
	OnStall func(reused bool) bool
}

// Reply is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Chunk is one piece of a streamed answer. Offset counts the bytes of data
// before it. The last chunk has Final set and no data.
type Chunk struct {
	Offset int64  `json:"offset"`
	Data   string `json:"data,omitempty"`
	Final  bool   `json:"final,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Caller sends attempts. Implementations never repeat a call by themselves,
// follow no redirect and use no proxy.
type Client interface {
	// Do returns the whole answer or a *Error.
	Do(ctx context.Context, c *Call) (*Response, error)
	// Stream passes chunks to sink in order of offset, without gaps or
	// repeats, and returns nil only after the final chunk.
	Stream(ctx context.Context, c *Call, sink func(Chunk) error) error
	// Probe asks the server on a fresh connection whether it is alive.
	Probe(ctx context.Context, s *server.State) error
	// Forget drops every idle connection to the server.
	CloseIdleConnections(s *server.State)
}

// Sent tells how far a failed call got.
type Delivery int

// Values of Sent.
const (
	NotSent   Delivery = iota // no byte can have reached the server
	MaybeSent                 // the server may have received the call
	Responded                 // the server answered with a status
)

// Error is a failed call.
type Error struct {
	Delivery         Delivery
	Status           int  // for Answered
	NotStarted       bool // the server said, by status, that it did not start the work
	Stalled          bool // no progress in time while the connection stayed open
	ConnectionFailed bool // the connection ended: the server may have died
	Cause            error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("backend call (sent=%d status=%d silent=%t reset=%t): %v", e.Delivery, e.Status, e.Stalled, e.ConnectionFailed, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errors of an answer that is not the one asked for. Use errors.Is.
var (
	// ErrMisdelivered: the answer carries the ids of another request or attempt.
	ErrMisdelivered = errors.New("backend: answer belongs to another request")
	// ErrTruncated: the answer ended before it was whole.
	ErrTruncated = errors.New("backend: answer cut off")
	// ErrTooLarge: the answer is over the limit.
	ErrTooLarge = errors.New("backend: answer too large")
	errSilent   = errors.New("no progress on the connection")
)
