package quarantine

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Options bound what one request may cost.
type Options struct {
	MaxCrashes         int           // servers lost before a request is quarantined
	SuspectDuration    time.Duration // for which a suspect runs apart
	QuarantineDuration time.Duration // of a quarantine
	// SameDeath: reports this close about one server are one death.
	CrashMergeWindow time.Duration
	// DeadFor: a server that died is taken for dead until it answers, at most
	// this long; an attempt that begins meanwhile cannot have killed it.
	MaxDeadDuration time.Duration
	// Burst: a death this close to that of a server on which the request did
	// not run may have the same, other cause.
	BurstWindow  time.Duration
	ShareTimeout time.Duration // for peers to hear before the caller is answered
	SyncInterval time.Duration // between comparisons with a random peer
	MaxRecords   int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxCrashes: 2, SuspectDuration: 2 * time.Minute, QuarantineDuration: 10 * time.Minute, CrashMergeWindow: 2 * time.Second, MaxDeadDuration: time.Second,
		BurstWindow: 2 * time.Second, ShareTimeout: 200 * time.Millisecond, SyncInterval: 10 * time.Second, MaxRecords: 10_000,
	}
}

// Death is the loss of one backend server while it ran a request.
type Crash struct {
	Server string
	At     time.Time
}

// row is what is known of one request.
type row struct {
	Fingerprint Fingerprint
	Deaths      []Crash
	Since       time.Time // deaths up to then are forgiven
	Convicted   time.Time // zero: a suspect
}

// Shared is the Guard whose knowledge all entry hosts share. The first death
// makes every request that ran on the server a suspect. Suspects run one a
// server, so that the next death has one culprit; a suspect that runs to its
// end is cleared.
type SharedGuard struct {
	clock clock.Clock
	rand  clock.Rand
	opts  Options
	link  peer.Link // may be nil

	// verdicts is read by every request; it is copied on change.
	verdicts atomic.Pointer[map[Fingerprint]row]

	mu     sync.Mutex
	rows   map[Fingerprint]row
	recent []Crash                // all servers' deaths of late
	alone  map[string]Fingerprint // suspects by the server they run on
	freed  chan struct{}
	dead   map[string]time.Time // servers, by the time of death
	onDead map[attempt]int      // attempts that began on a dead server

	deadCount atomic.Int64 // of dead; spares the lock while all live
}

type attempt struct {
	fp     Fingerprint
	server string
}

// NewShared returns a Guard. link may be nil; otherwise it must not have been
// started.
func NewSharedGuard(clk clock.Clock, rnd clock.Rand, link peer.Link, opts Options) *SharedGuard {
	s := &SharedGuard{
		clock: clk, rand: rnd, opts: opts, link: link,
		rows: map[Fingerprint]row{}, alone: map[string]Fingerprint{}, freed: make(chan struct{}),
		dead: map[string]time.Time{}, onDead: map[attempt]int{},
	}
	s.publish()
	if link != nil {
		s.handle()
	}
	return s
}

var (
	_ Guard    = (*SharedGuard)(nil)
	_ Isolator = (*SharedGuard)(nil)
)

// publish is called with s.mu held, or before the Guard is shared.
func (s *SharedGuard) publish() {
	copied := make(map[Fingerprint]row, len(s.rows))
	for fp, r := range s.rows {
		copied[fp] = r
	}
	s.verdicts.Store(&copied)
}

// expires returns when the row loses its effect.
func (s *SharedGuard) expires(r *row) time.Time {
	if !r.Convicted.IsZero() {
		return r.Convicted.Add(s.opts.QuarantineDuration)
	}
	if len(r.Deaths) == 0 {
		return r.Since.Add(s.opts.QuarantineDuration)
	}
	return r.Deaths[len(r.Deaths)-1].At.Add(s.opts.SuspectDuration)
}

func (s *SharedGuard) verdict(r *row, now time.Time) (Verdict, time.Duration) {
	left := s.expires(r).Sub(now)
	switch {
	case left <= 0 || len(r.Deaths) == 0:
		return Allowed, 0
	case r.Convicted.IsZero():
		return Isolated, 0
	default:
		return Refused, left
	}
}

// Check implements Guard. It takes no lock.
func (s *SharedGuard) Check(fp Fingerprint) (Verdict, time.Duration) {
	r, ok := (*s.verdicts.Load())[fp]
	if !ok {
		return Allowed, 0
	}
	return s.verdict(&r, s.clock.Now())
}

// End implements Guard. After a death it returns when the reachable peers know
// of it or ShareTime has passed: the caller's resend to another host must not
// meet one that has not heard.
func (s *SharedGuard) EndAttempt(fp Fingerprint, server string, died bool) {
	if s.beganOnDead(fp, server) || !died {
		return
	}
	if r, changed := s.blame(fp, Crash{server, s.clock.Now()}); changed {
		s.share(r)
	}
}

// blame counts a death against fp, unless a suspect that ran on the server is
// the likelier cause.
func (s *SharedGuard) blame(fp Fingerprint, d Crash) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	culprit, hasSuspect := s.alone[d.Server]
	s.remember(d)
	if hasSuspect && culprit != fp {
		return row{}, false
	}
	return s.merge(row{Fingerprint: fp, Deaths: []Crash{d}}), true
}

// remember keeps the recent deaths of all servers; s.mu is held.
func (s *SharedGuard) remember(d Crash) {
	kept := s.recent[:0]
	for _, old := range s.recent {
		if d.At.Sub(old.At) < s.opts.BurstWindow+s.opts.CrashMergeWindow {
			kept = append(kept, old)
		}
	}
	s.recent = append(kept, d)
	for name, at := range s.dead {
		if d.At.Sub(at) >= s.opts.MaxDeadDuration {
			delete(s.dead, name)
		}
	}
	s.dead[d.Server] = d.At
	s.deadCount.Store(int64(len(s.dead)))
}

// merge adds what in tells to the row of its request; s.mu is held.
func (s *SharedGuard) merge(in row) row {
	r, ok := s.rows[in.Fingerprint]
	if !ok {
		s.makeRoom()
		r.Fingerprint = in.Fingerprint
	}
	if in.Since.After(r.Since) {
		r.Since = in.Since
	}
	r.Deaths = s.union(append(append([]Crash(nil), r.Deaths...), in.Deaths...), r.Since)
	if !in.Convicted.Before(r.Convicted) {
		r.Convicted = in.Convicted
	}
	if !r.Convicted.After(r.Since) {
		r.Convicted = time.Time{}
	}
	if r.Convicted.IsZero() && s.guilty(&r) {
		r.Convicted = s.clock.Now()
	}
	s.rows[in.Fingerprint] = r
	s.publish()
	return r
}

// union sorts deaths by time and drops those forgiven and those that are one
// death seen twice.
func (s *SharedGuard) union(deaths []Crash, since time.Time) []Crash {
	sort.Slice(deaths, func(i, j int) bool { return deaths[i].At.Before(deaths[j].At) })
	var out []Crash
	for _, d := range deaths {
		if d.At.After(since) && !s.seen(out, d) {
			out = append(out, d)
		}
	}
	return out
}

func (s *SharedGuard) seen(deaths []Crash, d Crash) bool {
	for _, o := range deaths {
		if o.Server == d.Server && d.At.Sub(o.At).Abs() < s.opts.CrashMergeWindow {
			return true
		}
	}
	return false
}

// guilty decides on a suspect. While other servers die too, a death may have
// nothing to do with the request, so one more is needed then.
func (s *SharedGuard) guilty(r *row) bool {
	n := len(r.Deaths)
	if n < s.opts.MaxCrashes {
		return false
	}
	return n > s.opts.MaxCrashes || !s.burst(r)
}

// burst reports whether a server on which r did not run died close to r's last
// death.
func (s *SharedGuard) burst(r *row) bool {
	last := r.Deaths[len(r.Deaths)-1]
	for _, d := range s.recent {
		if last.At.Sub(d.At).Abs() < s.opts.BurstWindow && !s.seen(r.Deaths, d) {
			return true
		}
	}
	return false
}

// makeRoom drops rows without effect, and the oldest if all have one; s.mu is
// held.
func (s *SharedGuard) makeRoom() {
	if len(s.rows) < s.opts.MaxRecords {
		return
	}
	now := s.clock.Now()
	var oldest Fingerprint
	var at time.Time
	for fp, r := range s.rows {
		e := s.expires(&r)
		if !e.After(now) {
			delete(s.rows, fp)
		} else if at.IsZero() || e.Before(at) {
			oldest, at = fp, e
		}
	}
	if len(s.rows) >= s.opts.MaxRecords {
		delete(s.rows, oldest)
	}
}
