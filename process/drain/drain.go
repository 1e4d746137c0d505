// Package drain counts the work in flight so that a shutdown cuts none of it.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
)

// Gate lets work in until it is closed. The zero value is open.
type Gate struct {
	closed atomic.Bool
	active atomic.Int64

	once sync.Once
	mu   sync.Mutex
	idle chan struct{} // closed when the gate is closed and no work is left
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

// Hold counts a piece of work that goes on after the one that let it in, also
// while the gate is closed. The caller still holds the gate; Exit must follow.
func (g *Gate) EnterNested() { g.active.Add(1) }

// Exit ends one piece of work.
func (g *Gate) Exit() {
	if g.active.Add(-1) == 0 && g.closed.Load() {
		g.signal()
	}
}

// Close stops new work. It may be called more than once.
func (g *Gate) Close() {
	g.closed.Store(true)
	if g.active.Load() == 0 {
		g.signal()
	}
}

// Closed reports whether Close was called.
func (g *Gate) Closed() bool { return g.closed.Load() }

// Active returns the work in flight.
func (g *Gate) Active() int64 { return g.active.Load() }

// Wait returns when the gate is closed and no work is left, or with ctx's
// error.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done():
		return nil
	}
}

func (g *Gate) done() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

func (g *Gate) signal() {
	g.once.Do(func() { close(g.done()) })
}
