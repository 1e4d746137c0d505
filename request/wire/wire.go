// Package wire is what the path of a request needs to know of the headers that clients and
// backend servers send. A platform has names of its own for these; its adapter translates
// them.
package wire

import (
	"net/http"
	"time"
)

// Headers translates between a platform's headers and these types. An adapter implements
// it. Its methods are called from many goroutines, once a request or an attempt.
type Headers interface {
	// DecodeClient reads the headers of a client's request. What cannot be read is left at
	// its zero value.
	DecodeClient(h http.Header) ClientRequest
	// EncodeServer returns the headers for a backend server: the client's without those of
	// its connection and the system's own, and what r says.
	EncodeServer(client http.Header, r ServerRequest) http.Header
	// DecodeServer reads the head of a backend server's answer.
	DecodeServer(status int, h http.Header) ServerAnswer
	// CopyAnswer passes the headers of a backend server's answer on to a client.
	CopyAnswer(to, from http.Header)
	// SetRetryAfter tells a client when to come back.
	SetRetryAfter(h http.Header, d time.Duration)
	// SetAttemptID names the client's attempt in an answer of our own.
	SetAttemptID(h http.Header, id string)
}

// PromptPart is one part of a prompt; requests with the same part share it.
type PromptPart struct {
	ID     string
	Tokens int
}

// ClientRequest is what a client says of its request in headers.
type ClientRequest struct {
	AttemptID   string        // names this attempt of the client; never sent twice
	Deadline    time.Duration // how long the client waits; 0: not said
	Key         string        // API key
	Parts       []PromptPart  // of the prompt, in order
	InputTokens int
	MaxOutput   int // tokens
	LastEvent   string
	Pieces      []int  // number of items of each stage
	PieceKey    string // input of the stages that follow no other
}

// ServerRequest is what the system tells a backend server of a request.
type ServerRequest struct {
	ServerID  string        // only this incarnation may run it
	Account   string        // empty: none
	Deadline  time.Duration // what is left
	Inputs    []string      // handles of results
	LastEvent string        // the stream goes on after this event
	Priority  int           // 0 to 9; negative: not said
	FetchFrom string        // address of a server that has read a part of the prompt; empty: none
}

// ServerAnswer is what a backend server says in the head of an answer.
type ServerAnswer struct {
	AttemptID string // echoed
	Stamped   bool   // signed by a server: the answer is a server's own
	NotRun    bool   // the server says that it did not run the request
	ServerID  string // who answered, where it says so
	Running   int    // its load
	Waiting   int
	HasLoad   bool
	KeepAlive time.Duration // idle time after which it closes; 0: not said
	Encoded   bool          // the body is not the server's plain body
}
