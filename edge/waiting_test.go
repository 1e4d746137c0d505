package edge

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

// slowServer is a backend server that holds each request until it is released.
type slowServer struct {
	arrived chan string   // paths of the requests, in order
	release chan struct{} // a value releases one request; closed: all
	all     func()        // closes release
}

// holdRequests makes a server hold its requests; those in warmUp take serverTime instead.
func holdRequests(t *testing.T, s *platformtest.Server) *slowServer {
	t.Helper()
	h := &slowServer{arrived: make(chan string, 100), release: make(chan struct{})}
	h.all = sync.OnceFunc(func() { close(h.release) })
	s.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == warmUp {
			<-time.After(serverTime)
			return false
		}
		h.arrived <- r.URL.Path
		<-h.release
		return false
	})
	return h
}

const (
	warmUp     = "/transfer/warm-up"
	serverTime = 300 * time.Millisecond
)

// newWaitingHost starts a host with one server of service ledger that has 8 slots, three routes to it
// (urgent, transfer and least), and target latencies so long that no request goes for a trial.
func newWaitingHost(t *testing.T) (*WithT, *testPlatform, *Host, *slowServer, *logBuffer) {
	t.Helper()
	t.Parallel()
	p := newTestPlatform(t)
	p.config.Routes = append(p.config.Routes, route("urgent", plan.Unsafe, "ledger"), route("least", plan.Unsafe, "ledger"))
	for i := range p.config.Routes {
		r := &p.config.Routes[i]
		r.Timeout, r.TargetLatency, r.Priority = time.Minute, time.Minute, 3
	}
	p.route("urgent").Priority, p.route("least").Priority = 0, 4
	p.store.PutConfig(p.config)
	slow := holdRequests(t, p.servers["ledger-1"])
	out := &logBuffer{}
	host := p.startHost("front-1", func(o *Options) { o.LogOutput = out })
	t.Cleanup(slow.all) // before the host stops
	return NewWithT(t), p, host, slow, out
}

// sendMany sends n requests, each in a goroutine of its own, whose responses go to the channel.
func sendMany(p *testPlatform, h *Host, path string, n int, responses chan<- clientResponse, options ...func(*platformtest.Request)) {
	for range n {
		go func() {
			responses <- p.send(h, "POST", path, "x", append([]func(*platformtest.Request){func(q *platformtest.Request) { q.Timeout = time.Minute }}, options...)...)
		}()
	}
}

// Limits of requests at a server with 8 slots, from which urgent requests and others wait.
const (
	lessUrgentLimit = 8
	urgentLimit     = 16
)

// Guards against less urgent requests that take the room of more urgent ones: those that came first
// wait for room at a slow server, and an urgent one that comes last is served before them. What
// cannot make its deadline is refused at once as not run, with a time to return.
func TestUrgentRequestPassesThoseThatWait(t *testing.T) {
	g, p, h, slow, log := newWaitingHost(t)
	responses := make(chan clientResponse, 100)
	g.Expect(p.send(h, "POST", warmUp, "x").status).To(Equal(http.StatusOK))
	sendMany(p, h, "/transfer/first", lessUrgentLimit, responses)
	g.Eventually(slow.arrived, "10s").Should(HaveLen(lessUrgentLimit))
	sendMany(p, h, "/least/waits", 2, responses)
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(2))
	sendMany(p, h, "/transfer/waits", 1, responses)
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(3))
	// Servers keep a reserve for urgent requests.
	sendMany(p, h, "/urgent/first", urgentLimit-lessUrgentLimit, responses)
	g.Eventually(slow.arrived, "10s").Should(HaveLen(urgentLimit))
	sendMany(p, h, "/urgent/waits", 1, responses)
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(4))
	g.Expect(h.state().RequestsWaiting).To(Equal(map[string]int{"ledger": 4}))

	hopeless := p.send(h, "POST", "/transfer/hopeless", "x", func(q *platformtest.Request) { q.Timeout = serverTime / 2 })
	g.Expect(hopeless.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(hopeless.body).To(ContainSubstring(`"kind":"overloaded","ran":"no"`))
	g.Expect(hopeless.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Eventually(log.String, "10s").Should(ContainSubstring(`"waited_ms":0,"wait_ended":"hopeless"`))
	g.Expect(h.meter.Counter("requests_refused_waiting_hopeless")).To(BeEquivalentTo(1))

	for range urgentLimit {
		g.Expect(slow.arrived).To(Receive())
	}
	slow.release <- struct{}{}
	g.Eventually(slow.arrived, "10s").Should(Receive(Equal("/urgent/waits")))
	g.Expect(h.gateway.Waiting("ledger")).To(Equal(3))
	for range urgentLimit - lessUrgentLimit + 1 {
		slow.release <- struct{}{}
	}
	g.Eventually(slow.arrived, "10s").Should(Receive(Equal("/transfer/waits")))
	slow.all()
	for range urgentLimit + 4 {
		var r clientResponse
		g.Eventually(responses, "10s").Should(Receive(&r))
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	g.Expect(h.gateway.AllWaiting()).To(BeEmpty())
	for _, r := range p.runs("ledger") {
		g.Expect(r.URI).NotTo(Equal("/transfer/hopeless"))
	}
	_, _, metrics := h.Addresses()
	text := get(t, "http://"+metrics+"/metrics")
	g.Expect(text).To(ContainSubstring("requests_waiting_ledger 0\n"))
	g.Expect(text).To(MatchRegexp(`request_wait_ledger_count [1-9]`))
}

// Guards against a request that is sent to a server after its caller has left, and against callers
// that are left without an answer at a shutdown: requests wait, one of the callers leaves, and the
// host shuts down.
func TestWaitingRequestsWhenCallersLeaveAndAtShutdown(t *testing.T) {
	g, p, h, slow, _ := newWaitingHost(t)
	responses := make(chan clientResponse, 100)
	sendMany(p, h, "/transfer/first", lessUrgentLimit, responses)
	g.Eventually(slow.arrived, "10s").Should(HaveLen(lessUrgentLimit))
	leaver := p.dial(h, "/transfer/leaves")
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(1))
	sendMany(p, h, "/transfer/stays", 1, responses)
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(2))
	g.Expect(leaver.Close()).To(Succeed())
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(Equal(1))

	p.stopHosts[0]()
	g.Eventually(func() int { return h.gateway.Waiting("ledger") }, "10s").Should(BeZero())
	slow.all()
	for i := range lessUrgentLimit + 1 {
		var r clientResponse
		g.Eventually(responses, "10s").Should(Receive(&r), fmt.Sprint("response ", i))
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	for _, r := range p.runs("ledger") {
		g.Expect(r.URI).NotTo(Equal("/transfer/leaves"))
	}
}

// get returns the body of a page.
func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
