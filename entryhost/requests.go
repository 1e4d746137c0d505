package entryhost

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/settings"
	"bilberrydale/process/claim"
	"bilberrydale/process/quarantine"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
)

// requestsPart serves callers.
type requestsPart struct {
	guard    *quarantine.Shared
	claims   *claim.Manager
	counters entry.Counters
	handler  http.Handler
}

func (h *Host) wireRequests() {
	p := &h.requests
	p.guard = quarantine.NewShared(h.clock, h.rand, h.members.link, h.opts.Requests.Quarantine)
	h.add("quarantine", p.guard.Run)
	p.claims = claim.New(claim.Config{
		Host: h.opts.Name, Incarnation: h.incarnation, Store: h.store, Clock: h.clock,
		Link: h.members.link, Options: h.opts.Requests.Claims,
	})
	h.add("claims", h.flushClaims)
	runner := &pipeline.Runner{
		Backend: backend.NewHTTP(backend.HTTPOptions{}), Admission: h.policy.admit, Quarantine: p.guard,
		Clock: h.clock, Rand: h.rand, Tracer: h.tracer, Host: h.opts.Name, Incarnation: h.incarnation,
		Options: h.opts.Requests.Run, Apart: p.guard,
	}
	p.handler = &entry.Handler{
		InForce: &h.inForce, Runner: runner, Admission: h.policy.admit, Claims: p.claims, Quarantine: p.guard,
		Gate: &h.gate, Clock: h.clock, Log: h.log, LogLimit: rate.NewLimiter(rate.Limit(h.opts.LogRefusals), h.opts.LogRefusals), Tracer: h.tracer,
		Headers: h.opts.Headers, Limits: h.opts.limits(), Counters: &p.counters,
	}
}

// flushTimeout bounds the last write of claims' outcomes.
const flushTimeout = 2 * time.Second

// flushClaims waits for the last request of a shutdown and then writes down
// which keys ran, so that resends to other hosts learn it.
func (h *Host) flushClaims(ctx context.Context) error {
	<-ctx.Done()
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.opts.DrainTimeout)
	defer cancel()
	if h.gate.Wait(wait) != nil {
		return nil // shutdown reports what was still in flight
	}
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
	Claims     claim.Options
	Quarantine quarantine.Options
	Run        pipeline.Options
}

// DefaultRequestOptions returns the defaults.
func DefaultRequestOptions() RequestOptions {
	return RequestOptions{Claims: claim.DefaultOptions(), Quarantine: quarantine.DefaultOptions(), Run: pipeline.DefaultOptions()}
}

func (o *RequestOptions) register(set *settings.Set) {
	set.Int(&o.Claims.Shards, "claim-shards", "objects that hold the claims; the same on every entry host", 1, 4096)
	set.Duration(&o.Claims.Window, "claim-window", "time for which a key is remembered on the platform", time.Minute, 24*time.Hour)
	set.Duration(&o.Claims.Spacing, "claim-spacing", "time between writes of one such object", 0, time.Minute)
	set.Float(&o.Claims.WritesPerSecond, "claim-writes", "writes a second of this host on the platform for claims", 0.1, 1000)
	set.Duration(&o.Claims.TicketLife, "ticket-life", "time from minting a ticket to its last first use", time.Second, 24*time.Hour)
	set.Duration(&o.Claims.AnswerTime, "answer-time", "time for which an answer is kept for resends", time.Second, 24*time.Hour)
	set.Int(&o.Quarantine.Deaths, "quarantine-deaths", "backend servers lost to a request before it is refused", 1, 100)
	set.Duration(&o.Quarantine.Term, "quarantine-term", "time for which such a request is refused", time.Second, 24*time.Hour)
	set.Int(&o.Run.MaxAttempts, "attempts", "attempts of one stage", 1, 10)
	set.Float(&o.Run.RetryShare, "retry-share", "retries for each request of a pool", 0, 1)
	set.Duration(&o.Run.MinSilence, "min-silence", "least wait for progress before a connection is doubted", time.Millisecond, time.Minute)
}
