package release

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// Validator checks merged rows. Its error should name every invalid row.
type Validator func(rows []Row) error

// Publisher accepts change sets as new releases by updating the head object. It
// is used by the operators' command. Any number of publishers may run
// concurrently against one platform. All fields but MaxAttempts are required.
type Publisher struct {
	Store    objectapi.Store
	Validate Validator
	Clock    clock.Clock
	Rand     clock.Rand
	// MaxAttempts bounds the attempts to update the head for one change set;
	// default 60.
	MaxAttempts int
}

const (
	defaultMaxAttempts = 60
	initialBackoff     = 5 * time.Millisecond   // bound of the random delay before any doubling
	maxBackoff         = 500 * time.Millisecond // largest bound
)

// Head returns the newest accepted release with its rows, and the version of
// the head object for a conditional update. If the platform has no release yet,
// it returns an empty release numbered 0.
func (p *Publisher) Head(ctx context.Context) (Release, uint64, error) {
	head, obj, err := readHead(ctx, p.store())
	if err != nil {
		return Release{}, 0, err
	}
	rel, err := loadRows(ctx, p.store(), head)
	return rel, obj.Version, err
}

// store returns the platform store with retries when its call rate is exceeded.
func (p *Publisher) store() objectapi.Store {
	return objectapi.RetryingStore{Store: p.Store, Clock: p.Clock, Rand: p.Rand}
}

// commitBase is the state that a commit builds on: the head, its object and its
// release with rows.
type commitBase struct {
	head Head
	obj  objectapi.Object
	rel  Release
}

// unchanged reports whether group leaves the rows as they are.
func (b commitBase) unchanged(group commitGroup) bool {
	return b.rel.Number > 0 && HashRows(group.draft.sortedRows()) == b.rel.Hash
}

// readBase reads the current head as the base of a commit.
func (p *Publisher) readBase(ctx context.Context) (commitBase, error) {
	head, obj, err := readHead(ctx, p.store())
	if err != nil {
		return commitBase{}, err
	}
	return p.loadBase(ctx, head, obj)
}

// loadBase loads the rows of head and checks it against the high-water mark (see
// checkHighWaterMark).
func (p *Publisher) loadBase(ctx context.Context, head Head, obj objectapi.Object) (commitBase, error) {
	rel, err := loadRows(ctx, p.store(), head)
	if err != nil {
		return commitBase{}, err
	}
	return commitBase{head: head, obj: obj, rel: rel}, p.checkHighWaterMark(ctx, head)
}

// Apply merges set into the newest release and accepts the result as a whole.
// It returns the release that contains the set. A set that was refused returns
// a *ConflictError, ErrInvalid or ErrPlatformBehind; nothing of it is or will
// be in force. Apply returns ErrPending if the platform became unavailable
// before the outcome was known.
func (p *Publisher) Apply(ctx context.Context, set ChangeSet) (Release, error) {
	if set.ID == "" {
		set.ID = uuid.NewString()
	}
	base, err := p.readBaseWithRetry(ctx)
	if err != nil {
		return Release{}, err
	}
	// Check the set on its own first, so that refusing it needs no write.
	group := p.mergeSets(base.rel, []ChangeSet{set})
	if err := group.refused[set.ID]; err != nil {
		return Release{}, err
	}
	if base.unchanged(group) {
		return base.rel, nil
	}
	return p.commitQueued(ctx, set, base.head.Number)
}

// readBaseWithRetry repeats readBase until it succeeds or returns
// ErrPlatformBehind. After MaxAttempts it returns the last error.
func (p *Publisher) readBaseWithRetry(ctx context.Context) (commitBase, error) {
	var lastErr error
	for attempt := range p.maxAttempts() {
		if err := p.waitBackoff(ctx, attempt); err != nil {
			return commitBase{}, errors.Join(err, lastErr)
		}
		base, err := p.readBase(ctx)
		if err == nil || errors.Is(err, ErrPlatformBehind) {
			return base, err
		}
		lastErr = err
	}
	return commitBase{}, lastErr
}

// maxAttempts returns MaxAttempts or its default.
func (p *Publisher) maxAttempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return defaultMaxAttempts
}

// backoffDelay returns a random delay whose bound doubles with each attempt.
func (p *Publisher) backoffDelay(attempt int) time.Duration {
	limit := min(initialBackoff<<min(attempt, 7), maxBackoff)
	return time.Duration(p.Rand.Float64() * float64(limit))
}

// waitBackoff waits before a repeated attempt; attempt 0 does not wait. It
// returns the error of ctx if that ends first.
func (p *Publisher) waitBackoff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.Clock.After(p.backoffDelay(attempt)):
		return nil
	}
}

// resolveHeadWrite determines whether the head write of a release took effect
// although its response was lost. Otherwise the publisher would either repeat
// an accepted change set or report a failure for a release that is in force. It
// returns nil if the release was accepted, objectapi.ErrConflict if it was not
// and never will be, and cause if the outcome remains unknown. The history
// shows the outcome even when the head has advanced, as long as the release is
// retained.
func (p *Publisher) resolveHeadWrite(ctx context.Context, ref Ref, cause error) error {
	for attempt := range p.maxAttempts() {
		if err := p.waitBackoff(ctx, attempt); err != nil {
			return fmt.Errorf("%w (reading back the head: %w)", cause, err)
		}
		head, obj, err := readHead(ctx, p.store())
		if err != nil {
			continue
		}
		if head.Number < ref.Number {
			if p.fence(ctx, obj) == nil {
				return objectapi.ErrConflict
			}
			continue
		}
		accepted, err := findRelease(ctx, p.store(), head, ref.Number)
		if errors.Is(err, ErrNotRetained) {
			return fmt.Errorf("%w: %w", cause, err)
		}
		if err != nil {
			continue
		}
		if accepted.ID == ref.ID {
			return nil
		}
		return objectapi.ErrConflict
	}
	return cause
}

// fence writes the head back unchanged under a new version. A write that is
// still in flight, sent before the fence on an earlier version, can then no
// longer take effect, so what was read before the fence is final. Both nil and
// ErrConflict mean that the head has a newer version than obj.
func (p *Publisher) fence(ctx context.Context, obj objectapi.Object) error {
	if obj.Version == 0 {
		obj.Value = []byte("{}") // a head that names no release
	}
	_, err := p.store().Put(ctx, HeadKey, obj.Value, obj.Version)
	return err
}
