// Package ctl holds the operators' commands behind cmd/bilberryctl.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sort"

	"bilberrydale/process/clock"
	"bilberrydale/process/platform"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

// Tables are the operators' commands on releases.
type Tables struct {
	Store  platform.Store
	Author string
	Out    io.Writer
}

func (t *Tables) publisher() *release.Publisher {
	return &release.Publisher{Store: t.Store, Validate: table.Check, Clock: clock.System{}, Rand: clock.SystemRand{}}
}

// Validate checks the tables of dir on their own.
func (t *Tables) Validate(dir string) error {
	tables, err := table.ReadDir(dir)
	if err != nil {
		return err
	}
	if err := table.Validate(tables); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "%s: %d routes and %d pools hold together\n", dir, len(tables.Routes), len(tables.Pools))
	return nil
}

// Apply makes the tables of dir the next release: rows that differ from the
// newest release are changed, rows that dir lacks are deleted.
func (t *Tables) Apply(ctx context.Context, dir, note string) error {
	set, err := t.changes(ctx, dir, note)
	if err != nil {
		return err
	}
	if len(set.Changes) == 0 {
		fmt.Fprintln(t.Out, "nothing to change")
		return nil
	}
	rel, err := t.publisher().Apply(ctx, set)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "release %d accepted: %d rows changed, hash %s\n", rel.Number, len(set.Changes), rel.Hash)
	return nil
}

// Diff prints what Apply would change.
func (t *Tables) Diff(ctx context.Context, dir string) error {
	set, err := t.changes(ctx, dir, "")
	if err != nil {
		return err
	}
	for _, c := range set.Changes {
		switch {
		case c.Delete:
			fmt.Fprintln(t.Out, "-", c.Key)
		case c.Base == 0:
			fmt.Fprintln(t.Out, "+", c.Key)
		default:
			fmt.Fprintln(t.Out, "~", c.Key)
		}
	}
	return nil
}

// changes compares the tables of dir with the newest release.
func (t *Tables) changes(ctx context.Context, dir, note string) (release.ChangeSet, error) {
	set := release.ChangeSet{Author: t.Author, Note: note}
	tables, err := table.ReadDir(dir)
	if err != nil {
		return set, err
	}
	if err := errors.Join(table.Validate(tables)); err != nil {
		return set, err
	}
	want, err := table.Encode(tables)
	if err != nil {
		return set, err
	}
	head, _, err := t.publisher().Head(ctx)
	if err != nil {
		return set, err
	}
	for _, row := range head.Rows {
		data, kept := want[row.Key]
		delete(want, row.Key)
		switch {
		case !kept:
			set.Changes = append(set.Changes, release.Change{Key: row.Key, Delete: true, Base: row.Version})
		case string(data) != string(row.Data):
			set.Changes = append(set.Changes, release.Change{Key: row.Key, Data: data, Base: row.Version})
		}
	}
	for key, data := range want {
		set.Changes = append(set.Changes, release.Change{Key: key, Data: data})
	}
	sort.Slice(set.Changes, func(i, j int) bool { return set.Changes[i].Key < set.Changes[j].Key })
	return set, nil
}
