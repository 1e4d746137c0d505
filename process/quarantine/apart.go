package quarantine

// Busy implements Apart.
func (s *SharedGuard) HasSuspect(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.alone[server]
	return ok
}

// Enter implements Apart.
func (s *SharedGuard) Acquire(server string, fp Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.alone[server]; ok {
		return false
	}
	s.alone[server] = fp
	return true
}

// Leave implements Apart.
func (s *SharedGuard) Release(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.alone, server)
	close(s.freed)
	s.freed = make(chan struct{})
}

// Freed implements Apart.
func (s *SharedGuard) Released() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

// Clear implements Apart. A quarantine stays: only its term or an operator
// ends it.
func (s *SharedGuard) ClearSuspicion(fp Fingerprint) {
	if r, ok := (*s.verdicts.Load())[fp]; !ok || len(r.Deaths) == 0 || !r.Convicted.IsZero() {
		return
	}
	s.forgive(fp)
}

// List implements Guard.
func (s *SharedGuard) List() []Entry {
	now := s.clock.Now()
	out := []Entry{}
	for fp, r := range *s.verdicts.Load() {
		if v, _ := s.verdict(&r, now); v != Allowed {
			out = append(out, Entry{Fingerprint: fp, Crashes: len(r.Deaths), Verdict: v, Expires: s.expires(&r)})
		}
	}
	sortEntries(out)
	return out
}

// Lift implements Guard; peers lift the quarantine too.
func (s *SharedGuard) Lift(fp Fingerprint) bool {
	r, ok := (*s.verdicts.Load())[fp]
	if !ok || len(r.Deaths) == 0 {
		return false
	}
	s.forgive(fp)
	return true
}

// forgive forgets the deaths up to now, here and on the peers.
func (s *SharedGuard) forgive(fp Fingerprint) {
	s.mu.Lock()
	r := s.merge(row{Fingerprint: fp, Since: s.clock.Now()})
	s.mu.Unlock()
	s.share(r)
}
