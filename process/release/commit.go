package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"bilberrydale/process/objectapi"
)

// newObjectTries bounds the tries to write one new object.
const maxPutAttempts = 8

// namedAuthors is how many authors of a group its release names.
const maxListedAuthors = 5

// group is what a commit makes of several change sets.
type commitGroup struct {
	draft    *draft
	accepted []ChangeSet
	refused  map[string]error // by change set id
}

// merge takes as many of sets as hold together on top of base, in order.
// Validation is of the merged tables: two edits that are each valid alone and
// dangle together are not both taken.
func (p *Publisher) mergeSets(base Release, sets []ChangeSet) commitGroup {
	group := commitGroup{draft: newDraft(base), refused: map[string]error{}}
	var mergeable []ChangeSet
	for _, set := range sets {
		if err := group.draft.apply(set); err != nil {
			group.refused[set.ID] = err
			continue
		}
		mergeable = append(mergeable, set)
	}
	err := p.validateDraft(group.draft)
	if err == nil || len(mergeable) == 1 {
		if err != nil {
			group.refused[mergeable[0].ID] = err
			return group
		}
		group.accepted = mergeable
		return group
	}
	return p.mergeOneByOne(base, mergeable, group.refused)
}

// mergeEach validates after every set. Sets that were refused get a second
// chance on top of the others, which may hold the row they refer to.
func (p *Publisher) mergeOneByOne(base Release, sets []ChangeSet, refused map[string]error) commitGroup {
	group := commitGroup{draft: newDraft(base), refused: refused}
	for range 2 {
		var rejected []ChangeSet
		for _, set := range sets {
			candidate := group.draft.clone()
			err := candidate.apply(set)
			if err == nil {
				err = p.validateDraft(candidate)
			}
			if err != nil {
				group.refused[set.ID] = err
				rejected = append(rejected, set)
				continue
			}
			delete(group.refused, set.ID)
			group.draft, group.accepted = candidate, append(group.accepted, set)
		}
		sets = rejected
	}
	return group
}

func (p *Publisher) validateDraft(d *draft) error {
	if err := p.Validate(d.sortedRows()); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// commit accepts g on top of b with one conditional update of the head. The
// rows and the record are written before under keys that nobody else uses: a
// writer that dies in between leaves objects that no head names, which collect
// removes with their number. A group that changes nothing is b itself.
func (p *Publisher) commit(ctx context.Context, base commitBase, group commitGroup) (Release, error) {
	if base.unchanged(group) {
		return base.rel, nil
	}
	rows := group.draft.sortedRows()
	rel := Release{
		Number: group.draft.number, ID: uuid.NewString(), Hash: HashRows(rows), PreviousHash: base.rel.Hash,
		Author: joinAuthors(group.accepted), Note: joinNotes(group.accepted), Time: p.Clock.Now(),
		Rows: rows, RecentDeletions: group.draft.recentDeletions(),
	}
	head := Head{Release: rel, Recent: recentRefs(base.head), FirstUncollected: max(base.head.FirstUncollected, 1)}
	head.Rows = nil
	if delta := diffRows(base.rel.Rows, rows); delta.sizeBytes() <= maxHeadDeltaBytes {
		head.Delta = &delta
	}
	for _, set := range group.accepted {
		head.ChangeSetIDs = append(head.ChangeSetIDs, set.ID)
	}
	return rel, p.writeRelease(ctx, base, rel, head)
}

func (p *Publisher) writeRelease(ctx context.Context, base commitBase, rel Release, head Head) error {
	for i, part := range splitRows(rel.Rows) {
		key := objectKey(rel.Ref(), fmt.Sprintf("%03d", i))
		if err := p.putImmutable(ctx, key, part); err != nil {
			return err
		}
		head.PartKeys = append(head.PartKeys, key)
	}
	head.FirstUncollected = p.collectGarbage(ctx, head.FirstUncollected, rel.Number)
	if err := p.putImmutable(ctx, recordKey(rel.Ref()), head); err != nil {
		return err
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = p.store().Put(ctx, HeadKey, data, base.obj.Version)
	if errors.Is(err, objectapi.ErrUnknownOutcome) {
		return p.resolveHeadWrite(ctx, rel.Ref(), err)
	}
	return err
}

// putNew writes one immutable object; a lost answer is harmless because the
// key is unique to this writer, so a conflict means that the write happened.
func (p *Publisher) putImmutable(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	for attempt := range maxPutAttempts {
		if err = p.waitBackoff(ctx, attempt); err != nil {
			break
		}
		_, err = p.store().Put(ctx, key, data, 0)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return nil
		}
		if errors.Is(err, objectapi.ErrTooLarge) {
			return err
		}
	}
	// Not ErrUnknownOutcome: the head was not touched, a retry is safe.
	return fmt.Errorf("%w: %s: %v", objectapi.ErrUnavailable, key, err)
}

func recentRefs(h Head) []Ref {
	if h.Number == 0 {
		return nil
	}
	refs := append([]Ref{h.Ref()}, h.Recent...)
	return refs[:min(len(refs), maxRecentRefs)]
}

func joinAuthors(sets []ChangeSet) string {
	var names []string
	seen := map[string]bool{}
	for _, set := range sets {
		if !seen[set.Author] {
			seen[set.Author] = true
			names = append(names, set.Author)
		}
	}
	if omitted := len(names) - maxListedAuthors; omitted > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedAuthors], ", "), omitted)
	}
	return strings.Join(names, ", ")
}

func joinNotes(sets []ChangeSet) string {
	if len(sets) == 1 {
		return sets[0].Note
	}
	return fmt.Sprintf("%d change sets", len(sets))
}

// Load reads the rows that head refers to and checks them against its hash.
func Load(ctx context.Context, store objectapi.Store, obj objectapi.Object) (Release, error) {
	head, err := decodeHead(obj)
	if err != nil {
		return Release{}, err
	}
	return loadRows(ctx, store, head)
}

func loadRows(ctx context.Context, store objectapi.Store, head Head) (Release, error) {
	rel := head.Release
	if rel.Number == 0 {
		return rel, nil
	}
	for _, key := range head.PartKeys {
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

// split cuts rows into parts that each fit into one object.
func splitRows(rows []Row) [][]Row {
	var parts [][]Row
	var part []Row
	size := 0
	for _, r := range rows {
		n := len(r.Key) + len(r.Data) + 128
		if size+n > maxPartBytes && len(part) > 0 {
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

// sweepStep bounds how many numbers one commit collects.
const maxCollectedPerCommit = 4

// collect removes the objects of releases that are no longer kept, those of
// writers that died or lost the race for these numbers included, and returns
// the lowest number that may still have objects. Failures are left to the next
// commit. An object written for a number after that number was collected stays;
// that needs a writer which stalls for as long as `kept` releases.
func (p *Publisher) collectGarbage(ctx context.Context, from, newest uint64) uint64 {
	for range maxCollectedPerCommit {
		if from+retainedReleases >= newest {
			break
		}
		objs, err := p.store().List(ctx, numberPrefix(from))
		if err != nil {
			break
		}
		for _, o := range objs {
			if err := p.store().Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
				return from
			}
		}
		from++
	}
	return from
}
