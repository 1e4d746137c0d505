package entryhost

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"bilberrydale/internal/settings"
)

// Status is the response to GET /status: identity, readiness, release and request
// counts of an entry host.
type Status struct {
	Build       string `json:"build"`
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"` // differs for each start of the host
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	InFlight    int64  `json:"active"`               // requests
	Release     uint64 `json:"release"`              // number; 0: none
	Hash        string `json:"hash"`                 // of the release
	LastError   string `json:"last_error,omitempty"` // of the distribution of releases
	Completed   int64  `json:"completed"`            // requests since the start, as the next two
	Refused     int64  `json:"refused"`
	Failed      int64  `json:"failed"`
}

// Status returns the current status of the host. It may be called concurrently.
func (h *Host) Status() Status {
	rel, _ := h.releases.follower.Current()
	s := Status{
		Build: settings.Version(),
		Name:  h.opts.Name, Domain: h.opts.Domain, Region: h.opts.Region, Incarnation: h.incarnation,
		Ready: h.ready(), Draining: h.draining(), InFlight: h.gate.Active(),
		Release: rel.Number, Hash: rel.Hash,
		Completed: h.requests.counters.Completed.Load(), Refused: h.requests.counters.Refused.Load(), Failed: h.requests.counters.Failed.Load(),
	}
	if err := h.releases.follower.Err(); err != nil {
		s.LastError = err.Error()
	}
	return s
}

// adminHandler serves the operators' port. Every path but /ready requires the admin
// token.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", h.serveHealth)
	mux.Handle("GET /status", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status()) }))
	mux.Handle("POST /drain", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) {
		h.Drain()
		w.WriteHeader(http.StatusAccepted)
	}))
	mux.Handle("GET /debug/vars", h.requireAdminToken(h.serveVars))
	h.registerProfileRoutes(mux)
	h.registerReleaseRoutes(mux)
	h.registerMembershipRoutes(mux)
	h.registerPolicyRoutes(mux)
	h.registerRequestRoutes(mux)
	return mux
}

// requireAdminToken answers 401 unless the request carries the admin token. The
// comparison takes constant time, so that the token cannot be guessed byte by
// byte from response times. If no token is set, every request passes;
// Options.Check then accepts a loopback address only.
func (h *Host) requireAdminToken(next http.HandlerFunc) http.Handler {
	want := sha256.Sum256([]byte(h.opts.AdminToken))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if h.opts.AdminToken != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "admin token missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

// writeJSON writes v as a JSON response. Errors are ignored: the caller
// has disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
