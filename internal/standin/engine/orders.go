package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"
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
	if !e.accept(o) {
		http.Error(w, "fencing number is old", http.StatusPreconditionFailed)
		return
	}
	if err := e.prepare(r, o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	// Another order may have come while this one was prepared.
	if !e.accept(o) {
		http.Error(w, "a newer order came first", http.StatusPreconditionFailed)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.models, e.orders.role = o.Models, o.Role
	e.orders.applied = append(e.orders.applied, o.Fence)
	w.WriteHeader(http.StatusNoContent)
}

// accept records the fencing number; false: it is an old one.
func (e *Engine) accept(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.EnforceFencing && o.Fence < e.orders.fence {
		return false
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	return true
}

// prepare spends the order's time and loads the models that are missing.
func (e *Engine) prepare(r *http.Request, o Order) error {
	if e.opts.OrderDuration > 0 {
		select {
		case <-time.After(e.opts.OrderDuration):
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
	e.mu.Lock()
	loaded := slices.Clone(e.orders.models)
	e.mu.Unlock()
	for _, m := range o.Models {
		if e.opts.WeightStoreURL == "" || slices.Contains(loaded, m) {
			continue
		}
		if err := e.load(r, m); err != nil {
			return err
		}
	}
	return nil
}

// load reads a model's weights from the store, at the store's rate.
func (e *Engine) load(r *http.Request, model string) error {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, e.opts.WeightStoreURL+"/weights/"+url.PathEscape(model), nil)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", model, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", model, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weights of %s: status %d: %w", model, resp.StatusCode, err)
	}
	return nil
}

// Applied returns the fencing numbers of the orders carried out, in order.
func (e *Engine) AppliedFences() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.orders.applied...)
}
