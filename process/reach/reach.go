// Package reach tells whether this entry host reaches backend servers by itself. A host may be
// cut off from all of them while its clients, the platform and the other hosts reach it: its
// connections then hang, are reset, or live on while new ones are refused. One server that fails
// does not show that; a host counts as cut off once no server of a sample accepts a connection.
package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
)

// Options configures a Tracker. All fields are required.
type Options struct {
	Clock clock.Clock
	// Sample returns the addresses of up to n listed servers in random order, in different
	// failure domains if possible.
	Sample func(n int) []string
	// Dial opens a connection to a server and keeps it for a later request. It has to fail
	// within a fraction of a second.
	Dial func(ctx context.Context, address string) error
	// OnChange is called when the host is cut off, and when it reaches a server again.
	OnChange func(Change)
}

// Change is a change of what is known of the host's own way to servers.
type Change struct {
	CutOff  bool
	Sampled int // servers that were asked for a connection
	// After is the time since the last connection that a server accepted, if it is known.
	After time.Duration
}

const (
	// sampleSize is the number of servers that are asked: enough that a crash of a few is not
	// taken for a cut.
	sampleSize = 4
	// minSample is the number of servers below which nothing is concluded: one may have ended.
	minSample = 2
	// minCheckInterval is the time after an accepted connection in which no check is made.
	minCheckInterval = 500 * time.Millisecond
	// recheckInterval is the time between checks while the host is cut off.
	recheckInterval = 300 * time.Millisecond
)

// Tracker tells whether the host is cut off. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	cutOff  atomic.Bool
	changed chan struct{} // receives a value when the host is cut off

	mu         sync.Mutex // guards the fields below
	acceptedAt time.Time  // last connection that a server accepted; zero: none
	cutSince   time.Time  // last accepted connection before the cut; zero: none
	running    *check     // nil: none
	deferred   bool       // a check is to start once minCheckInterval has passed
}

// check is a check in progress.
type check struct{ done chan struct{} }

// New returns a Tracker that takes the host for connected. Run has to be called.
func New(opts Options) *Tracker { return &Tracker{opts: opts, changed: make(chan struct{}, 1)} }

// CutOff reports whether the host reaches no server by itself.
func (t *Tracker) CutOff() bool { return t.cutOff.Load() }

// Accepted records that a server accepted a connection.
func (t *Tracker) Accepted() {
	t.mu.Lock()
	t.acceptedAt = t.opts.Clock.Now()
	t.mu.Unlock()
	t.set(false, 1)
}

// Suspect starts a check in the background. If a server accepted a connection a moment ago, the check starts
// later, unless another one accepts until then. It is called after each failure that a cut may have
// caused.
func (t *Tracker) Suspect() {
	if t.start() == nil {
		t.startLater()
	}
}

// startLater starts a check once minCheckInterval has passed since the last accepted connection, if that is
// still the last one then. There may be no later failure that starts one.
func (t *Tracker) startLater() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deferred {
		return
	}
	t.deferred = true
	acceptedAt := t.acceptedAt
	due := t.opts.Clock.After(acceptedAt.Add(minCheckInterval).Sub(t.opts.Clock.Now()))
	go func() {
		<-due
		t.mu.Lock()
		t.deferred = false
		accepted := t.acceptedAt != acceptedAt
		t.mu.Unlock()
		if !accepted {
			t.start()
		}
	}()
}

// Check returns the result of a check that starts now or is in progress, or false when ctx ends
// first. Without a check, because a server accepted a connection a moment ago, it is false.
func (t *Tracker) Check(ctx context.Context) bool {
	if t.CutOff() {
		return true
	}
	c := t.start()
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return t.CutOff()
	case <-ctx.Done():
		return false
	}
}

// ReachesAny asks some servers for a connection now, also if one accepted a moment ago, and reports
// whether one accepts. With too few servers to conclude anything it is true. It may be called from
// any goroutine.
func (t *Tracker) ReachesAny(ctx context.Context) bool { return t.sample(ctx) }

// start returns the check in progress, or starts one. It returns nil if none is due.
func (t *Tracker) start() *check {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running != nil {
		return t.running
	}
	if !t.acceptedAt.IsZero() && t.opts.Clock.Now().Sub(t.acceptedAt) < minCheckInterval {
		return nil
	}
	c := &check{done: make(chan struct{})}
	t.running = c
	go func() {
		t.sample(context.Background())
		t.mu.Lock()
		t.running = nil
		t.mu.Unlock()
		close(c.done)
	}()
	return c
}

// sample asks some servers for a connection at the same time. It returns once one has accepted or
// all have failed, and false in that case.
func (t *Tracker) sample(ctx context.Context) bool {
	addresses := t.opts.Sample(sampleSize)
	if len(addresses) < minSample {
		return true
	}
	begun := t.opts.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan error, len(addresses))
	var dials sync.WaitGroup
	for _, address := range addresses {
		dials.Go(func() { results <- t.opts.Dial(ctx, address) })
	}
	go func() {
		// Also after the first success: the other connections are kept for later, too.
		dials.Wait()
		cancel()
	}()
	for range addresses {
		if <-results == nil {
			t.Accepted()
			return true
		}
	}
	t.mu.Lock()
	outdated := t.acceptedAt.After(begun)
	t.mu.Unlock()
	if !outdated { // no server has accepted a connection meanwhile
		t.set(true, len(addresses))
	}
	return false
}

// set records whether the host is cut off.
func (t *Tracker) set(cutOff bool, sampled int) {
	if t.cutOff.Swap(cutOff) == cutOff {
		return
	}
	t.mu.Lock()
	since := t.cutSince
	if cutOff {
		since = t.acceptedAt
		t.cutSince = since
	}
	t.mu.Unlock()
	now := t.opts.Clock.Now()
	change := Change{CutOff: cutOff, Sampled: sampled}
	if !since.IsZero() {
		change.After = now.Sub(since)
	}
	t.opts.OnChange(change)
	if cutOff {
		select {
		case t.changed <- struct{}{}:
		default:
		}
	}
}

// Run checks again and again while the host is cut off, until ctx ends. It returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.changed:
		}
		for t.CutOff() {
			select {
			case <-ctx.Done():
				return nil
			case <-t.opts.Clock.After(recheckInterval):
			}
			t.sample(ctx)
		}
	}
}
