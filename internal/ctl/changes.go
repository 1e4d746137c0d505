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

// edit is what a folder's tables change, compared with their base.
type edit struct {
	dir  string
	base *Base
	head release.Release
	set  release.ChangeSet
}

func (e *Env) publisher() *release.Publisher {
	return &release.Publisher{Store: e.Store, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.SystemRand{}}
}

// baseFlags say which release an edit was made from when the folder has no
// base file.
type baseFlags struct {
	number int
	rebase bool
}

func (f *baseFlags) register(set *settings.Set) {
	set.Int(&f.number, "base", "release that the tables were edited from; 0: the folder's base file tells", 0, math.MaxInt32)
	set.Bool(&f.rebase, "force-rebase", "without a base file, take the newest release as the base, whoever changed it")
}

// find returns the base of an edit in dir.
func (f *baseFlags) find(ctx context.Context, pub *release.Publisher, dir string, head release.Release) (*Base, error) {
	if f.number > 0 {
		rel, err := pub.ByNumber(ctx, uint64(f.number))
		if err != nil {
			return nil, fmt.Errorf("--base: %w", err)
		}
		return newBase(rel), nil
	}
	base, err := readBase(dir)
	if errors.Is(err, errNoBase) && (f.rebase || head.Number == 0) {
		return newBase(head), nil
	}
	return base, err
}

// readEdit compares the tables of dir with the versions that they were made
// from.
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
	base, err := from.find(ctx, e.publisher(), dir, head)
	if err != nil {
		return nil, err
	}
	if err := base.check(head); err != nil {
		return nil, err
	}
	out := &edit{dir: dir, base: base, head: head, set: release.ChangeSet{Author: e.Author, Note: e.Note}}
	out.set.Changes = changes(base, want)
	return out, nil
}

// changes lists the rows that differ from base, by key.
func changes(base *Base, want map[string]json.RawMessage) []release.Change {
	var out []release.Change
	for key, row := range base.Rows {
		if _, kept := want[key]; !kept {
			out = append(out, release.Change{Key: key, Delete: true, BaseVersion: row.Version})
		}
	}
	for key, data := range want {
		row, known := base.Rows[key]
		if known && sameJSON(row.Data, data) {
			continue
		}
		out = append(out, release.Change{Key: key, Data: data, BaseVersion: row.Version})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// sameJSON compares without blanks: the base file is indented.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

// conflicts lists the rows of the edit that others changed since its base.
func (x *edit) conflicts() map[string]release.Row {
	out := map[string]release.Row{}
	for _, c := range x.set.Changes {
		row, _ := x.head.Row(c.Key)
		if row.Version != c.BaseVersion && !sameJSON(row.Data, c.Data) {
			out[c.Key] = row
		}
	}
	return out
}
