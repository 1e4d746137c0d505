package entryhost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"bilberrydale/connection/backend"
	"bilberrydale/process/clock"
	"bilberrydale/request/entry"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// blockingServer is a backend server that does not respond until unblocked is
// closed. It sends the headers of each stage call on arrived.
type blockingServer struct {
	arrived   chan http.Header
	unblocked chan struct{}
	once      sync.Once
}

func (s *blockingServer) unblock() { s.once.Do(func() { close(s.unblocked) }) }

func (s *blockingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	if r.Header.Get(backend.HeaderRequestID) != "" { // not a poll of the server's load
		s.arrived <- r.Header.Clone()
	}
	<-s.unblocked
	_, _ = w.Write([]byte(`"whole"`))
}

// newBlockingEnv returns a platform with one route of one stage, and the
// blocking server that runs the stage.
func newBlockingEnv() (*testEnv, *blockingServer) {
	env := newTestEnv()
	s := &blockingServer{arrived: make(chan http.Header, 8), unblocked: make(chan struct{})}
	env.addPool(table.Pool{Name: "encoders", Kind: table.Service, Slots: 8}, s)
	DeferCleanup(s.unblock) // a failed spec must not leave blocked calls behind
	r := fourStageRoute()
	r.Stages = r.Stages[:1]
	env.tables.Routes = []table.Route{r}
	env.publish("ada")
	return env, s
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	body   string
	header http.Header
}

func sendAsync(h *Host) chan callerResponse {
	out := make(chan callerResponse, 1)
	go func() {
		defer GinkgoRecover()
		resp, body := sendToHost(h, "/v1/drafts", "", `{}`)
		out <- callerResponse{resp.StatusCode, string(body), resp.Header}
	}()
	return out
}

func getAdmin(h *Host, path string) (int, string) {
	_, admin := h.Addresses()
	resp, err := http.Get("http://" + admin + path)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}

var _ = Describe("the entry host daemon", func() {
	// A request is in flight when the platform ends the host. First, readiness has to
	// turn false while new requests are still served, so that the balancer moves
	// callers away before one is refused. Then new requests are refused as not run.
	// The one in flight gets its complete response, and the tasks that it may still
	// need run until then.
	It("cuts off no request at a graceful shutdown", func() {
		env, s := newBlockingEnv()
		h := env.newHost("e1", func(o *Options) { o.DrainDelay = 3 * time.Second })
		c := clock.NewManual(time.Unix(0, 0))
		h.clock = c
		taskEnded := make(chan struct{})
		h.addTask("probe", func(ctx context.Context) error {
			<-ctx.Done()
			close(taskEnded)
			return nil
		})
		finished := make(chan int64, 1)
		h.afterDrain = append(h.afterDrain, func(context.Context) error {
			defer GinkgoRecover()
			Expect(taskEnded).NotTo(BeClosed())
			finished <- h.gate.Active()
			return nil
		})
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		first := sendAsync(h)
		Eventually(s.arrived).Should(Receive())

		stop()
		Eventually(h.ready).Should(BeFalse())
		status, _ := getAdmin(h, "/ready")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		second := sendAsync(h) // the balancer has not noticed the drain yet
		Eventually(s.arrived).Should(Receive())

		Eventually(func() bool { c.Advance(3 * time.Second); return h.gate.Closed() }).Should(BeTrue())
		late := <-sendAsync(h)
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.body).To(And(ContainSubstring(`"kind":"draining"`), ContainSubstring(`"ran":"no"`)))
		Expect(taskEnded).NotTo(BeClosed())
		Expect(done).NotTo(Receive())

		s.unblock()
		for _, ch := range []chan callerResponse{first, second} {
			var got callerResponse
			Eventually(ch).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal(`"whole"`))
		}
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
		Expect(finished).To(Receive(BeZero()))
		Expect(taskEnded).To(BeClosed())
	})

	// A request panics in the host because of a bug. Its caller has to get one
	// response, and later requests are served.
	It("survives a panic of one request", func() {
		env, s := newBlockingEnv()
		s.unblock()
		h := env.startHost("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		valid := h.inForce.Load()
		broken := *valid.Routes[0]
		broken.Stages = []snapshot.Stage{{Stage: broken.Stages[0].Stage}} // no pool
		h.inForce.Store(&snapshot.Snapshot{Routes: []*snapshot.Route{&broken}})
		got := <-sendAsync(h)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(ContainSubstring(`"kind":"internal"`))
		h.inForce.Store(valid)
		Expect((<-sendAsync(h)).status).To(Equal(http.StatusOK))
		Expect(h.gate.Active()).To(BeZero())
	})

	It("creates one span per hop and propagates the trace", func() {
		env, s := newBlockingEnv()
		s.unblock()
		spans := tracetest.NewInMemoryExporter()
		h := env.newHost("e1", func(o *Options) { o.SpanExporter = spans })
		runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		Expect((<-sendAsync(h)).status).To(Equal(http.StatusOK))
		var hop http.Header
		Eventually(s.arrived).Should(Receive(&hop))
		Eventually(spans.GetSpans).Should(HaveLen(2))
		stage, top := spans.GetSpans()[0], spans.GetSpans()[1]
		Expect(top.Name).To(Equal("entry POST"))
		Expect(top.Attributes).To(ContainElement(attribute.String("route", "draft")))
		Expect(stage.Name).To(Equal("stage encode"))
		Expect(stage.Parent.SpanID()).To(Equal(top.SpanContext.SpanID()))
		Expect(hop.Get("Traceparent")).To(ContainSubstring(stage.SpanContext.TraceID().String() + "-" + stage.SpanContext.SpanID().String()))
	})

	It("limits the size of requests and answers the balancer on the callers' port", func() {
		env, s := newBlockingEnv()
		s.unblock()
		h := env.newHost("e1", func(o *Options) { o.MaxBodyBytes, o.MaxHeaderBytes, o.HealthPath = 16, 4096, "/up" })
		callers, _ := h.Addresses()
		runHost(h)
		Eventually(func() int {
			resp, err := http.Get("http://" + callers + "/up")
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			return resp.StatusCode
		}, 5*time.Second).Should(Equal(http.StatusOK))
		resp, body := sendToHost(h, "/v1/drafts", "", strings.Repeat("a", 17))
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(string(body)).To(ContainSubstring(`"ran":"no"`))
		resp, _ = sendToHost(h, "/v1/drafts", strings.Repeat("a", 16<<10), "{}")
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("shows no secret in status, variables or logs", func() {
		env, s := newBlockingEnv()
		s.unblock()
		h := env.newHost("e1", func(o *Options) { o.AdminToken, o.PeerSecret, o.PlatformToken = "hush-a", "hush-b", "hush-c" })
		var logged bytes.Buffer
		h.log.SetOutput(&logged)
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		_, admin := h.Addresses()
		for _, path := range []string{"/status", "/debug/vars", "/tables", "/peers", "/debug/pprof/"} {
			status, _ := getAdmin(h, path)
			Expect(status).To(Equal(http.StatusUnauthorized), path)
			req, err := http.NewRequest(http.MethodGet, "http://"+admin+path, nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer hush-a")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK), path)
			Expect(json.Valid(data) || path == "/debug/pprof/").To(BeTrue(), path)
			Expect(string(data)).NotTo(ContainSubstring("hush"), path)
			Expect(string(data)).NotTo(ContainSubstring(`"cmdline"`), path)
		}
		stop()
		Eventually(done, 10*time.Second).Should(Receive())
		Expect(logged.String()).NotTo(ContainSubstring("hush"))
	})

	// Callers send more requests at once than the host may have in flight. Those over
	// the limit are refused before their bodies are read; the others are served.
	It("limits the requests in flight", func() {
		env, s := newBlockingEnv()
		h := env.newHost("e1", func(o *Options) { o.MaxInFlight = 2 })
		runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		held := []chan callerResponse{sendAsync(h), sendAsync(h)}
		Eventually(h.gate.Active).Should(BeEquivalentTo(2))
		over := <-sendAsync(h)
		Expect(over.status).To(Equal(http.StatusServiceUnavailable))
		Expect(over.body).To(And(ContainSubstring(`"kind":"overloaded"`), ContainSubstring(`"ran":"no"`)))
		Expect(over.header.Get("Retry-After")).To(Equal("1"))
		Expect(over.header.Get("X-Request-Id")).NotTo(BeEmpty())
		s.unblock()
		for _, ch := range held {
			Expect((<-ch).status).To(Equal(http.StatusOK))
		}
	})

	// A burst of refusals must not cause a log line for each of them; those that are
	// not logged are counted.
	It("limits the log lines about refusals", func() {
		env, _ := newBlockingEnv()
		h := env.newHost("e1", func(o *Options) { o.RefusalLogsPerSecond, o.LogLevel = 1, "info" })
		var logged bytes.Buffer
		h.log.SetOutput(&logged)
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		limit := h.requests.handler.(*entry.Handler).LogLimit
		limit.SetLimit(0) // only the burst of 1 is logged
		for range 5 {
			resp, _ := sendToHost(h, "/nowhere", "", "{}")
			Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		}
		_, vars := getAdmin(h, "/debug/vars")
		Expect(vars).To(ContainSubstring(`"refusals_unlogged": 4`))
		stop()
		Eventually(done, 10*time.Second).Should(Receive())
		Expect(strings.Count(logged.String(), "request refused")).To(Equal(1))
	})

	It("reports which port is in use before anything runs", func() {
		env, _ := newBlockingEnv()
		running := env.newHost("e1", func(*Options) {})
		runHost(running)
		o := running.opts
		o.AdminAddress, _ = running.Addresses()
		_, err := New(context.Background(), o)
		Expect(err).To(MatchError(ContainSubstring("listen for admin")))
	})

	It("reports all errors in its settings together", func() {
		o := DefaultOptions()
		o.AdminAddress, o.ListenAddress, o.PeerAddress = "10.0.0.1:1", "127.0.0.1:9", "127.0.0.1:9"
		o.CertFile, o.AdminCertFile, o.AdminKeyFile = "c.pem", "none.pem", "none.key"
		o.Headers.Key, o.HealthPath, o.SpanExporterName = "x-request-id", "up", "otlp"
		err := o.Check()
		for _, want := range []string{
			"--admin: an address other than loopback", "--peer: 127.0.0.1:9 is also --listen", "--tls-cert and --tls-key: set both",
			"--admin-tls-cert:", "X-Request-Id is used twice", "--health-path", "--spans-to",
		} {
			Expect(err).To(MatchError(ContainSubstring(want)))
		}
	})
})
