package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"bilberrydale/process/objectapi"
)

const (
	// maxRecentRefs bounds the earlier releases listed in a head. Reading back
	// n releases takes n/maxRecentRefs reads, and the head stays at a few KB.
	maxRecentRefs = 32
	// retainedReleases is the number of releases retained on the platform for
	// Rollback and for publishers that lost the response to a write.
	retainedReleases = 500
)

// numberPrefix returns the key prefix of all objects written for a release
// number, also those of publishers whose release was not accepted.
func numberPrefix(number uint64) string { return fmt.Sprintf("%s%020d-", releasePrefix, number) }

// objectKey returns the key of one object of release r; name is the number of a
// part, or "record".
func objectKey(r Ref, name string) string { return numberPrefix(r.Number) + r.ID + "/" + name }

// recordKey returns the key of the record of release r, which holds its Head.
func recordKey(r Ref) string { return objectKey(r, "record") }

// decodeHead decodes the head object or the record of a release.
func decodeHead(obj objectapi.Object) (Head, error) {
	var h Head
	if err := json.Unmarshal(obj.Value, &h); err != nil {
		return Head{}, fmt.Errorf("decode %s: %w", obj.Key, err)
	}
	return h, nil
}

// readHead returns the head and its object. Before the first release the head
// is zero; the object has version 0 if it does not exist.
func readHead(ctx context.Context, store objectapi.Store) (Head, objectapi.Object, error) {
	obj, err := store.Get(ctx, HeadKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{}, objectapi.Object{Key: HeadKey}, nil
	}
	if err != nil {
		return Head{}, obj, fmt.Errorf("read head: %w", err)
	}
	head, err := decodeHead(obj)
	return head, obj, err
}

// readRecord returns the stored head of an earlier release, or ErrNotRetained.
func readRecord(ctx context.Context, store objectapi.Store, ref Ref) (Head, error) {
	obj, err := store.Get(ctx, recordKey(ref))
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{}, fmt.Errorf("%w: release %d", ErrNotRetained, ref.Number)
	}
	if err != nil {
		return Head{}, fmt.Errorf("read record of release %d: %w", ref.Number, err)
	}
	return decodeHead(obj)
}

// walkHistory calls visit for the accepted releases, newest first, starting
// with head, until visit returns false or the history ends. Each record lists
// its predecessors, so the walk visits exactly the accepted releases; objects
// left by publishers that lost the race or died are not reachable.
func walkHistory(ctx context.Context, store objectapi.Store, head Head, visit func(Ref) bool) error {
	if head.Number == 0 || !visit(head.Ref()) {
		return nil
	}
	for len(head.Recent) > 0 {
		for _, ref := range head.Recent {
			if !visit(ref) {
				return nil
			}
		}
		last := head.Recent[len(head.Recent)-1]
		if last.Number <= 1 {
			return nil
		}
		var err error
		if head, err = readRecord(ctx, store, last); err != nil {
			return err
		}
	}
	return nil
}

// findRelease returns the accepted release with the given number, or
// ErrNotRetained.
func findRelease(ctx context.Context, store objectapi.Store, head Head, number uint64) (Ref, error) {
	var match Ref
	err := walkHistory(ctx, store, head, func(r Ref) bool {
		if r.Number == number {
			match = r
		}
		return r.Number > number
	})
	if err == nil && match.Number == 0 {
		err = fmt.Errorf("%w: release %d", ErrNotRetained, number)
	}
	return match, err
}

// History returns up to n accepted releases without rows, newest first.
// Releases that are no longer retained are left out.
func (p *Publisher) History(ctx context.Context, n int) ([]Ref, error) {
	head, _, err := readHead(ctx, p.store())
	if err != nil {
		return nil, err
	}
	var refs []Ref
	err = walkHistory(ctx, p.store(), head, func(r Ref) bool {
		if len(refs) < n {
			refs = append(refs, r)
		}
		return len(refs) < n
	})
	if errors.Is(err, ErrNotRetained) {
		err = nil
	}
	return refs, err
}

// ByNumber returns the accepted release with the given number and its rows. The
// error is ErrNotRetained if the platform does not have it.
func (p *Publisher) ByNumber(ctx context.Context, number uint64) (Release, error) {
	head, _, err := readHead(ctx, p.store())
	if err != nil {
		return Release{}, err
	}
	return p.loadByNumber(ctx, head, number)
}

// loadByNumber is ByNumber with a head that was read before.
func (p *Publisher) loadByNumber(ctx context.Context, head Head, number uint64) (Release, error) {
	if number == head.Number {
		return loadRows(ctx, p.store(), head)
	}
	ref, err := findRelease(ctx, p.store(), head, number)
	if err != nil {
		return Release{}, err
	}
	record, err := readRecord(ctx, p.store(), ref)
	if err != nil {
		return Release{}, err
	}
	return loadRows(ctx, p.store(), record)
}

// Rollback accepts a new release with the rows of the release of the given
// number. The new release gets the next number; a row that another author changes
// in the meantime is a conflict. Its errors are those of ByNumber and Apply.
func (p *Publisher) Rollback(ctx context.Context, number uint64, author string) (Release, error) {
	old, err := p.ByNumber(ctx, number)
	if err != nil {
		return Release{}, err
	}
	latest, _, err := p.Head(ctx)
	if err != nil {
		return Release{}, err
	}
	set := ChangesBetween(latest, old.Rows)
	set.Author, set.Note = author, fmt.Sprintf("rollback to release %d", number)
	return p.Apply(ctx, set)
}

// ChangesBetween returns the changes that turn the rows of from into want,
// without ID, author and note.
func ChangesBetween(from Release, want []Row) ChangeSet {
	var set ChangeSet
	remaining := make(map[string]Row, len(want))
	for _, r := range want {
		remaining[r.Key] = r
	}
	for _, row := range from.Rows {
		wanted, kept := remaining[row.Key]
		delete(remaining, row.Key)
		if !kept {
			set.Changes = append(set.Changes, Change{Key: row.Key, Delete: true, BaseVersion: row.Version})
		} else if string(wanted.Data) != string(row.Data) {
			set.Changes = append(set.Changes, Change{Key: row.Key, Data: wanted.Data, BaseVersion: row.Version})
		}
	}
	for _, r := range sortedRows(remaining) {
		set.Changes = append(set.Changes, Change{Key: r.Key, Data: r.Data})
	}
	return set
}
