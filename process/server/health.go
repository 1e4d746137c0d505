package server

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// Outcome is how an attempt on a backend server ended.
type Outcome uint8

// Outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // a reset, silence or a server error
	Unreachable         // no connection could be made
	Overloaded          // refused as not started; the server is well but full
)

// Ejection: after failures in a row the server is passed over, but for one
// trial each time a period that doubles is over.
const (
	ejectAfter = 3
	ejectFirst = time.Second
	maxDoubles = 2
	// A lost server's own load report tells when it is back; trials, which cost
	// the stages before them, are left for servers without reports.
	maxDoublesLost = 5
)

// health is the evidence of attempts about a server.
type health struct {
	streak      atomic.Int64 // failures in a row
	unreachable atomic.Bool  // the last failure was that of the connection
	periods     atomic.Int64 // of ejection, without a success between
	until       atomic.Int64 // unix nanoseconds of the next trial
	failedAt    atomic.Int64 // unix nanoseconds of the last failure
	latency     estimate.Latency
}

// Record notes the end of an attempt.
//
// A single failure proves little: one request may crash the server or a link
// may drop one connection. Several in a row, with no success between, mean that
// the next attempt is likely lost as well, so the server is passed over. A
// connection that cannot be made counts as several: a dead server fails at once
// and looks idle, and would draw all work until it is ejected. A success ends
// the ejection.
func (s *State) RecordOutcome(now time.Time, o Outcome, took time.Duration) {
	h := &s.health
	switch o {
	case Succeeded:
		h.streak.Store(0)
		h.periods.Store(0)
		h.until.Store(0)
		h.latency.Observe(now, took)
	case Failed:
		h.unreachable.Store(false)
		h.failed(now, 1)
	case Unreachable:
		h.unreachable.Store(true)
		h.failed(now, ejectAfter)
	case Overloaded:
	}
}

func (h *health) failed(now time.Time, weight int64) {
	h.failedAt.Store(now.UnixNano())
	if h.streak.Add(weight) >= ejectAfter {
		h.extend(now, h.until.Load())
	}
}

// extend starts a period of ejection unless one runs or another goroutine does.
func (h *health) extend(now time.Time, old int64) bool {
	if now.UnixNano() < old {
		return false
	}
	most := int64(maxDoubles)
	if h.unreachable.Load() {
		most = maxDoublesLost
	}
	doubles := min(h.periods.Load(), most)
	if !h.until.CompareAndSwap(old, now.Add(ejectFirst<<doubles).UnixNano()) {
		return false
	}
	h.periods.Add(1)
	return true
}

// Health is what recent attempts say of a server.
type Health uint8

// Values of Health.
const (
	Healthy Health = iota
	// OnTrial: the period of ejection is over; Trial decides who may try.
	TrialDue
	// Outlier: attempts fail on it while it can be reached.
	Outlier
	// Lost: no connection can be made to it.
	Disconnected
)

// Health returns the state at now.
func (s *State) Health(now time.Time) Health {
	h := &s.health
	switch {
	case h.streak.Load() < ejectAfter:
		return Healthy
	case now.UnixNano() >= h.until.Load():
		return TrialDue
	case h.unreachable.Load():
		return Disconnected
	default:
		return Outlier
	}
}

// reachable notes that the server answered something else than a request. A
// server that was lost is back; one more failure ejects it again.
func (h *health) reachable(at time.Time) {
	if h.unreachable.Load() && at.UnixNano() > h.failedAt.Load() {
		h.unreachable.Store(false)
		h.streak.Store(ejectAfter - 1)
		h.until.Store(0)
	}
}

// Trial claims the one trial of a server whose period of ejection is over. One
// request finds out whether the server is back; the others are kept from being
// lost on it at the same time.
func (s *State) ClaimTrial(now time.Time) bool { return s.health.extend(now, s.health.until.Load()) }

// Latency returns the estimate over successful attempts.
func (s *State) Latency() *estimate.Latency { return &s.health.latency }
