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

// held is a backend server that holds each call until release is closed.
type held struct {
	arrived chan http.Header
	release chan struct{}
	once    sync.Once
}

func (s *held) letGo() { s.once.Do(func() { close(s.release) }) }

func (s *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	if r.Header.Get(backend.HeaderRequestID) != "" { // no question for the server's load
		s.arrived <- r.Header.Clone()
	}
	<-s.release
	_, _ = w.Write([]byte(`"whole"`))
}

// heldWorld has one route of one stage to a held backend server.
func heldWorld() (*world, *held) {
	w := newWorld()
	s := &held{arrived: make(chan http.Header, 8), release: make(chan struct{})}
	w.pool(table.Pool{Name: "encoders", Kind: table.Service, Slots: 8}, s)
	DeferCleanup(s.letGo) // a failed spec must not leave calls that wait for ever
	r := fourStages()
	r.Stages = r.Stages[:1]
	w.tables.Routes = []table.Route{r}
	w.apply("ada")
	return w, s
}

type sent struct {
	status int
	body   string
	header http.Header
}

func sendInBackground(h *Host) chan sent {
	out := make(chan sent, 1)
	go func() {
		defer GinkgoRecover()
		resp, body := send(h, "/v1/drafts", "", `{}`)
		out <- sent{resp.StatusCode, string(body), resp.Header}
	}()
	return out
}

func get(h *Host, path string) (int, string) {
	_, admin := h.Addresses()
	resp, err := http.Get("http://" + admin + path)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}

var _ = Describe("the shell of the daemon", func() {
	// A caller's request is in flight when the platform ends the host. First
	// readiness goes false while requests are still taken, so that the balancer
	// moves callers away before one is refused; then new requests are refused as
	// not run; the one in flight gets its whole answer, and the parts it may
	// still need run until then.
	It("cuts no request at a graceful shutdown", func() {
		w, s := heldWorld()
		h := w.newHost("e1", func(o *Options) { o.DrainDelay = 3 * time.Second })
		c := clock.NewManual(time.Unix(0, 0))
		h.clock = c
		partEnded := make(chan struct{})
		h.add("probe", func(ctx context.Context) error {
			<-ctx.Done()
			close(partEnded)
			return nil
		})
		finished := make(chan int64, 1)
		h.afterDrain = append(h.afterDrain, func(context.Context) error {
			defer GinkgoRecover()
			Expect(partEnded).NotTo(BeClosed())
			finished <- h.gate.Active()
			return nil
		})
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		first := sendInBackground(h)
		Eventually(s.arrived).Should(Receive())

		stop()
		Eventually(h.ready).Should(BeFalse())
		status, _ := get(h, "/ready")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		second := sendInBackground(h) // the balancer has not noticed yet
		Eventually(s.arrived).Should(Receive())

		Eventually(func() bool { c.Advance(3 * time.Second); return h.gate.Closed() }).Should(BeTrue())
		late := <-sendInBackground(h)
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.body).To(And(ContainSubstring(`"kind":"draining"`), ContainSubstring(`"ran":"no"`)))
		Expect(partEnded).NotTo(BeClosed())
		Expect(done).NotTo(Receive())

		s.letGo()
		for _, ch := range []chan sent{first, second} {
			var got sent
			Eventually(ch).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal(`"whole"`))
		}
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
		Expect(finished).To(Receive(BeZero()))
		Expect(partEnded).To(BeClosed())
	})

	// A request meets a defect of ours and panics. Its caller gets one answer;
	// the requests beside it and after it are served.
	It("survives a panic of one request", func() {
		w, s := heldWorld()
		s.letGo()
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		sound := h.inForce.Load()
		broken := *sound.Routes[0]
		broken.Stages = []snapshot.Stage{{Stage: broken.Stages[0].Stage}} // no pool
		h.inForce.Store(&snapshot.Snapshot{Routes: []*snapshot.Route{&broken}})
		got := <-sendInBackground(h)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(ContainSubstring(`"kind":"internal"`))
		h.inForce.Store(sound)
		Expect((<-sendInBackground(h)).status).To(Equal(http.StatusOK))
		Expect(h.gate.Active()).To(BeZero())
	})

	It("makes one span a hop and passes the trace on", func() {
		w, s := heldWorld()
		s.letGo()
		spans := tracetest.NewInMemoryExporter()
		h := w.newHost("e1", func(o *Options) { o.SpanExporter = spans })
		runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		Expect((<-sendInBackground(h)).status).To(Equal(http.StatusOK))
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

	It("bounds callers and answers the balancer on their port", func() {
		w, s := heldWorld()
		s.letGo()
		h := w.newHost("e1", func(o *Options) { o.MaxBodyBytes, o.MaxHeaderBytes, o.HealthPath = 16, 4096, "/up" })
		callers, _ := h.Addresses()
		runHost(h)
		Eventually(func() int {
			resp, err := http.Get("http://" + callers + "/up")
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			return resp.StatusCode
		}, 5*time.Second).Should(Equal(http.StatusOK))
		resp, body := send(h, "/v1/drafts", "", strings.Repeat("a", 17))
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(string(body)).To(ContainSubstring(`"ran":"no"`))
		resp, _ = send(h, "/v1/drafts", strings.Repeat("a", 16<<10), "{}")
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("shows no secret in status, variables or logs", func() {
		w, s := heldWorld()
		s.letGo()
		h := w.newHost("e1", func(o *Options) { o.AdminToken, o.PeerSecret, o.PlatformToken = "hush-a", "hush-b", "hush-c" })
		var logged bytes.Buffer
		h.log.SetOutput(&logged)
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		_, admin := h.Addresses()
		for _, path := range []string{"/status", "/debug/vars", "/tables", "/peers", "/debug/pprof/"} {
			status, _ := get(h, path)
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

	// Callers send more at once than the host is to hold. What is over the bound
	// gets its final answer before its body is read; what is within goes on.
	It("bounds the requests in the host", func() {
		w, s := heldWorld()
		h := w.newHost("e1", func(o *Options) { o.MaxInFlight = 2 })
		runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		held := []chan sent{sendInBackground(h), sendInBackground(h)}
		Eventually(h.gate.Active).Should(BeEquivalentTo(2))
		over := <-sendInBackground(h)
		Expect(over.status).To(Equal(http.StatusServiceUnavailable))
		Expect(over.body).To(And(ContainSubstring(`"kind":"overloaded"`), ContainSubstring(`"ran":"no"`)))
		Expect(over.header.Get("Retry-After")).To(Equal("1"))
		Expect(over.header.Get("X-Request-Id")).NotTo(BeEmpty())
		s.letGo()
		for _, ch := range held {
			Expect((<-ch).status).To(Equal(http.StatusOK))
		}
	})

	// A burst of refusals must not cost a log line each; their number stays known.
	It("bounds the log lines about refusals", func() {
		w, _ := heldWorld()
		h := w.newHost("e1", func(o *Options) { o.RefusalLogsPerSecond, o.LogLevel = 1, "info" })
		var logged bytes.Buffer
		h.log.SetOutput(&logged)
		stop, done := runHost(h)
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		limit := h.requests.handler.(*entry.Handler).LogLimit
		limit.SetLimit(0) // the burst alone
		for range 5 {
			resp, _ := send(h, "/nowhere", "", "{}")
			Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		}
		_, vars := get(h, "/debug/vars")
		Expect(vars).To(ContainSubstring(`"refusals_unlogged": 4`))
		stop()
		Eventually(done, 10*time.Second).Should(Receive())
		Expect(strings.Count(logged.String(), "request refused")).To(Equal(1))
	})

	It("says which port is taken before anything runs", func() {
		w, _ := heldWorld()
		running := w.newHost("e1", func(*Options) {})
		runHost(running)
		o := running.opts
		o.AdminAddress, _ = running.Addresses()
		_, err := New(context.Background(), o)
		Expect(err).To(MatchError(ContainSubstring("listen for admin")))
	})

	It("reports every fault of its settings together", func() {
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
