package order_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/engineorder"
	"bilberrydale/internal/standin/engine"
	objects "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/lease"
	"bilberrydale/process/order"
)

const (
	ttl     = 15 * time.Second
	margin  = 5 * time.Second
	longest = 3 * time.Second
)

// domain is engines and hosts that compete for the lease to order them.
type domain struct {
	g       Gomega
	t       *testing.T
	store   *objects.Objects
	clock   *clock.Manual
	engines []*engine.Engine
	targets []order.Target
}

func newDomain(t *testing.T, engines int, fencing bool) *domain {
	d := &domain{g: NewWithT(t), t: t, store: objects.New(), clock: clock.NewManual(time.Unix(1000, 0))}
	for i := range engines {
		e := engine.New(engine.Options{Name: fmt.Sprint("e", i), Fencing: fencing, Crash: func() {}})
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		d.engines = append(d.engines, e)
		d.targets = append(d.targets, order.Target{
			Name: e.Name, Address: srv.Listener.Addr().String(), Models: []string{"m@1"}, Role: "decode", ChecksFencing: fencing,
		})
	}
	return d
}

// orderer is one entry host. Its hooks run in the middle of an order.
type orderer struct {
	*lease.Elector
	*order.Manager
	sender *hooked
}

// hooked runs before, once, between the manager's question whether the lease
// is held and the write of the order: the place where a stopped process cannot
// be kept from acting.
type hooked struct {
	order.Sender
	mu     sync.Mutex
	before func()
	lose   bool // the answer of every order
}

func (h *hooked) Send(ctx context.Context, address string, o order.Order) error {
	h.mu.Lock()
	before := h.before
	h.before = nil
	h.mu.Unlock()
	if before != nil {
		before()
	}
	err := h.Sender.Send(ctx, address, o)
	if h.lose && err == nil {
		return errors.New("answer lost")
	}
	return err
}

func (d *domain) host(name string, models ...string) *orderer {
	k := lease.NewElector(lease.Options{
		Store: d.store, Clock: d.clock, Rand: clock.NewSeeded(1), Key: lease.KeyPrefix + "d", Host: name,
		IsCandidate: func() bool { return true }, TTL: ttl, Margin: margin, MaxOrderDuration: longest,
	})
	s := &hooked{Sender: engineorder.New()}
	m := order.New(order.Options{Lease: k, Clock: d.clock, Sender: s, OrdersPerSecond: 100, MaxParallel: 100, Targets: func() []order.Target {
		out := append([]order.Target(nil), d.targets...)
		for i := range out {
			out[i].Models = models
		}
		return out
	}})
	return &orderer{k, m, s}
}

// acquire waits the earlier holder out and takes the lease.
func (d *domain) acquire(o *orderer) uint64 {
	for range 3 {
		o.Step(context.Background())
		d.clock.Advance(ttl + longest)
	}
	o.Step(context.Background())
	fence, ok := o.Held(d.clock.Now())
	d.g.Expect(ok).To(BeTrue())
	return fence
}

func TestOrdersAreAbsoluteAndReadBack(t *testing.T) {
	d := newDomain(t, 3, true)
	h := d.host("a", "m@1")
	ctx := context.Background()
	h.Reconcile(ctx)
	d.g.Expect(h.Counters.Sent.Load()).To(BeZero(), "no order without the lease")
	fence := d.acquire(h)
	h.Reconcile(ctx)
	d.g.Expect(h.Counters.Confirmed.Load()).To(BeEquivalentTo(3))
	for _, e := range d.engines {
		d.g.Expect(e.Load().Models).To(Equal([]string{"m@1"}))
		d.g.Expect(e.Applied()).To(Equal([]uint64{fence}))
	}
	d.clock.Advance(6 * time.Second)
	h.Reconcile(ctx)
	d.g.Expect(h.Counters.Sent.Load()).To(BeEquivalentTo(3), "an engine that has what it should gets no order")
}

// A holder wants forty engines to load weights at once. The weight store would
// be swamped and every load would be late; orders keep to its rate.
func TestOrdersKeepToTheWeightStoresRate(t *testing.T) {
	d := newDomain(t, 40, true)
	k := d.host("a", "m@1")
	m := order.New(order.Options{
		Lease: k.Elector, Clock: d.clock, Sender: engineorder.New(), OrdersPerSecond: 2, MaxParallel: 4, Targets: func() []order.Target { return d.targets },
	})
	d.acquire(k)
	m.Reconcile(context.Background())
	d.g.Expect(m.Counters.Sent.Load()).To(BeEquivalentTo(4), "the burst")
	for range 3 {
		d.clock.Advance(time.Second)
		m.Reconcile(context.Background())
	}
	d.g.Expect(m.Counters.Sent.Load()).To(BeEquivalentTo(10))
}

// The holder's process is stopped past its lease before it asks whether it may
// act. Another host takes over and gives its own orders. The wakened holder
// finds its time over by its own clock and sends nothing, whether engines
// check fencing numbers or not.
func TestWakenedHolderSendsNothing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			d := newDomain(t, 2, fencing)
			old, next := d.host("old", "m@1"), d.host("next", "m@2")
			d.acquire(old)
			second := d.acquire(next)
			next.Reconcile(context.Background())
			old.Reconcile(context.Background())
			d.g.Expect(old.Counters.Sent.Load()).To(BeZero())
			for _, e := range d.engines {
				d.g.Expect(e.Applied()).To(Equal([]uint64{second}))
			}
		})
	}
}

// The worst moment: the holder is stopped after it asked and before its order
// is written. When it wakes, the order goes out late, below another's lease.
// Engines that check refuse it, and the old holder learns that it lost. On
// engines that do not check it takes effect, which nothing here can exclude;
// orders are absolute, so the next holder reads the wrong state back and puts
// it right.
func TestOrderOfAHolderStoppedBeforeTheWrite(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			d := newDomain(t, 1, fencing)
			ctx := context.Background()
			old, next := d.host("old", "m@1"), d.host("next", "m@2")
			first := d.acquire(old)
			var second uint64
			old.sender.before = func() {
				second = d.acquire(next)
				next.Reconcile(ctx)
				d.g.Expect(next.Counters.Confirmed.Load()).To(BeEquivalentTo(1))
			}
			old.Reconcile(ctx)
			if fencing {
				d.g.Expect(d.engines[0].Applied()).To(Equal([]uint64{second}))
				_, ok := old.Held(d.clock.Now())
				d.g.Expect(ok).To(BeFalse())
				return
			}
			d.g.Expect(d.engines[0].Applied()).To(Equal([]uint64{second, first}))
			d.clock.Advance(6 * time.Second)
			next.Step(ctx)
			next.Reconcile(ctx)
			d.g.Expect(d.engines[0].Load().Models).To(Equal([]string{"m@2"}))
		})
	}
}

// The platform was restored to an older state and gives lower versions again,
// so a holder's number is below what engines have seen. They refuse it; it
// gives its lease up, takes it anew above their number, and is obeyed.
func TestHolderBelowTheEnginesNumberRisesAboveIt(t *testing.T) {
	d := newDomain(t, 1, true)
	ctx := context.Background()
	const seen = 1 << 40
	d.g.Expect(engineorder.New().Send(ctx, d.targets[0].Address, order.Order{Fence: seen, Models: []string{"m@0"}})).To(Succeed())
	h := d.host("a", "m@1")
	d.acquire(h)
	h.Reconcile(ctx)
	_, ok := h.Held(d.clock.Now())
	d.g.Expect(ok).To(BeFalse())
	d.g.Expect(d.acquire(h)).To(BeNumerically(">", uint64(seen)))
	h.Reconcile(ctx)
	d.g.Expect(d.engines[0].Load().Models).To(Equal([]string{"m@1"}))
}

// The daemon is told to stop while an order is on its way. Cutting the order
// would not take it back from the wire; if the lease were released then, the
// next holder could begin at once and the late order undo what it did. The
// order ends first; and when its answer was lost, the lease is not released.
func TestLeaseIsReleasedOnlyWhenNoOrderIsLeft(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "answer lost": false} {
		t.Run(name, func(t *testing.T) {
			d := newDomain(t, 1, true)
			old, next := d.host("old", "m@1"), d.host("next", "m@2")
			d.acquire(old)
			ctx, cancel := context.WithCancel(context.Background())
			old.sender.before = cancel
			old.sender.lose = !answered
			done := make(chan error, 1)
			go func() { done <- old.Manager.Run(ctx) }()
			d.g.Eventually(d.clock.Waiters).Should(Equal(1))
			d.clock.Advance(time.Second)
			d.g.Eventually(done, 10*time.Second).Should(Receive(BeNil()))
			d.g.Expect(d.engines[0].Load().Models).To(Equal([]string{"m@1"}), "the order was not cut")
			next.Step(context.Background())
			_, held := next.Held(d.clock.Now())
			d.g.Expect(held).To(Equal(answered))
		})
	}
}
