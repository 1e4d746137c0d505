// Package lease lets one entry host at a time act for a failure domain. The
// lease is an object on the platform, taken by conditional update, with a
// fencing number that only rises.
package lease

import "time"

// Holder tells whether this entry host may act now.
type Holder interface {
	// Held returns the fencing number while the lease is held with enough
	// margin at now to finish the longest order.
	Held(now time.Time) (fence uint64, ok bool)
}
