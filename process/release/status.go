package release

import "time"

// Status is the state of the releases on an entry host, shown to operators.
type Status struct {
	InForce  Ref  `json:"in_force"`
	Prepared *Ref `json:"prepared,omitempty"` // waiting for its activation
	// Joined: the host has queried its peers since its start.
	Joined bool `json:"joined"`
	// Watching: this host is one of the watchers of its failure domain, which
	// watch the platform.
	Watching bool `json:"watching"`
	// PlatformHead is the release number of the head that this host read last.
	PlatformHead uint64 `json:"platform_head"`
	// PlatformLastResponse is when the platform last responded to this host or,
	// as reported by peers, to another host of its failure domain.
	PlatformLastResponse time.Time `json:"platform_heard,omitzero"`
	// Faults are the texts of the active faults; see Follower.Err.
	Faults []string `json:"faults,omitempty"`
}

// Status returns the current state of the releases on this host. It is safe for
// concurrent use.
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
