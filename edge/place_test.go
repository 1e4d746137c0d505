package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
		RevokeBound: 5 * time.Second, StrictRevoke: true, StopBound: 5 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 500, Heartbeat: time.Second,
	}
}

// start runs one more entry host until the test ends, and waits until it is
// ready.
func (p *place) start(name string) *Host {
	p.t.Helper()
	set := p.settings(name)
	out := &hostLog{}
	h, err := New(Options{Settings: set, ReadSettings: func() (platform.Settings, error) { return set, nil }, Out: out})
	NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	p.stops = append(p.stops, cancel)
	p.t.Cleanup(func() {
		cancel()
		NewWithT(p.t).Eventually(done, "20s").Should(Receive(BeNil()))
		if p.t.Failed() {
			p.t.Logf("log of %s:\n%s", name, out)
		}
	})
	p.hosts = append(p.hosts, h)
	_, ready, _ := h.Addresses()
	NewWithT(p.t).Eventually(func() int { return status("http://" + ready + "/ready") }, "20s").Should(Equal(http.StatusOK))
	return h
}

// hostLog keeps what a host logs, to be shown when its test fails.
type hostLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *hostLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *hostLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
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
