package entryhost

import (
	"net/http"

	"bilberrydale/process/quarantine"
)

func (h *Host) adminQuarantine(mux *http.ServeMux) {
	mux.Handle("GET /quarantine", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		list := h.requests.guard.List()
		if list == nil {
			list = []quarantine.Entry{}
		}
		writeJSON(w, list)
	}))
	mux.Handle("DELETE /quarantine/{fingerprint}", h.authorized(h.liftQuarantine))
}

func (h *Host) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	var fp quarantine.Fingerprint
	if err := fp.UnmarshalText([]byte(r.PathValue("fingerprint"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.requests.guard.Lift(fp) {
		http.Error(w, "no such request in quarantine", http.StatusNotFound)
		return
	}
	h.log.Info("quarantine lifted", "fingerprint", r.PathValue("fingerprint"))
}
