package ctl

import (
	"context"
	"errors"
	"fmt"

	"bilberrydale/internal/settings"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

func tableCommands() []*command {
	apply := &applyCommand{}
	diff := &diffCommand{}
	return []*command{
		{name: "validate", help: "check the tables of a folder", arg: "folder", run: validate},
		{name: "export", help: "write the newest tables to a folder, to be edited and applied", arg: "folder", run: export},
		{name: "diff", help: "show what apply would change", arg: "folder", flags: diff.flags, run: diff.run},
		{name: "apply", help: "make the edited tables of a folder the next release", arg: "folder", flags: apply.flags, run: apply.run},
	}
}

func validate(_ context.Context, env *Env, dir string) error {
	t, err := table.ReadDir(dir)
	var faults table.ValidationErrors
	if errors.As(err, &faults) && env.JSON {
		if err := env.print(faults, nil, nil); err != nil {
			return err
		}
		return fmt.Errorf("%d faults", len(faults))
	}
	if err != nil {
		return err
	}
	env.say("%s: %d routes and %d pools hold together", dir, len(t.Routes), len(t.Pools))
	return nil
}

// export refuses a folder with tables that were edited and not applied.
func export(ctx context.Context, env *Env, dir string) error {
	head, _, err := env.publisher().Head(ctx)
	if err != nil {
		return err
	}
	if head.Number == 0 {
		return errors.New("the platform has no release yet; apply a first one")
	}
	if err := refuseUnapplied(dir); err != nil {
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
	env.say("%s: release %d by %s", dir, head.Number, head.Author)
	return nil
}

func refuseUnapplied(dir string) error {
	base, err := readBase(dir)
	if errors.Is(err, errNoBase) {
		if _, err := table.ReadDir(dir); err == nil {
			return fmt.Errorf("%s holds tables that were not exported; name an empty folder", dir)
		}
		return nil
	}
	if err != nil {
		return err
	}
	t, err := table.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("%s holds an edit that is not applied: %w", dir, err)
	}
	want, err := table.EncodeRows(t)
	if err != nil {
		return err
	}
	if n := len(changes(base, want)); n > 0 {
		return fmt.Errorf("%s holds %d edited rows that are not applied; apply them or name another folder", dir, n)
	}
	return nil
}

type applyCommand struct{ from baseFlags }

func (c *applyCommand) flags(set *settings.Set) {
	c.from.register(set)
}

func (c *applyCommand) run(ctx context.Context, env *Env, dir string) error {
	x, err := env.readEdit(ctx, dir, c.from)
	if errors.Is(err, errNoBase) {
		return fmt.Errorf("%s: %w: it is not known which rows you edited; export into a new folder and edit there, name the release with --base, or use --force-rebase to replace all rows", dir, err)
	}
	if err != nil {
		return err
	}
	if len(x.set.Changes) == 0 {
		env.say("nothing to change")
		return nil
	}
	rel, err := env.publisher().Apply(ctx, x.set)
	var conflict *release.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Errorf("nothing was changed: %w; export into another folder and make the edit there", err)
	}
	if err != nil {
		return err
	}
	x.base.accepted(rel, x.set)
	if err := x.base.write(dir); err != nil {
		return fmt.Errorf("release %d is accepted, but: %w; export again before the next edit", rel.Number, err)
	}
	env.say("release %d accepted: %d rows changed, hash %s", rel.Number, len(x.set.Changes), rel.Hash)
	if n := x.behind(rel); n > 0 {
		env.say("%d other rows in the folder are older than the release; export to see them", n)
	}
	if env.JSON {
		rel.Rows = nil
		return env.print(rel, nil, nil)
	}
	return nil
}

// behind counts the rows that the folder holds in an older version than rel.
func (x *edit) behind(rel release.Release) int {
	n := 0
	for _, row := range rel.Rows {
		if x.base.Rows[row.Key].Version != row.Version {
			n++
		}
	}
	for key := range x.base.Rows {
		if _, ok := rel.Row(key); !ok {
			n++
		}
	}
	return n
}
