package entryhost

import (
	"net/http"

	"bilberrydale/connection/backend"
	"bilberrydale/process/claim"
	"bilberrydale/process/quarantine"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
)

// requestsPart serves callers.
type requestsPart struct {
	guard    quarantine.Guard
	claims   claim.Claims
	counters entry.Counters
	handler  http.Handler
}

func (h *Host) wireRequests() {
	p := &h.requests
	p.guard, p.claims = quarantine.Open{}, claim.NewMemory()
	runner := &pipeline.Runner{
		Backend: backend.NewHTTP(backend.HTTPOptions{}), Admission: h.policy.admit, Quarantine: p.guard,
		Clock: h.clock, Rand: h.rand, Tracer: h.tracer, Host: h.opts.Name, Incarnation: h.incarnation,
	}
	p.handler = &entry.Handler{
		InForce: &h.inForce, Runner: runner, Admission: h.policy.admit, Claims: p.claims, Quarantine: p.guard,
		Gate: &h.gate, Clock: h.clock, Log: h.log, Tracer: h.tracer,
		Headers: h.opts.Headers, Limits: h.opts.limits(), Counters: &p.counters,
	}
}

func (h *Host) adminRequests(*http.ServeMux) {}
