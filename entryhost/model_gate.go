package entryhost

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bilberrydale/version/table"
)

// modelGate keeps a pool on its current model version until enough of the pool's
// backend servers have loaded the version that a new release names. Only the
// model of that pool is held back: the rest of the release takes effect on time,
// even if the weight store needs minutes to deliver the model.
type modelGate struct {
	minLoadedShare float64     // share of a pool's servers that must have loaded the new version; 0 to 1
	pending        atomic.Bool // the last compilation held a model version back
}

// modelGateInterval is the time between checks of a model version that is held
// back. Load reports arrive about once a second.
const modelGateInterval = 500 * time.Millisecond

// modelAdjuster returns the snapshot.Options.AdjustPool of one compilation: a function
// that sets a pool of kind Engine back to the model version in force while too few
// of its servers have loaded the new one, and then sets modelGate.pending, which
// modelAdjuster itself clears. Other pools are left unchanged. It returns nil on a
// host that has just started: no release is in force there, and the new one is used
// as is.
func (h *Host) modelAdjuster() func(*table.Pool) {
	h.releases.modelGate.pending.Store(false)
	prev := h.inForce.Load()
	if prev == nil {
		return nil
	}
	return func(p *table.Pool) {
		old := prev.Pools[p.Name]
		if old == nil || p.Kind != table.Engine || old.Model == p.Model || h.modelLoaded(p) {
			return
		}
		p.Model = old.Model
		h.releases.modelGate.pending.Store(true)
	}
}

// modelLoaded reports whether the required share of the pool's servers has loaded
// the pool's model.
func (h *Host) modelLoaded(p *table.Pool) bool {
	model, loaded := p.Model.String(), 0
	for _, s := range p.Servers {
		load := h.registry.Get(s.Name, s.Address, h.clock.Now()).Load()
		if load != nil && slices.Contains(load.Models, model) {
			loaded++
		}
	}
	return float64(loaded) >= h.releases.modelGate.minLoadedShare*float64(len(p.Servers))
}

// runModelGate recompiles the release in force periodically while a model version
// is held back, until ctx ends. It returns nil.
func (h *Host) runModelGate(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(modelGateInterval):
		}
		if !h.releases.modelGate.pending.Load() && !h.modelHeldBack() {
			continue
		}
		if err := h.releases.follower.Recompile(); err != nil {
			h.log.Warn("model gate", "err", err)
		}
	}
}
