// Package serverspeed learns how long work takes at each backend server, relative to the usual time
// of such work, and how many requests at once a server takes before all of them take longer. It
// follows changes within seconds and forgets what it has not seen for some. It does no I/O and reads
// no clock.
package serverspeed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// Figures are what is known of a server's speed.
type Figures struct {
	// RelativeTime is how long work takes with few requests at the server; 1: as usual.
	RelativeTime float64
	// Room is the share of the server's slots up to which requests do not take longer for being
	// many; 1: all of them.
	Room float64
}

// State is what this host knows of the speed of one process of a backend server. The zero value is
// that of a server which works as usual. It is safe for concurrent use.
type State struct {
	judged        atomic.Uint64 // packed Figures; 0: as usual
	trialAt       atomic.Int64  // from when a slow server may get a trial, in Unix nanoseconds
	trialInterval atomic.Int64  // between trials, in nanoseconds; 0: minTrialInterval

	awaited   atomic.Int64 // requests of this host whose response has not begun
	overdueAt atomic.Int64 // when the next response is overdue, in Unix nanoseconds

	// common is the logarithm of the factor by which all servers have become slower lately, which is
	// not held against this one.
	common estimate.AtomicFloat64
	last   atomic.Uint64 // bits of swapLast's value; 0: there is none

	updatedAt      atomic.Int64 // of the last call of Update, in Unix nanoseconds; 0: none
	suspendedUntil atomic.Int64 // end of the last time of maxGap without a call, in Unix nanoseconds; 0: none

	mu        sync.Mutex // guards the following
	own       evidence
	told      average   // logarithm of what the server has told of its speed
	toldAt    time.Time // of the last report; zero: none
	heard     []heard   // of other hosts, the newest maxHeard
	sentAt    time.Time // newest measurement of this host that other hosts have been told
	announced bool      // whether it was slow at the last call of Update
	// trialPhase is the part of trialInterval until the first trial.
	trialPhase float64
}

// Thresholds of the judgement. Between the two of a pair it stays as it is, so that it does not
// change with each measurement.
const (
	slowAbove    = 1.8  // relative time from which a server counts as slow
	wellBelow    = 1.35 // relative time below which it no longer does
	crowdedBelow = 0.5  // room below which a server's slots count as too many
	roomyAbove   = 0.7  // room above which they no longer do
)

const (
	// toldHalfLife is the half-life of what a server tells of its speed, which changes many times a
	// second.
	toldHalfLife = 500 * time.Millisecond
	// maxToldWeight is the weight of what a server tells, next to the measurements.
	maxToldWeight = 3
	// maxToldAge is the age up to which it counts.
	maxToldAge = 2 * time.Second
)

// Figures returns the judgement. It is false if the server works as usual.
func (s *State) Figures() (Figures, bool) {
	packed := s.judged.Load()
	if packed == 0 {
		return Figures{1, 1}, false
	}
	return Figures{float64(math.Float32frombits(uint32(packed >> 32))), float64(math.Float32frombits(uint32(packed)))}, true
}

// Slow reports whether the server takes much longer than usual.
func (s *State) Slow() bool {
	f, unusual := s.Figures()
	return unusual && f.RelativeTime > 1
}

// Observe records a response's time, relative to the usual time of such requests at any server. load
// is the number of requests at the server with this one, of slots. weight tells how much the response
// says; 1: as much as one of requests that take equally long.
func (s *State) Observe(relative float64, load, slots int, weight float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.decay(now)
	s.own.observe(relative, load, slots, weight)
	s.own.newest = now
	s.judge(now)
	if relative < wellBelow && s.Slow() {
		s.trialAt.Store(now.UnixNano()) // the next ones show whether it stays so
	}
}

// swapLast keeps the logarithm of a relative time and returns the one before; false: there is none.
func (s *State) swapLast(log float64) (last float64, known bool) {
	if log == 0 {
		log = math.SmallestNonzeroFloat64
	}
	bits := s.last.Swap(math.Float64bits(log))
	return math.Float64frombits(bits), bits != 0
}

// ObserveAtLeast records that a response has not come within a time, of which relative is the ratio
// to the usual one. It counts only if the server was not known to be as slow.
func (s *State) ObserveAtLeast(relative float64, load, slots int, weight float64, now time.Time) {
	if relative > math.Exp(s.estimate(now).time.estimate()) {
		s.Observe(relative, load, slots, weight, now)
	}
}

// Tell records what the server tells: how long work takes there relative to what the servers of its
// service usually tell.
func (s *State) Tell(relative float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told.scale(math.Exp2(-max(now.Sub(s.toldAt), 0).Seconds() / toldHalfLife.Seconds()))
	s.told.add(bounded(math.Log(relative)), 1)
	s.toldAt = now
	s.judge(now)
}

// toldEvidence returns what the server has told, with the weight that it has among measurements. The
// caller holds s.mu.
func (s *State) toldEvidence(now time.Time) average {
	if s.told.weight == 0 || now.Sub(s.toldAt) > maxToldAge {
		return average{}
	}
	a := s.told
	a.scale(min(a.weight, maxToldWeight) / a.weight)
	return a
}

// combined returns all evidence as of now. The caller holds s.mu.
func (s *State) combined(now time.Time) evidence {
	s.own.decay(now)
	all := s.own
	for i := range s.heard {
		s.heard[i].decay(now)
		all = all.plus(s.heard[i].evidence)
	}
	all.time.sum -= s.common.Load() * all.time.weight
	all.time = all.time.plus(s.toldEvidence(now))
	return all
}

// estimate returns all evidence as of now.
func (s *State) estimate(now time.Time) evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.combined(now)
}

// judge updates the judgement. The caller holds s.mu.
func (s *State) judge(now time.Time) {
	before, _ := s.Figures()
	e := s.combined(now)
	f := Figures{math.Exp(e.time.estimate()), math.Exp(e.room.estimate())}
	if f.RelativeTime < wellBelow || f.RelativeTime < slowAbove && before.RelativeTime == 1 {
		f.RelativeTime = 1
	} else {
		f.RelativeTime = math.Exp(e.time.sum / e.time.weight) // it is slow: no guess that it is not
	}
	if f.Room > roomyAbove || f.Room > crowdedBelow && before.Room == 1 {
		f.Room = 1
	}
	if f.RelativeTime > 1 && before.RelativeTime == 1 {
		s.scheduleFirstTrial(now)
	}
	if f == (Figures{1, 1}) {
		s.judged.Store(0)
		return
	}
	s.judged.Store(uint64(math.Float32bits(float32(f.RelativeTime)))<<32 | uint64(math.Float32bits(float32(f.Room))))
}

// minTrialInterval is the least time between two trials of a slow server by one host.
const minTrialInterval = 500 * time.Millisecond

// trialIntervalPerHost keeps the trials of all hosts together to a few a second.
const trialIntervalPerHost = 250 * time.Millisecond

// TrialDue reports whether a slow server should get a request to show whether it has recovered.
func (s *State) TrialDue(now time.Time) bool { return now.UnixNano() >= s.trialAt.Load() }

// RecordSent records that the server gets a request. expected is a generous upper limit of the time of its
// response; zero: it is not known. RecordAwaited has to be called when it has come or failed.
func (s *State) RecordSent(now, expected time.Time) {
	if s.judged.Load() != 0 {
		s.scheduleTrial(now)
	}
	if s.awaited.Add(1) == 1 {
		s.setOverdueAt(expected)
	}
}

// RecordAwaited records that a request of RecordSent is not awaited any more. expected is a generous upper
// limit of the time of another response; zero: this one has failed, or it is not known, which changes
// nothing for the others.
func (s *State) RecordAwaited(expected time.Time) {
	s.awaited.Add(-1)
	if !expected.IsZero() {
		s.setOverdueAt(expected)
	}
}

// setOverdueAt sets the time from which the server is overdue.
func (s *State) setOverdueAt(at time.Time) {
	if at.IsZero() {
		s.overdueAt.Store(math.MaxInt64)
		return
	}
	s.overdueAt.Store(at.UnixNano())
}

// Overdue returns for how long a response of the server has been overdue: it has sent none for much
// longer than its requests usually take. 0: it is not.
func (s *State) Overdue(now time.Time) time.Duration {
	if s.awaited.Load() <= 0 {
		return 0
	}
	return max(time.Duration(now.UnixNano()-s.overdueAt.Load()), 0)
}

// scheduleTrial sets the time of the next trial.
func (s *State) scheduleTrial(now time.Time) {
	s.trialAt.Store(now.UnixNano() + max(s.trialInterval.Load(), int64(minTrialInterval)))
}

// scheduleFirstTrial sets the time of the first trial, which differs between hosts.
func (s *State) scheduleFirstTrial(now time.Time) {
	s.trialAt.Store(now.UnixNano() + max(int64(s.trialPhase*float64(s.trialInterval.Load())), int64(minTrialInterval)))
}

// Conditions are what Update goes by.
type Conditions struct {
	Now    time.Time
	Hosts  int     // all hosts, which together keep to a rate of trials
	Random float64 // random number in [0,1)
	// CommonSlowdown is the factor by which all servers of the service have become slower lately, see
	// Kinds.CommonSlowdowns; 0 is 1.
	CommonSlowdown float64
}

// Update lets what was seen a while ago lose weight. It has to be called a few times a second, and
// returns true if the server has become slow or well since the last call.
func (s *State) Update(c Conditions) (changed bool) {
	now := c.Now
	if s.suspendedSince(now, now) {
		s.suspendedUntil.Store(now.UnixNano())
	}
	s.updatedAt.Store(now.UnixNano())
	s.trialInterval.Store(int64(c.Hosts) * int64(trialIntervalPerHost))
	s.common.Store(math.Log(max(c.CommonSlowdown, 1)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trialPhase = c.Random
	if s.own.newest.IsZero() && len(s.heard) == 0 && s.toldAt.IsZero() {
		return false
	}
	s.forgetHeard(now)
	s.judge(now)
	slow := s.Slow()
	changed = slow != s.announced
	s.announced = slow
	return changed
}

// suspendedSince reports whether this host has been suspended after a time, as of now: Update was not called
// for maxGap.
func (s *State) suspendedSince(at, now time.Time) bool {
	updatedAt := s.updatedAt.Load()
	return at.UnixNano() < s.suspendedUntil.Load() || updatedAt != 0 && now.UnixNano()-updatedAt > int64(maxGap)
}

// Report is what operators see of a server's speed.
type Report struct {
	Figures
	Slow       bool
	OwnWeight  float64 // of this host's measurements
	AllWeight  float64 // of the measurements of all hosts and of what the server tells
	HeardHosts int     // other hosts whose measurements are known
	Told       float64 // mean of what the server has told in the last second; 0: nothing
	NewestAt   time.Time
}

// Report returns what is known of the server. Its figures are those that a judgement goes by.
func (s *State) Report(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.combined(now)
	r := Report{
		Figures: Figures{math.Exp(e.time.estimate()), math.Exp(e.room.estimate())}, Slow: s.Slow(),
		OwnWeight: s.own.time.weight, AllWeight: e.time.weight, HeardHosts: len(s.heard), NewestAt: e.newest,
	}
	if told := s.toldEvidence(now); told.weight > 0 {
		r.Told = math.Exp(told.sum / told.weight)
	}
	return r
}
