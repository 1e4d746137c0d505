package quarantine

import (
	"sync/atomic"
	"time"
)

// completionSlots is the number of subjects whose completion is remembered; a newer one
// replaces another in its slot.
const completionSlots = 1 << 14

// completions remembers when requests with a subject last completed. A subject that has completed
// a short time ago does not crash each server that runs it: it ran beside one that does. The zero
// value is empty. It takes no lock; a reader may see the time of another subject that has just
// taken the slot, which is as recent.
type completions [completionSlots]struct{ fingerprint, at atomic.Uint64 }

// record remembers that a request with a subject completed at a time.
func (c *completions) record(fp Fingerprint, at time.Time) {
	slot := &c[fp%completionSlots]
	slot.at.Store(uint64(at.UnixNano()))
	slot.fingerprint.Store(uint64(fp))
}

// last returns when a request with a subject last completed; zero: not known.
func (c *completions) last(fp Fingerprint) time.Time {
	slot := &c[fp%completionSlots]
	if at := slot.at.Load(); at != 0 && Fingerprint(slot.fingerprint.Load()) == fp {
		return time.Unix(0, int64(at))
	}
	return time.Time{}
}
