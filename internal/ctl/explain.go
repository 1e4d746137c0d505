package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"bilberrydale/entryhost"
	"bilberrydale/internal/settings"
	"bilberrydale/process/admission"
)

func explainCommands() []*command {
	explain := &explainCommand{method: http.MethodPost}
	return []*command{{
		name: "explain", help: "show the route, stages, pools and backend servers that a request would get, and why",
		arg: "path", registerFlags: explain.registerFlags, run: explain.run,
	}}
}

// explainCommand shows what a request with the given method, account and headers
// (Name:value separated by commas) would get.
type explainCommand struct{ method, account, headers string }

func (c *explainCommand) registerFlags(set *settings.Set) {
	set.String(&c.method, "method", "method of the request", settings.Required)
	set.String(&c.account, "account", "client account of the request", nil)
	set.String(&c.headers, "headers", "headers of the request, Name:value separated by commas", nil)
}

// run queries only the first entry host, because each one decides from its own
// state.
func (c *explainCommand) run(ctx context.Context, env *Env, path string) error {
	if len(env.Admin.opts.Addresses) == 0 {
		return errors.New("name the entry host with --hosts")
	}
	q := url.Values{"method": {c.method}, "path": {path}}
	if c.account != "" {
		q.Set("account", c.account)
	}
	for _, h := range splitList(c.headers) {
		q.Add("header", h)
	}
	addr := env.Admin.opts.Addresses[0]
	var doc entryhost.Explanation
	if err := env.Admin.call(ctx, http.MethodGet, addr, "/explain?"+q.Encode(), nil, &doc); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	if doc.Route == "" {
		return fmt.Errorf("%s: release %d has no route for %s %s", addr, doc.Release, c.method, path)
	}
	env.printLine("release %d, route %s (%s): %s", doc.Release, doc.Route, doc.Class, formatDecision(doc.Decision))
	return env.print(doc, []string{"STAGE", "POOL", "SERVER", "TIER", "LOAD", "STATE", "CHOICE"}, candidateRows(doc.Stages))
}

// formatDecision describes an admission decision in one line.
func formatDecision(v admission.Decision) string {
	text := fmt.Sprintf("%v, expected %s of %s left", v.Reason, v.ExpectedDuration, v.Remaining)
	if v.Pool != "" {
		text += ", limited by pool " + v.Pool
	}
	if v.RetryAfter > 0 {
		text += ", retry after " + v.RetryAfter.String()
	}
	return text
}

// candidateRows returns one table row for each candidate server and one for each
// stage without a selection.
func candidateRows(stages []entryhost.StagePlan) [][]string {
	var rows [][]string
	for _, st := range stages {
		if st.Error != "" {
			rows = append(rows, []string{st.Stage, st.Pool, "", "", "", st.Error, ""})
		}
		for _, c := range st.Candidates {
			choice := ""
			if c.Name == st.Server {
				choice = "now"
			}
			rows = append(rows, []string{st.Stage, st.Pool, c.Name, c.Tier, strconv.FormatFloat(c.Load, 'f', 2, 64), c.State, choice})
		}
	}
	return rows
}
