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
	Deaths    int           // servers lost before a request is quarantined
	Suspicion time.Duration // for which a suspect runs apart
	Term      time.Duration // of a quarantine
	// SameDeath: reports this close about one server are one death.
	SameDeath time.Duration
	// DeadFor: a server that died is taken for dead until it answers, at most
	// this long; an attempt that begins meanwhile cannot have killed it.
	DeadFor time.Duration
	// Burst: a death this close to that of a server on which the request did
	// not run may have the same, other cause.
	Burst     time.Duration
	ShareTime time.Duration // for peers to hear before the caller is answered
	SyncEvery time.Duration // between comparisons with a random peer
	MaxRows   int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Deaths: 2, Suspicion: 2 * time.Minute, Term: 10 * time.Minute, SameDeath: 2 * time.Second, DeadFor: time.Second,
		Burst: 2 * time.Second, ShareTime: 200 * time.Millisecond, SyncEvery: 10 * time.Second, MaxRows: 10_000,
	}
}

// Death is the loss of one backend server while it ran a request.
type Death struct {
	Server string
	At     time.Time
}

// row is what is known of one request.
type row struct {
	Fingerprint Fingerprint
	Deaths      []Death
	Since       time.Time // deaths up to then are forgiven
	Convicted   time.Time // zero: a suspect
}

// Shared is the Guard whose knowledge all entry hosts share. The first death
// makes every request that ran on the server a suspect. Suspects run one a
// server, so that the next death has one culprit; a suspect that runs to its
// end is cleared.
type Shared struct {
	clock clock.Clock
	rand  clock.Rand
	opts  Options
	link  peer.Link // may be nil

	// verdicts is read by every request; it is copied on change.
	verdicts atomic.Pointer[map[Fingerprint]row]

	mu     sync.Mutex
	rows   map[Fingerprint]row
	recent []Death                // all servers' deaths of late
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
func NewShared(clk clock.Clock, rnd clock.Rand, link peer.Link, opts Options) *Shared {
	s := &Shared{
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
	_ Guard = (*Shared)(nil)
	_ Apart = (*Shared)(nil)
)

// publish is called with s.mu held, or before the Guard is shared.
func (s *Shared) publish() {
	copied := make(map[Fingerprint]row, len(s.rows))
	for fp, r := range s.rows {
		copied[fp] = r
	}
	s.verdicts.Store(&copied)
}

// expires returns when the row loses its effect.
func (s *Shared) expires(r *row) time.Time {
	if !r.Convicted.IsZero() {
		return r.Convicted.Add(s.opts.Term)
	}
	if len(r.Deaths) == 0 {
		return r.Since.Add(s.opts.Term)
	}
	return r.Deaths[len(r.Deaths)-1].At.Add(s.opts.Suspicion)
}

func (s *Shared) verdict(r *row, now time.Time) (Verdict, time.Duration) {
	left := s.expires(r).Sub(now)
	switch {
	case left <= 0 || len(r.Deaths) == 0:
		return Clear, 0
	case r.Convicted.IsZero():
		return Alone, 0
	default:
		return Refused, left
	}
}

// Check implements Guard. It takes no lock.
func (s *Shared) Check(fp Fingerprint) (Verdict, time.Duration) {
	r, ok := (*s.verdicts.Load())[fp]
	if !ok {
		return Clear, 0
	}
	return s.verdict(&r, s.clock.Now())
}

// End implements Guard. After a death it returns when the reachable peers know
// of it or ShareTime has passed: the caller's resend to another host must not
// meet one that has not heard.
func (s *Shared) End(fp Fingerprint, server string, died bool) {
	if s.beganOnDead(fp, server) || !died {
		return
	}
	if r, changed := s.blame(fp, Death{server, s.clock.Now()}); changed {
		s.share(r)
	}
}

// blame counts a death against fp, unless a suspect that ran on the server is
// the likelier cause.
func (s *Shared) blame(fp Fingerprint, d Death) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	culprit, hasSuspect := s.alone[d.Server]
	s.remember(d)
	if hasSuspect && culprit != fp {
		return row{}, false
	}
	return s.merge(row{Fingerprint: fp, Deaths: []Death{d}}), true
}

// remember keeps the recent deaths of all servers; s.mu is held.
func (s *Shared) remember(d Death) {
	kept := s.recent[:0]
	for _, old := range s.recent {
		if d.At.Sub(old.At) < s.opts.Burst+s.opts.SameDeath {
			kept = append(kept, old)
		}
	}
	s.recent = append(kept, d)
	for name, at := range s.dead {
		if d.At.Sub(at) >= s.opts.DeadFor {
			delete(s.dead, name)
		}
	}
	s.dead[d.Server] = d.At
	s.deadCount.Store(int64(len(s.dead)))
}

// merge adds what in tells to the row of its request; s.mu is held.
func (s *Shared) merge(in row) row {
	r, ok := s.rows[in.Fingerprint]
	if !ok {
		s.makeRoom()
		r.Fingerprint = in.Fingerprint
	}
	if in.Since.After(r.Since) {
		r.Since = in.Since
	}
	r.Deaths = s.union(append(append([]Death(nil), r.Deaths...), in.Deaths...), r.Since)
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
func (s *Shared) union(deaths []Death, since time.Time) []Death {
	sort.Slice(deaths, func(i, j int) bool { return deaths[i].At.Before(deaths[j].At) })
	var out []Death
	for _, d := range deaths {
		if d.At.After(since) && !s.seen(out, d) {
			out = append(out, d)
		}
	}
	return out
}

func (s *Shared) seen(deaths []Death, d Death) bool {
	for _, o := range deaths {
		if o.Server == d.Server && d.At.Sub(o.At).Abs() < s.opts.SameDeath {
			return true
		}
	}
	return false
}

// guilty decides on a suspect. While other servers die too, a death may have
// nothing to do with the request, so one more is needed then.
func (s *Shared) guilty(r *row) bool {
	n := len(r.Deaths)
	if n < s.opts.Deaths {
		return false
	}
	return n > s.opts.Deaths || !s.burst(r)
}

// burst reports whether a server on which r did not run died close to r's last
// death.
func (s *Shared) burst(r *row) bool {
	last := r.Deaths[len(r.Deaths)-1]
	for _, d := range s.recent {
		if last.At.Sub(d.At).Abs() < s.opts.Burst && !s.seen(r.Deaths, d) {
			return true
		}
	}
	return false
}

// makeRoom drops rows without effect, and the oldest if all have one; s.mu is
// held.
func (s *Shared) makeRoom() {
	if len(s.rows) < s.opts.MaxRows {
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
	if len(s.rows) >= s.opts.MaxRows {
		delete(s.rows, oldest)
	}
}
