package release

import "time"

// Status is what a host says of its releases to operators.
type Status struct {
	InForce  Ref  `json:"in_force"`
	Prepared *Ref `json:"prepared,omitempty"` // spreading, not yet in force
	// Joined: the peers were asked after the start.
	Joined bool `json:"joined"`
	// Watching: this host is one of those of its domain that watch the platform.
	Watching bool `json:"watching"`
	// PlatformHead is the release that the platform showed last to this host.
	PlatformHead uint64 `json:"platform_head"`
	// PlatformHeard is when the platform was last heard, through this host or,
	// as far as peers tell, another of its domain.
	PlatformLastResponse time.Time `json:"platform_heard,omitzero"`
	Faults               []string  `json:"faults,omitempty"`
}

// Status returns the present state.
func (d *Distributor) Status() Status {
	out := Status{Joined: d.Joined(), Watching: d.watching.Load()}
	if age := d.platformAgeMillis(); age >= 0 {
		out.PlatformLastResponse = d.follower.opts.Clock.Now().Add(-time.Duration(age) * time.Millisecond)
	}
	f := d.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	out.InForce, out.PlatformHead = f.current.Ref(), f.platform.headNumber
	if f.pending != nil {
		ref := f.pending.Ref()
		out.Prepared = &ref
	}
	for _, err := range f.faults.active() {
		out.Faults = append(out.Faults, err.Error())
	}
	return out
}
