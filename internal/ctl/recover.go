package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"bilberrydale/internal/settings"
	"bilberrydale/process/release"
)

// recoverCommand publishes the tables that an entry host has in force as the
// newest release, after the platform was restored to an earlier state. The
// operator names the host, because only they can decide which content is right.
type recoverCommand struct{ confirm bool }

func (c *recoverCommand) registerFlags(set *settings.Set) {
	set.Bool(&c.confirm, "confirm", "accept the release; without it, the command only shows the release")
}

// run shows the release of the entry host at addr (host:port) and, with --confirm,
// publishes it.
func (c *recoverCommand) run(ctx context.Context, env *Env, addr string) error {
	var rel release.Release
	if err := env.Admin.call(ctx, http.MethodGet, addr, "/tables", nil, &rel); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if rel.Number == 0 {
		return fmt.Errorf("%s has no release in force", addr)
	}
	env.printLine("%s has release %d by %s, hash %s, %d rows", addr, rel.Number, rel.Author, rel.Hash, len(rel.Rows))
	if !c.confirm {
		return errors.New("nothing was changed; add --confirm to accept these rows as a release with a number above all others")
	}
	next, err := env.publisher().Recover(ctx, rel, env.Author)
	if err != nil {
		return err
	}
	env.printLine("release %d accepted, hash %s", next.Number, next.Hash)
	if env.JSON {
		return env.print(next.Ref(), nil, nil)
	}
	return nil
}
