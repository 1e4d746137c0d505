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
func (s *Distributor) Status() Status {
	out := Status{Joined: s.Joined(), Watching: s.watching.Load()}
	if age := s.platformAge(); age >= 0 {
		out.PlatformLastResponse = s.f.opts.Clock.Now().Add(-time.Duration(age) * time.Millisecond)
	}
	f := s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	out.InForce, out.PlatformHead = f.current.Ref(), f.watch.head
	if f.next != nil {
		ref := f.next.Ref()
		out.Prepared = &ref
	}
	for _, err := range f.faults.all() {
		out.Faults = append(out.Faults, err.Error())
	}
	return out
}
