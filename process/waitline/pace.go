package waitline

import (
	"sync/atomic"
	"time"
)

// pace estimates the time between two turns of a line while requests wait in it.
type pace struct {
	last    time.Time     // of the last turn, or when the line began
	mean    time.Duration // time between two turns
	samples int
}

const (
	minPaceSamples = 4               // turns before the pace counts as known
	paceWeight     = 0.2             // weight of the newest turn
	maxPaceAge     = 2 * time.Second // without requests that wait, after which the pace is not known
)

// lineBegins records that a request has joined an empty line.
func (p *pace) lineBegins(now time.Time) {
	if now.Sub(p.last) > maxPaceAge {
		*p = pace{}
	}
	p.last = now
}

// turn records a turn.
func (p *pace) turn(now time.Time) {
	gap := now.Sub(p.last)
	p.last = now
	p.samples++
	p.mean += time.Duration(max(paceWeight, 1/float64(p.samples)) * float64(gap-p.mean))
}

// gap returns the time between two turns. It returns false if that is not known.
func (p *pace) gap(now time.Time) (time.Duration, bool) {
	if p.samples < minPaceSamples {
		return 0, false
	}
	return max(p.mean, min(now.Sub(p.last), maxPaceAge)), true
}

// RetryAfter returns when a refused caller with the given time to its deadline may return, so that
// callers return at the pace at which the line has turns, after those that wait. It returns false if
// the pace is not known. random is uniformly distributed in [0,1).
func (l *Line) RetryAfter(left time.Duration, random float64, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap, known := l.pace.gap(now)
	if !known || gap <= 0 || now.Sub(l.pace.last) > maxPaceAge {
		return 0, false
	}
	latest := left / returnShare
	at := later(l.returns, now.Add(time.Duration(len(l.tickets))*gap)).Add(gap)
	wait := at.Sub(now)
	if wait > latest {
		// There is no turn for it in time, unless others leave.
		return max(time.Duration((1+random)/2*float64(latest)), minReturn), true
	}
	l.returns = at
	return max(wait+time.Duration((random-0.5)*float64(gap)), minReturn), true
}

const (
	// returnShare is the part of the time left, as a divisor, after which a caller does not wait for
	// its return.
	returnShare = 3
	minReturn   = 20 * time.Millisecond
)

// UsualTimeout learns the timeout with which most callers of a route ask first. Its zero value knows
// none. It is safe for concurrent use; updates at the same time may be lost.
type UsualTimeout struct {
	timeout atomic.Int64 // nanoseconds
	lead    atomic.Int64 // number by which requests with timeout outnumber others, at most maxLead
}

const (
	minLead = 8 // from which the timeout counts as usual
	maxLead = 64
)

// Elapsed records the timeout that a caller names and returns for how long the caller has been asking
// already: callers who were refused return with what is left of their time. It is 0 if most callers do
// not name the same timeout, or if this one is not shorter.
func (u *UsualTimeout) Elapsed(timeout time.Duration) time.Duration {
	usual, lead := time.Duration(u.timeout.Load()), u.lead.Load()
	switch {
	case timeout == usual:
		u.lead.Store(min(lead+1, maxLead))
	case lead > 0:
		u.lead.Store(lead - 1)
	default:
		u.timeout.Store(int64(timeout))
		u.lead.Store(1)
	}
	if lead < minLead || timeout <= 0 {
		return 0
	}
	return max(usual-timeout, 0)
}
