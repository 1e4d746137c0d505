// Package backend sends attempts of stages to backend servers and returns their
// responses. Its errors distinguish calls that were certainly not sent from calls that the
// server may have received, because only the former are safe to repeat for every stage.
// A response that may be truncated is an error, never a success.
package backend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/serverstate"
)

// Call is one attempt of a stage on a backend server.
type Call struct {
	Server      *serverstate.State
	Path        string // on the server
	RequestID   string // unique across all hosts and incarnations
	Stage       string // name of the stage
	Attempt     int    // from 1, over all stages of the request
	Host        string // name of the sending entry host
	Incarnation uint64 // of the sending entry host
	Method      string // of the caller's request
	URI         string // path and query of the caller's request
	ContentType string // of Body; empty: JSON
	Body        []byte
	Account     string // client account; may be empty
	Priority    int    // 0 is the most urgent
	// Key is the operation key, by which services detect repeats; may be empty.
	Key string
	// ResumeOffset is the byte offset at which a stream continues; 0: from the start.
	ResumeOffset int64
	// FirstByteTimeout limits the time until the headers of the response, IdleTimeout the
	// time between later reads of its body. 0: only ctx limits them.
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
	// OnStall is called when one of the timeouts has expired without progress. If it
	// returns true, the call is aborted; if false, the timeout is doubled and restarted.
	// Without OnStall the call is aborted. reused is set if the connection has served an
	// earlier call.
	OnStall func(reused bool) bool
}

// Response is a complete response.
type Response struct {
	Status      int // HTTP status
	ContentType string
	Body        []byte
}

// Chunk is a part of a streamed response. Offset is the number of data bytes before it.
// The last chunk has Final set and no data. A chunk with Error ends the stream as failed.
type Chunk struct {
	Offset int64  `json:"offset"`
	Data   string `json:"data,omitempty"`
	Final  bool   `json:"final,omitempty"`
	Error  string `json:"error,omitempty"`
	// Version is the version of the server's software, from the headers of the response; empty:
	// not told.
	Version string `json:"-"`
}

// Client sends attempts to backend servers. Implementations must not retry calls, follow
// redirects or use proxies. They are safe for concurrent use.
type Client interface {
	// Do sends the call and returns the complete response or an *Error.
	Do(ctx context.Context, c *Call) (*Response, error)
	// Stream sends the call and passes chunks to sink in order of offset, without gaps
	// or repeats. It returns nil only after the final chunk, an error of sink as it is,
	// and an *Error otherwise.
	Stream(ctx context.Context, c *Call, sink func(Chunk) error) error
	// Probe checks the server's health on a new connection. It returns nil if the server
	// reports that it is healthy, and ErrPaused if that is not known.
	Probe(ctx context.Context, s *serverstate.State) error
	// CloseIdleConnections closes all idle connections to the server.
	CloseIdleConnections(s *serverstate.State)
}

// Delivery is how far a failed call is known to have progressed.
type Delivery int

// Values of Delivery.
const (
	NotSent   Delivery = iota // no byte can have reached the server
	MaybeSent                 // the server may have received the call
	Responded                 // the server responded with a status
)

// Error describes a failed call.
type Error struct {
	Delivery         Delivery
	Status           int  // HTTP status, for Responded
	NotStarted       bool // the server responded that it did not start the work
	Paused           bool // the server wants no requests of this host for a time
	Withheld         bool // not sent, as the server wants no requests of this host now
	Stalled          bool // aborted after a timeout without progress on an open connection
	ConnectionFailed bool // dialing failed, or the connection or response broke off: the server may have crashed
	Cause            error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("backend call (sent=%d status=%d silent=%t reset=%t): %v", e.Delivery, e.Status, e.Stalled, e.ConnectionFailed, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errors of invalid responses. Use errors.Is.
var (
	// ErrMisdelivered: the response carries the ids of another request or attempt.
	ErrMisdelivered = errors.New("backend: answer belongs to another request")
	// ErrTruncated: the response ended before it was complete, or its end is not marked.
	ErrTruncated = errors.New("backend: answer cut off")
	// ErrTooLarge: the response exceeds HTTPOptions.MaxResponseBytes.
	ErrTooLarge = errors.New("backend: answer too large")
	// ErrPaused: the server wants no requests of this host now, and was not asked, or says so.
	ErrPaused = errors.New("backend: the server wants no requests now")
	// errStalled: the call was aborted because of Call.OnStall or a timeout without it.
	errStalled = errors.New("no progress on the connection")
)
