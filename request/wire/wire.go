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
	DecodeClientRequest(h http.Header) ClientRequest
	// EncodeServer returns the headers for a backend server: the client's without those of
	// its connection and the system's own, and what r says.
	EncodeServerRequest(client http.Header, r ServerRequest) http.Header
	// DecodeServer reads the head of a backend server's answer.
	DecodeServerResponse(status int, h http.Header) ServerResponse
	// CopyAnswer passes the headers of a backend server's answer on to a client.
	CopyResponseHeaders(to, from http.Header)
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
	AttemptID       string        // names this attempt of the client; never sent twice
	Timeout         time.Duration // how long the client waits; 0: not said
	APIKey          string        // API key
	PromptParts     []PromptPart  // of the prompt, in order
	InputTokens     int
	MaxOutputTokens int // tokens
	LastEventID     string
	StageItems      []int  // number of items of each stage
	StageInputKey   string // input of the stages that follow no other
}

// ServerRequest is what the system tells a backend server of a request.
type ServerRequest struct {
	ServerID     string        // only this incarnation may run it
	Account      string        // empty: none
	Timeout      time.Duration // what is left
	InputHandles []string      // handles of results
	LastEventID  string        // the stream goes on after this event
	Priority     int           // 0 to 9; negative: not said
	KVSource     string        // address of a server that has read a part of the prompt; empty: none
}

// ServerAnswer is what a backend server says in the head of an answer.
type ServerResponse struct {
	AttemptID       string // echoed
	Signed          bool   // signed by a server: the answer is a server's own
	NotRun          bool   // the server says that it did not run the request
	ServerID        string // who answered, where it says so
	RunningRequests int    // its load
	QueuedRequests  int
	LoadReported    bool
	IdleTimeout     time.Duration // idle time after which it closes; 0: not said
	ContentEncoded  bool          // the body is not the server's plain body
}
