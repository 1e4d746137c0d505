// Package drain counts the work in flight so that a shutdown cuts none of it.
package drain

import (
	"context"
	"sync/atomic"
)

// Gate lets work in until it is closed. The zero value is open.
type Gate struct {
	closed atomic.Bool
	active atomic.Int64
	idle   atomic.Pointer[chan struct{}]
}

// Enter admits one piece of work; false means that the gate is closed. After
// true, Exit must follow once.
func (g *Gate) Enter() bool {
	// Counting before looking closes the race in which Close sees no work
	// while a request is between the two steps.
	g.active.Add(1)
	if g.closed.Load() {
		g.Exit()
		return false
	}
	return true
}

// Exit ends one piece of work.
func (g *Gate) Exit() {
	if g.active.Add(-1) == 0 && g.closed.Load() {
		g.signal()
	}
}

// Close stops new work. It may be called more than once.
func (g *Gate) Close() { g.closed.Store(true) }

// Closed reports whether Close was called.
func (g *Gate) Closed() bool { return g.closed.Load() }

// Active returns the work in flight.
func (g *Gate) Active() int64 { return g.active.Load() }

// Wait returns when the gate is closed and no work is left, or with ctx's
// error. One goroutine may wait at a time.
func (g *Gate) Wait(ctx context.Context) error {
	for {
		ch := make(chan struct{})
		g.idle.Store(&ch)
		if g.closed.Load() && g.active.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ch:
		}
	}
}

func (g *Gate) signal() {
	if ch := g.idle.Swap(nil); ch != nil {
		close(*ch)
	}
}
