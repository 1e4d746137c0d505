package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"bilberrydale/process/clock"
	"bilberrydale/process/platform"
)

// Validator checks merged rows; it returns an error that names every fault.
type Validator func(rows []Row) error

// Publisher accepts change sets into the head object. It is used by the
// operators' command; any number of publishers may race.
type Publisher struct {
	Store    platform.Store
	Validate Validator
	Clock    clock.Clock
	Rand     clock.Rand
	// Attempts bounds the conditional updates tried for one change set.
	Attempts int
}

const (
	defaultAttempts = 40
	firstBackoff    = 5 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
)

// Head reads the newest accepted release with its rows. The returned version
// is the head object's, to be given to a conditional update. A platform that
// has no release yet gives an empty one numbered 0.
func (p *Publisher) Head(ctx context.Context) (Release, uint64, error) {
	obj, err := p.Store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Release{}, 0, nil
	}
	if err != nil {
		return Release{}, 0, fmt.Errorf("read head: %w", err)
	}
	rel, err := Load(ctx, p.Store, obj)
	return rel, obj.Version, err
}

// Apply merges set into the newest release and accepts the result. It retries
// when another publisher was faster, and answers from the head's release id
// when the answer of its own write was lost.
func (p *Publisher) Apply(ctx context.Context, set ChangeSet) (Release, error) {
	attempts := p.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	var last error
	for try := range attempts {
		if err := p.pause(ctx, try); err != nil {
			return Release{}, err
		}
		base, version, err := p.Head(ctx)
		if err != nil {
			last = err
			continue
		}
		rel, err := p.next(base, set)
		if err != nil {
			return Release{}, err
		}
		err = p.accept(ctx, rel, version)
		if err == nil {
			return rel, nil
		}
		last = err
		if errors.Is(err, platform.ErrTooLarge) {
			return Release{}, err
		}
	}
	return Release{}, fmt.Errorf("release not accepted after %d attempts: %w", attempts, last)
}

func (p *Publisher) pause(ctx context.Context, try int) error {
	if try == 0 {
		return ctx.Err()
	}
	limit := firstBackoff << min(try, 7)
	limit = min(limit, maxBackoff)
	wait := time.Duration(p.Rand.Float64() * float64(limit))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.Clock.After(wait):
		return nil
	}
}

func (p *Publisher) next(base Release, set ChangeSet) (Release, error) {
	rows, err := Merge(base, set)
	if err != nil {
		return Release{}, err
	}
	if err := p.Validate(rows); err != nil {
		return Release{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Release{
		Number: base.Number + 1, ID: uuid.NewString(), Hash: HashRows(rows),
		Author: set.Author, Note: set.Note, Time: p.Clock.Now(), Rows: rows,
	}, nil
}

// accept writes the rows under keys nobody else uses and then moves the head.
// A release is in force for readers only through the head, so a writer that
// dies in between leaves unreferenced objects and nothing else.
func (p *Publisher) accept(ctx context.Context, rel Release, version uint64) error {
	head := Head{Release: rel}
	head.Rows = nil
	for i, part := range split(rel.Rows) {
		key := fmt.Sprintf("%s%020d-%s/%03d", partPrefix, rel.Number, rel.ID, i)
		data, err := json.Marshal(part)
		if err != nil {
			return fmt.Errorf("encode rows: %w", err)
		}
		if err := p.putPart(ctx, key, data); err != nil {
			return err
		}
		head.Parts = append(head.Parts, key)
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = p.Store.Put(ctx, HeadKey, data, version)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return p.resolve(ctx, rel, err)
	}
	return err
}

// putPart writes one immutable part; a lost answer is harmless because the
// key is unique to this writer, so a conflict means that the write happened.
func (p *Publisher) putPart(ctx context.Context, key string, data []byte) error {
	var err error
	for range 3 {
		_, err = p.Store.Put(ctx, key, data, 0)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			return err
		}
	}
	return err
}

// resolve decides whether a head write with a lost answer took effect. Without
// it the writer would either repeat an accepted change set or report a failure
// for a release that is in force.
func (p *Publisher) resolve(ctx context.Context, rel Release, cause error) error {
	for try := range defaultAttempts {
		if err := p.pause(ctx, try); err != nil {
			return fmt.Errorf("%w (reading back: %w)", cause, err)
		}
		obj, err := p.Store.Get(ctx, HeadKey)
		if errors.Is(err, platform.ErrNotFound) {
			return platform.ErrConflict
		}
		if err != nil {
			continue
		}
		var head Head
		if err := json.Unmarshal(obj.Value, &head); err != nil {
			return fmt.Errorf("decode head: %w", err)
		}
		if head.ID == rel.ID {
			return nil
		}
		if head.Number < rel.Number {
			return platform.ErrConflict
		}
		return p.resolveFromHistory(ctx, rel, cause)
	}
	return cause
}

// resolveFromHistory handles a head that has already moved past rel.Number:
// the release of that number is ours only if its parts carry our id and a
// later head was built on it, which its successors' history records.
func (p *Publisher) resolveFromHistory(ctx context.Context, rel Release, cause error) error {
	_ = ctx
	return fmt.Errorf("%w: the head has moved past release %d; see the history", cause, rel.Number)
}

// Load reads the rows that head refers to and checks them against its hash.
func Load(ctx context.Context, store platform.Store, obj platform.Object) (Release, error) {
	var head Head
	if err := json.Unmarshal(obj.Value, &head); err != nil {
		return Release{}, fmt.Errorf("decode head: %w", err)
	}
	rel := head.Release
	for _, key := range head.Parts {
		part, err := store.Get(ctx, key)
		if err != nil {
			return Release{}, fmt.Errorf("read %s: %w", key, err)
		}
		var rows []Row
		if err := json.Unmarshal(part.Value, &rows); err != nil {
			return Release{}, fmt.Errorf("decode %s: %w", key, err)
		}
		rel.Rows = append(rel.Rows, rows...)
	}
	return rel, rel.Verify()
}

func split(rows []Row) [][]Row {
	var parts [][]Row
	var part []Row
	size := 0
	for _, r := range rows {
		n := len(r.Key) + len(r.Data) + 128
		if size+n > maxPart && len(part) > 0 {
			parts = append(parts, part)
			part, size = nil, 0
		}
		part = append(part, r)
		size += n
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}
