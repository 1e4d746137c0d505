package entryhost

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"bilberrydale/process/errkind"
	"bilberrydale/request/entry"
)

// callersHandler serves the callers' port. It answers the balancer's health
// path and applies the limit of requests in flight before a request reaches the
// routes. While the host drains, each response carries "Connection: close", so
// that callers connect to another host next. Idle connections stay open for
// now: a caller may just be sending a request on one, which would be lost.
func (h *Host) callersHandler() http.Handler {
	requests := h.requests.handler
	path, maxInFlight := h.opts.HealthPath, int64(h.opts.MaxInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path != "" && r.URL.Path == path {
			h.serveHealth(w, r)
			return
		}
		if h.draining() {
			w.Header().Set("Connection", "close")
		}
		if h.gate.Active() >= maxInFlight {
			h.refuseOverloaded(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

// refuseOverloaded refuses a request without reading its body. Admission
// control decides only once the whole request has been read, so a burst of large
// bodies could fill the memory of a small host before it takes effect.
func (h *Host) refuseOverloaded(w http.ResponseWriter, r *http.Request) {
	h.requests.counters.Refused.Add(1)
	id := r.Header.Get(h.opts.Headers.RequestID)
	if id == "" || len(id) > h.opts.MaxKeyBytes {
		id = uuid.NewString()
	}
	e := errkind.New(errkind.Overloaded, "%d requests are in this entry host", h.opts.MaxInFlight)
	// With an idempotency key, an earlier attempt of the request may have run
	// here or on another host; it is certain only that this attempt did not.
	e.EarlierAttempt = r.Header.Get(h.opts.Headers.Key) != ""
	info := errkind.Lookup(e.Kind)
	header := w.Header()
	header.Set(h.opts.Headers.RequestID, id)
	header.Set("Content-Type", "application/problem+json")
	header.Set("Retry-After", strconv.Itoa(int(e.RetryDelay()/time.Second)))
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(entry.Problem{
		Type: "about:blank#" + string(e.Kind), Title: info.Title, Status: info.Status, Detail: e.Detail,
		Kind: e.Kind, Ran: e.Ran(), RequestID: id, RetryAfter: e.RetryDelay().Seconds(),
	})
}
