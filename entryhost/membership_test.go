package entryhost

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/engine"
	"bilberrydale/process/membership"
	"bilberrydale/version/table"
)

// startPeer starts an entry host whose seeds are the comma-separated peers.
func (env *testEnv) startPeer(name string, peers string) (*Host, context.CancelFunc) {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.PlatformURL = name, "d1", "r1", env.store.URL
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
	It("connect over TCP and see each other drain and end", func() {
		env := newTestEnv()
		e1, _ := env.startPeer("e1", "")
		address := e1.membership.listener.Addr().String()
		e2, _ := env.startPeer("e2", address)
		e3, stop := env.startPeer("e3", address)
		peerState := func(h *Host, of string) func() membership.State {
			return func() membership.State {
				p, ok := h.membership.view.Lookup(of)
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
			Eventually(peerState(pair.h, pair.of), 10*time.Second).Should(Equal(membership.Alive))
		}
		e2.Drain()
		Eventually(func() bool { p, _ := e1.membership.view.Lookup("e2"); return p.Draining }, 10*time.Second).Should(BeTrue())
		stop()
		Eventually(peerState(e1, "e3"), 10*time.Second).Should(Equal(membership.Gone))
		Eventually(peerState(e2, "e3"), 10*time.Second).Should(Equal(membership.Gone))
	})

	// A release names a new model version. A pool switches to it only when enough
	// engines have loaded it, so the lease holder has to order the load before the
	// switch. If it ordered only the models in force, the switch would never come.
	It("have one lease holder that makes engines load a new model version before the switch", func() {
		env := newTestEnv()
		e := engine.New(engine.Options{Name: "model-1", ResponseTokens: 20, InitialModel: "m", EnforceFencing: true, Crash: func() {}})
		env.addPool(table.Pool{Name: "model", Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}, Fencing: true}, e.Handler())
		route := fourStageRoute()
		route.Stages = route.Stages[3:]
		env.tables.Routes = []table.Route{route}
		env.publish("ada")
		e1, _ := env.startPeer("e1", "")
		e2, _ := env.startPeer("e2", e1.membership.listener.Addr().String())
		holdsLease := func(h *Host) bool { _, ok := h.membership.elector.Held(time.Now()); return ok }
		Eventually(func() bool { return holdsLease(e1) || holdsLease(e2) }, 15*time.Second).Should(BeTrue())
		Expect(e.AppliedFences()).To(BeEmpty(), "the engine already has the desired model")
		env.tables.Pools[0].Model.Version = "2"
		env.publish("bo")
		Eventually(func() []string { return e.LoadReport().Models }, 15*time.Second).Should(ConsistOf("m", "m@2"))
		for _, h := range []*Host{e1, e2} {
			Eventually(func() string { return h.inForce.Load().Pools["model"].Model.String() }, 15*time.Second).Should(Equal("m@2"))
		}
		Eventually(func() []string { return e.LoadReport().Models }, 15*time.Second).Should(ConsistOf("m@2"))
	})
})
