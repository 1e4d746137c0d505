package ctl

import (
	"context"
	"errors"
	"fmt"

	"bilberrydale/internal/settings"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

// tableCommands returns the commands that edit tables in a folder.
func tableCommands() []*command {
	apply := &applyCommand{}
	diff := &diffCommand{}
	return []*command{
		{name: "validate", help: "check the tables of a folder", arg: "folder", run: validate},
		{name: "export", help: "write the tables of the newest release to a folder, for editing", arg: "folder", run: export},
		{name: "diff", help: "show the changes that apply would make", arg: "folder", registerFlags: diff.registerFlags, run: diff.run},
		{name: "apply", help: "accept the edited tables of a folder as the next release", arg: "folder", registerFlags: apply.registerFlags, run: apply.run},
	}
}

// validate checks the tables of dir without the platform. The error lists their
// faults; with --json they are printed instead, and the error has their number.
func validate(_ context.Context, env *Env, dir string) error {
	t, err := table.ReadDir(dir)
	var invalid table.ValidationErrors
	if errors.As(err, &invalid) && env.JSON {
		if err := env.print(invalid, nil, nil); err != nil {
			return err
		}
		return fmt.Errorf("%d faults", len(invalid))
	}
	if err != nil {
		return err
	}
	env.printLine("%s: %d routes and %d pools are valid", dir, len(t.Routes), len(t.Pools))
	return nil
}

// export writes the tables of the newest release and their base to dir. It
// refuses a folder with tables that were edited and not applied.
func export(ctx context.Context, env *Env, dir string) error {
	head, _, err := env.publisher().Head(ctx)
	if err != nil {
		return err
	}
	if head.Number == 0 {
		return errors.New("the platform has no release yet; apply the first one")
	}
	if err := checkNoUnappliedEdits(dir); err != nil {
		return err
	}
	t, err := table.DecodeRows(head.Rows)
	if err != nil {
		return err
	}
	if err := table.WriteDir(dir, t); err != nil {
		return err
	}
	if err := newBase(head).write(dir); err != nil {
		return err
	}
	env.printLine("%s: release %d by %s", dir, head.Number, head.Author)
	return nil
}

// checkNoUnappliedEdits returns an error if export would overwrite edits in dir.
func checkNoUnappliedEdits(dir string) error {
	base, err := readBase(dir)
	if errors.Is(err, errNoBase) {
		if _, err := table.ReadDir(dir); err == nil {
			return fmt.Errorf("%s contains tables that were not exported; name an empty folder", dir)
		}
		return nil
	}
	if err != nil {
		return err
	}
	t, err := table.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("%s contains an edit that is not applied: %w", dir, err)
	}
	want, err := table.EncodeRows(t)
	if err != nil {
		return err
	}
	if n := len(diffRows(base, want)); n > 0 {
		return fmt.Errorf("%s contains %d edited rows that are not applied; apply them or name another folder", dir, n)
	}
	return nil
}

// applyCommand publishes the edits of a folder as the next release.
type applyCommand struct{ base baseFlags }

// registerFlags adds the flags that select the base release of the edit.
func (c *applyCommand) registerFlags(set *settings.Set) {
	c.base.register(set)
}

// run applies the edits of dir and updates its base.
func (c *applyCommand) run(ctx context.Context, env *Env, dir string) error {
	e, err := env.readEdit(ctx, dir, c.base)
	if errors.Is(err, errNoBase) {
		return fmt.Errorf("%s: %w: the edited rows cannot be determined; export into a new folder and edit there, name the release with --base, or use --force-rebase to replace all rows", dir, err)
	}
	if err != nil {
		return err
	}
	if len(e.changeSet.Changes) == 0 {
		env.printLine("nothing to change")
		return nil
	}
	rel, err := env.publisher().Apply(ctx, e.changeSet)
	var conflict *release.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Errorf("nothing was changed: %w; export into another folder and make the edit there", err)
	}
	if err != nil {
		return err
	}
	e.base.advance(rel, e.changeSet)
	if err := e.base.write(dir); err != nil {
		return fmt.Errorf("release %d is accepted, but: %w; export again before the next edit", rel.Number, err)
	}
	env.printLine("release %d accepted: %d rows changed, hash %s", rel.Number, len(e.changeSet.Changes), rel.Hash)
	if n := e.countOutdatedRows(rel); n > 0 {
		env.printLine("%d other rows in the folder are older than the release; export to see them", n)
	}
	if env.JSON {
		rel.Rows = nil
		return env.print(rel, nil, nil)
	}
	return nil
}

// countOutdatedRows counts the rows whose version in the folder differs from that
// in rel, including those that rel no longer has.
func (e *edit) countOutdatedRows(rel release.Release) int {
	n := 0
	for _, row := range rel.Rows {
		if e.base.Rows[row.Key].Version != row.Version {
			n++
		}
	}
	for key := range e.base.Rows {
		if _, ok := rel.Row(key); !ok {
			n++
		}
	}
	return n
}
