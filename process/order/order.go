// Package order reconciles model engines with the pools table. The holder of
// the failure domain's lease sends absolute, idempotent orders, within the rate
// that the weight store can serve, and reads the resulting state back.
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

// ErrStaleFence is returned by Sender.Send when the engine refused the order
// because it has seen a higher fencing number.
var ErrStaleFence = errors.New("order: stale fencing number")

// Order is the complete desired state of an engine, independent of its current
// state.
type Order struct {
	Fence  uint64   `json:"fence"`  // fencing number of the lease
	Models []string `json:"models"` // model/adapter@version
	Role   string   `json:"role"`   // empty: no role is required
}

// Target is an engine and its desired state.
type Target struct {
	Name    string
	Address string   // host:port
	Models  []string // desired models as in Order.Models, sorted
	Role    string   // desired role; empty: any
	// ChecksFencing is set if the engine refuses stale fencing numbers.
	ChecksFencing bool
	// LastReported is the state in the engine's last load report, or nil. An
	// engine that reports its desired state is sent no request.
	LastReported *State
}

// State is the state that an engine reports.
type State struct {
	Models []string // loaded models as in Order.Models, in any order
	Role   string
	Fence  uint64 // highest fencing number seen; 0 if the engine checks none
}

// Sender sends requests to engines. Implementations are safe for concurrent
// use.
type Sender interface {
	// Send sends o to the engine at address (host:port) and returns nil once the
	// engine has accepted it. The error wraps ErrStaleFence if the engine refused
	// the fencing number. After any other error the order may have taken effect
	// or may still do so.
	Send(ctx context.Context, address string, o Order) error
	// ReadState returns the current state of the engine at address (host:port).
	ReadState(ctx context.Context, address string) (State, error)
}

// Lease is the lease under which orders are sent.
type Lease interface {
	lease.Holder
	// Invalidate drops the lease held with the fencing number fence after an
	// engine has reported the higher number seen.
	Invalidate(fence, seen uint64)
	// Release lets the next holder acquire the lease without waiting. No order
	// may be in flight.
	Release(ctx context.Context)
}

// Options configure a Manager. Lease, Clock, Sender and Targets are required;
// zero values of the others select the defaults.
type Options struct {
	Lease  Lease
	Clock  clock.Clock
	Sender Sender
	// Targets returns the engines of this host's failure domain and their
	// desired states.
	Targets func() []Target

	Interval time.Duration // between calls of Reconcile by Run; default 1 s
	// Timeout bounds each order and each read of an engine's state; it has to be
	// below half of lease.Options.MaxOrderDuration. Default 1.4 s.
	Timeout time.Duration
	// RetryInterval is the least time between two orders to one engine; it has
	// to exceed lease.Options.MaxOrderDuration. Default 5 s.
	RetryInterval time.Duration
	// OrdersPerSecond bounds the orders sent to all engines together, and so the
	// load on the weight store. Default 1.
	OrdersPerSecond float64
	MaxParallel     int // maximum number of orders in flight, and burst of the rate limit; default 4
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.Timeout, 1400*time.Millisecond)
	setDefault(&o.RetryInterval, 5*time.Second)
	setDefault(&o.OrdersPerSecond, 1)
	setDefault(&o.MaxParallel, 4)
}

// setDefault sets *v to def unless it is positive.
func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Counters are the totals of a Manager since its start. Sent counts orders sent,
// Confirmed those whose result showed in the engine's state, Failed those for
// which Sender.Send returned an error, and LeaseNotHeld orders that were not sent
// because the lease was no longer held.
type Counters struct {
	Sent, Confirmed, Failed, LeaseNotHeld atomic.Int64
}

// Manager sends orders while the lease is held.
type Manager struct {
	Counters Counters

	opts    Options
	limiter *rate.Limiter // OrdersPerSecond

	mu                  sync.Mutex           // guards the fields below
	nextOrderAt         map[string]time.Time // earliest time of the next order, by engine address
	unconfirmed         map[string]bool      // addresses of engines that accepted an order and do not show its result yet
	outcomeUnknownUntil time.Time            // an order without a response may still take effect until then
}

// New returns a manager that sends orders once Run or Reconcile is called.
func New(opts Options) *Manager {
	opts.setDefaults()
	return &Manager{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.OrdersPerSecond), opts.MaxParallel), nextOrderAt: map[string]time.Time{}, unconfirmed: map[string]bool{}}
}

// releaseTimeout bounds the release of the lease when Run ends.
const releaseTimeout = 2 * time.Second

// Run calls Reconcile every Interval until ctx ends, and then, with no order in
// flight, releases the lease. If the outcome of a recent order is unknown, the
// lease is left to expire instead: that order could undo an order of a holder
// that starts at once. Run returns nil.
func (m *Manager) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			m.releaseLease(ctx)
			return nil
		case <-m.opts.Clock.After(m.opts.Interval):
			m.Reconcile(ctx)
		}
	}
}

// releaseLease releases the lease unless an order may still take effect.
func (m *Manager) releaseLease(ctx context.Context) {
	m.mu.Lock()
	outcomeUnknown := m.opts.Clock.Now().Before(m.outcomeUnknownUntil)
	m.mu.Unlock()
	if outcomeUnknown {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	m.opts.Lease.Release(ctx)
}

// Reconcile sends the orders that are due and returns when all have ended. It
// does nothing unless the lease is held. Orders in flight are not canceled when
// ctx ends: they may already be on the wire.
func (m *Manager) Reconcile(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if _, ok := m.opts.Lease.Held(m.opts.Clock.Now()); !ok {
		return
	}
	var wg sync.WaitGroup
	sem := make(chan struct{}, m.opts.MaxParallel)
	for _, t := range m.dueTargets() {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			m.apply(ctx, t)
		})
	}
	wg.Wait()
}

// dueTargets returns the engines whose last report does not show the desired
// state, as many as the rate limit allows, without those that got an order within
// RetryInterval. The others are left for a later call.
func (m *Manager) dueTargets() []Target {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Target
	for _, t := range m.opts.Targets() {
		if t.LastReported != nil && t.matches(*t.LastReported) {
			m.markConfirmed(t)
			continue
		}
		if now.Before(m.nextOrderAt[t.Address]) {
			continue
		}
		if !m.limiter.AllowN(now, 1) {
			break
		}
		m.nextOrderAt[t.Address] = now.Add(m.opts.RetryInterval)
		out = append(out, t)
	}
	return out
}

// matches reports whether an engine in state s needs no order. An empty role
// matches any.
func (t Target) matches(s State) bool {
	models := slices.Sorted(slices.Values(s.Models))
	return slices.Equal(models, t.Models) && (t.Role == "" || s.Role == t.Role)
}

// apply reads the state of an engine, sends an order if it differs from the
// desired state, and reads the state again.
func (m *Manager) apply(ctx context.Context, t Target) {
	if s, err := m.readState(ctx, t); err != nil || t.matches(s) {
		return
	}
	if !m.sendOrder(ctx, t) {
		return
	}
	s, err := m.readState(ctx, t)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unconfirmed[t.Address] = true
	if err == nil && t.matches(s) {
		m.markConfirmed(t)
	}
}

// markConfirmed counts the engine's last order as confirmed. The state that an
// engine reports lags, so the result of an order often shows only in a later
// report than the first read. The caller holds m.mu.
func (m *Manager) markConfirmed(t Target) {
	if m.unconfirmed[t.Address] {
		delete(m.unconfirmed, t.Address)
		m.Counters.Confirmed.Add(1)
	}
}

// readState reads the state of an engine within opts.Timeout.
func (m *Manager) readState(ctx context.Context, t Target) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	return m.opts.Sender.ReadState(ctx, t.Address)
}

// sendOrder sends one order and reports whether the engine accepted it. It
// checks the lease right before the write with the current time, so that a
// process that was suspended past its lease sends nothing. The order ends
// within the margin of the lease: on an engine that checks no fencing numbers it
// is over before the next holder starts. The remaining gap is a process
// suspended between this check and the write; see docs/design/leases.md.
func (m *Manager) sendOrder(ctx context.Context, t Target) bool {
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
		seen, _ := m.readState(ctx, t)
		m.opts.Lease.Invalidate(fence, seen.Fence)
	}
	if err != nil {
		m.Counters.Failed.Add(1)
		m.mu.Lock()
		m.outcomeUnknownUntil = m.opts.Clock.Now().Add(m.opts.RetryInterval)
		m.mu.Unlock()
		return false
	}
	return true
}
