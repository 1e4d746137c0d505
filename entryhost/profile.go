package entryhost

import (
	"net/http"
	"net/http/pprof"
)

// adminProfiles serves the runtime's profiles to operators. They are not put on
// the default mux, which has no token.
func (h *Host) adminProfiles(mux *http.ServeMux) {
	mux.Handle("GET /debug/pprof/", h.authorized(pprof.Index))
	mux.Handle("GET /debug/pprof/profile", h.authorized(pprof.Profile))
	mux.Handle("GET /debug/pprof/trace", h.authorized(pprof.Trace))
	mux.Handle("GET /debug/pprof/symbol", h.authorized(pprof.Symbol))
}
