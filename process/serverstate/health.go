package serverstate

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// Outcome is the result of an attempt on a backend server.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded   Outcome = iota
	Failed              // connection reset, timeout or server error
	Unreachable         // no connection could be opened
	Overloaded          // refused before execution; the server is healthy but full
)

// Ejection: after ejectAfterFailures consecutive failures a server gets no
// requests for firstEjection, then one trial request. The period doubles each
// time, up to the given number of doublings.
const (
	ejectAfterFailures   = 3
	firstEjection        = time.Second
	maxEjectionDoublings = 2 // of the period of a server that accepts connections
	// The load report of a disconnected server shows when it is back. Trial
	// requests are needed only for servers without reports, and a failed one wastes
	// the work of the stages before it, so they are rarer.
	maxDisconnectedDoublings = 5
)

// health is the state of a server derived from the outcomes of attempts.
type health struct {
	consecutiveFailures atomic.Int64     // Failed adds 1, Unreachable adds ejectAfterFailures
	unreachable         atomic.Bool      // the last failure was Unreachable
	ejections           atomic.Int64     // ejection periods since the last success
	ejectedUntil        atomic.Int64     // unix nanoseconds of the next trial
	lastFailureAt       atomic.Int64     // unix nanoseconds of the last failure
	latency             estimate.Latency // of successful attempts
}

// RecordOutcome records the outcome of an attempt that ended at now after
// the given duration. The duration is used only if the attempt succeeded.
//
// A single failure is weak evidence: one request may crash the server, or the
// network may drop one connection. After several consecutive ones the next
// attempt is likely to fail as well, so the server is ejected. Unreachable ejects
// at once: attempts on a dead server fail immediately, it appears idle, and would
// attract all work. A success ends the ejection.
func (s *State) RecordOutcome(now time.Time, o Outcome, duration time.Duration) {
	h := &s.health
	switch o {
	case Succeeded:
		h.consecutiveFailures.Store(0)
		h.ejections.Store(0)
		h.ejectedUntil.Store(0)
		h.latency.Observe(now, duration)
	case Failed:
		h.unreachable.Store(false)
		h.recordFailure(now, 1)
	case Unreachable:
		h.unreachable.Store(true)
		h.recordFailure(now, ejectAfterFailures)
	case Overloaded:
	}
}

// recordFailure adds weight consecutive failures and ejects the server if there
// are enough of them.
func (h *health) recordFailure(now time.Time, weight int64) {
	h.lastFailureAt.Store(now.UnixNano())
	if h.consecutiveFailures.Add(weight) >= ejectAfterFailures {
		h.startEjection(now, h.ejectedUntil.Load())
	}
}

// startEjection starts an ejection period unless one is in progress or another
// goroutine starts one. It reports whether it did. previousEnd is the end of the
// previous period in unix nanoseconds.
func (h *health) startEjection(now time.Time, previousEnd int64) bool {
	if now.UnixNano() < previousEnd {
		return false
	}
	maxDoublings := int64(maxEjectionDoublings)
	if h.unreachable.Load() {
		maxDoublings = maxDisconnectedDoublings
	}
	doublings := min(h.ejections.Load(), maxDoublings)
	if !h.ejectedUntil.CompareAndSwap(previousEnd, now.Add(firstEjection<<doublings).UnixNano()) {
		return false
	}
	h.ejections.Add(1)
	return true
}

// Health is the health of a server according to recent attempts.
type Health uint8

// Values of Health.
const (
	// Healthy servers are not ejected.
	Healthy Health = iota
	// TrialDue means that the ejection period is over. The request that gets true
	// from ClaimTrial may try the server.
	TrialDue
	// Outlier means that the server is ejected although connections to it open.
	Outlier
	// Disconnected means that the server is ejected because no connection to it
	// could be opened.
	Disconnected
)

// Health returns the health of the server at now.
func (s *State) Health(now time.Time) Health {
	h := &s.health
	switch {
	case h.consecutiveFailures.Load() < ejectAfterFailures:
		return Healthy
	case now.UnixNano() >= h.ejectedUntil.Load():
		return TrialDue
	case h.unreachable.Load():
		return Disconnected
	default:
		return Outlier
	}
}

// recordReachable records that the server responded to something other than a
// request at the given time. If it was disconnected, the ejection ends, and one
// more failure ejects it again.
func (h *health) recordReachable(at time.Time) {
	if h.unreachable.Load() && at.UnixNano() > h.lastFailureAt.Load() {
		h.unreachable.Store(false)
		h.consecutiveFailures.Store(ejectAfterFailures - 1)
		h.ejectedUntil.Store(0)
	}
}

// ClaimTrial reports whether the caller may send the trial request to a server
// whose ejection period is over. Only one caller gets true per period, so that
// at most one request fails if the server is still down.
func (s *State) ClaimTrial(now time.Time) bool {
	return s.health.startEjection(now, s.health.ejectedUntil.Load())
}

// Latency returns the latency estimate over successful attempts.
func (s *State) Latency() *estimate.Latency { return &s.health.latency }
