package bodylimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stallTime without a byte makes a transfer a stalled one. TCP has sent a lost packet again by
	// then.
	stallTime = 500 * time.Millisecond
	// minBytesPerSecond and rateTime make a transfer a slow one: over rateTime and more, fewer
	// bytes came. A body of 4 MiB would take over four minutes.
	minBytesPerSecond = 16 << 10
	rateTime          = 2 * time.Second
)

// transfer is the progress of a body that comes from a client or goes to one.
type transfer struct {
	began      time.Time // time that it had to wait for room is left out
	progressAt time.Time // of the last bytes
	bytes      int64
}

// silence returns how long nothing has come.
func (t transfer) silence(now time.Time) time.Duration { return now.Sub(t.progressAt) }

// bytesPerSecond returns the rate since the beginning.
func (t transfer) bytesPerSecond(now time.Time) float64 {
	return float64(t.bytes) / max(now.Sub(t.began), time.Millisecond).Seconds()
}

// slow reports whether the transfer is a slow one.
func (t transfer) slow(now time.Time) bool {
	return now.Sub(t.began) >= rateTime && t.bytesPerSecond(now) < minBytesPerSecond
}

// leastHopeful returns the index of the transfer to give up first: of the stalled ones the longest
// without a byte, then of the slow ones the slowest. -1: all make progress.
func leastHopeful(transfers []transfer, now time.Time) int {
	least := -1
	for i, t := range transfers {
		if !t.slow(now) && t.silence(now) < stallTime {
			continue
		}
		if least < 0 || lessHopeful(t, transfers[least], now) {
			least = i
		}
	}
	return least
}

// lessHopeful compares two transfers that are stalled or slow.
func lessHopeful(a, b transfer, now time.Time) bool {
	stalled := a.silence(now) >= stallTime
	if other := b.silence(now) >= stallTime; stalled != other {
		return stalled
	}
	if stalled {
		return a.silence(now) > b.silence(now)
	}
	return a.bytesPerSecond(now) < b.bytesPerSecond(now)
}

// claim is the memory that a body has and may still need.
type claim struct{ held, need int64 }

// reservedBefore returns the bytes that are kept for bodies that are expected to become whole before one
// that is expected to need n bytes: if all got the same, only one could go on in the end.
func reservedBefore(n int64, expected []int64) (sum int64) {
	for _, e := range expected {
		if e < n {
			sum += e
		}
	}
	return sum
}

// safe reports whether with free bytes each body can still become whole, one after the other: a body
// gives its memory back at its end. It is the safe state of the banker's algorithm. The order of
// claims is changed.
func safe(free int64, claims []claim) bool {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.need, b.need) })
	for _, c := range claims {
		if c.need > free {
			return false
		}
		free += c.held
	}
	return true
}
