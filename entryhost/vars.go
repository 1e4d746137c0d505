package entryhost

import (
	"expvar"
	"fmt"
	"net/http"
)

// publishVars fills the host's own map of variables. They are not in the registry
// of expvar, which is shared by the process and accepts each name only once: tests
// run several hosts in one process.
func (h *Host) publishVars() {
	c := &h.requests.counters
	h.vars.Set("ready", expvar.Func(func() any { return h.ready() }))
	h.vars.Set("draining", expvar.Func(func() any { return h.draining() }))
	h.vars.Set("requests_active", expvar.Func(func() any { return h.gate.Active() }))
	h.vars.Set("requests_completed", expvar.Func(func() any { return c.Completed.Load() }))
	h.vars.Set("requests_refused", expvar.Func(func() any { return c.Refused.Load() }))
	h.vars.Set("requests_failed", expvar.Func(func() any { return c.Failed.Load() }))
	h.vars.Set("refusals_unlogged", expvar.Func(func() any { return c.UnloggedErrors.Load() }))
	h.vars.Set("release", expvar.Func(func() any {
		rel, _ := h.releases.follower.Current()
		return rel.Number
	}))
}

// serveVars writes the variables of the process, and those of the host under
// "bilberry".
func (h *Host) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return // flags may hold secrets
		}
		fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value)
	})
	fmt.Fprintf(w, "%q: %s\n}\n", "bilberry", h.vars.String())
}
