package edge

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/errkind"
	"bilberrydale/request/gateway"
)

// stop is the course of a shutdown. It is used by one goroutine.
type stop struct {
	h     *Host
	start time.Time // by Host.clock
	// bootStart is the start by Host.bootClock: the platform's limit passes while the system is suspended.
	bootStart time.Time
}

// beginStop begins the shutdown: the host is not ready, and responses close their connections.
func (h *Host) beginStop() *stop {
	s := &stop{h: h, start: h.clock.Now(), bootStart: h.bootClock.Now()}
	h.stopCounts.startedAt.Store(&s.start)
	s.setDeadline()
	h.stopping.Store(true)
	close(h.stopRequested)
	return s
}

// elapsed returns the time since the start.
func (s *stop) elapsed() time.Duration { return s.h.bootClock.Now().Sub(s.bootStart) }

// left returns the time until reserve before the end of the last requests.
func (s *stop) left(reserve time.Duration) time.Duration {
	return s.h.settings.ShutdownGracePeriod - stopMargin - reserve - s.elapsed()
}

// setDeadline tells requests when they are cancelled.
func (s *stop) setDeadline() {
	deadline := s.h.clock.Now().Add(s.left(0))
	s.h.stopDeadline.Store(&deadline)
}

// awaitTime waits until a time has passed since the start.
func (s *stop) awaitTime(d time.Duration) {
	for s.elapsed() < d && s.left(0) > 0 {
		<-s.h.clock.After(min(stopPollInterval, d))
		s.setDeadline()
	}
}

// awaitFor waits until a condition holds, for some time at most. The time is counted from now: a process that wakes
// late has to have it, too.
func (s *stop) awaitFor(condition func() bool, most time.Duration) {
	for end := s.h.clock.Now().Add(most); !condition() && s.h.clock.Now().Before(end); {
		<-s.h.clock.After(stopPollInterval)
	}
}

// await waits until a condition holds, and returns true, or until reserve before the end of the last
// requests, and returns false.
func (s *stop) await(condition func() bool, reserve time.Duration) bool {
	for !condition() {
		if s.left(reserve) <= 0 {
			return false
		}
		<-s.h.clock.After(stopPollInterval)
		s.setDeadline()
	}
	return true
}

// outcome returns what has come about, and the state after it.
func (s *stop) outcome(text string) []any { return append([]any{"outcome", text}, s.state()...) }

// state returns the state of connections and requests as keys and values of a log line.
func (s *stop) state() []any {
	conns, n := s.h.clientConns.Counts(), &s.h.stopCounts
	return []any{
		"after_ms", ms(s.elapsed()), "in_flight", s.h.activeRequests.Load(),
		"connections_unused", conns.Unused, "connections_idle", conns.Idle, "connections_reading", conns.Reading, "connections_request", conns.Request,
		"answered", n.answered.Load(), "refused", n.refused.Load(), "cut", n.cut.Load(), "broken_off", n.brokenOff.Load(), "left", n.left.Load(),
	}
}

// stopCounts counts the requests that ended since the shutdown started, by what their clients got.
type stopCounts struct {
	startedAt atomic.Pointer[time.Time] // nil before the shutdown

	answered  atomic.Int64 // the answer of a server, or an error for another reason than the shutdown
	refused   atomic.Int64 // as not run, since this host stops
	cut       atomic.Int64 // an error at the end of the time to stop, after they may have run
	brokenOff atomic.Int64 // a part of an answer
	left      atomic.Int64 // nothing, as they left
}

// countStopped counts a request, if it ended during the shutdown. It returns what its log line says of that, and
// whether the line must not be left out.
func (h *Host) countStopped(r *gateway.LogEntry) (fields []any, required bool) {
	startedAt := h.stopCounts.startedAt.Load()
	if startedAt == nil {
		return nil, false
	}
	fields = []any{"after_stop_ms", ms(h.clock.Now().Sub(*startedAt) - r.Duration)}
	failedInAnswer := r.Kind != "" && r.Kind != errkind.Cancelled && r.TimeToFirstByte > 0
	switch {
	case r.Kind == errkind.Draining && r.Ran == errkind.RanNo:
		h.stopCounts.refused.Add(1)
	case r.Kind == errkind.Draining && r.Status == 0, failedInAnswer:
		h.stopCounts.brokenOff.Add(1)
		return fields, true
	case r.Kind == errkind.Draining:
		h.stopCounts.cut.Add(1)
		return fields, true
	case r.Kind == errkind.Cancelled:
		h.stopCounts.left.Add(1)
	default:
		h.stopCounts.answered.Add(1)
	}
	return fields, false
}
