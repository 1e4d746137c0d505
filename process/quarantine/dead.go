package quarantine

// Begin implements Guard.
func (s *SharedGuard) BeginAttempt(fp Fingerprint, server string) {
	if s.deadCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.dead[server]; ok && s.clock.Now().Sub(at) < s.opts.MaxDeadDuration {
		s.onDead[attempt{fp, server}]++
	}
}

// Alive implements Apart.
func (s *SharedGuard) MarkAlive(server string) {
	if s.deadCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dead, server)
	if len(s.dead) == 0 {
		clear(s.onDead)
	}
	s.deadCount.Store(int64(len(s.dead)))
}

// beganOnDead takes note that an attempt has ended, and reports whether the
// server was dead when it began.
func (s *SharedGuard) beganOnDead(fp Fingerprint, server string) bool {
	if s.deadCount.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := attempt{fp, server}
	n := s.onDead[a]
	switch n {
	case 0:
		return false
	case 1:
		delete(s.onDead, a)
	default:
		s.onDead[a] = n - 1
	}
	return true
}
