package entryhost

import (
	"net/http"
	"net/http/pprof"
)

// registerProfileRoutes serves the runtime's profiles on the admin port behind the
// admin token. http.DefaultServeMux, where net/http/pprof registers them, has no
// authentication and is not served.
func (h *Host) registerProfileRoutes(mux *http.ServeMux) {
	mux.Handle("GET /debug/pprof/", h.requireAdminToken(pprof.Index))
	mux.Handle("GET /debug/pprof/profile", h.requireAdminToken(pprof.Profile))
	mux.Handle("GET /debug/pprof/trace", h.requireAdminToken(pprof.Trace))
	mux.Handle("GET /debug/pprof/symbol", h.requireAdminToken(pprof.Symbol))
}
