package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ParseLimit parses a limit in requests per second, a decimal number. It returns false if text
// is not a finite number of at least 0.
func ParseLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !isLimit(perSecond) {
		return 0, false
	}
	return perSecond, true
}

// isLimit reports whether a number can be a limit.
func isLimit(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// State is what this host knows of the limit of one backend server, and its share of it. The
// zero value is that of a server without a limit. It is safe for concurrent use.
type State struct {
	limit   atomic.Pointer[Limit] // nil: none
	endedAt atomic.Int64          // when the last limit ended, in Unix nanoseconds; 0: never
	share   share

	brittle        atomic.Pointer[Brittleness] // nil: it is not
	brittleEndedAt atomic.Int64                // when it last ceased to be, in Unix nanoseconds; 0: never
	refusals       refusals
}

// Limit is a limit that a server has named.
type Limit struct {
	PerSecond float64   // requests per second from all entry hosts together
	NamedAt   time.Time // of the last response that named it, or of another host's message
	// since is when this host learned of a limit with the same schedule.
	since time.Time
}

// newLimit returns a limit that replaces another one; nil: none.
func newLimit(old *Limit, perSecond float64, now time.Time) *Limit {
	l := &Limit{PerSecond: perSecond, NamedAt: now, since: now}
	if old != nil && newSchedule(old.PerSecond) == newSchedule(perSecond) {
		l.since = old.since
	}
	return l
}

// Limit returns the limit of the server, or nil.
func (s *State) Limit() *Limit { return s.limit.Load() }

// replace replaces the limit that Limit has returned as old; nil: the server has none any
// more. It returns false if the limit has changed since.
func (s *State) replace(old, limit *Limit, now time.Time) bool {
	if !s.limit.CompareAndSwap(old, limit) {
		return false
	}
	if limit == nil {
		s.endedAt.Store(now.UnixNano())
	}
	return true
}

// endedWithin reports whether at, in Unix nanoseconds, is less than d before now; 0 is never.
func endedWithin(at int64, d time.Duration, now time.Time) bool {
	return at != 0 && now.UnixNano()-at < int64(d)
}
