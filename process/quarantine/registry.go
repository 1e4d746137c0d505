package quarantine

import "time"

// Quarantine is a quarantined subject as a Registry keeps it.
type Quarantine struct {
	Fingerprint Fingerprint
	Kind        Kind
	StartedAt   time.Time
	Crashes     []Crash // that led to it
}

// Registry keeps quarantines where every entry host can read them. A message to the peers
// does not reach a host that is stopped, suspended or cut off from them at that moment.
type Registry interface {
	// Publish stores a quarantine that began on this host. It returns at once; the
	// implementation repeats the write until it succeeds or the quarantine has ended.
	Publish(q Quarantine)
	// Withdraw removes the quarantine of a request. It returns at once, as Publish does.
	Withdraw(fp Fingerprint)
}

// SetRegistry sets the registry, which gets each quarantine that this host learns of from
// crashes. It must be called before the first request.
func (s *SharedGuard) SetRegistry(r Registry) { s.registry = r }

// ApplyRegistered merges the current content of the registry. A quarantine that was in the
// content before and is gone ahead of its end has been lifted by an operator. Calls must
// not be concurrent.
//
// If this host knows that a request has completed, its quarantine is withdrawn.
func (s *SharedGuard) ApplyRegistered(quarantines []Quarantine) {
	for _, fp := range s.applyRegistered(quarantines) {
		s.registry.Withdraw(fp)
	}
}

// applyRegistered is ApplyRegistered, and returns the quarantines to withdraw.
func (s *SharedGuard) applyRegistered(quarantines []Quarantine) (completed []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[Fingerprint]bool, len(quarantines))
	for _, q := range quarantines {
		present[q.Fingerprint] = true
		r := s.merge(record{Fingerprint: q.Fingerprint, Kind: q.Kind, Crashes: q.Crashes, QuarantinedAt: q.StartedAt})
		if r.QuarantinedAt.IsZero() && r.CompletedAt.After(r.ClearedAt) && !s.Expired(q) {
			completed = append(completed, q.Fingerprint)
		}
	}
	defer s.publishSnapshot()
	now := s.clock.Now()
	for fp := range s.registered {
		r, known := s.records[fp]
		if !present[fp] && known && s.expires(&r).After(now) {
			s.clearCrashesLocked(fp)
		}
	}
	s.registered = present
	return completed
}

// Expired reports whether a quarantine has ended.
func (s *SharedGuard) Expired(q Quarantine) bool {
	return !q.StartedAt.Add(s.opts.QuarantineDuration).After(s.clock.Now())
}
