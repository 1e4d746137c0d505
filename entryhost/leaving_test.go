package entryhost

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/hop"
	"bilberrydale/internal/standin/platform"
	"bilberrydale/internal/standin/service"
	"bilberrydale/version/table"
)

// pair adds a pool of two services.
func (w *world) pair(pool string) [2]*service.Service {
	var out [2]*service.Service
	all := table.Pool{Name: pool, Kind: table.Service, Slots: 8}
	for i, name := range []string{"a", "b"} {
		out[i] = service.New(service.Options{Name: pool + "-" + name, Crash: func() {}})
		w.pool(table.Pool{Name: pool}, out[i].Handler())
		last := len(w.tables.Pools) - 1
		srv := w.tables.Pools[last].Servers[0]
		srv.Name = pool + "-" + name
		all.Servers = append(all.Servers, srv)
		w.tables.Pools = w.tables.Pools[:last]
	}
	w.tables.Pools = append(w.tables.Pools, all)
	return out
}

var _ = Describe("a backend server that leaves", func() {
	// The platform is down, so its list says nothing. The server says that it
	// leaves; it still answers, so nothing fails. Callers notice nothing: their
	// requests go to the other server, and the leaving one runs none any more,
	// by the executions that it counts itself.
	It("gets no new work, though the platform is down", func() {
		w := newWorld()
		servers := w.pair("encoders")
		r := fourStages()
		r.Stages = r.Stages[:1]
		w.tables.Routes = []table.Route{r}
		w.apply("ada")
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		ask := func() int {
			resp, _ := send(h, "/v1/drafts", "", "{}")
			return resp.StatusCode
		}
		Eventually(func() int64 {
			Expect(ask()).To(Equal(http.StatusOK))
			return min(servers[0].TotalExecutions(), servers[1].TotalExecutions())
		}, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 0))

		w.objects.SetFaults(platform.Faults{Down: true})
		servers[0].SetFaults(hop.Faults{Leaving: true})
		srv := w.tables.Pools[0].Servers[0]
		state := h.registry.Get(srv.Name, srv.Address, time.Now())
		Eventually(state.Leaving, 10*time.Second).Should(BeTrue())
		before := servers[0].TotalExecutions()
		for range 40 {
			Expect(ask()).To(Equal(http.StatusOK))
		}
		Expect(servers[0].TotalExecutions()).To(Equal(before))
	})
})
