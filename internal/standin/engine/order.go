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

// Order is the complete desired state of an engine, not a change to it.
type Order struct {
	Fence  uint64   `json:"fence"`  // fencing number of the sender's lease
	Models []string `json:"models"` // to have loaded
	Role   string   `json:"role"`   // reported in LoadReport.Role, without another effect
}

// orderState is the state set by orders. appliedFences records the fencing numbers
// in the order of application, so that tests can detect a late order of a previous
// lease holder.
type orderState struct {
	fence         uint64 // highest fencing number received
	models        []string
	role          string
	appliedFences []uint64
}

// handleOrder applies an order, unless its fencing number is stale when it is received
// or after its preparation.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.recordFence(o) {
		http.Error(w, "stale fencing number", http.StatusPreconditionFailed)
		return
	}
	if err := e.prepareOrder(r, o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	// Another order may have been received while this one was prepared.
	if !e.recordFence(o) {
		http.Error(w, "a newer order was received first", http.StatusPreconditionFailed)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderState.models, e.orderState.role = o.Models, o.Role
	e.orderState.appliedFences = append(e.orderState.appliedFences, o.Fence)
	w.WriteHeader(http.StatusNoContent)
}

// recordFence records the fencing number of an order. It returns false if the number
// is stale and fencing is enforced.
func (e *Engine) recordFence(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.EnforceFencing && o.Fence < e.orderState.fence {
		return false
	}
	e.orderState.fence = max(e.orderState.fence, o.Fence)
	return true
}

// prepareOrder waits for the order duration and loads the missing models.
func (e *Engine) prepareOrder(r *http.Request, o Order) error {
	if e.opts.OrderDuration > 0 {
		select {
		case <-time.After(e.opts.OrderDuration):
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
	e.mu.Lock()
	loaded := slices.Clone(e.orderState.models)
	e.mu.Unlock()
	for _, m := range o.Models {
		if e.opts.WeightStoreURL == "" || slices.Contains(loaded, m) {
			continue
		}
		if err := e.readWeights(r, m); err != nil {
			return err
		}
	}
	return nil
}

// readWeights reads the weights of a model from the weight store, at the rate of
// the store.
func (e *Engine) readWeights(r *http.Request, model string) error {
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

// AppliedFences returns the fencing numbers of the applied orders, in the order of
// application.
func (e *Engine) AppliedFences() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.orderState.appliedFences...)
}
