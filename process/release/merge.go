package release

import (
	"fmt"
	"maps"
	"sort"
	"strings"
)

// ConflictError lists every row of a change set that has changed since the
// version that the edit was made from. It matches ErrRowConflict.
type ConflictError struct{ Rows []RowConflict }

// RowConflict describes one conflicting row.
type RowConflict struct {
	Key            string
	BaseVersion    uint64 // the version the edit was made from
	CurrentVersion uint64 // the version in the head, or of the deletion; 0 if that is not on record
	Author         string // author of CurrentVersion
	Deleted        bool   // the row no longer exists
}

// Error implements error and lists the conflicting rows.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Rows))
	for i, c := range e.Rows {
		position := "now"
		if c.Deleted {
			position = "deleted in"
		}
		parts[i] = fmt.Sprintf("%s (edited from version %d, %s %d by %s)", c.Key, c.BaseVersion, position, c.CurrentVersion, c.Author)
	}
	return ErrRowConflict.Error() + ": " + strings.Join(parts, ", ")
}

// Is reports whether target is ErrRowConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrRowConflict }

// maxRecentDeletions bounds Release.RecentDeletions.
const maxRecentDeletions = 64

// Merge applies set to base and returns the rows of the next release, sorted by
// key. It returns a *ConflictError if rows have changed since the versions that
// set was made from; an edit equal to the current content is no conflict.
func Merge(base Release, set ChangeSet) ([]Row, error) {
	d := newDraft(base)
	if err := d.apply(set); err != nil {
		return nil, err
	}
	return d.sortedRows(), nil
}

// draft is the content of the release after base while change sets are merged
// into it.
type draft struct {
	number    uint64         // of the release after base
	rows      map[string]Row // by key
	deletions map[string]Row // recent deletions, by key; see Release.RecentDeletions
}

// newDraft returns a draft with the content of base.
func newDraft(base Release) *draft {
	d := &draft{number: base.Number + 1, rows: make(map[string]Row, len(base.Rows)), deletions: map[string]Row{}}
	for _, r := range base.Rows {
		d.rows[r.Key] = r
	}
	for _, r := range base.RecentDeletions {
		d.deletions[r.Key] = r
	}
	return d
}

// apply merges all of set, or changes nothing and returns a *ConflictError.
func (d *draft) apply(set ChangeSet) error {
	var conflicts []RowConflict
	for _, c := range set.Changes {
		current, exists := d.rows[c.Key]
		if !sameContent(current, exists, c) && current.Version != c.BaseVersion {
			conflicts = append(conflicts, d.newConflict(c, current, exists))
		}
	}
	if len(conflicts) > 0 {
		return &ConflictError{Rows: conflicts}
	}
	for _, c := range set.Changes {
		d.applyChange(c, set.Author)
	}
	return nil
}

// newConflict describes the conflict of c with the current row or its deletion.
func (d *draft) newConflict(c Change, current Row, exists bool) RowConflict {
	if !exists {
		current = d.deletions[c.Key]
	}
	return RowConflict{Key: c.Key, BaseVersion: c.BaseVersion, CurrentVersion: current.Version, Author: current.Author, Deleted: !exists}
}

// applyChange applies a change that does not conflict.
func (d *draft) applyChange(c Change, author string) {
	current, exists := d.rows[c.Key]
	if sameContent(current, exists, c) {
		return
	}
	if c.Delete {
		delete(d.rows, c.Key)
		d.deletions[c.Key] = Row{Key: c.Key, Version: d.number, Author: author}
		return
	}
	delete(d.deletions, c.Key)
	d.rows[c.Key] = Row{Key: c.Key, Data: c.Data, Version: d.number, Author: author}
}

// clone returns a copy that apply can change without changing d.
func (d *draft) clone() *draft {
	return &draft{number: d.number, rows: maps.Clone(d.rows), deletions: maps.Clone(d.deletions)}
}

// sortedRows returns the draft's rows, sorted by key.
func (d *draft) sortedRows() []Row { return sortedRows(d.rows) }

// recentDeletions returns the latest deletions, newest first and then by key.
func (d *draft) recentDeletions() []Row {
	all := sortedRows(d.deletions)
	sort.SliceStable(all, func(i, j int) bool { return all[i].Version > all[j].Version })
	return all[:min(len(all), maxRecentDeletions)]
}

// sameContent reports whether the row already has the content that c requests.
func sameContent(current Row, exists bool, c Change) bool {
	if c.Delete {
		return !exists
	}
	return exists && string(current.Data) == string(c.Data)
}

// sortedRows returns the values of rows, sorted by key.
func sortedRows(rows map[string]Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
