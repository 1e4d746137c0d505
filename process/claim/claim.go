// Package claim decides which entry host may run a request that must not be
// repeated. A claim is durable before the first byte goes to a backend server.
package claim

import (
	"context"
	"sync"
	"time"
)

// Key identifies a request that must run at most once.
type Key struct {
	Account string // client account
	Key     string // the caller's Idempotency-Key
	Body    uint64 // hash of method, path and body
}

// State is what is known about a key.
type State int

// States of a key.
const (
	// Granted: the caller of Begin owns the key and may run it once.
	Granted State = iota
	// Running: an earlier attempt is still running.
	Running
	// Done: it ran; Answer holds the outcome if it was kept.
	Done
	// Unknown: an earlier attempt may have run and its outcome is lost.
	Unknown
	// Mismatch: the key was used with another body.
	BodyMismatch
	// Unavailable: the claim could be neither made nor read. Nothing was
	// started by this call.
	Unavailable
	// Foreign: the key is a ticket of an incarnation that cannot be reached.
	UnknownTicket
)

// Answer is a finished answer kept for resends.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Result is the outcome of Begin.
type Result struct {
	State    State
	Response *Response
	// Part, with Granted: an earlier send of the key ran stages that may be
	// repeated, and no other.
	PartiallyRan bool
	// Wait, if not nil and State is Running, is closed when the local attempt
	// finishes; the caller then calls Begin again.
	Wait <-chan struct{}
	// RetryAfter tells when a resend may learn more.
	RetryAfter time.Duration
}

// Claims is asked once for each request that must not be repeated.
// Implementations are safe for concurrent use.
type Claims interface {
	// Begin tries to own key. After Granted exactly one of Finish, Release
	// and Lose follows.
	Begin(ctx context.Context, key Key) Result
	// Finish records the answer of a request that ran.
	Finish(ctx context.Context, key Key, answer Response)
	// Release gives the key up: no backend server can have received it.
	Release(ctx context.Context, key Key)
	// Lose records that the request may have run with its outcome lost.
	MarkUnknown(ctx context.Context, key Key)
	// Mint returns a ticket: a key that only this incarnation may run.
	MintTicket(ctx context.Context, account string) (string, error)
}

// Parts is what a Claims may offer beside: to give a key up after stages ran
// that may be repeated. The next send may run it, but may not be told that it
// did not run.
type PartialReleaser interface {
	ReleasePartial(ctx context.Context, key Key)
}

// Memory holds claims in this process only. It is the naive variant that the
// failure tests compare against: two entry hosts with it both run a key.
type Memory struct {
	mu      sync.Mutex
	entries map[[2]string]*entry
}

type entry struct {
	body   uint64
	state  State
	answer *Response
	done   chan struct{}
}

// NewMemory returns an empty in-process claim table.
func NewMemory() *Memory { return &Memory{entries: map[[2]string]*entry{}} }

// Begin implements Claims.
func (m *Memory) Begin(_ context.Context, key Key) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := [2]string{key.Account, key.Key}
	e, ok := m.entries[id]
	if !ok {
		m.entries[id] = &entry{body: key.Body, state: Running, done: make(chan struct{})}
		return Result{State: Granted}
	}
	if e.body != key.Body {
		return Result{State: BodyMismatch}
	}
	return Result{State: e.state, Response: e.answer, Wait: e.done}
}

// Finish implements Claims.
func (m *Memory) Finish(_ context.Context, key Key, answer Response) {
	m.end(key, Done, &answer)
}

// Lose implements Claims.
func (m *Memory) MarkUnknown(_ context.Context, key Key) { m.end(key, Unknown, nil) }

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

// Mint implements Claims.
func (m *Memory) MintTicket(context.Context, string) (string, error) { return "", nil }

func (m *Memory) end(key Key, state State, answer *Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[[2]string{key.Account, key.Key}]; ok && e.state == Running {
		e.state, e.answer = state, answer
		close(e.done)
	}
}
