package admission

import "time"

// Explain returns the decision that Admit would make at now, without counting
// the request as demand.
func (c *Controller) Explain(now time.Time, r *Request) Decision {
	return c.decide(now, r, c.route(r.Profile, now), false)
}

// PoolState is the state of a pool in admission control, for operators.
type PoolState struct {
	Pool             string  `json:"pool"`    // name
	Load             float64 `json:"load"`    // requests per slot, pending ones included
	Slots            float64 `json:"slots"`   // see PoolLoad.Slots
	AdmittedFraction float64 `json:"part"`    // fraction of the demand that is admitted at Load
	BandStart        float64 `json:"base"`    // load above which AdmittedFraction falls below 1
	Pending          int64   `json:"heading"` // requests admitted by this host that have not reached the pool
	Down             bool    `json:"down"`    // routes that need the pool are refused; see Options.DownDelay
}

// PoolStates returns the state of every pool, in the order in which they were
// added.
func (c *Controller) PoolStates() []PoolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]PoolState, 0, len(c.poolList))
	for _, p := range c.poolList {
		out = append(out, PoolState{
			Pool: p.name, Load: p.currentLoad(), Slots: p.slots.Load(), AdmittedFraction: p.admittedFraction(), BandStart: p.bandStart.Load(),
			Pending: p.pending.Load(), Down: p.down.Load(),
		})
	}
	return out
}
