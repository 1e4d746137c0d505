package edge

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform"
	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

// testPlatform is a fake platform with its store, backend servers and entry hosts.
type testPlatform struct {
	t            *testing.T
	store        *platformtest.Store
	storeAddress string // host:port
	servers      map[string]*platformtest.Server
	hosts        []*Host
	stopHosts    []func()
	config       plan.Config
	// stopBound is the hosts' time to shut down; 0 means 5 s.
	stopBound time.Duration
}

const userAgent = "boiler/1"

const testKey = "key-of-boilers"

// newTestPlatform starts a store and one backend server for each service. Entry hosts
// are started with startHost.
func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{t: t, store: platformtest.NewStore(), servers: map[string]*platformtest.Server{}}
	storeServer := httptest.NewServer(p.store)
	t.Cleanup(storeServer.Close)
	p.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	for _, service := range []string{"ledger", "model", "floor", "portal"} {
		p.addServer(service+"-1", service)
	}
	p.config = plan.Config{
		Version: 5,
		Routes: []plan.Route{
			route("transfer", plan.Unsafe, "ledger"), route("status", plan.Safe, "ledger"), route("open", plan.Safe, "ledger"),
			route("stream", plan.Stream, "model"), route("resume", plan.Stream, "model"), route("staged", plan.Stream, "model"),
		},
		Services: []plan.Service{
			{Name: "ledger"},
			{Name: "model", Engine: &plan.Engine{Slots: 8}},
			{Name: "floor", Batch: batch()},
			{Name: "portal", Batch: batch()},
		},
		Limits:   plan.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4096, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []plan.Account{{Name: "boilers", Keys: []string{testKey}}},
	}
	p.route("open").Public = true
	p.route("resume").Resumable = true
	p.route("staged").Stages = []plan.Stage{{Service: "floor", ResultBytes: 1000}, {Service: "portal", DependsOn: []int{0}, ResultBytes: 1000}}
	p.store.PutConfig(p.config)
	return p
}

// newTestHost marks the test as parallel and starts a platform with one entry host.
func newTestHost(t *testing.T) (*WithT, *testPlatform, *Host) {
	t.Helper()
	t.Parallel()
	p := newTestPlatform(t)
	return NewWithT(t), p, p.startHost("front-1")
}

func batch() *plan.Batch {
	return &plan.Batch{
		ConcurrentCalls: 1, QueuedCalls: 2, MaxItemsPerCall: 8, TimePerCall: 5 * time.Millisecond, TimePerItem: time.Millisecond,
		ResultMemoryBytes: 1_000_000, ResultTTL: 4 * time.Second,
	}
}

// route returns a route under the path /stream/NAME/ or /NAME/.
func route(name string, kind plan.RouteKind, service string) plan.Route {
	path := "/" + name + "/"
	if kind == plan.Stream {
		path = "/stream" + path
	}
	return plan.Route{
		Name: name, Host: "soap.example", PathPrefix: path, Kind: kind, Targets: []plan.Target{{Service: service, Weight: 1}},
		Timeout: 4 * time.Second, TargetLatency: time.Second, MaxEventGap: 400 * time.Millisecond, MaxAttempts: 2, Priority: 1,
	}
}

// route returns a route of p.config for modification.
func (p *testPlatform) route(name string) *plan.Route {
	i := slices.IndexFunc(p.config.Routes, func(r plan.Route) bool { return r.Name == name })
	return &p.config.Routes[i]
}

// holdStreams makes a server stop after the first two of five events of its streams, until release
// is called or the test ends.
func (p *testPlatform) holdStreams(t *testing.T, id string) (release func()) {
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	s := p.servers[id]
	s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		s.RecordRequest(r)
		platformtest.Sign(w.Header(), "s")
		s.WriteEvents(w, 1, 2)
		<-held
		s.WriteEvents(w, 3, 5)
		return true
	})
	return release
}

// addServer starts a backend server in failure domain a and lists it.
func (p *testPlatform) addServer(id, service string) *platformtest.Server {
	s := platformtest.NewServer(id, service)
	p.t.Cleanup(s.HTTP.Close)
	p.servers[id] = s
	p.store.PutServer(s, "a", false)
	return s
}

// addServerIn starts a backend server in a failure domain and lists it.
func (p *testPlatform) addServerIn(id, service, domain string) *platformtest.Server {
	s := p.addServer(id, service)
	p.store.PutServer(s, domain, false)
	return s
}

func (p *testPlatform) settings(name string) platform.Settings {
	return platform.Settings{
		Host: name, IP: "127.0.0.1", Domain: "a", Regions: map[string]string{"a": "r", "b": "q", "c": "r"},
		ClientAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", StoreAddress: p.storeAddress,
		MaxKeyRevocationDelay: 5 * time.Second, MaxEvacuationDelay: 5 * time.Second, StrictKeyRevocation: true, ShutdownGracePeriod: cmp.Or(p.stopBound, 5*time.Second),
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 500, HeartbeatInterval: time.Second,
	}
}

// startHost runs another entry host until the test ends, and waits until it is ready.
func (p *testPlatform) startHost(name string, options ...func(*Options)) *Host {
	p.t.Helper()
	h, out := p.newHost(name, options...)
	p.runHost(h, out)
	return h
}

// newHost creates a host, which runHost runs, and returns it with its log.
func (p *testPlatform) newHost(name string, options ...func(*Options)) (*Host, *logBuffer) {
	p.t.Helper()
	out := &logBuffer{}
	opts := Options{Settings: p.settings(name), LogOutput: out}
	for _, f := range options {
		f(&opts)
	}
	opts.ReadSettings = func() (platform.Settings, error) { return opts.Settings, nil }
	h, err := New(opts)
	NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	return h, out
}

// runHost runs a host and waits until it is ready.
func (p *testPlatform) runHost(h *Host, out *logBuffer) {
	p.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	p.stopHosts = append(p.stopHosts, cancel)
	p.t.Cleanup(func() {
		cancel()
		NewWithT(p.t).Eventually(done, "20s").Should(Receive(BeNil()))
		if p.t.Failed() {
			p.t.Logf("log of %s:\n%s", h.settings.Host, out)
		}
	})
	p.hosts = append(p.hosts, h)
	_, ready, _ := h.Addresses()
	NewWithT(p.t).Eventually(func() int { return statusOf("http://" + ready + "/ready") }, "20s").Should(Equal(http.StatusOK))
}

// logBuffer keeps a host's log output, which is printed if the test fails.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func statusOf(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// clientResponse is a response as received by a client.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body, or from sending the request
}

var requestCount atomic.Int64

// send sends a client's request, modified by options, and returns the response.
func (p *testPlatform) send(h *Host, method, path, body string, options ...func(*platformtest.Request)) clientResponse {
	p.t.Helper()
	clients, _, _ := h.Addresses()
	req, err := http.NewRequest(method, "http://"+clients+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host = "soap.example"
	request := platformtest.Request{AttemptID: fmt.Sprintf("a%015x", requestCount.Add(1)), Timeout: 3 * time.Second, APIKey: testKey}
	for _, f := range options {
		f(&request)
	}
	request.SetHeaders(req.Header)
	req.Header.Set("User-Agent", userAgent)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{resp.StatusCode, resp.Header, string(data), err}
}

// dial sends a request and returns its connection, for tests in which the client
// disconnects.
func (p *testPlatform) dial(h *Host, path string) net.Conn {
	p.t.Helper()
	g := NewWithT(p.t)
	clients, _, _ := h.Addresses()
	conn, err := net.Dial("tcp", clients)
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, "http://soap.example"+path, strings.NewReader("x"))
	g.Expect(err).NotTo(HaveOccurred())
	platformtest.Request{AttemptID: "leaver", APIKey: testKey}.SetHeaders(req.Header)
	g.Expect(req.Write(conn)).To(Succeed())
	return conn
}

// dialHTTP10 sends a request of HTTP/1.0 and returns its connection.
func (p *testPlatform) dialHTTP10(h *Host, path string) net.Conn {
	p.t.Helper()
	g := NewWithT(p.t)
	clients, _, _ := h.Addresses()
	conn, err := net.Dial("tcp", clients)
	g.Expect(err).NotTo(HaveOccurred())
	header := http.Header{"Host": {"soap.example"}}
	platformtest.Request{AttemptID: fmt.Sprintf("a%015x", requestCount.Add(1)), APIKey: testKey}.SetHeaders(header)
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.0\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(header.Write(conn)).To(Succeed())
	_, err = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

func (p *testPlatform) runs(service string) []platformtest.ExecutedRequest {
	var out []platformtest.ExecutedRequest
	for _, s := range p.servers {
		if s.Service == service {
			out = append(out, s.ExecutedRequests()...)
		}
	}
	return out
}
