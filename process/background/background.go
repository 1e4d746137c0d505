// Package background runs work beside an actor's loop until the loop ends.
package background

import "sync"

// Group runs functions in goroutines of their own. Unlike a sync.WaitGroup it
// may be asked to begin work while it is being closed: handlers and hints come
// from other goroutines until the end, and work that begins beside the wait
// would outlive the actor it belongs to. The zero value is ready for use.
type Group struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go begins f, unless the group is closed; it tells whether f was begun. It may
// be called from any goroutine.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(f)
	return true
}

// Close lets nothing more begin and waits for what has begun.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
