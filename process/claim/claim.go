// Package claim decides which entry host may run a request that must run at
// most once. A claim is stored durably on the platform before the first byte of
// the request goes to a backend server.
package claim

import (
	"context"
	"sync"
	"time"
)

// Key identifies a request that must run at most once.
type Key struct {
	Account string // client account
	Key     string // the caller's Idempotency-Key, or a ticket
	Body    uint64 // hash of method, path and body
}

// State is the state of a key as reported by Begin.
type State int

// States of a key.
const (
	// Granted: the caller of Begin owns the key and may run the request once.
	Granted State = iota
	// Running: an earlier attempt is still running.
	Running
	// Done: the request ran; Result.Response holds its response if still cached.
	Done
	// Unknown: an earlier attempt may have run, and its outcome is not known.
	Unknown
	// BodyMismatch: the key was used with another method, path or body.
	BodyMismatch
	// Unavailable: the platform did not confirm the claim, or the table of keys
	// on this host is full. This call started nothing.
	Unavailable
	// UnknownTicket: the key is a ticket that is malformed, forged or expired,
	// or the incarnation that minted it has ended or cannot be reached. RetryAfter
	// is set if a retry may succeed.
	UnknownTicket
)

// Response is a completed response cached for resends of the same key.
type Response struct {
	Status int // HTTP status
	Header map[string]string
	Body   []byte
}

// Result is the outcome of Begin.
type Result struct {
	State    State
	Response *Response // with Done; nil if it is not cached
	// PartiallyRan is set with Granted if an earlier send of the key ran
	// repeatable stages and no others.
	PartiallyRan bool
	// Wait, if not nil and State is Running, is closed when the state of the
	// attempt on this host changes; the caller then calls Begin again.
	Wait <-chan struct{}
	// RetryAfter is the delay after which a resend may get another result; 0 if
	// none is suggested.
	RetryAfter time.Duration
}

// Claims grants the right to run requests that must run at most once.
// Implementations are safe for concurrent use.
type Claims interface {
	// Begin tries to claim key. After Granted the caller calls exactly one of
	// Finish, Release and MarkUnknown (or ReleasePartial, see
	// PartialReleaser). Begin may wait until ctx ends while the request runs
	// on another host.
	Begin(ctx context.Context, key Key) Result
	// Finish records the response of a request that ran.
	Finish(ctx context.Context, key Key, response Response)
	// Release releases the key: no backend server can have received the request.
	Release(ctx context.Context, key Key)
	// MarkUnknown records that the request may have run with unknown outcome.
	MarkUnknown(ctx context.Context, key Key)
	// MintTicket issues ("mints") a ticket for the client account: a key that is
	// claimed in the memory of this incarnation of the entry host instead of
	// on the platform. An empty ticket means that tickets are not supported.
	MintTicket(ctx context.Context, account string) (string, error)
}

// PartialReleaser is an optional interface of a Claims. ReleasePartial releases
// a key after only repeatable stages ran: the next send may run the request, but
// its caller must not be told that the request has not run.
type PartialReleaser interface {
	ReleasePartial(ctx context.Context, key Key)
}

// Memory holds claims in the memory of this process only. It is the naive
// baseline of the failure tests: two entry hosts that use it both run a key.
type Memory struct {
	mu      sync.Mutex                 // guards entries and what they point to
	entries map[[2]string]*memoryEntry // by client account and key
}

// memoryEntry is the claim of one key.
type memoryEntry struct {
	body     uint64 // Key.Body of the first request
	state    State
	response *Response     // in state Done
	done     chan struct{} // closed when the request ends or the key is released
}

// NewMemory returns an empty in-process claim table.
func NewMemory() *Memory { return &Memory{entries: map[[2]string]*memoryEntry{}} }

// Begin implements Claims.
func (m *Memory) Begin(_ context.Context, key Key) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := [2]string{key.Account, key.Key}
	e, ok := m.entries[id]
	if !ok {
		m.entries[id] = &memoryEntry{body: key.Body, state: Running, done: make(chan struct{})}
		return Result{State: Granted}
	}
	if e.body != key.Body {
		return Result{State: BodyMismatch}
	}
	return Result{State: e.state, Response: e.response, Wait: e.done}
}

// Finish implements Claims.
func (m *Memory) Finish(_ context.Context, key Key, response Response) {
	m.finish(key, Done, &response)
}

// MarkUnknown implements Claims.
func (m *Memory) MarkUnknown(_ context.Context, key Key) { m.finish(key, Unknown, nil) }

// Release implements Claims.
func (m *Memory) Release(_ context.Context, key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := [2]string{key.Account, key.Key}
	if e, ok := m.entries[id]; ok {
		close(e.done)
		delete(m.entries, id)
	}
}

// MintTicket implements Claims. Memory does not support tickets.
func (m *Memory) MintTicket(context.Context, string) (string, error) { return "", nil }

// finish records the end of a running request and wakes those that wait for it.
func (m *Memory) finish(key Key, state State, response *Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[[2]string{key.Account, key.Key}]; ok && e.state == Running {
		e.state, e.response = state, response
		close(e.done)
	}
}
