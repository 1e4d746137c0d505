package membership_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

const (
	interval          = 20 * time.Millisecond
	eventuallyTimeout = 10 * time.Second
)

// fleet is a set of running monitors on an in-memory network.
type fleet struct {
	t               *testing.T
	g               Gomega
	net             *peertest.Network
	lastIncarnation uint64
	draining        sync.Map // by host
	hosts           map[string]*host
}

type host struct {
	*membership.Monitor
	stop func()
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, g: NewWithT(t), net: peertest.NewNetwork(), hosts: map[string]*host{}}
}

func address(name string) string { return name + ":1" }

// start runs one host with the given seed hosts. The name of a host that is
// running or was stopped makes it a restart: the incarnation is higher.
func (f *fleet) start(name, domain string, attach func(*membership.Monitor), seeds ...string) *host {
	f.lastIncarnation++
	link := f.net.Join(peer.Identity{Host: name, Incarnation: f.lastIncarnation, Domain: domain, Region: "r", Address: address(name)})
	m := membership.New(membership.Options{
		Link: link, Clock: clock.System{}, Rand: clock.NewSeeded(f.lastIncarnation), Interval: interval, SeedInterval: 10 * interval,
		Draining: func() bool { _, ok := f.draining.Load(name); return ok },
		Seeds: func() []string {
			var out []string
			for _, s := range seeds {
				out = append(out, address(s))
			}
			return out
		},
	})
	if attach != nil {
		attach(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	h := &host{Monitor: m, stop: sync.OnceFunc(func() {
		cancel()
		<-done
	})}
	f.t.Cleanup(h.stop)
	f.hosts[name] = h
	return h
}

// domain starts n hosts d-0, d-1, ... with the given seed hosts.
func (f *fleet) domain(d string, n int, seeds ...string) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s-%d", d, i))
		f.start(names[i], d, nil, seeds...)
	}
	return names
}

func (f *fleet) kill(name string) {
	f.net.Leave(name)
	f.hosts[name].stop()
	delete(f.hosts, name)
}

func states(v membership.View) map[string]membership.State {
	out := map[string]membership.State{}
	for _, p := range v.Peers() {
		out[p.Host] = p.State
	}
	return out
}

// expectState waits until every running host has all others of hosts in state
// want.
func (f *fleet) expectState(want membership.State, hosts ...string) {
	f.t.Helper()
	for name, h := range f.hosts {
		for _, other := range hosts {
			if name != other {
				f.g.Eventually(func() any {
					p, ok := h.Lookup(other)
					return []any{ok, p.State}
				}, eventuallyTimeout, interval).Should(Equal([]any{true, want}), "%s of %s", name, other)
			}
		}
	}
}

// forEachPair calls do for each host of as with each host of bs.
func (f *fleet) forEachPair(as, bs []string, do func(a, b string)) {
	for _, a := range as {
		for _, b := range bs {
			do(a, b)
		}
	}
}

// All hosts restart at once, as in a failed roll-out, and know one seed each and
// nothing else. Every host has to discover the new incarnation of all others, in
// its own domain and in the other one.
func TestDiscoveryAfterSimultaneousRestart(t *testing.T) {
	f := newFleet(t)
	for range 2 {
		for name, h := range f.hosts {
			h.stop()
			f.net.Leave(name)
		}
		all := append(f.domain("a", 5, "a-0"), f.domain("b", 4, "a-0")...)
		f.expectState(membership.Alive, all...)
		for _, h := range f.hosts {
			for _, p := range h.Peers() {
				f.g.Eventually(func() uint64 { x, _ := h.Lookup(p.Host); return x.Incarnation }, eventuallyTimeout).Should(BeNumerically(">", f.lastIncarnation-9))
			}
		}
	}
}

// A connection between two hosts stops delivering while new ones work. A host
// that declared its peer gone because of the connection would move the peer's
// work elsewhere. It has to try a new connection first: the peer may be suspect
// for a moment but must never be gone.
func TestStaleConnectionDoesNotMakePeerGone(t *testing.T) {
	f := newFleet(t)
	f.domain("a", 2, "a-0")
	f.expectState(membership.Alive, "a-0", "a-1")
	var gone atomic.Int64
	h := f.hosts["a-0"]
	h.OnChange(func() {
		if p, _ := h.Lookup("a-1"); p.State == membership.Gone {
			gone.Add(1)
		}
	})
	for range 3 {
		checks := h.Counters.Checks.Load()
		f.net.BreakConnection("a-0", "a-1")
		f.g.Eventually(h.Counters.Checks.Load, eventuallyTimeout).Should(BeNumerically(">", checks))
		f.expectState(membership.Alive, "a-1")
	}
	f.g.Expect(gone.Load()).To(BeZero())
}

// One host of nine is killed. Only its three predecessors send it heartbeats;
// the others learn of the failure by gossip, check it on connections of their
// own, and declare it gone as well. After a restart all hosts have the new
// incarnation alive.
func TestKilledHostIsGoneOnAllHostsUntilRestart(t *testing.T) {
	f := newFleet(t)
	names := f.domain("a", 9, "a-0")
	f.expectState(membership.Alive, names...)
	f.kill("a-4")
	f.expectState(membership.Gone, "a-4")
	f.start("a-4", "a", nil, "a-0")
	f.expectState(membership.Alive, "a-4")
}

// A failure domain is partitioned from another one for a while. Each side keeps
// the hosts that it reaches, declares the others gone, and marks them alive
// again after the partition heals, without a restart or an operator's action.
func TestPartitionedDomainIsGoneUntilHealed(t *testing.T) {
	f := newFleet(t)
	as, bs := f.domain("a", 3, "a-0"), f.domain("b", 3, "a-0")
	f.expectState(membership.Alive, append(as, bs...)...)
	f.forEachPair(as, bs, f.net.Partition)
	for _, a := range as {
		for _, b := range bs {
			f.g.Eventually(func() membership.State { p, _ := f.hosts[a].Lookup(b); return p.State }, eventuallyTimeout).Should(Equal(membership.Gone))
			f.g.Eventually(func() membership.State { p, _ := f.hosts[b].Lookup(a); return p.State }, eventuallyTimeout).Should(Equal(membership.Gone))
		}
		for _, other := range as {
			if a != other {
				p, _ := f.hosts[a].Lookup(other)
				f.g.Expect(p.State).NotTo(Equal(membership.Gone))
			}
		}
	}
	f.forEachPair(as, bs, f.net.Heal)
	f.expectState(membership.Alive, append(as, bs...)...)
}

// Guards against a host that takes a peer for alive for as long as a partition lasts, as the reports that the
// peer is unresponsive came a moment after its last contact.
func TestReportsSoonAfterAContactAreFollowedUp(t *testing.T) {
	f := newFleet(t)
	as, bs := f.domain("a", 3, "a-0"), f.domain("b", 3, "a-0")
	f.expectState(membership.Alive, append(as, bs...)...)
	f.forEachPair(as, bs, func(a, b string) {
		f.net.Partition(a, b)
		p, _ := f.hosts[a].Lookup(b)
		f.hosts[a].RecordAlive(p.Identity)
	})
	for _, a := range as {
		for _, b := range bs {
			f.g.Eventually(func() membership.State { p, _ := f.hosts[a].Lookup(b); return p.State }, eventuallyTimeout).Should(Equal(membership.Gone), "%s of %s", a, b)
		}
	}
}

// One host cannot reach a peer that all others reach, and gossips that it is
// unresponsive. If the others trusted this report, one broken link would remove
// a healthy host everywhere; each checks the peer itself and keeps it alive.
func TestOneUnreachableLinkDoesNotMakePeerGoneElsewhere(t *testing.T) {
	f := newFleet(t)
	names := f.domain("a", 4, "a-0")
	f.expectState(membership.Alive, names...)
	gone := atomic.Int64{}
	for _, n := range []string{"a-2", "a-3"} {
		h := f.hosts[n]
		h.OnChange(func() {
			if p, _ := h.Lookup("a-1"); p.State == membership.Gone {
				gone.Add(1)
			}
		})
	}
	f.net.Partition("a-0", "a-1")
	f.g.Eventually(func() membership.State { p, _ := f.hosts["a-0"].Lookup("a-1"); return p.State }, eventuallyTimeout).Should(Equal(membership.Gone))
	received := f.hosts["a-2"].Counters.Received.Load()
	f.g.Eventually(f.hosts["a-2"].Counters.Received.Load, eventuallyTimeout).Should(BeNumerically(">", received+20))
	f.g.Expect(gone.Load()).To(BeZero())
}

func TestDrainingAndAttachmentsSpread(t *testing.T) {
	f := newFleet(t)
	var got sync.Map
	f.start("a-0", "a", func(m *membership.Monitor) {
		m.Attach("release", func() []byte { return []byte("42") }, func(peer.Identity, []byte) {})
	}, "a-1")
	f.start("a-1", "a", func(m *membership.Monitor) {
		m.Attach("release", func() []byte { return nil }, func(from peer.Identity, data []byte) { got.Store(from.Host, string(data)) })
	}, "a-0")
	f.domain("b", 2, "a-0")
	f.expectState(membership.Alive, "a-0", "a-1", "b-0", "b-1")
	f.g.Eventually(func() any { v, _ := got.Load("a-0"); return v }, eventuallyTimeout).Should(Equal("42"))
	f.draining.Store("a-0", true)
	for name, h := range f.hosts {
		if name != "a-0" {
			f.g.Eventually(func() bool { p, _ := h.Lookup("a-0"); return p.Draining }, eventuallyTimeout).Should(BeTrue(), name)
		}
	}
	f.g.Expect(states(f.hosts["b-0"])).To(HaveKeyWithValue("a-0", membership.Alive))
}
