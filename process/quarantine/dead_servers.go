package quarantine

// BeginAttempt implements Guard. It counts attempts on servers that are presumed
// dead.
func (s *SharedGuard) BeginAttempt(subjects Subjects, server string) {
	if s.deadCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.deadServers[server]; ok && s.clock.Now().Sub(at) < s.opts.MaxDeadDuration {
		s.attemptsOnDead[attempt{subjects.Content(), server}]++
	}
}

// MarkAlive implements Isolator.
func (s *SharedGuard) MarkAlive(server string) {
	if s.deadCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.deadServers, server)
	if len(s.deadServers) == 0 {
		clear(s.attemptsOnDead)
	}
	s.deadCount.Store(int64(len(s.deadServers)))
}

// endAttemptOnDead reports whether server was presumed dead when an attempt of a content
// on it began, and removes the attempt from attemptsOnDead.
func (s *SharedGuard) endAttemptOnDead(fp Fingerprint, server string) bool {
	if s.deadCount.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := attempt{fp, server}
	n := s.attemptsOnDead[a]
	switch n {
	case 0:
		return false
	case 1:
		delete(s.attemptsOnDead, a)
	default:
		s.attemptsOnDead[a] = n - 1
	}
	return true
}
