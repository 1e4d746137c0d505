// Package order brings model engines towards what the pools table wants. The
// holder of the domain's lease gives absolute, idempotent orders, within the
// weight store's rate, and reads their results back.
package order

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/process/clock"
	"bilberrydale/process/lease"
)

// ErrOldFence: the engine has seen a higher fencing number.
var ErrStaleFence = errors.New("order: fencing number is old")

// Order states what an engine is to have, whatever it has now.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"` // model/adapter@version
	Role   string   `json:"role"`
}

// Target is an engine and what the tables want of it.
type Target struct {
	Name    string
	Address string
	Models  []string // sorted
	Role    string
	// Fencing says that the engine refuses old fencing numbers.
	ChecksFencing bool
	// Reported is the state last reported, or nil; an engine that has what it
	// should costs no call.
	LastReported *State
}

// State is what an engine has, by its own account.
type State struct {
	Models []string
	Role   string
	Fence  uint64 // highest fencing number seen; 0 on engines that check none
}

// Sender speaks to engines.
type Sender interface {
	// Send returns ErrOldFence when the engine refused the number.
	Send(ctx context.Context, address string, o Order) error
	ReadState(ctx context.Context, address string) (State, error)
}

// Lease is the lease that orders are given under.
type Lease interface {
	lease.Holder
	// Lost ends the lease held under fence: an engine has seen a higher number.
	Invalidate(fence, seen uint64)
	Release(ctx context.Context)
}

// Options configure a Manager; zero values get the defaults.
type Options struct {
	Lease  Lease
	Clock  clock.Clock
	Sender Sender
	// Targets returns the engines of this host's failure domain.
	Targets func() []Target

	Interval time.Duration // between rounds; default 1 s
	// Timeout bounds one order and its reading back each; it is below half of
	// the lease's longest order. Default 1.4 s.
	Timeout         time.Duration
	RetryInterval   time.Duration // between orders to one engine, above the longest order; default 5 s
	OrdersPerSecond float64       // orders a second that make engines load weights; default 1
	MaxParallel     int           // orders at once; default 4
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.Timeout, 1400*time.Millisecond)
	setDefault(&o.RetryInterval, 5*time.Second)
	setDefault(&o.OrdersPerSecond, 1)
	setDefault(&o.MaxParallel, 4)
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Counters count a Manager's work.
type Counters struct {
	Sent, Confirmed, Failed, LeaseNotHeld atomic.Int64
}

// Manager gives orders while the lease is held.
type Manager struct {
	Counters Counters

	opts    Options
	limiter *rate.Limiter
	mu      sync.Mutex
	next    map[string]time.Time // earliest next order by address
	sent    map[string]bool      // addresses whose order is not confirmed
	unsure  time.Time            // until when an order without an answer may still arrive
}

// New returns a manager.
func New(opts Options) *Manager {
	opts.setDefaults()
	return &Manager{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.OrdersPerSecond), opts.MaxParallel), next: map[string]time.Time{}, sent: map[string]bool{}}
}

// releaseTimeout bounds the giving up of the lease at the end.
const releaseTimeout = 2 * time.Second

// Run gives orders until ctx ends, and then, with no order left, releases the
// lease. If the fate of a late order is open, the lease is left to run out: a
// next holder that began at once could see its own order undone by that one.
func (m *Manager) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			m.release(ctx)
			return nil
		case <-m.opts.Clock.After(m.opts.Interval):
			m.Reconcile(ctx)
		}
	}
}

func (m *Manager) release(ctx context.Context) {
	m.mu.Lock()
	unsure := m.opts.Clock.Now().Before(m.unsure)
	m.mu.Unlock()
	if unsure {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	m.opts.Lease.Release(ctx)
}

// Round gives the orders that are due and returns when all have ended. Orders
// under way are not cut when ctx ends: they would be on the wire all the same.
func (m *Manager) Reconcile(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if _, ok := m.opts.Lease.Held(m.opts.Clock.Now()); !ok {
		return
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, m.opts.MaxParallel)
	for _, t := range m.due() {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			m.give(ctx, t)
		})
	}
	running.Wait()
}

// due returns the engines that differ from what is wanted, as far as the
// weight store's rate allows. The others wait for a later round.
func (m *Manager) due() []Target {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Target
	for _, t := range m.opts.Targets() {
		if t.LastReported != nil && t.satisfied(*t.LastReported) {
			m.confirm(t)
			continue
		}
		if now.Before(m.next[t.Address]) {
			continue
		}
		if !m.limiter.AllowN(now, 1) {
			break
		}
		m.next[t.Address] = now.Add(m.opts.RetryInterval)
		out = append(out, t)
	}
	return out
}

func (t Target) satisfied(s State) bool {
	have := slices.Sorted(slices.Values(s.Models))
	return slices.Equal(have, t.Models) && (t.Role == "" || s.Role == t.Role)
}

// give brings one engine to its target: read, order, read back.
func (m *Manager) give(ctx context.Context, t Target) {
	if s, err := m.read(ctx, t); err != nil || t.satisfied(s) {
		return
	}
	if !m.send(ctx, t) {
		return
	}
	s, err := m.read(ctx, t)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent[t.Address] = true
	if err == nil && t.satisfied(s) {
		m.confirm(t)
	}
}

// confirm counts an order whose result was seen; an engine's report lags, so
// that is often a later one than the first read.
func (m *Manager) confirm(t Target) {
	if m.sent[t.Address] {
		delete(m.sent, t.Address)
		m.Counters.Confirmed.Add(1)
	}
}

func (m *Manager) read(ctx context.Context, t Target) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	return m.opts.Sender.ReadState(ctx, t.Address)
}

// send gives one order. The lease is asked right before, with the clock as it
// is after whatever held this goroutine up: a process that was stopped past
// its lease finds here that it may not act any more. The order ends within the
// margin that the lease keeps, so that on an engine that checks nothing it is
// over before the next holder begins. What is left is a process stopped
// between this question and the write; see docs/design/leases.md.
func (m *Manager) send(ctx context.Context, t Target) bool {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	fence, ok := m.opts.Lease.Held(m.opts.Clock.Now())
	if !ok {
		m.Counters.LeaseNotHeld.Add(1)
		return false
	}
	m.Counters.Sent.Add(1)
	err := m.opts.Sender.Send(ctx, t.Address, Order{Fence: fence, Models: t.Models, Role: t.Role})
	if errors.Is(err, ErrStaleFence) {
		seen, _ := m.read(ctx, t)
		m.opts.Lease.Invalidate(fence, seen.Fence)
	}
	if err != nil {
		m.Counters.Failed.Add(1)
		m.mu.Lock()
		m.unsure = m.opts.Clock.Now().Add(m.opts.RetryInterval)
		m.mu.Unlock()
		return false
	}
	return true
}
