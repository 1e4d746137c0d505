package entryhost

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/settings"
	"bilberrydale/process/claim"
	"bilberrydale/process/member"
	"bilberrydale/process/peer"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/server"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
)

// requestsPart serves callers.
type requestsPart struct {
	guard    *quarantine.SharedGuard
	claims   *claim.Manager
	counters entry.Counters
	handler  http.Handler
}

func (h *Host) wireRequests() {
	p := &h.requests
	link := livingLink{h.members.link, h.members.view}
	p.guard = quarantine.NewSharedGuard(h.clock, h.rand, link, h.opts.Requests.Quarantine)
	h.add("quarantine", p.guard.Run)
	p.claims = claim.New(claim.Config{
		Host: h.opts.Name, Incarnation: h.incarnation, Store: h.store, Clock: h.clock,
		Link: link, Options: h.opts.Requests.Claims,
	})
	h.afterDrain = append(h.afterDrain, h.flushClaims)
	runner := &pipeline.Runner{
		Backend: backend.NewHTTPClient(backend.HTTPOptions{Headers: h.opts.Requests.BackendHeaders, OnLeaving: h.serverLeaves}), Admission: h.policy.admit, Quarantine: p.guard,
		Clock: h.clock, Rand: h.rand, Tracer: h.tracer, Host: h.opts.Name, Incarnation: h.incarnation,
		Options: h.opts.Requests.Pipeline, Isolator: p.guard,
	}
	requestVars.Set(h.opts.Name, expvar.Func(func() any {
		return map[string]any{"attempts": runner.Counters.Map(), "claims": p.claims.Counters.Map(), "quarantine": p.guard.List()}
	}))
	p.handler = &entry.Handler{
		InForce: &h.inForce, Runner: runner, Admission: h.policy.admit, Claims: p.claims, Quarantine: p.guard,
		Gate: &h.gate, Clock: h.clock, Log: h.log, LogLimit: rate.NewLimiter(rate.Limit(h.opts.RefusalLogsPerSecond), h.opts.RefusalLogsPerSecond), Tracer: h.tracer,
		Headers: h.opts.Headers, Limits: h.opts.limits(), Counters: &p.counters,
	}
}

// livingLink is a link that does not name hosts believed gone. A call to such a
// host waits for an answer in vain: as the home of a shard it would delay every
// claim there, and many of them would keep news from the living.
type livingLink struct {
	peer.Link
	view member.View
}

// Peers implements peer.Link.
func (l livingLink) Peers() []peer.Identity {
	return slices.DeleteFunc(slices.Clone(l.Link.Peers()), func(id peer.Identity) bool {
		p, ok := l.view.Lookup(id.Host)
		return ok && p.State == member.Gone
	})
}

// requestVars shows every entry host of the process by name.
var requestVars = expvar.NewMap("requests")

// serverLeaves spreads the sign that an answer gave.
func (h *Host) serverLeaves(s *server.State) { h.members.servers.MarkLeaving(s.Address) }

// flushTimeout bounds the last write of claims' outcomes.
const flushTimeout = 2 * time.Second

// flushClaims writes down which keys ran, so that resends to other hosts learn
// it.
func (h *Host) flushClaims(ctx context.Context) error {
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if err := h.requests.claims.Flush(flush); err != nil {
		h.log.Warn("outcomes of claims not written", "err", err)
	}
	return nil
}

func (h *Host) adminRequests(mux *http.ServeMux) {
	mux.Handle("GET /quarantine", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.requests.guard.List())
	}))
	mux.Handle("DELETE /quarantine/{fingerprint}", h.authorized(func(w http.ResponseWriter, r *http.Request) {
		var fp quarantine.Fingerprint
		if err := fp.UnmarshalText([]byte(r.PathValue("fingerprint"))); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !h.requests.guard.Lift(fp) {
			http.Error(w, "no such request in quarantine", http.StatusNotFound)
		}
	}))
}

// RequestOptions are the settings of the request path.
type RequestOptions struct {
	Claims         claim.Options
	Quarantine     quarantine.Options
	Pipeline       pipeline.Options
	BackendHeaders backend.Headers // of the hop to a backend server
}

// DefaultRequestOptions returns the defaults.
func DefaultRequestOptions() RequestOptions {
	return RequestOptions{
		Claims: claim.DefaultOptions(), Quarantine: quarantine.DefaultOptions(), Pipeline: pipeline.DefaultOptions(),
		BackendHeaders: backend.DefaultHeaders(),
	}
}

func (o *RequestOptions) register(set *settings.Set) {
	set.Int(&o.Claims.Shards, "claim-shards", "objects that hold the claims; the same on every entry host", 1, 4096)
	set.Duration(&o.Claims.Retention, "claim-window", "time for which a key is remembered on the platform", time.Minute, 24*time.Hour)
	set.Duration(&o.Claims.WriteInterval, "claim-spacing", "time between writes of one such object", 0, time.Minute)
	set.Float(&o.Claims.WritesPerSecond, "claim-writes", "writes a second of this host on the platform for claims", 0.1, 1000)
	set.Duration(&o.Claims.TicketTTL, "ticket-life", "time from minting a ticket to its last first use", time.Second, 24*time.Hour)
	set.Duration(&o.Claims.ResponseTTL, "answer-time", "time for which an answer is kept for resends", time.Second, 24*time.Hour)
	set.Int(&o.Quarantine.MaxCrashes, "quarantine-deaths", "backend servers lost to a request before it is refused", 1, 100)
	set.Duration(&o.Quarantine.QuarantineDuration, "quarantine-term", "time for which such a request is refused", time.Second, 24*time.Hour)
	set.Int(&o.Pipeline.MaxAttempts, "attempts", "attempts of one stage", 1, 10)
	set.Float(&o.Pipeline.RetryRatio, "retry-share", "retries for each request of a pool", 0, 1)
	o.BackendHeaders.Each(func(setting string, name *string, meaning string) {
		set.String(name, "server-header-"+setting, "backend servers' header: "+meaning, backend.CheckHeader)
	})
	set.Duration(&o.Pipeline.MinStallTimeout, "min-silence", "least wait for progress before a connection is doubted", time.Millisecond, time.Minute)
}
