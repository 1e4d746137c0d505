package server

import (
	"sync/atomic"
	"time"
)

// reported is the last load report, taken apart once so that the request path
// reads two numbers.
type reported struct {
	load     atomic.Pointer[Load]
	others   atomic.Int64 // requests on the server that other hosts sent
	own      atomic.Int64 // requests that this host had on it then
	received atomic.Int64 // unix nanoseconds
}

// reportHalfLife is the age at which a report counts for half. A report says
// less and less about the present; trusting a stale one sends every host to the
// server that was least loaded when it was made.
const reportHalfLife = 5 * time.Second

// SetLoad stores a report. What this host has in flight is taken out of it: it
// is known exactly at any time and needs no report.
func (s *State) SetLoad(l *Load) {
	own := s.InFlight()
	s.reported.own.Store(own)
	s.reported.others.Store(max(0, int64(l.Running+l.Queued)-own))
	s.reported.received.Store(l.Received.UnixNano())
	s.reported.load.Store(l)
	s.health.reachable(l.Received)
}

// Load returns the last report, or nil.
func (s *State) Load() *Load { return s.reported.load.Load() }

// Busy estimates the requests on the server now: those of this host, and those
// of others by the last report, weighted by its age.
func (s *State) EstimatedRequests(now time.Time) float64 {
	return s.EstimatedRequestsAt(now.UnixNano())
}

// BusyAt is Busy for a time in unix nanoseconds.
func (s *State) EstimatedRequestsAt(now int64) float64 {
	own := float64(max(0, s.InFlight()))
	others := s.reported.others.Load()
	if others == 0 {
		return own
	}
	age := float64(now - s.reported.received.Load())
	return own + float64(others)/(1+max(0, age)/float64(reportHalfLife))
}

// Reported returns the requests on the server at its last report, and how many
// of them this host had sent.
func (s *State) ReportedRequests() (all, own float64) {
	o := s.reported.own.Load()
	return float64(o + s.reported.others.Load()), float64(o)
}

// ReportAge returns the age of the last report; without one it is very old.
func (s *State) ReportAge(now int64) time.Duration {
	return time.Duration(now - s.reported.received.Load())
}
