// Package current holds the active version of a value, such as a configuration:
// it is replaced rarely and read by every request with one atomic load
// (read-copy-update).
package current

import "sync/atomic"

// Value holds the active version of an immutable value. It is safe for
// concurrent use; its zero value is empty.
type Value[T any] struct{ current atomic.Pointer[T] }

// Load returns the active version, or nil before the first Store. A request
// calls it once and uses the result for all its stages.
func (v *Value[T]) Load() *T { return v.current.Load() }

// Store makes next the active version. *next must not change afterwards.
func (v *Value[T]) Store(next *T) { v.current.Store(next) }
