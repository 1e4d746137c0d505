package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform"
	"bilberrydale/platform/platformtest"
)

// place is a platform with one entry host, built of stand-ins.
type place struct {
	t       *testing.T
	store   *platformtest.Store
	address string // of the store
	servers map[string]*platformtest.Server
	hosts   []*Host
	stops   []func()
	config  map[string]any
}

const testKey = "key-of-boilers"

// newPlace starts a store and one backend server of each service; the entry
// hosts follow with start.
func newPlace(t *testing.T) *place {
	t.Helper()
	p := &place{t: t, store: platformtest.NewStore(), servers: map[string]*platformtest.Server{}}
	web := httptest.NewServer(p.store)
	t.Cleanup(web.Close)
	p.address = strings.TrimPrefix(web.URL, "http://")
	for _, service := range []string{"ledger", "model", "floor", "portal"} {
		p.serve(service+"-1", service)
	}
	p.config = map[string]any{
		"version": 5,
		"routes": []map[string]any{
			route("transfer", "unsafe", "ledger"), route("status", "safe", "ledger"),
			route("stream", "streaming", "model"), with(route("resume", "streaming", "model"), "resumable", true),
			with(route("staged", "streaming", "model"), "stages", []map[string]any{
				{"service": "floor", "after": []int{}, "bytes": 1000},
				{"service": "portal", "after": []int{0}, "bytes": 1000},
			}),
			with(route("open", "safe", "ledger"), "public", true),
		},
		"services": []map[string]any{
			{"name": "ledger", "health_path": "/health", "max_conns": 48},
			{"name": "model", "health_path": "/health", "max_conns": 48, "engine": map[string]any{"slots": 8}},
			{"name": "floor", "health_path": "/health", "max_conns": 48, "pieces": pieces()},
			{"name": "portal", "health_path": "/health", "max_conns": 48, "pieces": pieces()},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "boilers", "api_keys": []string{testKey}}},
	}
	p.store.Put("config", "main", p.config)
	return p
}

func pieces() map[string]any {
	return map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 5, "item_ms": 1, "headroom_mb": 1, "handle_s": 4}
}

// route returns a route under the path /stream/NAME/ or /NAME/.
func route(name, kind, service string) map[string]any {
	path := "/" + name + "/"
	if kind == "streaming" {
		path = "/stream" + path
	}
	return map[string]any{
		"name": name, "host": "soap.example", "path_prefix": path, "kind": kind, "service": service,
		"timeout_ms": 4000, "target_latency_ms": 1000, "max_attempts": 2, "priority": 1, "gap_aim_ms": 400,
	}
}

func with(m map[string]any, key string, value any) map[string]any {
	m[key] = value
	return m
}

// serve starts one more backend server and lists it.
func (p *place) serve(id, service string) *platformtest.Server {
	s := platformtest.NewServer(id, service)
	p.t.Cleanup(s.HTTP.Close)
	p.servers[id] = s
	p.store.Put("servers", id, s.Entry("a"))
	return s
}

func (p *place) settings(name string) platform.Settings {
	return platform.Settings{
		Host: name, IP: "127.0.0.1", Domain: "a", Regions: map[string]string{"a": "r"},
		Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", StoreAddress: p.address,
		RevokeBound: 5 * time.Second, StrictRevoke: true, StopBound: 3500 * time.Millisecond,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 500, Heartbeat: time.Second,
	}
}

// start runs one more entry host until the test ends, and waits until it is
// ready.
func (p *place) start(name string) *Host {
	p.t.Helper()
	set := p.settings(name)
	h, err := New(Options{Settings: set, ReadSettings: func() (platform.Settings, error) { return set, nil }, Out: io.Discard})
	NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	p.stops = append(p.stops, cancel)
	p.t.Cleanup(func() {
		cancel()
		NewWithT(p.t).Eventually(done, "20s").Should(Receive(BeNil()))
	})
	p.hosts = append(p.hosts, h)
	_, ready, _ := h.Addresses()
	NewWithT(p.t).Eventually(func() int { return status("http://" + ready + "/ready") }, "20s").Should(Equal(http.StatusOK))
	return h
}

func status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// reply is an answer as a client sees it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the body: the answer did not end as complete
}

var attempts atomic.Int64

// ask sends one request of a client.
func (p *place) ask(h *Host, method, path, body string, change ...func(http.Header)) reply {
	p.t.Helper()
	callers, _, _ := h.Addresses()
	req, err := http.NewRequest(method, "http://"+callers+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host = "soap.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("a%015x", attempts.Add(1)))
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, f := range change {
		f(req.Header)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

func (p *place) runs(service string) []platformtest.Run {
	var out []platformtest.Run
	for _, s := range p.servers {
		if s.Service == service {
			out = append(out, s.Runs()...)
		}
	}
	return out
}

func TestRequestsOfEachKindAreServed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	ledger := p.servers["ledger-1"]
	ledger.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
		ledger.Serve(w, r)
		return true
	})

	r := p.ask(h, "POST", "/transfer/x?n=1", "soap", func(h http.Header) { h.Set("User-Agent", "boiler/1") })
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(Equal("answer of ledger-1"))
	g.Expect(r.header.Get("Response-Stamp")).NotTo(BeEmpty())
	g.Expect(r.header).NotTo(HaveKey("Date"), "a header that the server did not send")
	g.Expect(r.header).NotTo(HaveKey("Content-Type"), "a header that the server did not send")
	run := p.runs("ledger")[0]
	g.Expect(run.URI).To(Equal("/transfer/x?n=1"))
	g.Expect(run.Body).To(Equal("soap"))
	g.Expect(run.Host).To(Equal("soap.example"))
	g.Expect(run.Header.Get("Tenant")).To(Equal("boilers"))
	g.Expect(run.Header).NotTo(HaveKey("Authorization"), "the key was passed on")
	g.Expect(run.Header.Get("User-Agent")).To(Equal("boiler/1"))

	g.Expect(p.ask(h, "GET", "/status/1", "").body).To(Equal("answer of ledger-1"))
	g.Expect(p.ask(h, "GET", "/open/1", "", func(h http.Header) { h.Del("Authorization") }).status).To(Equal(http.StatusOK))

	s := p.ask(h, "POST", "/stream/stream/1", "prompt")
	g.Expect(s.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(s.body, "data: piece")).To(Equal(5))
}

func TestStagesRunBeforeTheRequestAndTheirResultsAreFreed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	r := p.ask(h, "POST", "/stream/staged/1", "prompt", func(h http.Header) {
		h.Set("Pieces", "2,3")
		h.Set("Piece-Key", "k")
	})
	g.Expect(r.status).To(Equal(http.StatusOK), r.body)
	inputs := strings.Split(p.runs("model")[0].Header.Get("Inputs"), ",")
	g.Expect(inputs).To(HaveLen(3))
	for _, in := range inputs {
		g.Expect(in).To(HavePrefix(p.servers["portal-1"].Address() + "/"))
	}
	g.Eventually(func() int { return len(p.servers["floor-1"].Freed()) }, "10s").Should(Equal(2))
	g.Eventually(func() int { return len(p.servers["portal-1"].Freed()) }, "10s").Should(Equal(3))
}

// Two hosts serve requests of a staged route. Both give the stage work to the
// one that has run for longer; the other's requests are served all the same
// when that host stops.
func TestStageWorkOfAllHostsIsCollectedByOneThatMayStop(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	first, second := p.start("front-1"), p.start("front-2")
	g.Eventually(func() int { return len(second.mesh.Peers()) }, "20s").Should(Equal(1))
	staged := func(h *Host) int {
		return p.ask(h, "POST", "/stream/staged/1", "x", func(h http.Header) { h.Set("Pieces", "1,1") }).status
	}
	g.Expect(staged(second)).To(Equal(http.StatusOK))
	g.Expect(second.meter.Counter("stage_calls_floor")).To(BeZero())
	g.Expect(first.meter.Counter("stage_calls_floor")).To(BeEquivalentTo(1))
	p.stops[0]()
	g.Eventually(first.stopping.Load, "10s").Should(BeTrue())
	g.Expect(staged(second)).To(Equal(http.StatusOK))
	g.Expect(second.meter.Counter("stage_calls_floor")).To(BeEquivalentTo(1))
}

// A client sets headers that are the system's own, and names end-to-end headers
// in Connection to have them dropped. Neither may reach a server as sent.
func TestHeadersOfTheSystemAreNotTheClientsToSet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	r := p.ask(h, "POST", "/transfer/1", "x", func(h http.Header) {
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Inputs", "Expect-Version", "Request-Priority"} {
			h.Set(name, "1")
		}
		h.Set("Tenant", "others")
		h.Set("Expect-Instance", "i-other")
		h.Set("Connection", "Attempt-Id, X-Drop")
		h.Set("X-Drop", "1")
		h.Set("X-Keep", "1")
	})
	g.Expect(r.status).To(Equal(http.StatusOK))
	got := p.runs("ledger")[0].Header
	for _, name := range []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Inputs", "Expect-Version", "Request-Priority", "X-Drop"} {
		g.Expect(got).NotTo(HaveKey(name))
	}
	g.Expect(got.Get("Tenant")).To(Equal("boilers"))
	g.Expect(got.Get("X-Keep")).To(Equal("1"))
	g.Expect(got.Get("Attempt-Id")).NotTo(BeEmpty())
}

func TestRefusalsBeforeAnythingRuns(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	g.Expect(p.ask(h, "GET", "/nowhere/1", "").status).To(Equal(http.StatusNotFound))
	g.Expect(p.ask(h, "GET", "/status/1", "", func(h http.Header) { h.Set("Authorization", "Bearer x") }).status).To(Equal(http.StatusUnauthorized))
	g.Expect(p.ask(h, "POST", "/transfer/1", strings.Repeat("x", 5000)).status).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(p.ask(h, "GET", "/status/1", "", func(h http.Header) { h.Del("Attempt-Id") }).status).To(Equal(http.StatusBadRequest))
	g.Expect(p.runs("ledger")).To(BeEmpty())
}

// The server closes the connection after it has read the request. It may have
// run it: an unsafe request must not go to another server, and the client must
// not be told that it has not run; a safe one is served by the other.
func TestBrokenAnswerOfARequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	other := p.serve("ledger-2", "ledger")
	h := p.start("front-1")
	var broken int
	breakOff := func(s *platformtest.Server) {
		s.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
			s.Note(r)
			broken++
			conn, _, err := http.NewResponseController(w).Hijack()
			g.Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
			return true
		})
	}
	breakOff(p.servers["ledger-1"])
	breakOff(other)
	r := p.ask(h, "POST", "/transfer/1", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.header).NotTo(HaveKey("Retry-After"))
	g.Expect(p.runs("ledger")).To(HaveLen(1))

	other.SetHandle(nil)
	g.Eventually(func() int { return p.ask(h, "GET", "/status/1", "").status }, "10s").Should(Equal(http.StatusOK))
}

// The server says that it did not run the request. The other gets it; when that
// one refuses as well, the client is told truthfully that nothing ran.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	other := p.serve("ledger-2", "ledger")
	h := p.start("front-1")
	full := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	p.servers["ledger-1"].SetHandle(full)
	r := p.ask(h, "POST", "/transfer/1", "x")
	g.Expect(r.body).To(Equal("answer of ledger-2"))

	other.SetHandle(full)
	r = p.ask(h, "POST", "/transfer/2", "x")
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(p.runs("ledger")).To(HaveLen(1))
}

// A server answers 503 without saying that it did not run the request. Passed
// on, the status alone would promise that to the client.
func TestStatusThatWouldPromiseTooMuchIsNotPassedOn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		p.servers["ledger-1"].Note(r)
		w.Header().Set("Response-Stamp", "s")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	g.Expect(p.ask(h, "POST", "/transfer/1", "x").status).To(Equal(http.StatusBadGateway))
}

// An answer carries the id of another request: a late extra answer stood where
// this one was expected. The client must not get it, and an unsafe request must
// not be sent again.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		p.servers["ledger-1"].Note(r)
		w.Header().Set("Attempt-Id", "of-another")
		w.Header().Set("Response-Stamp", "s")
		_, _ = io.WriteString(w, "not yours")
		return true
	})
	r := p.ask(h, "POST", "/transfer/1", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.body).NotTo(ContainSubstring("not yours"))
	g.Expect(p.runs("ledger")).To(HaveLen(1))
}

// A success without the server's signature, or with an encoded body, is not the
// server's answer.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(w, "unsigned")
		return true
	})
	g.Expect(p.ask(h, "POST", "/transfer/1", "x").status).To(Equal(http.StatusBadGateway))
}

// A stream breaks off in the middle of its third event. Where it may be
// resumed, another server goes on behind the last whole event, and the client
// sees each event once; elsewhere the answer must not end as complete.
func TestStreamThatBreaksOff(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	second := p.serve("model-2", "model")
	second.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		second.Note(r)
		w.Header().Set("Response-Stamp", "second")
		if r.Header.Get("Last-Event-Id") == "" {
			second.Events(w, 1, 2)
			panic(http.ErrAbortHandler)
		}
		second.Events(w, 3, 5)
		return true
	})
	p.servers["model-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		s := p.servers["model-1"]
		s.Note(r)
		w.Header().Set("Response-Stamp", "first")
		if r.Header.Get("Last-Event-Id") != "" {
			s.Events(w, 3, 5)
			return true
		}
		s.Events(w, 1, 2)
		_, _ = io.WriteString(w, "id: 3\ndata: pie")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	g.Eventually(func() int { return h.directory.View().Count() }, "10s").Should(Equal(5))

	r := p.ask(h, "POST", "/stream/resume/1", "x")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"))
	g.Expect(p.runs("model")).To(HaveLen(2))

	r = p.ask(h, "POST", "/stream/stream/1", "x")
	g.Expect(r.err).To(HaveOccurred(), "the answer must not end as complete")
	g.Expect(r.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"))
	g.Expect(p.runs("model")).To(HaveLen(3))
}

// The client leaves while its request waits for the answer. The server's
// connection is closed, so that it stops working.
func TestClientThatLeavesStopsTheServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	arrived, stopped := make(chan struct{}), make(chan struct{})
	p.servers["model-1"].SetHandle(func(_ http.ResponseWriter, r *http.Request) bool {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(stopped)
		return true
	})
	callers, _, _ := h.Addresses()
	conn, err := net.Dial("tcp", callers)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "POST /stream/stream/1 HTTP/1.1\r\nHost: soap.example\r\nAttempt-Id: leaver\r\nContent-Length: 1\r\nAuthorization: Bearer "+testKey+"\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(arrived, "10s").Should(BeClosed())
	_ = conn.Close()
	g.Eventually(stopped, "10s").Should(BeClosed())
}

// The platform can no longer be reached. Once the bound for revoked keys comes
// near, requests with keys are refused as not run; public ones go on.
func TestKeysAreNotHonouredWhenTheyCannotBeConfirmed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	p.store.SetBefore(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	var r reply
	g.Eventually(func() int { r = p.ask(h, "GET", "/status/1", ""); return r.status }, "20s").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(r.body).To(ContainSubstring("keys_not_fresh"))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	_, ready, _ := h.Addresses()
	g.Expect(status("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(p.ask(h, "GET", "/open/1", "").status).To(Equal(http.StatusOK))

	p.store.SetBefore(nil)
	g.Eventually(func() int { return p.ask(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusOK))
}

// A new configuration takes a key and a route away and an older one is written
// over it afterwards. The process never goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	p.config["version"] = 9
	p.config["tenants"] = []map[string]any{{"name": "boilers", "api_keys": []string{"another"}}}
	p.store.Put("config", "main", p.config)
	g.Eventually(func() int { return p.ask(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusUnauthorized))
	p.config["version"] = 7
	p.config["tenants"] = []map[string]any{{"name": "boilers", "api_keys": []string{testKey}}}
	p.store.Put("config", "main", p.config)
	p.store.PutRaw("config", "other", []byte(`"left by somebody"`))
	g.Consistently(func() int { return p.ask(h, "GET", "/status/1", "").status }, "1s").Should(Equal(http.StatusUnauthorized))
}

// Other writers leave entries that cannot be read beside those of servers. They
// name no server; the others are used.
func TestForeignEntriesDoNotHideServers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	for i, spec := range []string{`7`, `{"service":"ledger"}`, `{"service":"ledger","address":5}`, `null`, `"x"`} {
		p.store.PutRaw("servers", fmt.Sprintf("foreign-%d", i), []byte(spec))
	}
	h := p.start("front-1")
	g.Expect(p.ask(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	g.Expect(h.directory.View().Count()).To(Equal(4))
}

// A server says that it leaves; then all history is dropped while watches are
// deaf, and another server leaves meanwhile. Neither gets work afterwards.
func TestLeavingServersGetNoWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	p.serve("ledger-2", "ledger")
	p.serve("ledger-3", "ledger")
	h := p.start("front-1")
	p.store.Put("servers", "ledger-1", with(p.servers["ledger-1"].Entry("a"), "state", "draining"))
	usable := func() int { return len(h.directory.View().Servers("ledger")) }
	g.Eventually(usable, "10s").Should(Equal(2))
	p.store.SetDeaf(true)
	p.store.Delete("servers", "ledger-2")
	p.store.Forget()
	p.store.SetDeaf(false)
	g.Eventually(usable, "10s").Should(Equal(1))
	for range 5 {
		g.Expect(p.ask(h, "GET", "/status/1", "").body).To(Equal("answer of ledger-3"))
	}
}

// The process is told to stop while a stream runs and a client still sends on
// its connection. Both get their whole answers; the second is told to close.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	release := make(chan struct{})
	p.servers["model-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		s := p.servers["model-1"]
		s.Note(r)
		w.Header().Set("Response-Stamp", "s")
		s.Events(w, 1, 2)
		<-release
		s.Events(w, 3, 5)
		return true
	})
	got := make(chan reply, 1)
	go func() { got <- p.ask(h, "POST", "/stream/stream/1", "x") }()
	g.Eventually(func() int { return len(p.runs("model")) }, "10s").Should(Equal(1))
	p.stops[0]()
	g.Eventually(h.stopping.Load, "10s").Should(BeTrue())
	_, ready, _ := h.Addresses()
	g.Expect(status("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	r := p.ask(h, "GET", "/status/1", "")
	g.Expect(r.status).To(Equal(http.StatusOK))
	close(release)
	var s reply
	g.Eventually(got, "10s").Should(Receive(&s))
	g.Expect(s.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(s.body, "data: piece")).To(Equal(5))
	g.Eventually(func() []string { return p.store.Names("entryhosts") }, "10s").Should(BeEmpty())
}

func TestMetricsAreServedAsText(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newPlace(t)
	h := p.start("front-1")
	g.Expect(p.ask(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	_, _, metrics := h.Addresses()
	var text string
	g.Eventually(func() string {
		resp, err := http.Get("http://" + metrics + "/metrics")
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		text = string(data)
		return text
	}, "10s").Should(ContainSubstring("requests_answered_2xx 1"))
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		g.Expect(line).To(MatchRegexp(`^[A-Za-z0-9_.-]+ -?[0-9.e+-]+$`))
	}
	g.Expect(text).To(ContainSubstring("request_status_p99_ms"))
}
