// Package retryafter keeps until when backend servers want no requests of this host. A server asks
// for that by the Retry-After header of a response with status 503. It is not a failure: the
// server gets requests again when the time is over, first a few.
package retryafter

import (
	"sync"
	"sync/atomic"
	"time"
)

// Pause is a time in which a server wants no requests of this host.
type Pause struct {
	Since, Until time.Time
	ToldAt       time.Time // when the server last asked for it
	// ToldBy is the id of the request with whose response it did; empty: a call of this host's
	// own.
	ToldBy string
}

const (
	// confirmAfter is the time after which one request asks a server for a confirmation of a longer
	// pause. A sound server refuses it; a server that serves it has told a wrong time.
	confirmAfter = 5 * time.Minute
	// returnTime is the time after a pause for which requests are admitted by the window.
	returnTime = 5 * time.Second
	// fullWindow is the window at which requests are admitted freely again.
	fullWindow = 32
	// maxSpread bounds the time by which hosts return after each other.
	maxSpread = time.Second
	// spreadPerHost is the part of it for each host, and spreadShare its largest share of the
	// pause.
	spreadPerHost = 2 * time.Millisecond
	spreadShare   = 0.25
)

// State is what this host knows of the pauses of one server process. The zero value is that of a
// server that has asked for none. It is safe for concurrent use; Pause and Admits take no lock
// while the server asks for nothing.
type State struct {
	current atomic.Pointer[Pause] // nil: none, and the server has its full window

	mu        sync.Mutex // guards the fields below
	confirmed bool       // the request after confirmAfter was sent
	window    int        // requests that may be in flight after the pause
	inFlight  int        // requests admitted after the pause that have no response yet
	epoch     int        // counts the pauses, so that earlier requests do not count for the window
	ceiling   int        // of the window, after a return that led to the next pause; 0: none
}

// Pause returns the pause that lasts at now, or nil.
func (s *State) Pause(now time.Time) *Pause {
	p := s.current.Load()
	if p == nil || !now.Before(p.Until) {
		return nil
	}
	return p
}

// Admits reports whether a request may be sent to the server at now, without counting one.
func (s *State) Admits(now time.Time) bool {
	if s.current.Load() == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admits(s.current.Load(), now)
}

// admits is Admits for the current pause, which may be nil. The caller holds s.mu.
func (s *State) admits(p *Pause, now time.Time) bool {
	switch {
	case p == nil:
		return true
	case now.Before(p.Until):
		return !s.confirmed && now.Sub(p.Since) >= confirmAfter
	case now.Sub(p.Until) >= returnTime:
		return true
	default:
		return s.inFlight < s.window
	}
}

// Admission is a request that was admitted.
type Admission struct {
	state *State
	epoch int // of the state; 0: the request does not count for the window
}

// Admit counts a request that is about to be sent at now. It returns false if the server wants
// none. Done has to be called for one that was admitted.
func (s *State) Admit(now time.Time) (Admission, bool) {
	if s.current.Load() == nil {
		return Admission{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.current.Load()
	if !s.admits(p, now) {
		return Admission{}, false
	}
	switch {
	case p == nil:
		return Admission{}, true
	case now.Before(p.Until):
		s.confirmed = true
	case now.Sub(p.Until) >= returnTime:
		s.end(p)
		return Admission{}, true
	default:
		s.inFlight++
	}
	return Admission{s, s.epoch}, true
}

// end forgets a pause after which the server has its full window. The caller holds s.mu.
func (s *State) end(p *Pause) {
	s.current.CompareAndSwap(p, nil)
	s.inFlight, s.confirmed, s.ceiling = 0, false, 0
}

// Outcome is what became of a request that was admitted.
type Outcome int

// Outcomes.
const (
	NoResponse Outcome = iota // no response, or one that says nothing of the server
	Accepted                  // the server took the request
	Refused                   // the server had no room for it
)

// Done ends a request that was admitted, at now. The window doubles from round to round while the server
// takes what it gets; after a return that led to the next pause, up to half of what was in flight then.
func (a Admission) Done(o Outcome, now time.Time) {
	s := a.state
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.epoch != s.epoch {
		return
	}
	p := s.current.Load()
	s.inFlight = max(s.inFlight-1, 0)
	switch o {
	case Accepted:
		if s.ceiling == 0 || s.window < s.ceiling {
			s.window++
		}
		if p != nil && (now.Before(p.Until) || s.window >= fullWindow) {
			s.end(p)
		}
	case Refused:
		s.window = max(s.window/2, 1)
	case NoResponse:
	}
}

// Observe records that a server asked for a pause of d at now, in its response to a request with
// the id toldBy. A shorter pause does not end a longer one. It returns the pause if none lasted
// before, or nil.
//
// The hosts return in a random order: each waits for up to spread longer, of which random, from 0 to
// 1, is its part.
func (s *State) Observe(d time.Duration, toldBy string, now time.Time, hosts int, random float64) *Pause {
	if d <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &Pause{Since: now, Until: now.Add(d + time.Duration(random*float64(spread(d, hosts)))), ToldAt: now, ToldBy: toldBy}
	old := s.Pause(now)
	if last := s.current.Load(); old == nil && last != nil && now.Sub(last.Until) < returnTime {
		s.ceiling = max(s.inFlight/2, 1)
	}
	if old != nil && !next.Until.After(old.Until) {
		return nil
	}
	if old != nil {
		next.Since = old.Since
	} else {
		s.confirmed = false
	}
	s.epoch++
	s.window, s.inFlight = 1, 0
	s.current.Store(next)
	if old != nil {
		return nil
	}
	return next
}

// AfterEnd calls f once the pause that lasts now is over, also if it grows meanwhile. now returns the
// time of the state's other calls.
func (s *State) AfterEnd(now func() time.Time, f func()) {
	p := s.Pause(now())
	if p == nil {
		f()
		return
	}
	time.AfterFunc(p.Until.Sub(now()), func() { s.AfterEnd(now, f) })
}

// spread returns the time over which hosts return after a pause of d.
func spread(d time.Duration, hosts int) time.Duration {
	return min(time.Duration(hosts)*spreadPerHost, time.Duration(spreadShare*float64(d)), maxSpread)
}

// PausedError is the error of a request that is not sent, as its server wants none of this host.
type PausedError struct {
	Until time.Time // not after now: only few requests are sent to the server at first
}

// Error implements error.
func (e *PausedError) Error() string {
	return "the server wants no requests of this host until " + e.Until.Format(time.RFC3339Nano)
}

// Err returns the error of a request that Admit has not admitted.
func (s *State) Err() *PausedError {
	if p := s.current.Load(); p != nil {
		return &PausedError{p.Until}
	}
	return &PausedError{}
}

// Inherit takes over the pause of another state, for a process that is listed anew. The process
// started at started by its own clock, or is the same one if that is zero: a pause that was told
// before its start was another process's.
func (s *State) Inherit(from *State, started time.Time) {
	p := from.current.Load()
	if p == nil || !started.IsZero() && p.ToldAt.Before(started.Add(-maxClockDifference)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.window = 1
	s.current.Store(p)
}

// maxClockDifference is the difference of the wall clocks of a host and a server up to which a
// pause is taken for the new process's.
const maxClockDifference = time.Second
