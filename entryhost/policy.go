package entryhost

import (
	"net/http"

	"bilberrydale/process/admission"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// policyPart decides what to admit and where to run it.
type policyPart struct {
	admit admission.Admitter
}

func (h *Host) wirePolicy() { h.policy.admit = admission.Always{} }

// newPicker makes the picker of one pool of a new snapshot.
func (h *Host) newPicker(_ table.Pool, servers []pick.Server) pick.Picker {
	return pick.NewRandom(servers)
}

func (h *Host) adminPolicy(*http.ServeMux) {}
