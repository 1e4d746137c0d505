// Package taskgroup runs goroutines that must end with the component that starts them.
package taskgroup

import "sync"

// Group runs functions in goroutines. Unlike with a sync.WaitGroup, Go may be called during
// Close: handlers and notifications call it from other goroutines until the end, and
// goroutines started concurrently with the wait could outlive the component they belong to.
// The zero value is ready for use.
type Group struct {
	mu      sync.Mutex // guards closed, and the start of goroutines against Close
	closed  bool
	running sync.WaitGroup
}

// Go starts f in a goroutine and returns true, or returns false if the group is closed and f does
// not run. It is safe for concurrent use.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(f)
	return true
}

// Close prevents further goroutines and waits for the running ones. It does not stop them: their
// owner does, for example by a context. A function run by the group must not call it.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
