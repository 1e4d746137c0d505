// Package lease elects at most one entry host of a failure domain at a time as
// the holder of the domain's lease. The lease is an object on the platform that
// is written by compare-and-swap on its version. Each holder gets a fencing
// number, which only increases.
package lease

import "time"

// Holder reports whether this entry host holds the lease.
type Holder interface {
	// Held returns the fencing number and true if, at now, this host holds the
	// lease for at least as long as the longest order takes.
	Held(now time.Time) (fence uint64, ok bool)
}
