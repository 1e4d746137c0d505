// Package platform is the client side of the users' platform: its object API
// with versions, conditional updates and watches, and its lagging host list.
// Everything that must outlive a process is kept there and nowhere else.
package objectapi

import (
	"context"
	"errors"
	"time"
)

// MaxValue is the largest value the object API takes, in bytes: the platform's
// object of 1 MiB holds it in base64, with its name and revisions.
const MaxValueBytes = 760 << 10

// Errors of the object API. Use errors.Is.
var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("platform: no such object")
	// ErrConflict: the conditional update's expected version was not the
	// current one. Nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable: the platform refused or could not be reached before the
	// call was sent. Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome: a write was sent and its answer lost. The caller has
	// to read to learn whether it took effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write unknown")
	// ErrTooLarge: the value is over MaxValue.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrNoAnswer marks a call that got no answer at all.
	ErrNoResponse = errors.New("platform: no answer")
	// ErrRateLimited: the call budget is spent; nothing was written.
	ErrRateLimited = errors.New("platform: call rate exceeded")
)

// Object is one stored value. Version is a store-wide revision: it rises with
// every write of any key, so versions of different keys can be compared.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Host is a row of the platform's lagging host list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"` // HostLive or HostLeaving
}

// States of a listed host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// Store is the object API. Every method is one counted call. Implementations
// are safe for concurrent use and honour the context's deadline.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the key's current version is expect (0: the key
	// must not exist) and returns the new version.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the key under the same condition.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until an object under prefix has a version above after, or
	// until wait has passed, and returns the changed objects (none: timeout).
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, error)
	// Hosts returns the lagging list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
