package platform

import (
	"encoding/json"
	"net/http"

	"bilberrydale/platform/platformtest"
	"bilberrydale/process/objectapi"
)

// Handler serves the object API in the format of the platform's store and, under
// /admin, the faults to inject, the call counts and the host list.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", platformtest.NewObjectStoreHandler(s))
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.CallCounts()) // the caller may have disconnected
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decodeBody(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /admin/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []objectapi.Host
		if decodeBody(w, r, &hosts) {
			s.SetHosts(hosts)
		}
	})
	return mux
}

// decodeBody decodes the JSON body of the request. On failure it responds with
// status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
