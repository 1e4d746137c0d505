package entryhost

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bilberrydale/version/table"
)

// modelGate keeps a pool on the model version in force until enough of its
// backend servers have loaded the one of a new release. Only that field of that
// pool waits: the rest of the release is in force within its time, also while a
// weight store takes minutes to give the model out.
type modelGate struct {
	share   float64 // of a pool's servers
	pending atomic.Bool
}

// gatePeriod is how often a held model version is looked at again; load reports
// come about once a second.
const gatePeriod = 500 * time.Millisecond

// holdModels returns the adjustment that puts the model version in force back
// into pools whose servers are not ready for a new one. A host that has just
// started has none in force and uses what the release says.
func (h *Host) holdModels() func(*table.Pool) {
	h.releases.models.pending.Store(false)
	prev := h.inForce.Load()
	if prev == nil {
		return nil
	}
	return func(p *table.Pool) {
		old := prev.Pools[p.Name]
		if old == nil || p.Kind != table.Engine || old.Model == p.Model || h.loaded(p) {
			return
		}
		p.Model = old.Model
		h.releases.models.pending.Store(true)
	}
}

func (h *Host) loaded(p *table.Pool) bool {
	want, have := p.Model.String(), 0
	for _, s := range p.Servers {
		load := h.registry.Get(s.Name, s.Address, h.clock.Now()).Load()
		if load != nil && slices.Contains(load.Models, want) {
			have++
		}
	}
	return float64(have) >= h.releases.models.share*float64(len(p.Servers))
}

// openModels compiles the release in force again while a model version is held.
func (h *Host) openModels(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(gatePeriod):
		}
		if !h.releases.models.pending.Load() && !h.modelHeld() {
			continue
		}
		if err := h.releases.follower.Recompile(); err != nil {
			h.log.Warn("model gate", "err", err)
		}
	}
}
