package entryhost

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"bilberrydale/process/kind"
	"bilberrydale/request/entry"
)

// callersHandler puts the balancer's health path and the bound of requests at
// once before the routes. While the host leaves, each answer asks the caller to
// open its next connection elsewhere; idle connections are not closed yet,
// because a caller may be sending on one at this moment and would lose its
// request.
func (h *Host) callersHandler() http.Handler {
	requests := h.requests.handler
	path, most := h.opts.HealthPath, int64(h.opts.MaxInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path != "" && r.URL.Path == path {
			h.health(w, r)
			return
		}
		if h.draining() {
			w.Header().Set("Connection", "close")
		}
		if h.gate.Active() >= most {
			h.refuseUnread(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

// refuseUnread answers without reading the body. Admission needs the whole
// request to decide; a burst of large bodies would fill a small host's memory
// before it is asked.
func (h *Host) refuseUnread(w http.ResponseWriter, r *http.Request) {
	h.requests.counters.Refused.Add(1)
	id := r.Header.Get(h.opts.Headers.RequestID)
	if id == "" || len(id) > h.opts.MaxKeyBytes {
		id = uuid.NewString()
	}
	e := kind.New(kind.Overloaded, "%d requests are in this entry host", h.opts.MaxInFlight)
	// A resend may have run here or elsewhere before; only this send did not.
	e.EarlierAttempt = r.Header.Get(h.opts.Headers.Key) != ""
	a := kind.Lookup(e.Kind)
	head := w.Header()
	head.Set(h.opts.Headers.RequestID, id)
	head.Set("Content-Type", "application/problem+json")
	head.Set("Retry-After", strconv.Itoa(int(e.RetryDelay()/time.Second)))
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(entry.Problem{
		Type: "about:blank#" + string(e.Kind), Title: a.Title, Status: a.Status, Detail: e.Detail,
		Kind: e.Kind, Ran: e.Ran(), RequestID: id, RetryAfter: e.RetryDelay().Seconds(),
	})
}
