package entryhost

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/platform"
	"bilberrydale/process/server"
	"bilberrydale/version/table"
)

// oneRoute has one stage on one engine pool.
func (w *world) oneRoute(pool string) {
	r := fourStages()
	r.Stages = r.Stages[:1]
	r.Stages[0].Pool = pool
	w.tables.Routes = []table.Route{r}
}

var _ = Describe("releases", func() {
	// Callers of a host that starts during an outage of the platform must not
	// meet it without tables: it is not ready, and says why. With a peer it is
	// ready with the peer's release, though the platform is still down.
	It("starts from a peer while the platform is down, and alone is not ready", func() {
		w := newWorld()
		w.engine("model")
		w.oneRoute("model")
		rel := w.apply("ada")
		first := w.hostWith(func(o *Options) { o.Name = "e1" })
		Eventually(first.ready, 5*time.Second).Should(BeTrue())

		w.objects.SetFaults(platform.Faults{Down: true})
		alone := w.hostWith(func(o *Options) { o.Name = "e2" })
		Eventually(func() string { return alone.Status().LastError }, 5*time.Second).Should(ContainSubstring("neither the platform nor a peer"))
		Expect(alone.ready()).To(BeFalse())

		second := w.hostWith(func(o *Options) { o.Name, o.PeerSeeds = "e3", first.members.listener.Addr().String() })
		second.members.mesh.AddPeer(first.members.link.Self())
		Eventually(second.ready, 10*time.Second).Should(BeTrue())
		Expect(second.Status().Release).To(Equal(rel.Number))
	})

	// A host starts during an outage of the platform and meets its peers only
	// later, as behind a partition that heals. It compares with a peer once a
	// minute here; heartbeats say what the peer has, so its callers wait for the
	// next heartbeat and not for a minute.
	It("learns what a peer has from its heartbeat", func() {
		w := newWorld()
		w.engine("model")
		w.oneRoute("model")
		rel := w.apply("ada")
		rare := func(o *Options) { o.Releases.SyncInterval = time.Minute }
		box := newMiddlebox() // e1's way to e2, shut at first
		first := w.hostWith(func(o *Options) { o.Name, o.PeerSeeds = "e1", box.Addr().String(); rare(o) })
		Eventually(first.ready, 10*time.Second).Should(BeTrue())
		w.objects.SetFaults(platform.Faults{Down: true})
		late := w.hostWith(func(o *Options) { o.Name = "e2"; rare(o) })
		Eventually(func() string { return late.Status().LastError }, 5*time.Second).Should(ContainSubstring("neither the platform nor a peer"))
		go box.run(late.members.listener.Addr().String())
		Eventually(late.ready, 20*time.Second).Should(BeTrue())
		Expect(late.Status().Release).To(Equal(rel.Number))
	})

	// A release names a new model version of a pool and changes a route. The
	// route is in force at once; the pool keeps its version until the server
	// reports that it has loaded the new one, so no request asks for a model
	// that nobody has.
	It("uses a new model version once servers have loaded it", func() {
		w := newWorld()
		w.engine("model")
		w.oneRoute("model")
		w.apply("ada")
		h := w.hostWith(func(o *Options) { o.Name = "e1" })
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		w.tables.Pools[0].Model.Version = "2"
		w.tables.Routes[0].Worth = 7
		rel := w.apply("ada")
		Eventually(func() uint64 { return h.Status().Release }, 5*time.Second).Should(Equal(rel.Number))
		snap := h.inForce.Load()
		Expect(snap.Routes[0].Worth).To(BeEquivalentTo(7))
		Expect(snap.Pools["model"].Model.String()).To(Equal("m"))

		srv := w.tables.Pools[0].Servers[0]
		Eventually(func() string {
			h.registry.Get(srv.Name, srv.Address, time.Now()).SetLoad(&server.Load{Models: []string{"m@2"}, Received: time.Now()})
			return fmt.Sprint(h.inForce.Load().Pools["model"].Model)
		}, 5*time.Second).Should(Equal("m@2"))
	})
})
