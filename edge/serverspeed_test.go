package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/process/stages"
)

const (
	usualWork = 10 * time.Millisecond // of a request in these tests
	slowWork  = 100 * time.Millisecond
)

// pacedServer is a backend server that takes a time for each request.
type pacedServer struct {
	*platformtest.Server
	slow     atomic.Bool
	requests atomic.Int64
}

// paceServer makes a server take usualWork for each request, or slowWork while it is slow.
func paceServer(s *platformtest.Server) *pacedServer {
	p := &pacedServer{Server: s}
	s.SetLoadReport("")
	s.SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
		p.requests.Add(1)
		work := usualWork
		if p.slow.Load() {
			work = slowWork
		}
		<-time.After(work)
		return false
	})
	return p
}

// pacedServers returns three servers of one service.
func pacedServers(p *testPlatform) []*pacedServer {
	return []*pacedServer{paceServer(p.servers["ledger-1"]), paceServer(p.addServer("ledger-2", "ledger")), paceServer(p.addServer("ledger-3", "ledger"))}
}

// sendAtOnce sends n requests that may be repeated to a host, and expects them to be served.
func sendAtOnce(g *WithT, p *testPlatform, h *Host, n int) {
	var wg sync.WaitGroup
	statuses := make([]int, n)
	for i := range n {
		wg.Go(func() { statuses[i] = p.send(h, "GET", "/status/1", "").status })
	}
	wg.Wait()
	for _, status := range statuses {
		g.Expect(status).To(Equal(http.StatusOK))
	}
}

// speedOf returns a server's speed on the state page of a host, or the zero value.
func speedOf(h *Host, id string) speedState {
	for _, s := range h.state().Servers {
		if s.ID == id && s.Speed != nil {
			return *s.Speed
		}
	}
	return speedState{}
}

// Guards against a server that takes ten times as long as the others, says nothing of it and still gets
// a third of the requests; and against one that gets none after it is well.
func TestSlowServerGetsFewerRequestsUntilItIsWell(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	servers := pacedServers(p)
	h := p.startHost("front-1")
	g.Eventually(func() int { return len(h.directory.View().Servers("ledger")) }, "10s").Should(Equal(3))
	for range 5 {
		sendAtOnce(g, p, h, 6)
	}
	slow := servers[0]
	slow.slow.Store(true)
	g.Eventually(func() bool { sendAtOnce(g, p, h, 6); return speedOf(h, "ledger-1").Slow }, "20s").Should(BeTrue())
	before := slow.requests.Load()
	for range 10 {
		sendAtOnce(g, p, h, 6)
	}
	g.Expect(slow.requests.Load()-before).To(BeNumerically("<=", 10), "of 60")
	g.Eventually(func() string { return h.opts.LogOutput.(*logBuffer).String() }, "10s").Should(ContainSubstring("is slow and gets fewer requests"))
	g.Expect(h.slowServers()).To(Equal(1.0))

	slow.slow.Store(false)
	g.Eventually(func() bool { sendAtOnce(g, p, h, 6); return speedOf(h, "ledger-1").Slow }, "20s").Should(BeFalse())
	g.Eventually(func() string { return h.opts.LogOutput.(*logBuffer).String() }, "10s").Should(ContainSubstring("is as fast as usual again"))
}

// Guards against each host learning by itself: the second host has sent a slow server nothing since it
// became slow, and knows it from the first.
func TestHostsTellEachOtherOfASlowServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	servers := pacedServers(p)
	hosts := startHosts(g, p, 2)
	for _, h := range hosts {
		g.Eventually(func() int { return len(h.directory.View().Servers("ledger")) }, "10s").Should(Equal(3))
	}
	for range 5 {
		sendAtOnce(g, p, hosts[0], 6)
	}
	servers[1].slow.Store(true)
	g.Eventually(func() bool {
		sendAtOnce(g, p, hosts[0], 6)
		return speedOf(hosts[1], "ledger-2").Slow
	}, "20s").Should(BeTrue())
	g.Expect(speedOf(hosts[1], "ledger-2")).To(And(HaveField("OwnWeight", 0.0), HaveField("HeardHosts", 1)))
}

// Guards against a slow engine that goes on getting the requests whose prefix it has, when the host that
// does their stage work adds it to the servers that may run them.
func TestSlowServerIsADearTarget(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	paceServer(p.servers["model-1"])
	h := p.startHost("front-1")
	for range 20 {
		g.Expect(p.send(h, "POST", "/stream/stream/1", "x").status).To(Equal(http.StatusOK))
	}
	r := &stages.Request{HostDomain: "a"}
	before, listed := h.stageTarget("model-1", r)
	g.Expect(listed).To(BeTrue())
	usual := h.gateway.UsualTime("model")
	g.Expect(usual).To(BeNumerically(">=", usualWork))
	speed := &h.directory.View().Server("model-1").Speed
	for range 8 {
		speed.Observe(5, 1, 8, 1, h.clock.Now())
	}
	figures, unusual := speed.Figures()
	g.Expect(unusual).To(BeTrue())
	after, _ := h.stageTarget("model-1", r)
	g.Expect(after.Cost - before.Cost).To(BeNumerically("~", time.Duration((figures.RelativeTime-1)*float64(usual)), usual/2))
}
