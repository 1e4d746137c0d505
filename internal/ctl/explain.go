package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"bilberrydale/internal/settings"
)

func explainCommands() []*command {
	e := &explainCommand{method: http.MethodPost}
	return []*command{{
		name: "explain", help: "show which route, stages, pools and backend servers a request would get, and why",
		arg: "path", flags: e.flags, run: e.run,
	}}
}

type explainCommand struct{ method, account, headers string }

func (c *explainCommand) flags(set *settings.Set) {
	set.String(&c.method, "method", "method of the request", settings.Required)
	set.String(&c.account, "account", "client account of the request", nil)
	set.String(&c.headers, "headers", "headers of the request, Name=value separated by commas", nil)
}

// run asks the first entry host alone: each answers from its own view.
func (c *explainCommand) run(ctx context.Context, env *Env, path string) error {
	if len(env.Hosts.opts.Addresses) == 0 {
		return errors.New("name the entry host with --hosts")
	}
	q := url.Values{"method": {c.method}, "path": {path}}
	if c.account != "" {
		q.Set("account", c.account)
	}
	for _, h := range splitList(c.headers) {
		q.Add("header", h)
	}
	addr := env.Hosts.opts.Addresses[0]
	var doc json.RawMessage
	if err := env.Hosts.call(ctx, http.MethodGet, addr, "/explain?"+q.Encode(), nil, &doc); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(doc)
}
