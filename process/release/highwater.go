package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"bilberrydale/process/objectapi"
)

// HighWaterMark is the highest release that an entry host had in force when it
// found the platform's head to be lower or different, as after a restore of the
// platform to an earlier state. Followers store it on the platform, where
// publishers check it.
type HighWaterMark struct {
	Number uint64 `json:"number"` // highest release on a host
	Hash   string `json:"hash"`
	Host   string `json:"host"` // name of that entry host
}

// readHighWaterMark returns the stored mark and the version of its object; both
// are zero if there is none.
func readHighWaterMark(ctx context.Context, store objectapi.Store) (HighWaterMark, uint64, error) {
	obj, err := store.Get(ctx, HighWaterMarkKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return HighWaterMark{}, 0, nil
	}
	if err != nil {
		return HighWaterMark{}, 0, fmt.Errorf("read high-water mark: %w", err)
	}
	var mark HighWaterMark
	if err := json.Unmarshal(obj.Value, &mark); err != nil {
		return HighWaterMark{}, 0, fmt.Errorf("decode high-water mark: %w", err)
	}
	return mark, obj.Version, nil
}

// raiseHighWaterMark stores mark unless the stored one is at least as high. It
// returns objectapi.ErrConflict if another host wrote in between.
func raiseHighWaterMark(ctx context.Context, store objectapi.Store, mark HighWaterMark) error {
	current, version, err := readHighWaterMark(ctx, store)
	if err != nil || current.Number >= mark.Number {
		return err
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("encode high-water mark: %w", err)
	}
	_, err = store.Put(ctx, HighWaterMarkKey, data, version)
	return err
}

// checkHighWaterMark returns ErrPlatformBehind if the platform was restored to
// a state before the high-water mark. A new release would get a number that
// entry hosts already have with other content; they would either ignore it or
// disagree with each other.
func (p *Publisher) checkHighWaterMark(ctx context.Context, head Head) error {
	mark, _, err := readHighWaterMark(ctx, p.store())
	if err != nil {
		return err
	}
	if head.Number < mark.Number || (head.Number == mark.Number && head.Hash != mark.Hash) {
		return fmt.Errorf("%w: head is release %d, but host %s has release %d (hash %s) in force; recover from its tables first",
			ErrPlatformBehind, head.Number, mark.Host, mark.Number, mark.Hash)
	}
	return nil
}

// Recover repairs a platform that was restored to an earlier state. It accepts
// the rows of rel, as an entry host returns them, under a number above the
// head, the high-water mark and rel. An operator calls it after deciding which
// content is right. It returns ErrCorrupt or ErrInvalid if rel does not verify
// or validate.
func (p *Publisher) Recover(ctx context.Context, rel Release, author string) (Release, error) {
	if err := rel.Verify(); err != nil {
		return Release{}, err
	}
	head, obj, err := readHead(ctx, p.store())
	if err != nil {
		return Release{}, err
	}
	mark, _, err := readHighWaterMark(ctx, p.store())
	if err != nil {
		return Release{}, err
	}
	if err := p.Validate(rel.Rows); err != nil {
		return Release{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	next := rel
	next.Number = max(head.Number, mark.Number, rel.Number) + 1
	next.ID, next.Author, next.Time = uuid.NewString(), author, p.Clock.Now()
	next.Note = fmt.Sprintf("recovered from release %d (hash %s)", rel.Number, rel.Hash)
	next.PreviousHash = rel.Hash
	h := Head{Release: next, Recent: recentRefs(head), FirstUncollected: max(head.FirstUncollected, 1)}
	h.Rows = nil
	return next, p.writeRelease(ctx, commitBase{head: head, obj: obj}, next, h)
}
