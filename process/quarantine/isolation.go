package quarantine

// HasSuspect implements Isolator.
func (s *SharedGuard) HasSuspect(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.isolated[server]
	return ok
}

// Acquire implements Isolator.
func (s *SharedGuard) Acquire(server string, fp Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.isolated[server]; ok {
		return false
	}
	s.isolated[server] = fp
	return true
}

// Release implements Isolator.
func (s *SharedGuard) Release(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.isolated, server)
	close(s.released)
	s.released = make(chan struct{})
}

// Released implements Isolator.
func (s *SharedGuard) Released() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

// ClearSuspicion implements Isolator. An attempt that was under way when a subject was
// quarantined and completes ends the quarantine, too: the subject does not crash each server
// that runs it.
func (s *SharedGuard) ClearSuspicion(subjects Subjects) {
	now := s.clock.Now()
	records := s.snapshot.Load().records
	for _, subject := range subjects {
		s.completions.record(subject.Fingerprint, now)
		if len(records) > 0 {
			s.clearSubject(records[subject.Fingerprint])
		}
	}
}

// clearSubject clears the crashes of a record of the snapshot, and tells the hosts that know of
// them.
func (s *SharedGuard) clearSubject(r record) {
	if len(r.Crashes) == 0 {
		return
	}
	cleared := s.clearCrashes(r.Fingerprint)
	if !r.QuarantinedAt.IsZero() {
		s.shareLift(cleared)
		return
	}
	s.inBackground(func() { s.push(s.suspectOwners(r.Fingerprint), []record{cleared}) })
}

// shareLift tells all peers and the registry that a quarantine has ended early.
func (s *SharedGuard) shareLift(cleared record) {
	if s.registry != nil {
		s.registry.Withdraw(cleared.Fingerprint)
	}
	s.inBackground(func() { s.push(s.peers(), []record{cleared}) })
}

// inBackground calls f, without waiting for it if Options.ShareInBackground is set.
func (s *SharedGuard) inBackground(f func()) {
	if s.opts.ShareInBackground {
		go f()
		return
	}
	f()
}

// List implements Guard.
func (s *SharedGuard) List() []Entry {
	now := s.clock.Now()
	out := []Entry{}
	for fp, r := range s.snapshot.Load().records {
		if v, _ := s.verdict(&r, now); v != Allowed {
			out = append(out, Entry{Fingerprint: fp, Kind: r.Kind, Crashes: len(r.Crashes), Verdict: v, Expires: s.expires(&r)})
		}
	}
	sortEntries(out)
	return out
}

// Lift implements Guard. The peers lift the quarantine too.
func (s *SharedGuard) Lift(fp Fingerprint) bool {
	r, ok := s.snapshot.Load().records[fp]
	if !ok || len(r.Crashes) == 0 {
		return false
	}
	s.shareLift(s.clearCrashes(fp))
	return true
}

// clearCrashes discards the subject's crashes up to now, and returns the new record.
func (s *SharedGuard) clearCrashes(fp Fingerprint) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.publishSnapshot()
	return s.clearCrashesLocked(fp)
}

// clearCrashesLocked is clearCrashes for callers that hold s.mu.
func (s *SharedGuard) clearCrashesLocked(fp Fingerprint) record {
	r := s.records[fp]
	return s.merge(record{Fingerprint: fp, ClearedAt: s.clearTime(&r)})
}
