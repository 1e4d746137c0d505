package entryhost

import (
	"context"
	"net/http"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/process/claim"
	"bilberrydale/process/quarantine"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
)

// requestsPart serves callers.
type requestsPart struct {
	guard    quarantine.Guard
	claims   *claim.Manager
	counters entry.Counters
	handler  http.Handler
}

func (h *Host) wireRequests() {
	p := &h.requests
	p.guard = quarantine.Open{}
	p.claims = claim.New(claim.Config{
		Host: h.opts.Name, Incarnation: h.incarnation, Store: h.store, Clock: h.clock,
		Link: h.members.link, Options: claim.DefaultOptions(),
	})
	h.add("claims", h.flushClaims)
	runner := &pipeline.Runner{
		Backend: backend.NewHTTP(backend.HTTPOptions{}), Admission: h.policy.admit, Quarantine: p.guard,
		Clock: h.clock, Rand: h.rand, Tracer: h.tracer, Host: h.opts.Name, Incarnation: h.incarnation,
		Options: pipeline.DefaultOptions(),
	}
	p.handler = &entry.Handler{
		InForce: &h.inForce, Runner: runner, Admission: h.policy.admit, Claims: p.claims, Quarantine: p.guard,
		Gate: &h.gate, Clock: h.clock, Log: h.log, Tracer: h.tracer,
		Headers: entry.DefaultHeaders(), Limits: entry.DefaultLimits(), Counters: &p.counters,
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

func (h *Host) adminRequests(*http.ServeMux) {}
