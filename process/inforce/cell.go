// Package inforce holds the value in force: written rarely, read by every
// request with one atomic load (read-copy-update).
package inforce

import "sync/atomic"

// Cell holds one immutable value that is swapped whole.
type Value[T any] struct{ p atomic.Pointer[T] }

// Load returns the value in force, or nil before the first Store. A request
// calls it once and keeps the result for all its stages.
func (c *Value[T]) Load() *T { return c.p.Load() }

// Store puts v in force. v must not change afterwards.
func (c *Value[T]) Store(v *T) { c.p.Store(v) }
