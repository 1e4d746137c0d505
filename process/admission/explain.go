package admission

import "time"

// Explain returns what Admit would decide now, without counting the request.
func (c *Controller) Explain(now time.Time, r *Request) Decision {
	return c.judge(now, r, c.plan(r.Profile, now), false)
}

// PoolState is a pool as admission sees it.
type PoolState struct {
	Pool             string  `json:"pool"`
	Load             float64 `json:"load"`    // requests for a slot, with those on their way
	Slots            float64 `json:"slots"`   // usable and within reach
	AdmittedFraction float64 `json:"part"`    // of the demand that is admitted
	BandStart        float64 `json:"base"`    // load from which part falls below 1
	Pending          int64   `json:"heading"` // admitted here and not yet at the pool
	Down             bool    `json:"down"`
}

// States returns every pool in order of first sight.
func (c *Controller) PoolStates() []PoolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]PoolState, 0, len(c.order))
	for _, p := range c.order {
		out = append(out, PoolState{
			Pool: p.name, Load: p.now(), Slots: p.slots.Load(), AdmittedFraction: p.part(), BandStart: p.base.Load(),
			Pending: p.heading.Load(), Down: p.down.Load(),
		})
	}
	return out
}
