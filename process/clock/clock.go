// Package clock provides time and random numbers as interfaces, so that a run
// can be repeated exactly. Code under request/, connection/, version/ and
// process/ whose decisions depend on time or chance takes a Clock and a Rand and
// does not call time.Now itself.
package clock

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock is a source of time. Implementations are safe for concurrent use.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Rand is a source of pseudo-random numbers that is safe for concurrent use.
type Rand interface {
	// IntN returns a number in [0,n); n must be positive.
	IntN(n int) int
	// Float64 returns a number in [0,1).
	Float64() float64
	// Uint64 returns a uniformly distributed 64-bit number.
	Uint64() uint64
}

// System is the clock of the operating system, as used by package time.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// SystemRand is the process-wide random source of math/rand/v2, which takes no
// lock.
type SystemRand struct{}

// IntN implements Rand.
func (SystemRand) IntN(n int) int { return rand.IntN(n) }

// Float64 implements Rand.
func (SystemRand) Float64() float64 { return rand.Float64() }

// Uint64 implements Rand.
func (SystemRand) Uint64() uint64 { return rand.Uint64() }

// Seeded is a random source with a reproducible sequence.
type Seeded struct {
	mu sync.Mutex // guards r
	r  *rand.Rand
}

// NewSeeded returns a source whose sequence depends only on seed.
func NewSeeded(seed uint64) *Seeded {
	return &Seeded{r: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// IntN implements Rand.
func (s *Seeded) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// Float64 implements Rand.
func (s *Seeded) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64()
}

// Uint64 implements Rand.
func (s *Seeded) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Uint64()
}

// Manual is a clock for tests whose time changes only by Advance.
type Manual struct {
	mu      sync.Mutex // guards now and waiters
	now     time.Time
	waiters []waiter // channels of After that are not due yet
}

// waiter is a channel returned by Manual.After and the time at which it is due.
type waiter struct {
	due time.Time
	ch  chan time.Time
}

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock. The time is delivered by the call of Advance that
// reaches it, or at once if d is not positive.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	due := m.now.Add(d)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{due, ch})
	return ch
}

// Advance moves the clock forward by d and delivers the time to every channel of
// After that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	pending := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			pending = append(pending, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = pending
}

// Waiters returns the number of channels of After that are not due yet.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}
