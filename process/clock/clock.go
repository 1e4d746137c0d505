// Package clock gives decisions their time and random numbers, so that a run
// can be repeated exactly. Code under request/, connection/, version/ and
// process/ that decides something takes a Clock and a Rand; it never calls
// time.Now itself.
package clock

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock tells the time and wakes waiters.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Rand is a random source that is safe for concurrent use.
type Rand interface {
	// IntN returns a number in [0,n); n must be positive.
	IntN(n int) int
	// Float64 returns a number in [0,1).
	Float64() float64
	Uint64() uint64
}

// System is the real clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// SystemRand is the process's random source; it takes no lock.
type SystemRand struct{}

// IntN implements Rand.
func (SystemRand) IntN(n int) int { return rand.IntN(n) }

// Float64 implements Rand.
func (SystemRand) Float64() float64 { return rand.Float64() }

// Uint64 implements Rand.
func (SystemRand) Uint64() uint64 { return rand.Uint64() }

// Seeded is a repeatable random source.
type Seeded struct {
	mu sync.Mutex
	r  *rand.Rand
}

// NewSeeded returns a source whose sequence depends on seed alone.
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

// Manual is a clock that moves only when told to.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a manual clock that shows start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	at := m.now.Add(d)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{at, ch})
	return ch
}

// Advance moves the clock and wakes every waiter that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.at.After(m.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = kept
}

// Waiters returns how many goroutines wait on the clock.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}
