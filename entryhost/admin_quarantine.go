package entryhost

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/process/quarantine"
)

// quarantineRow is one row of GET /quarantine. The fingerprint is text, because
// readers of JSON round numbers of 64 bits.
type quarantineRow struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Verdict     string    `json:"verdict"`
	Expires     time.Time `json:"expires"`
}

var verdictNames = map[quarantine.Verdict]string{
	quarantine.Clear: "clear", quarantine.Alone: "alone", quarantine.Refused: "refused",
}

func (h *Host) adminQuarantine(mux *http.ServeMux) {
	mux.Handle("GET /quarantine", h.authorized(h.listQuarantine))
	mux.Handle("POST /quarantine/lift", h.authorized(h.liftQuarantine))
}

func (h *Host) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	rows := []quarantineRow{}
	for _, e := range h.requests.guard.List() {
		rows = append(rows, quarantineRow{fmt.Sprintf("%016x", uint64(e.Fingerprint)), e.Crashes, verdictNames[e.Verdict], e.Expires})
	}
	writeJSON(w, rows)
}

func (h *Host) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("fingerprint")
	fp, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("fingerprint %q: give 16 hexadecimal digits", text), http.StatusBadRequest)
		return
	}
	lifted := h.requests.guard.Lift(quarantine.Fingerprint(fp))
	h.log.Info("quarantine lifted", "fingerprint", text, "found", lifted)
	writeJSON(w, struct {
		Lifted bool `json:"lifted"`
	}{lifted})
}
