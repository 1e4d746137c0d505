package quarantine

import (
	"cmp"
	"slices"
	"time"

	"bilberrydale/process/rendezvous"
)

const (
	// trialInterval is the time in which hosts may make the trial of one of the subjects whose
	// crashes are the same, so that they do not run beside each other. The first one begins that
	// long after the quarantine.
	trialInterval = 2 * time.Second
	// trialTurn is the part of an interval in which one host may make the trial. Several hosts
	// have their turn, as callers may come to some hosts only.
	trialTurn = 500 * time.Millisecond
	// trialMargin ends each turn early, so that the next host hears of the trial before its own.
	trialMargin = 150 * time.Millisecond
	// maxTrials is the number of trials of a subject at all hosts until it is cleared: the crash
	// of a server may remain unnoticed.
	maxTrials = 3
	// maxMixedTrials is the part of them that requests with several quarantined subjects may
	// make. The rest is for requests that tell these subjects apart.
	maxMixedTrials = 1
	// repeatInterval is the time between the trials of one subject.
	repeatInterval = 10 * time.Second
)

// trials are the trials of a subject that hosts have taken since it was last cleared.
type trials struct {
	Sole   int // of requests with no other quarantined subject
	Mixed  int // of others
	LastAt time.Time
	// ConfirmedAt is when a server crashed in a sole trial; zero: in none. The next one is due
	// after a later renewal of the quarantine.
	ConfirmedAt time.Time
}

// merge returns what is known of both.
func (t trials) merge(other trials) trials {
	return trials{
		Sole: max(t.Sole, other.Sole), Mixed: max(t.Mixed, other.Mixed),
		LastAt: later(t.LastAt, other.LastAt), ConfirmedAt: later(t.ConfirmedAt, other.ConfirmedAt),
	}
}

// TrialDue implements Trials.
func (s *SharedGuard) TrialDue(subjects Subjects) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trialDueLocked(subjects)
}

// TakeTrial implements Trials.
func (s *SharedGuard) TakeTrial(subjects Subjects) bool {
	taken := s.takeTrial(subjects)
	if len(taken) > 0 {
		s.inBackground(func() { s.push(s.peers(), taken) })
	}
	return len(taken) > 0
}

// takeTrial counts a trial, if one is due, and returns the records of the subjects on trial.
func (s *SharedGuard) takeTrial(subjects Subjects) (taken []record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.trialDueLocked(subjects) {
		return nil
	}
	now := s.clock.Now()
	sole := s.soleLocked(subjects, now) != nil
	for _, fp := range s.blamedLocked(subjects, now) {
		r := s.records[fp]
		if r.Trials.LastAt = now; sole {
			r.Trials.Sole++
		} else {
			r.Trials.Mixed++
		}
		taken = append(taken, s.merge(r))
	}
	s.publishSnapshot()
	s.running[subjects.Content()] = true
	s.runningCount.Store(int64(len(s.running)))
	return taken
}

// endTrial reports whether a trial of a content ran on this host, and ends it.
func (s *SharedGuard) endTrial(content Fingerprint) bool {
	if s.runningCount.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	trial := s.running[content]
	delete(s.running, content)
	s.runningCount.Store(int64(len(s.running)))
	return trial
}

// blamedLocked returns the subjects for which a request is refused. s.mu must be held.
func (s *SharedGuard) blamedLocked(subjects Subjects, now time.Time) (blamed []Fingerprint) {
	bystanders := s.snapshot.Load().bystanders
	for _, subject := range subjects {
		r := s.records[subject.Fingerprint]
		if v, _ := s.verdict(&r, now); v == Refused && !bystanders[subject.Fingerprint] {
			blamed = append(blamed, subject.Fingerprint)
		}
	}
	return blamed
}

// soleLocked returns the record of the one subject of which an attempt of the request tells
// whether it crashes servers: the only quarantined one beside the content, which contains it, or
// the content. nil: there are several. s.mu must be held.
func (s *SharedGuard) soleLocked(subjects Subjects, now time.Time) *record {
	blamed := s.blamedLocked(subjects, now)
	if len(blamed) > 1 && blamed[0] == subjects.Content() {
		blamed = blamed[1:]
	}
	if len(blamed) != 1 {
		return nil
	}
	r := s.records[blamed[0]]
	return &r
}

// trialDueLocked is TrialDue with s.mu held. A request with several quarantined subjects gets a
// trial only after each of them had its turn.
func (s *SharedGuard) trialDueLocked(subjects Subjects) bool {
	now := s.clock.Now()
	blamed := s.blamedLocked(subjects, now)
	if len(blamed) == 0 {
		return false
	}
	sole := s.soleLocked(subjects, now)
	for _, fp := range blamed {
		r := s.records[fp]
		if !r.Trials.allows(r.QuarantinedAt, sole != nil, now) {
			return false
		}
	}
	if sole != nil {
		return s.hasTurn(sole, now, 0)
	}
	r := s.records[blamed[len(blamed)-1]]
	return s.hasTurn(&r, now, len(s.alikeLocked(&r, now))+1)
}

// allows reports whether a subject that was quarantined at a time may get another trial.
func (t trials) allows(quarantinedAt time.Time, sole bool, now time.Time) bool {
	if t.Sole+t.Mixed >= maxTrials || !sole && t.Mixed >= maxMixedTrials {
		return false
	}
	return quarantinedAt.After(t.ConfirmedAt) && now.Sub(t.LastAt) >= repeatInterval
}

// hasTurn reports whether this host may make a trial of a quarantined subject now, leaving out the
// first intervals after the quarantine. A subject whose crashes no other one shares gets none if it
// is a content, as other requests rarely have it, or has more than MaxCrashes.
func (s *SharedGuard) hasTurn(r *record, now time.Time, leaveOut int) bool {
	alike := s.alikeLocked(r, now)
	if len(alike) == 0 && (r.Kind == KindContent || len(r.Crashes) > s.opts.MaxCrashes) {
		return false
	}
	before := 0
	for _, fp := range alike {
		if fp < r.Fingerprint {
			before++
		}
	}
	elapsed := now.Sub(r.QuarantinedAt)
	interval, turn := int(elapsed/trialInterval), elapsed%trialInterval
	return interval > leaveOut && (interval-1)%(len(alike)+1) == before &&
		turn%trialTurn < trialTurn-trialMargin && s.ownsTrial(r.Fingerprint, interval, int(turn/trialTurn))
}

// alikeLocked returns the other quarantined subjects that have all crashes of r. s.mu must be held.
func (s *SharedGuard) alikeLocked(r *record, now time.Time) (alike []Fingerprint) {
	for _, other := range s.records {
		if other.Fingerprint == r.Fingerprint || !s.coversCrashes(other.Crashes, r) {
			continue
		}
		if v, _ := s.verdict(&other, now); v == Refused {
			alike = append(alike, other.Fingerprint)
		}
	}
	return alike
}

// coversCrashes reports whether all crashes of r are among crashes.
func (s *SharedGuard) coversCrashes(crashes []Crash, r *record) bool {
	for _, crash := range r.Crashes {
		if !s.containsCrash(crashes, crash) {
			return false
		}
	}
	return true
}

// bystanders returns the quarantined subjects all of whose crashes are those of other quarantined
// ones that have more: these are the likelier cause. s.mu must be held.
func (s *SharedGuard) bystanders() map[Fingerprint]bool {
	var quarantined []record
	for _, r := range s.records {
		if !r.QuarantinedAt.IsZero() && s.expires(&r).After(s.clock.Now()) {
			quarantined = append(quarantined, r)
		}
	}
	slices.SortFunc(quarantined, func(a, b record) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	out := map[Fingerprint]bool{}
	var explained, sameCount []Crash
	for i, r := range quarantined {
		if i > 0 && len(r.Crashes) < len(quarantined[i-1].Crashes) {
			explained, sameCount = append(explained, sameCount...), nil
		}
		if s.coversCrashes(explained, &r) {
			out[r.Fingerprint] = true
			continue
		}
		sameCount = append(sameCount, r.Crashes...)
	}
	return out
}

// renew begins the quarantine of a subject anew, as requests with it still come. All hosts do so
// at most once in half of its duration.
func (s *SharedGuard) renew(fp Fingerprint) {
	s.mu.Lock()
	r := s.records[fp]
	now := s.clock.Now()
	if v, left := s.verdict(&r, now); v != Refused || left >= s.opts.QuarantineDuration/2 {
		s.mu.Unlock()
		return
	}
	r.QuarantinedAt = now
	r = s.merge(r)
	s.publishSnapshot()
	s.mu.Unlock()
	s.inBackground(func() {
		s.push(s.peers(), []record{r})
		s.publish(r)
	})
}

// ownsTrial reports whether this host makes the trial of a subject in a turn of an interval. It is
// one of all hosts, in each turn another one.
func (s *SharedGuard) ownsTrial(fp Fingerprint, interval, turn int) bool {
	if s.link == nil {
		return true
	}
	key := rendezvous.Combine(uint64(fp), uint64(interval))
	peers := s.link.Peers()
	self, before := rendezvous.Combine(rendezvous.Hash(s.link.Self().Host), key), 0
	for _, p := range peers {
		if rendezvous.Combine(rendezvous.Hash(p.Host), key) > self {
			before++
		}
	}
	return before == turn%(len(peers)+1)
}
