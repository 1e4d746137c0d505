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

// addServicePair adds a pool of two services and returns them.
func (env *testEnv) addServicePair(pool string) [2]*service.Service {
	var out [2]*service.Service
	all := table.Pool{Name: pool, Kind: table.Service, Slots: 8}
	for i, name := range []string{"a", "b"} {
		out[i] = service.New(service.Options{Name: pool + "-" + name, Crash: func() {}})
		env.addPool(table.Pool{Name: pool}, out[i].Handler())
		last := len(env.tables.Pools) - 1
		srv := env.tables.Pools[last].Servers[0]
		srv.Name = pool + "-" + name
		all.Servers = append(all.Servers, srv)
		env.tables.Pools = env.tables.Pools[:last]
	}
	env.tables.Pools = append(env.tables.Pools, all)
	return out
}

var _ = Describe("a backend server that leaves", func() {
	// The platform is down, so the list of servers does not change. The server
	// reports in its responses that it is leaving, and still serves requests, so no
	// request fails. New requests have to go to the other server: the leaving one's
	// own count of executions must not grow any more.
	It("gets no new work, though the platform is down", func() {
		env := newTestEnv()
		servers := env.addServicePair("encoders")
		r := fourStageRoute()
		r.Stages = r.Stages[:1]
		env.tables.Routes = []table.Route{r}
		env.publish("ada")
		h := env.startHost("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		sendStatus := func() int {
			resp, _ := sendToHost(h, "/v1/drafts", "", "{}")
			return resp.StatusCode
		}
		Eventually(func() int64 {
			Expect(sendStatus()).To(Equal(http.StatusOK))
			return min(servers[0].TotalExecutions(), servers[1].TotalExecutions())
		}, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 0))

		env.objects.SetFaults(platform.Faults{Down: true})
		servers[0].SetFaults(hop.Faults{Leaving: true})
		srv := env.tables.Pools[0].Servers[0]
		state := h.registry.Get(srv.Name, srv.Address, time.Now())
		Eventually(state.Leaving, 10*time.Second).Should(BeTrue())
		before := servers[0].TotalExecutions()
		for range 40 {
			Expect(sendStatus()).To(Equal(http.StatusOK))
		}
		Expect(servers[0].TotalExecutions()).To(Equal(before))
	})
})
