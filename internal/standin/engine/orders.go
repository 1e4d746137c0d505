package engine

import (
	"encoding/json"
	"net/http"
)

// Order is absolute: it states what the engine is to have, not a change.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// orders is what the engine has been told. applied keeps the sequence of
// fencing numbers, so that a test sees an old holder's order arrive late.
type orders struct {
	fence   uint64
	models  []string
	role    string
	applied []uint64
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && o.Fence < e.orders.fence {
		http.Error(w, "fencing number is old", http.StatusPreconditionFailed)
		return
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.models, e.orders.role = o.Models, o.Role
	e.orders.applied = append(e.orders.applied, o.Fence)
	w.WriteHeader(http.StatusNoContent)
}

// Applied returns the fencing numbers of the orders carried out, in order.
func (e *Engine) Applied() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.orders.applied...)
}
