package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sort"

	"bilberrydale/internal/settings"
	"bilberrydale/process/clock"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

// edit is the difference between the tables of a folder and their base.
type edit struct {
	dir       string
	base      *Base
	head      release.Release   // newest release of the platform
	changeSet release.ChangeSet // rows of the folder that differ from base
}

// publisher returns a publisher of releases on the platform.
func (e *Env) publisher() *release.Publisher {
	return &release.Publisher{Store: e.Store, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.SystemRand{}}
}

// baseFlags select the base release of an edit. They are needed when the folder
// has no base file.
type baseFlags struct {
	releaseNumber int  // release that is the base; 0: read it from the base file
	forceRebase   bool // without a base file, the newest release is the base
}

// register adds the flags to set.
func (f *baseFlags) register(set *settings.Set) {
	set.Int(&f.releaseNumber, "base", "release from which the tables were edited; 0: read it from the folder's base file", 0, math.MaxInt32)
	set.Bool(&f.forceRebase, "force-rebase", "without a base file, use the newest release as the base, even if others changed it")
}

// resolve returns the base of an edit in dir. It returns errNoBase if neither a
// flag nor a base file selects one; the base of the first release is empty.
func (f *baseFlags) resolve(ctx context.Context, pub *release.Publisher, dir string, head release.Release) (*Base, error) {
	if f.releaseNumber > 0 {
		rel, err := pub.ByNumber(ctx, uint64(f.releaseNumber))
		if err != nil {
			return nil, fmt.Errorf("--base: %w", err)
		}
		return newBase(rel), nil
	}
	base, err := readBase(dir)
	if errors.Is(err, errNoBase) && (f.forceRebase || head.Number == 0) {
		return newBase(head), nil
	}
	return base, err
}

// readEdit compares the tables of dir with their base, selected by from. The error is
// errNoBase if no base is found.
func (e *Env) readEdit(ctx context.Context, dir string, from baseFlags) (*edit, error) {
	tables, err := table.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	want, err := table.EncodeRows(tables)
	if err != nil {
		return nil, err
	}
	head, _, err := e.publisher().Head(ctx)
	if err != nil {
		return nil, err
	}
	base, err := from.resolve(ctx, e.publisher(), dir, head)
	if err != nil {
		return nil, err
	}
	if err := base.checkAgainst(head); err != nil {
		return nil, err
	}
	out := &edit{dir: dir, base: base, head: head, changeSet: release.ChangeSet{Author: e.Author, Note: e.Note}}
	out.changeSet.Changes = diffRows(base, want)
	return out, nil
}

// diffRows returns the rows that differ from base, ordered by key.
func diffRows(base *Base, want map[string]json.RawMessage) []release.Change {
	var out []release.Change
	for key, row := range base.Rows {
		if _, exists := want[key]; !exists {
			out = append(out, release.Change{Key: key, Delete: true, BaseVersion: row.Version})
		}
	}
	for key, data := range want {
		row, known := base.Rows[key]
		if known && equalJSON(row.Data, data) {
			continue
		}
		out = append(out, release.Change{Key: key, Data: data, BaseVersion: row.Version})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// equalJSON compares two documents without regard to white space, because the
// base file is indented. Invalid JSON equals nothing.
func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// conflicts returns the newest version of the rows of the edit that others
// changed since its base, by key.
func (e *edit) conflicts() map[string]release.Row {
	out := map[string]release.Row{}
	for _, c := range e.changeSet.Changes {
		row, _ := e.head.Row(c.Key)
		if row.Version != c.BaseVersion && !equalJSON(row.Data, c.Data) {
			out[c.Key] = row
		}
	}
	return out
}
