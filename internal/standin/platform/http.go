package platform

import (
	"encoding/json"
	"net/http"

	"bilberrydale/platform/platformtest"
	"bilberrydale/process/objectapi"
)

// Handler serves the object API in the form of the platform's store, and under
// /admin the failure switches, the call counts and the host list.
func (o *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", platformtest.NewObjectStoreHandler(o))
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(o.CallCounts()) // a caller that left gets nothing
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			o.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /admin/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []objectapi.Host
		if decode(w, r, &hosts) {
			o.SetHosts(hosts)
		}
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
