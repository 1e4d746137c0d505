package quarantine

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Options configure a SharedGuard: how many servers a subject may crash, and the
// times of suspicion, quarantine and sharing. Zero fields get no defaults; see
// DefaultOptions.
type Options struct {
	MaxCrashes         int           // crashes after which a subject is quarantined
	SuspectDuration    time.Duration // time from its last crash in which a subject is a suspect
	QuarantineDuration time.Duration // duration of a quarantine
	// CrashMergeWindow: reports of crashes of one server that are closer together
	// than this are one crash.
	CrashMergeWindow time.Duration
	// MaxDeadDuration: a crashed server is presumed dead until it responds, but
	// at most for this time. An attempt that begins in that time cannot have
	// crashed it.
	MaxDeadDuration time.Duration
	// BurstWindow: a crash closer than this to the crash of a server on which
	// the request did not run may have another, common cause.
	BurstWindow  time.Duration
	ShareTimeout time.Duration // time for peers to get a record before the caller gets its response
	SyncInterval time.Duration // time between fetches from a random peer
	MaxRecords   int           // maximum number of records in memory
	// SuspectOwners is the number of hosts of each failure domain that are told of a
	// suspect, the same ones for each crash of a request; 0: all hosts. All hosts are
	// told of a quarantine.
	SuspectOwners int
	// ShareInBackground: EndAttempt waits for the peers for VerdictWait only.
	ShareInBackground bool
	VerdictWait       time.Duration
}

// DefaultOptions returns the default options: a subject is a suspect for two minutes after
// a crash. Its second crash quarantines it for ten minutes; if another server, on which it
// did not run, crashed within two seconds of the second, only its third does.
func DefaultOptions() Options {
	return Options{
		MaxCrashes: 2, SuspectDuration: 2 * time.Minute, QuarantineDuration: 10 * time.Minute, CrashMergeWindow: 2 * time.Second, MaxDeadDuration: time.Second,
		BurstWindow: 2 * time.Second, ShareTimeout: 200 * time.Millisecond, SyncInterval: 3 * time.Second, MaxRecords: 10_000,
	}
}

// Crash is the loss of one backend server while it ran a request.
type Crash struct {
	Server string
	At     time.Time // on the clock of the host that observed the crash
}

// record holds the crashes attributed to one subject. Messages encode it with its field names,
// so that builds may add fields.
type record struct {
	Fingerprint   Fingerprint
	Crashes       []Crash   `msgpack:"Deaths"`
	ClearedAt     time.Time `msgpack:"Since"`     // crashes up to this time are discarded
	QuarantinedAt time.Time `msgpack:"Convicted"` // zero if the subject is not in quarantine
	Kind          Kind      `msgpack:",omitempty"`
	CompletedAt   time.Time // last known completion of a request with the subject; zero: none
	Trials        trials
}

// SharedGuard is a Guard that shares its records with other entry hosts. The first
// crash of a server makes every subject of the requests that ran on it a suspect. If its user
// isolates suspects (see Isolator), at most one runs on a server, so that the next crash is
// attributed to one request. A suspect that completes is cleared. It is safe for
// concurrent use.
type SharedGuard struct {
	clock    clock.Clock
	rand     clock.Rand
	opts     Options
	link     peer.Link // nil if there are no other hosts
	registry Registry  // nil: none

	// snapshot is immutable and replaced on every change. Every request reads it without a lock.
	snapshot atomic.Pointer[snapshot]

	mu             sync.Mutex // guards the fields up to running
	records        map[Fingerprint]record
	recentCrashes  []Crash                // recent crashes of all servers; see addRecentCrash
	isolated       map[string]Fingerprint // suspects by the server reserved for them
	released       chan struct{}          // closed and replaced at each Release
	deadServers    map[string]time.Time   // time of the crash, by server presumed dead
	attemptsOnDead map[attempt]int        // number of running attempts that began on a server presumed dead
	registered     map[Fingerprint]bool   // quarantines that the registry held last
	running        map[Fingerprint]bool   // contents of requests whose trial runs on this host

	completions completions
	deadCount   atomic.Int64 // length of deadServers; avoids the lock while no server is presumed dead
	// runningCount is the length of running; it avoids the lock while no trial runs.
	runningCount atomic.Int64
}

// attempt identifies attempts of a request on a server.
type attempt struct {
	fingerprint Fingerprint
	server      string
}

// NewSharedGuard returns a SharedGuard and registers its handlers with link. link may
// be nil; otherwise it must not have been started.
func NewSharedGuard(clk clock.Clock, rnd clock.Rand, link peer.Link, opts Options) *SharedGuard {
	s := &SharedGuard{
		clock: clk, rand: rnd, opts: opts, link: link,
		records: map[Fingerprint]record{}, isolated: map[string]Fingerprint{}, released: make(chan struct{}),
		deadServers: map[string]time.Time{}, attemptsOnDead: map[attempt]int{}, running: map[Fingerprint]bool{},
	}
	s.publishSnapshot()
	if link != nil {
		s.registerHandlers()
	}
	return s
}

var (
	_ Guard    = (*SharedGuard)(nil)
	_ Isolator = (*SharedGuard)(nil)
	_ Trials   = (*SharedGuard)(nil)
)

// snapshot is a copy of the records.
type snapshot struct {
	records map[Fingerprint]record
	// bystanders are the quarantined subjects whose crashes are explained by others.
	bystanders map[Fingerprint]bool
}

// publishSnapshot replaces the snapshot by a copy of records. s.mu must be held,
// except during construction.
func (s *SharedGuard) publishSnapshot() {
	s.snapshot.Store(&snapshot{records: maps.Clone(s.records), bystanders: s.bystanders()})
}

// expires returns the time at which the record ceases to have an effect.
func (s *SharedGuard) expires(r *record) time.Time {
	if !r.QuarantinedAt.IsZero() {
		return r.QuarantinedAt.Add(s.opts.QuarantineDuration)
	}
	if len(r.Crashes) == 0 {
		return r.ClearedAt.Add(s.opts.QuarantineDuration)
	}
	return r.Crashes[len(r.Crashes)-1].At.Add(s.opts.SuspectDuration)
}

// verdict returns the verdict of the record at time now, and with Refused the
// remaining time of the quarantine.
func (s *SharedGuard) verdict(r *record, now time.Time) (Verdict, time.Duration) {
	left := s.expires(r).Sub(now)
	switch {
	case left <= 0 || len(r.Crashes) == 0:
		return Allowed, 0
	case r.QuarantinedAt.IsZero():
		return Isolated, 0
	default:
		return Refused, left
	}
}

// Check implements Guard. It takes no lock unless a quarantine is to be renewed. Only the content
// isolates a request: requests that share a subject would otherwise run one after the other.
func (s *SharedGuard) Check(subjects Subjects) (d Decision) {
	snap := s.snapshot.Load()
	if len(snap.records) == 0 {
		return d
	}
	now := s.clock.Now()
	for _, subject := range subjects {
		r, ok := snap.records[subject.Fingerprint]
		if !ok || snap.bystanders[subject.Fingerprint] {
			continue
		}
		switch v, left := s.verdict(&r, now); {
		case v == Refused && left > d.RetryAfter:
			d = Decision{Verdict: Refused, Subject: subject, RetryAfter: left}
		case v == Isolated && d.Verdict == Allowed && subject.Kind == KindContent:
			d.Verdict = Isolated
		}
	}
	if d.Verdict == Refused && d.RetryAfter < s.opts.QuarantineDuration/2 {
		s.renew(d.Subject.Fingerprint)
	}
	return d
}

// EndAttempt implements Guard. After a crash it returns when the reachable peers have
// the records or ShareTimeout has passed, so that neither the next attempt nor the caller's
// resend runs before the verdict; with Options.ShareInBackground it waits for VerdictWait at most.
func (s *SharedGuard) EndAttempt(subjects Subjects, server string, crashed bool) {
	trial := s.endTrial(subjects.Content())
	if s.endAttemptOnDead(subjects.Content(), server) || !crashed {
		return
	}
	changed := s.recordCrash(subjects, Crash{server, s.clock.Now()}, trial)
	if len(changed) == 0 {
		return
	}
	if !s.opts.ShareInBackground {
		s.shareCrashes(changed)
		return
	}
	shared := make(chan struct{})
	go func() {
		defer close(shared)
		s.shareCrashes(changed)
	}()
	if s.opts.VerdictWait > 0 {
		select {
		case <-shared:
		case <-s.clock.After(s.opts.VerdictWait):
		}
	}
}

// recordCrash attributes a crash to the subjects of a request and returns the records of which
// the peers need to be told. It attributes it to none if another suspect ran on the server, which
// is the likelier cause.
func (s *SharedGuard) recordCrash(subjects Subjects, crash Crash, trial bool) (changed []record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect, hasSuspect := s.isolated[crash.Server]
	s.addRecentCrash(crash)
	if hasSuspect && suspect != subjects.Content() {
		return nil
	}
	var confirmed []Fingerprint
	if trial && s.soleLocked(subjects, crash.At) != nil {
		confirmed = s.blamedLocked(subjects, crash.At)
	}
	for _, subject := range subjects {
		known := s.records[subject.Fingerprint]
		v, _ := s.verdict(&known, crash.At)
		in := record{Fingerprint: subject.Fingerprint, Kind: subject.Kind, Crashes: []Crash{crash}}
		if slices.Contains(confirmed, subject.Fingerprint) {
			in.Trials.ConfirmedAt = crash.At
		}
		r := s.merge(in)
		if len(r.Crashes) > 0 && (v != Refused || len(r.Crashes) > len(known.Crashes)) {
			changed = append(changed, r)
		}
	}
	s.publishSnapshot()
	return changed
}

// addRecentCrash adds a crash to recentCrashes and deadServers, and removes outdated
// ones. s.mu must be held.
func (s *SharedGuard) addRecentCrash(crash Crash) {
	kept := s.recentCrashes[:0]
	for _, old := range s.recentCrashes {
		if crash.At.Sub(old.At) < s.opts.BurstWindow+s.opts.CrashMergeWindow {
			kept = append(kept, old)
		}
	}
	s.recentCrashes = append(kept, crash)
	for name, at := range s.deadServers {
		if crash.At.Sub(at) >= s.opts.MaxDeadDuration {
			delete(s.deadServers, name)
		}
	}
	s.deadServers[crash.Server] = crash.At
	s.deadCount.Store(int64(len(s.deadServers)))
}

// merge merges in into the record of its subject and returns the merged record.
// It is also how records of peers are combined. s.mu must be held; publishSnapshot follows.
func (s *SharedGuard) merge(in record) record {
	r, ok := s.records[in.Fingerprint]
	if !ok {
		s.evictRecords()
		r.Fingerprint = in.Fingerprint
	}
	s.clearExpired(&r)
	s.clearExpired(&in)
	if in.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt = in.ClearedAt
	}
	r.Kind = max(r.Kind, in.Kind)
	r.CompletedAt = later(later(r.CompletedAt, in.CompletedAt), s.completions.last(in.Fingerprint))
	if r.Trials = r.Trials.merge(in.Trials); !r.Trials.LastAt.After(r.ClearedAt) {
		r.Trials = trials{}
	}
	r.Crashes = s.mergeCrashes(append(append([]Crash(nil), r.Crashes...), in.Crashes...), later(r.ClearedAt, r.CompletedAt))
	if !in.QuarantinedAt.Before(r.QuarantinedAt) {
		r.QuarantinedAt = in.QuarantinedAt
	}
	if !r.QuarantinedAt.After(r.ClearedAt) || s.excused(&r) {
		r.QuarantinedAt = time.Time{}
	}
	if r.QuarantinedAt.IsZero() && s.shouldQuarantine(&r) {
		r.QuarantinedAt = s.clock.Now()
	}
	s.records[in.Fingerprint] = r
	return r
}

// excused reports whether the crashes of a subject prove nothing yet, as a request with it
// completed at most SuspectDuration before them, at any host that is known to this one. Then a
// subject is blamed only after more than MaxCrashes bursts of crashes without a completion
// between them: by then one that requests often share would have completed again.
func (s *SharedGuard) excused(r *record) bool {
	if len(r.Crashes) == 0 {
		return true
	}
	if r.CompletedAt.Before(r.Crashes[0].At.Add(-s.opts.SuspectDuration)) {
		return false
	}
	bursts, last := 0, time.Time{}
	for _, crash := range r.Crashes {
		if bursts == 0 || crash.At.Sub(last) >= s.opts.BurstWindow {
			bursts, last = bursts+1, crash.At
		}
	}
	return bursts <= s.opts.MaxCrashes
}

// clearTime returns the time by which all crashes of a record, and its quarantine, are cleared,
// also if a host noted them whose clock is ahead of this one's.
func (s *SharedGuard) clearTime(r *record) time.Time {
	at := later(s.clock.Now(), r.QuarantinedAt)
	for _, crash := range r.Crashes {
		at = later(at, crash.At)
	}
	return at
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// clearExpired clears the crashes of a record that has ceased to have an effect, so that
// they do not count beside later ones.
func (s *SharedGuard) clearExpired(r *record) {
	if end := s.expires(r); len(r.Crashes) > 0 && !end.After(s.clock.Now()) {
		r.ClearedAt, r.Crashes, r.QuarantinedAt = end, nil, time.Time{}
	}
}

// mergeCrashes sorts crashes by time and drops those up to clearedAt and repeated
// reports of one crash.
func (s *SharedGuard) mergeCrashes(crashes []Crash, clearedAt time.Time) []Crash {
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].At.Before(crashes[j].At) })
	var out []Crash
	for _, crash := range crashes {
		if crash.At.After(clearedAt) && !s.containsCrash(out, crash) {
			out = append(out, crash)
		}
	}
	return out
}

// containsCrash reports whether crashes has a crash of the same server within
// CrashMergeWindow of crash.
func (s *SharedGuard) containsCrash(crashes []Crash, crash Crash) bool {
	for _, other := range crashes {
		if other.Server == crash.Server && crash.At.Sub(other.At).Abs() < s.opts.CrashMergeWindow {
			return true
		}
	}
	return false
}

// shouldQuarantine reports whether MaxCrashes crashes are attributed to the subject. While
// other servers crash too, a crash may be unrelated to the subject, so one more
// is required then.
func (s *SharedGuard) shouldQuarantine(r *record) bool {
	n := len(r.Crashes)
	if n < s.opts.MaxCrashes || s.excused(r) {
		return false
	}
	return n > s.opts.MaxCrashes || !s.hasUnrelatedCrash(r)
}

// hasUnrelatedCrash reports whether a server on which the subject did not run crashed
// within BurstWindow of the subject's last crash.
func (s *SharedGuard) hasUnrelatedCrash(r *record) bool {
	last := r.Crashes[len(r.Crashes)-1]
	for _, crash := range s.recentCrashes {
		if last.At.Sub(crash.At).Abs() < s.opts.BurstWindow && !s.containsCrash(r.Crashes, crash) {
			return true
		}
	}
	return false
}

// evictRecords removes expired records if there are MaxRecords, and if none has
// expired the one that expires first. s.mu must be held.
func (s *SharedGuard) evictRecords() {
	if len(s.records) < s.opts.MaxRecords {
		return
	}
	now := s.clock.Now()
	var oldest Fingerprint
	var at time.Time
	for fp, r := range s.records {
		e := s.expires(&r)
		if !e.After(now) {
			delete(s.records, fp)
		} else if at.IsZero() || e.Before(at) {
			oldest, at = fp, e
		}
	}
	if len(s.records) >= s.opts.MaxRecords {
		delete(s.records, oldest)
	}
}
