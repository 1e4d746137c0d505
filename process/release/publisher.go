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

// Validator checks merged rows; it returns an error that names every fault.
type Validator func(rows []Row) error

// Publisher accepts change sets into the head object. It is used by the
// operators' command; any number of publishers may race.
type Publisher struct {
	Store    objectapi.Store
	Validate Validator
	Clock    clock.Clock
	Rand     clock.Rand
	// Attempts bounds the conditional updates tried for one change set.
	MaxAttempts int
}

const (
	defaultMaxAttempts = 60
	initialBackoff     = 5 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
)

// Head reads the newest accepted release with its rows. The returned version
// is the head object's, to be given to a conditional update. A platform that
// has no release yet gives an empty one numbered 0.
func (p *Publisher) Head(ctx context.Context) (Release, uint64, error) {
	head, obj, err := readHead(ctx, p.store())
	if err != nil {
		return Release{}, 0, err
	}
	rel, err := loadRows(ctx, p.store(), head)
	return rel, obj.Version, err
}

// store is the platform, with patience for its call rate.
func (p *Publisher) store() objectapi.Store {
	return objectapi.RetryingStore{Store: p.Store, Clock: p.Clock, Rand: p.Rand}
}

// base is the state that a commit builds on.
type commitBase struct {
	head Head
	obj  objectapi.Object
	rel  Release
}

// unchanged reports whether g leaves the rows as they are.
func (b commitBase) unchanged(group commitGroup) bool {
	return b.rel.Number > 0 && HashRows(group.draft.sortedRows()) == b.rel.Hash
}

func (p *Publisher) readBase(ctx context.Context) (commitBase, error) {
	head, obj, err := readHead(ctx, p.store())
	if err != nil {
		return commitBase{}, err
	}
	return p.loadBase(ctx, head, obj)
}

// complete reads the rows of head and checks it against the floor.
func (p *Publisher) loadBase(ctx context.Context, head Head, obj objectapi.Object) (commitBase, error) {
	rel, err := loadRows(ctx, p.store(), head)
	if err != nil {
		return commitBase{}, err
	}
	return commitBase{head: head, obj: obj, rel: rel}, p.checkHighWaterMark(ctx, head)
}

// Apply merges set into the newest release and accepts the result, whole. The
// error is a *ConflictError, ErrInvalid or ErrBehind for a set that was refused
// (nothing of it is or will be in force), and ErrPending when the platform went
// away before the outcome was known.
func (p *Publisher) Apply(ctx context.Context, set ChangeSet) (Release, error) {
	if set.ID == "" {
		set.ID = uuid.NewString()
	}
	base, err := p.readBaseWithRetry(ctx)
	if err != nil {
		return Release{}, err
	}
	// A set that is refused alone is refused here, before it costs a write.
	group := p.mergeSets(base.rel, []ChangeSet{set})
	if err := group.refused[set.ID]; err != nil {
		return Release{}, err
	}
	if base.unchanged(group) {
		return base.rel, nil
	}
	return p.commitQueued(ctx, set, base.head.Number)
}

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

func (p *Publisher) maxAttempts() int {
	if p.MaxAttempts > 0 {
		return p.MaxAttempts
	}
	return defaultMaxAttempts
}

func (p *Publisher) backoffDelay(attempt int) time.Duration {
	limit := min(initialBackoff<<min(attempt, 7), maxBackoff)
	return time.Duration(p.Rand.Float64() * float64(limit))
}

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

// resolve decides whether the head write of a release took effect although its
// answer was lost. Without it the writer would either repeat an accepted change
// set or report a failure for a release that is in force. The chain of records
// answers also when the head has moved on, for as long as releases are kept.
func (p *Publisher) resolveHeadWrite(ctx context.Context, ref Ref, cause error) error {
	for attempt := range p.maxAttempts() {
		if err := p.waitBackoff(ctx, attempt); err != nil {
			return fmt.Errorf("%w (reading back: %w)", cause, err)
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
// still under way, sent before the fence and built on an earlier version, can
// then no longer take effect: what was read before the fence is final. nil and
// ErrConflict both say that the head has a newer version than obj.
func (p *Publisher) fence(ctx context.Context, obj objectapi.Object) error {
	if obj.Version == 0 {
		obj.Value = []byte("{}") // a head that names no release
	}
	_, err := p.store().Put(ctx, HeadKey, obj.Value, obj.Version)
	return err
}
