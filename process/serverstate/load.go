package serverstate

import (
	"sync/atomic"
	"time"
)

// loadReport is the last load report, split when it arrives, so that the request
// path reads only two numbers.
type loadReport struct {
	load          atomic.Pointer[Load]
	otherRequests atomic.Int64 // requests of other hosts on the server
	ownRequests   atomic.Int64 // requests of this host in flight when the report arrived
	receivedAt    atomic.Int64 // unix nanoseconds
}

// reportHalfLife is the age at which a report has half its weight. Without the
// decay, a stale report would send the requests of every host to the server that
// was least loaded when the report was made.
const reportHalfLife = 5 * time.Second

// SetLoad stores a load report. It subtracts the requests that this host has in
// flight: their number is known exactly without a report. A report that arrives
// after the last failure ends the ejection of a disconnected server.
func (s *State) SetLoad(l *Load) {
	own := s.InFlight()
	s.report.ownRequests.Store(own)
	s.report.otherRequests.Store(max(0, int64(l.Running+l.Queued)-own))
	s.report.receivedAt.Store(l.Received.UnixNano())
	s.report.load.Store(l)
	s.health.recordReachable(l.Received)
}

// Load returns the last load report; nil if there was none.
func (s *State) Load() *Load { return s.report.load.Load() }

// EstimatedRequests returns an estimate of the requests on the server at now:
// those of this host, plus those of other hosts from the last report, weighted
// by its age. The weight makes it a fraction.
func (s *State) EstimatedRequests(now time.Time) float64 {
	return s.EstimatedRequestsAt(now.UnixNano())
}

// EstimatedRequestsAt is EstimatedRequests for a time in unix nanoseconds.
func (s *State) EstimatedRequestsAt(now int64) float64 {
	own := float64(max(0, s.InFlight()))
	others := s.report.otherRequests.Load()
	if others == 0 {
		return own
	}
	age := float64(now - s.report.receivedAt.Load())
	return own + float64(others)/(1+max(0, age)/float64(reportHalfLife))
}

// ReportedRequests returns the requests on the server according to its last
// report, and how many of them are of this host; 0 without a report. They are
// whole numbers, returned as float64 for use with EstimatedRequests.
func (s *State) ReportedRequests() (all, own float64) {
	n := s.report.ownRequests.Load()
	return float64(n + s.report.otherRequests.Load()), float64(n)
}

// ReportAge returns the age of the last report at now, a time in unix nanoseconds.
// Without a report it is the time since 1970.
func (s *State) ReportAge(now int64) time.Duration {
	return time.Duration(now - s.report.receivedAt.Load())
}
