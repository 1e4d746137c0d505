package release

import (
	"fmt"
	"maps"
	"sort"
	"strings"
)

// ConflictError names every row of a change set that somebody else changed.
type ConflictError struct{ Rows []RowConflict }

// RowConflict is one conflicting row.
type RowConflict struct {
	Key            string
	BaseVersion    uint64 // the version the edit was made from
	CurrentVersion uint64 // the version now in the head
	Author         string // who changed it
	Deleted        bool   // the row is gone
}

// Error implements error.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Rows))
	for i, c := range e.Rows {
		now := "now"
		if c.Deleted {
			now = "deleted in"
		}
		parts[i] = fmt.Sprintf("%s (edited from version %d, %s %d by %s)", c.Key, c.BaseVersion, now, c.CurrentVersion, c.Author)
	}
	return ErrRowConflict.Error() + ": " + strings.Join(parts, ", ")
}

// Is lets errors.Is match ErrRowConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrRowConflict }

// removedKept bounds Release.Removed.
const removedKept = 64

// Merge applies set to base and returns the rows of the next release. Rows
// that another author changed since set was made are a *ConflictError; an edit
// equal to what is already there is no conflict.
func Merge(base Release, set ChangeSet) ([]Row, error) {
	d := newDraft(base)
	if err := d.apply(set); err != nil {
		return nil, err
	}
	return d.sorted(), nil
}

// draft is the content of the release that follows base while change sets are
// merged into it.
type draft struct {
	number  uint64
	rows    map[string]Row
	removed map[string]Row
}

func newDraft(base Release) *draft {
	d := &draft{number: base.Number + 1, rows: make(map[string]Row, len(base.Rows)), removed: map[string]Row{}}
	for _, r := range base.Rows {
		d.rows[r.Key] = r
	}
	for _, r := range base.RecentDeletions {
		d.removed[r.Key] = r
	}
	return d
}

// apply merges set whole, or changes nothing and returns a *ConflictError.
func (d *draft) apply(set ChangeSet) error {
	var conflicts []RowConflict
	for _, c := range set.Changes {
		cur, exists := d.rows[c.Key]
		if !sameContent(cur, exists, c) && cur.Version != c.BaseVersion {
			conflicts = append(conflicts, d.conflict(c, cur, exists))
		}
	}
	if len(conflicts) > 0 {
		return &ConflictError{Rows: conflicts}
	}
	for _, c := range set.Changes {
		d.change(c, set.Author)
	}
	return nil
}

func (d *draft) conflict(c Change, cur Row, exists bool) RowConflict {
	if !exists {
		cur = d.removed[c.Key]
	}
	return RowConflict{Key: c.Key, BaseVersion: c.BaseVersion, CurrentVersion: cur.Version, Author: cur.Author, Deleted: !exists}
}

func (d *draft) change(c Change, author string) {
	cur, exists := d.rows[c.Key]
	if sameContent(cur, exists, c) {
		return
	}
	if c.Delete {
		delete(d.rows, c.Key)
		d.removed[c.Key] = Row{Key: c.Key, Version: d.number, Author: author}
		return
	}
	delete(d.removed, c.Key)
	d.rows[c.Key] = Row{Key: c.Key, Data: c.Data, Version: d.number, Author: author}
}

func (d *draft) clone() *draft {
	return &draft{number: d.number, rows: maps.Clone(d.rows), removed: maps.Clone(d.removed)}
}

func (d *draft) sorted() []Row { return sorted(d.rows) }

// newestRemoved returns the newest deletions, by key.
func (d *draft) newestRemoved() []Row {
	all := sorted(d.removed)
	sort.SliceStable(all, func(i, j int) bool { return all[i].Version > all[j].Version })
	return all[:min(len(all), removedKept)]
}

func sameContent(cur Row, exists bool, c Change) bool {
	if c.Delete {
		return !exists
	}
	return exists && string(cur.Data) == string(c.Data)
}

func sorted(rows map[string]Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
