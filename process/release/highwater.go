package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"bilberrydale/process/objectapi"
)

// Floor is what entry hosts report when they have a release in force that the
// platform's head does not know: its state was restored from an earlier one.
type HighWaterMark struct {
	Number uint64 `json:"number"` // highest release in force on a host
	Hash   string `json:"hash"`
	Host   string `json:"host"`
}

func readHighWaterMark(ctx context.Context, store objectapi.Store) (HighWaterMark, uint64, error) {
	obj, err := store.Get(ctx, HighWaterMarkKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return HighWaterMark{}, 0, nil
	}
	if err != nil {
		return HighWaterMark{}, 0, fmt.Errorf("read floor: %w", err)
	}
	var mark HighWaterMark
	if err := json.Unmarshal(obj.Value, &mark); err != nil {
		return HighWaterMark{}, 0, fmt.Errorf("decode floor: %w", err)
	}
	return mark, obj.Version, nil
}

// raiseFloor records f unless a floor at least as high is there.
func raiseHighWaterMark(ctx context.Context, store objectapi.Store, mark HighWaterMark) error {
	current, version, err := readHighWaterMark(ctx, store)
	if err != nil || current.Number >= mark.Number {
		return err
	}
	data, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("encode floor: %w", err)
	}
	_, err = store.Put(ctx, HighWaterMarkKey, data, version)
	return err
}

// checkFloor refuses to accept on top of a restored platform: the new release
// would get a number that entry hosts have seen with other content, and they
// would either ignore it or disagree with each other.
func (p *Publisher) checkHighWaterMark(ctx context.Context, head Head) error {
	mark, _, err := readHighWaterMark(ctx, p.store())
	if err != nil {
		return err
	}
	if head.Number < mark.Number || (head.Number == mark.Number && head.Hash != mark.Hash) {
		return fmt.Errorf("%w: head is release %d, host %s has release %d (hash %s) in force; recover from its tables first",
			ErrPlatformBehind, head.Number, mark.Host, mark.Number, mark.Hash)
	}
	return nil
}

// Recover mends a restored platform: it accepts the rows of rel, as an entry
// host shows them, under a number above the head's and every number that hosts
// reported. An operator calls it after choosing which content is right.
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
