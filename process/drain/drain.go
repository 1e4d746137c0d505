// Package drain counts the work in flight, so that a shutdown can wait for all
// of it to end, and has the error of that which does not end in time.
package drain

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// ErrDeadline is the cause with which the context of a request is cancelled at the end of the time that a process
// has to stop. The request is answered then, not broken off, unless its answer has begun.
var ErrDeadline = errors.New("this host stops before the request could end")

// Gate admits work until it is closed. The zero value is open. It is safe for
// concurrent use.
type Gate struct {
	closed atomic.Bool
	active atomic.Int64 // units of work in flight

	once    sync.Once     // closes drained
	mu      sync.Mutex    // guards the creation of drained
	drained chan struct{} // closed once the gate is closed and no work is in flight
}

// Enter admits one unit of work, or returns false if the gate is closed. After
// true the caller must call Exit exactly once.
func (g *Gate) Enter() bool {
	// The count is raised before closed is read: in the opposite order, Close
	// could find no work in flight while a request is between the two steps.
	g.active.Add(1)
	if g.closed.Load() {
		g.Exit()
		return false
	}
	return true
}

// EnterNested admits a unit of work that outlives the one that starts it, even
// if the gate is closed. The caller must have entered and not yet exited; Exit
// must be called exactly once for the new unit.
func (g *Gate) EnterNested() { g.active.Add(1) }

// Exit ends one unit of work.
func (g *Gate) Exit() {
	if g.active.Add(-1) == 0 && g.closed.Load() {
		g.signalDrained()
	}
}

// Close makes Enter refuse new work. It may be called more than once.
func (g *Gate) Close() {
	g.closed.Store(true)
	if g.active.Load() == 0 {
		g.signalDrained()
	}
}

// Closed reports whether Close was called.
func (g *Gate) Closed() bool { return g.closed.Load() }

// Active returns the number of units of work in flight.
func (g *Gate) Active() int64 { return g.active.Load() }

// Wait returns nil once the gate is closed and no work is in flight, or ctx's
// error if ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.drainedChan():
		return nil
	}
}

// drainedChan returns the channel drained, creating it on first use.
func (g *Gate) drainedChan() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	return g.drained
}

// signalDrained wakes all callers of Wait.
func (g *Gate) signalDrained() {
	g.once.Do(func() { close(g.drainedChan()) })
}
