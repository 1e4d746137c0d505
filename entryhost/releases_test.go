package entryhost

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/platform"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/table"
)

// setSingleStageRoute replaces the routes by one with a single stage on pool.
func (env *testEnv) setSingleStageRoute(pool string) {
	r := fourStageRoute()
	r.Stages = r.Stages[:1]
	r.Stages[0].Pool = pool
	env.tables.Routes = []table.Route{r}
}

var _ = Describe("releases", func() {
	// A host that starts during an outage of the platform must not serve callers
	// without tables: alone, it is not ready and reports why. With a peer, it gets
	// the peer's release and is ready, although the platform is still down.
	It("come from a peer while the platform is down, and a host without a peer is not ready", func() {
		env := newTestEnv()
		env.addEngine("model")
		env.setSingleStageRoute("model")
		rel := env.publish("ada")
		first := env.startHostWith(func(o *Options) { o.Name = "e1" })
		Eventually(first.ready, 5*time.Second).Should(BeTrue())

		env.objects.SetFaults(platform.Faults{Down: true})
		alone := env.startHostWith(func(o *Options) { o.Name = "e2" })
		Eventually(func() string { return alone.Status().LastError }, 5*time.Second).Should(ContainSubstring("neither the platform nor a peer"))
		Expect(alone.ready()).To(BeFalse())

		second := env.startHostWith(func(o *Options) { o.Name, o.PeerSeeds = "e3", first.membership.listener.Addr().String() })
		second.membership.mesh.AddPeer(first.membership.link.Self())
		Eventually(second.ready, 10*time.Second).Should(BeTrue())
		Expect(second.Status().Release).To(Equal(rel.Number))
	})

	// A host starts during an outage of the platform and can connect to its peers
	// only later, as after a network partition. It compares releases with a peer
	// only once a minute here, but heartbeats carry the number of the peer's release.
	// The host has to be ready after the next heartbeat, not after a minute.
	It("are announced by the heartbeats of a peer", func() {
		env := newTestEnv()
		env.addEngine("model")
		env.setSingleStageRoute("model")
		rel := env.publish("ada")
		syncRarely := func(o *Options) { o.Releases.SyncInterval = time.Minute }
		proxy := newLossyProxy() // from e1 to e2; does not forward until run
		first := env.startHostWith(func(o *Options) { o.Name, o.PeerSeeds = "e1", proxy.Addr().String(); syncRarely(o) })
		Eventually(first.ready, 10*time.Second).Should(BeTrue())
		env.objects.SetFaults(platform.Faults{Down: true})
		late := env.startHostWith(func(o *Options) { o.Name = "e2"; syncRarely(o) })
		Eventually(func() string { return late.Status().LastError }, 5*time.Second).Should(ContainSubstring("neither the platform nor a peer"))
		go proxy.run(late.membership.listener.Addr().String())
		Eventually(late.ready, 20*time.Second).Should(BeTrue())
		Expect(late.Status().Release).To(Equal(rel.Number))
	})

	// A release names a new model version of a pool and changes a route. The route
	// takes effect at once. The pool keeps its version until its server reports that
	// it has loaded the new one, so that no request needs a model that no server has.
	It("switch to a new model version once servers have loaded it", func() {
		env := newTestEnv()
		env.addEngine("model")
		env.setSingleStageRoute("model")
		env.publish("ada")
		h := env.startHostWith(func(o *Options) { o.Name = "e1" })
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		env.tables.Pools[0].Model.Version = "2"
		env.tables.Routes[0].Worth = 7
		rel := env.publish("ada")
		Eventually(func() uint64 { return h.Status().Release }, 5*time.Second).Should(Equal(rel.Number))
		snap := h.inForce.Load()
		Expect(snap.Routes[0].Worth).To(BeEquivalentTo(7))
		Expect(snap.Pools["model"].Model.String()).To(Equal("m"))

		srv := env.tables.Pools[0].Servers[0]
		Eventually(func() string {
			h.registry.Get(srv.Name, srv.Address, time.Now()).SetLoad(&serverstate.Load{Models: []string{"m@2"}, Received: time.Now()})
			return fmt.Sprint(h.inForce.Load().Pools["model"].Model)
		}, 5*time.Second).Should(Equal("m@2"))
	})
})
