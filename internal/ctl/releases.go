package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"bilberrydale/internal/settings"
)

// releaseCommands returns the commands that manage accepted releases.
func releaseCommands() []*command {
	history, recovery := &historyCommand{count: 20}, &recoverCommand{}
	return []*command{
		{name: "history", help: "show the accepted releases, newest first", registerFlags: history.registerFlags, run: history.run},
		{name: "rollback", help: "accept the content of an earlier release as the next release", arg: "release", run: rollback},
		{name: "recover", help: "after a restore of the platform: accept the tables that an entry host has in force as the next release", arg: "host", registerFlags: recovery.registerFlags, run: recovery.run},
	}
}

// historyCommand shows the newest releases, at most count.
type historyCommand struct{ count int }

func (c *historyCommand) registerFlags(set *settings.Set) {
	set.Int(&c.count, "count", "number of releases to show", 1, 10000)
}

func (c *historyCommand) run(ctx context.Context, env *Env, _ string) error {
	refs, err := env.publisher().History(ctx, c.count)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range refs {
		rows = append(rows, []string{strconv.FormatUint(r.Number, 10), r.Time.UTC().Format(time.RFC3339), r.Author, r.Hash, r.Note})
	}
	return env.print(refs, []string{"RELEASE", "TIME", "AUTHOR", "HASH", "NOTE"}, rows)
}

// rollback accepts the rows of an earlier release, whose number is text, as the next
// release.
func rollback(ctx context.Context, env *Env, text string) error {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return fmt.Errorf("%q is not a release number; use one that history shows", text)
	}
	rel, err := env.publisher().Rollback(ctx, number, env.Author)
	if err != nil {
		return fmt.Errorf("nothing was changed: %w", err)
	}
	env.printLine("release %d accepted with the rows of release %d, hash %s", rel.Number, number, rel.Hash)
	if env.JSON {
		return env.print(rel.Ref(), nil, nil)
	}
	return nil
}
