package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a steady clock that goes on while the machine is suspended, which
// Go's own monotonic clock does not: knowledge that was recent before a
// suspension must not count as recent after it. Its times have an arbitrary
// start and compare only with each other.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Not known to fail on Linux; the wall clock counts suspension, too.
		return time.Unix(0, time.Now().UnixNano())
	}
	return time.Unix(ts.Unix())
}

// After implements Clock.
func (Boot) After(d time.Duration) <-chan time.Time { return time.After(d) }
