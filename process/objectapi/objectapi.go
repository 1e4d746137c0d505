// Package objectapi defines the object API of the users' platform: versioned
// objects with conditional updates and watches, and the lagging host list. All
// state that must outlive a process is stored there and nowhere else. Client and
// RetryingStore add timeouts, backoff and retries to an implementation.
package objectapi

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size limit of a value. The platform stores it in base64,
// with its name and revisions, in an object of at most 1 MiB.
const MaxValueBytes = 760 << 10

// Errors of the object API. Compare with errors.Is.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("platform: no such object")
	// ErrConflict means that the expected version of a conditional update was not
	// the current one. Nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the platform refused the call, that the call could
	// not be sent, or that a read got no response. Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that a write was sent and no conclusive response
	// arrived. The caller has to read the key to find out whether the write took
	// effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrNoResponse marks calls that got no response at all. It is wrapped together
	// with ErrUnavailable.
	ErrNoResponse = errors.New("platform: no answer")
	// ErrRateLimited means that the call rate limit is exceeded. Nothing was
	// written.
	ErrRateLimited = errors.New("platform: call rate exceeded")
)

// Object is one stored value. Version is a store-wide revision: it increases
// with every write of any key, so versions of different keys are comparable.
type Object struct {
	Key     string // parts separated by slashes
	Value   []byte // nil: another writer has stored something that is no value
	Version uint64
}

// Host is an entry of the platform's lagging host list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Domain  string `json:"domain"`  // failure domain
	State   string `json:"state"`   // HostLive or HostLeaving
}

// States of a listed host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// Store is the object API. Every method is one call that counts towards the rate
// limit of the platform, and may return ErrUnavailable or ErrRateLimited; Put and
// Delete may return ErrUnknownOutcome. Implementations are safe for concurrent use
// and honour the deadline of the context.
type Store interface {
	// Get returns the object with the given key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the current version of the key is expect (0: the key
	// must not exist) and returns the new version. Otherwise it returns
	// ErrConflict.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete removes the key under the same condition as Put.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until an object whose key starts with prefix has a version above
	// after, or until wait has passed. It returns the changed objects; none after a
	// timeout.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, error)
	// Hosts returns the lagging list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
