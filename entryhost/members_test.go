package entryhost

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/engine"
	"bilberrydale/process/member"
	"bilberrydale/version/table"
)

// peered starts an entry host that knows the peer addresses given.
func (w *world) peered(name string, peers string) (*Host, context.CancelFunc) {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.PlatformURL = name, "d1", "r1", w.store.URL
	opts.ListenAddress, opts.AdminAddress, opts.PeerAddress, opts.LogLevel = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "error"
	opts.PeerSecret, opts.PeerSeeds = "secret", peers
	opts.Membership.LeaseTTL, opts.Membership.OrdersPerSecond = 1500*time.Millisecond, 100
	ctx, cancel := context.WithCancel(context.Background())
	h, err := New(ctx, opts)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	DeferCleanup(stop)
	return h, stop
}

var _ = Describe("entry hosts as peers", func() {
	It("meet over TCP, see each other drain and end", func() {
		w := newWorld()
		e1, _ := w.peered("e1", "")
		address := e1.members.listener.Addr().String()
		e2, _ := w.peered("e2", address)
		e3, stop := w.peered("e3", address)
		state := func(h *Host, of string) func() member.State {
			return func() member.State {
				p, ok := h.members.view.Lookup(of)
				if !ok {
					return -1
				}
				return p.State
			}
		}
		for _, pair := range []struct {
			h  *Host
			of string
		}{{e1, "e2"}, {e1, "e3"}, {e2, "e1"}, {e2, "e3"}, {e3, "e1"}, {e3, "e2"}} {
			Eventually(state(pair.h, pair.of), 10*time.Second).Should(Equal(member.Alive))
		}
		e2.Drain()
		Eventually(func() bool { p, _ := e1.members.view.Lookup("e2"); return p.Draining }, 10*time.Second).Should(BeTrue())
		stop()
		Eventually(state(e1, "e3"), 10*time.Second).Should(Equal(member.Gone))
		Eventually(state(e2, "e3"), 10*time.Second).Should(Equal(member.Gone))
	})

	// A release names a new model version. Pools switch to it only when enough
	// engines have it, so somebody has to order the load before the switch; a
	// holder that ordered only what is in force would wait for ever.
	It("have one holder that makes engines load a new model version before the switch", func() {
		w := newWorld()
		e := engine.New(engine.Options{Name: "model-1", ResponseTokens: 20, InitialModel: "m", EnforceFencing: true, Crash: func() {}})
		w.pool(table.Pool{Name: "model", Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}, Fencing: true}, e.Handler())
		route := fourStages()
		route.Stages = route.Stages[3:]
		w.tables.Routes = []table.Route{route}
		w.apply("ada")
		e1, _ := w.peered("e1", "")
		e2, _ := w.peered("e2", e1.members.listener.Addr().String())
		held := func(h *Host) bool { _, ok := h.members.lease.Held(time.Now()); return ok }
		Eventually(func() bool { return held(e1) || held(e2) }, 15*time.Second).Should(BeTrue())
		Expect(e.AppliedFences()).To(BeEmpty(), "the engine has what it should")
		w.tables.Pools[0].Model.Version = "2"
		w.apply("bo")
		Eventually(func() []string { return e.LoadReport().Models }, 15*time.Second).Should(ConsistOf("m", "m@2"))
		for _, h := range []*Host{e1, e2} {
			Eventually(func() string { return h.inForce.Load().Pools["model"].Model.String() }, 15*time.Second).Should(Equal("m@2"))
		}
		Eventually(func() []string { return e.LoadReport().Models }, 15*time.Second).Should(ConsistOf("m@2"))
	})
})
