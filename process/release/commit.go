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

// maxPutAttempts bounds the attempts to write one new object.
const maxPutAttempts = 8

// maxListedAuthors bounds the authors listed in the Author field of a release
// of several change sets.
const maxListedAuthors = 5

// commitGroup is the result of merging several change sets: the draft with the
// accepted ones, and the error of each refused one.
type commitGroup struct {
	draft    *draft
	accepted []ChangeSet      // in the order in which they were merged
	refused  map[string]error // by change set ID
}

// mergeSets merges as many of sets as are valid together into base, in order.
// Validation runs on the merged tables: of two edits that are each valid alone
// but leave a dangling reference together, only one is accepted.
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

// mergeOneByOne validates after each set. Refused sets get a second pass after
// the others, which may contain the row that they refer to.
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

// validateDraft returns ErrInvalid with the reasons if the rows of draft are
// invalid.
func (p *Publisher) validateDraft(d *draft) error {
	if err := p.Validate(d.sortedRows()); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// commit accepts group on top of base with one conditional update of the head.
// The rows and the record are written first, under keys that no other publisher
// uses; a publisher that dies in between leaves objects that no head refers to,
// which collectGarbage removes with the releases of their number. A group that
// changes nothing returns the release of base. Errors are those of writeRelease.
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

// writeRelease writes the rows and the record of rel and then updates the head
// from the version of base. It returns objectapi.ErrConflict if another publisher
// has updated the head, objectapi.ErrUnknownOutcome if rel may have been
// accepted; after any other error it was not accepted.
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

// putImmutable creates an object. A lost response is harmless: the key is unique
// to this publisher, so a conflict on a retry means that the write took effect.
// Other failures are objectapi.ErrTooLarge and objectapi.ErrUnavailable.
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
	// Not ErrUnknownOutcome: the head is unchanged, so a retry is safe.
	return fmt.Errorf("%w: %s: %v", objectapi.ErrUnavailable, key, err)
}

// recentRefs returns the Head.Recent of the release that follows h.
func recentRefs(h Head) []Ref {
	if h.Number == 0 {
		return nil
	}
	refs := append([]Ref{h.Ref()}, h.Recent...)
	return refs[:min(len(refs), maxRecentRefs)]
}

// joinAuthors returns the distinct authors of sets, shortened to
// maxListedAuthors.
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

// joinNotes returns the note of the only set, or a text with the number of sets.
func joinNotes(sets []ChangeSet) string {
	if len(sets) == 1 {
		return sets[0].Note
	}
	return fmt.Sprintf("%d change sets", len(sets))
}

// Load reads the rows of the head in obj and returns the release. It returns
// ErrCorrupt if they do not match the hash.
func Load(ctx context.Context, store objectapi.Store, obj objectapi.Object) (Release, error) {
	head, err := decodeHead(obj)
	if err != nil {
		return Release{}, err
	}
	return loadRows(ctx, store, head)
}

// loadRows returns the release of head with its rows, verified against the
// hash.
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

// splitRows splits rows into parts that each fit into one object.
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

// maxCollectedPerCommit bounds the release numbers whose objects one commit
// collects.
const maxCollectedPerCommit = 4

// collectGarbage deletes the objects of releases that are no longer retained,
// starting at from, including those of publishers that died or lost the race
// for these numbers. It returns the lowest number that may still have objects.
// Failures are left to the next commit. An object written for a number after
// that number was collected remains; that requires a publisher that stalls for
// as long as retainedReleases releases take.
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
