package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bilberrydale/platform/platformtest"
)

const (
	revokeBound = 5 * time.Second
	stopBound   = 8 * time.Second
	routeTime   = 4 * time.Second
)

// place is the stand-in platform, its backend servers and the daemons.
type place struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	web     *httptest.Server
	hosts   []*host
	servers []*backend

	mu      sync.Mutex
	version int
	keys    []string
	revoked map[string]time.Time // when the store acknowledged that a key is gone
	ran     map[string][]string  // servers that ran an attempt
}

// host is one daemon.
type host struct {
	name, ip string
	settings string
	relay    *relay // to the store
	log      *os.File
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	started    []*exec.Cmd // all processes of this host, to end them by their ids
}

// backend is a backend server behind a relay.
type backend struct {
	*platformtest.Server
	relay *relay
}

func newPlace(t *testing.T, binary string, hosts int, base int) *place {
	p := &place{
		t: t, dir: t.TempDir(), store: platformtest.NewStore(), keys: []string{"key-1", "key-2"},
		revoked: map[string]time.Time{}, ran: map[string][]string{},
	}
	p.web = httptest.NewServer(p.store)
	t.Cleanup(p.web.Close)
	for _, service := range []string{"ledger", "ledger", "model", "model", "model", "floor", "floor", "portal"} {
		p.addServer(service)
	}
	p.configure()
	for i := range hosts {
		p.addHost(binary, i, base)
	}
	return p
}

func (p *place) must(err error) {
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *place) addServer(service string) {
	s := platformtest.NewServer(fmt.Sprintf("%s-%d", service, len(p.servers)), service)
	p.t.Cleanup(s.HTTP.Close)
	r, err := newRelay(s.Address())
	p.must(err)
	p.t.Cleanup(r.stop)
	s.Listed = r.address()
	b := &backend{s, r}
	p.servers = append(p.servers, b)
	s.SetHandle(func(w http.ResponseWriter, q *http.Request) bool { return p.serve(b, w, q) })
	p.list(b, "ready")
}

func (p *place) list(b *backend, state string) {
	entry := b.Entry("a")
	entry["state"] = state
	p.store.Put("servers", b.ID, entry)
}

// serve answers as the backend server, and notes who ran what.
func (p *place) serve(b *backend, w http.ResponseWriter, q *http.Request) bool {
	if strings.HasPrefix(q.URL.Path, "/stage-") {
		return false
	}
	id := q.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	p.mu.Lock()
	p.ran[id] = append(p.ran[id], b.ID)
	p.mu.Unlock()
	w.Header().Set("Response-Stamp", "stamp-"+id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		first := 1
		_, _ = fmt.Sscanf(q.Header.Get("Last-Event-Id"), "%d", &first)
		if q.Header.Get("Last-Event-Id") != "" {
			first++
		}
		for i := first; i <= streamEvents; i++ {
			b.Events(w, i, i)
			time.Sleep(20 * time.Millisecond)
		}
		return true
	}
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(w, "answer to "+id)
	return true
}

const streamEvents = 8

// configure writes the next configuration with the keys that hold.
func (p *place) configure() {
	p.mu.Lock()
	p.version += 3
	version, keys := p.version, append([]string(nil), p.keys...)
	p.mu.Unlock()
	route := func(name, kind, service string, more map[string]any) map[string]any {
		path := "/" + name + "/"
		if kind == "streaming" {
			path = "/stream" + path
		}
		m := map[string]any{
			"name": name, "host": "soak.example", "path_prefix": path, "kind": kind, "service": service, "max_attempts": 2,
			"timeout_ms": routeTime.Milliseconds(), "target_latency_ms": 800, "priority": 1, "gap_aim_ms": 400,
		}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 5, "item_ms": 1, "headroom_mb": 1, "handle_s": 4}
	stages := []map[string]any{{"service": "floor", "after": []int{}, "bytes": 1000}, {"service": "portal", "after": []int{0}, "bytes": 1000}}
	p.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("transfer", "unsafe", "ledger", nil), route("status", "safe", "ledger", nil),
			route("chat", "streaming", "model", map[string]any{"resumable": true}),
			route("draft", "streaming", "model", map[string]any{"stages": stages, "max_attempts": 1}),
		},
		"services": []map[string]any{
			{"name": "ledger"},
			{"name": "model", "engine": map[string]any{"slots": 8}},
			{"name": "floor", "pieces": pieces},
			{"name": "portal", "pieces": pieces},
		},
		"limits":  map[string]any{"max_body_bytes": 100000},
		"tenants": []map[string]any{{"name": "soap", "api_keys": keys}},
	})
}

// revoke replaces a key by a new one.
func (p *place) revoke() {
	p.mu.Lock()
	old := p.keys[0]
	p.keys = append(p.keys[1:], fmt.Sprintf("key-%d", p.version+100))
	p.mu.Unlock()
	p.configure()
	p.mu.Lock()
	p.revoked[old] = time.Now()
	p.mu.Unlock()
}

func (p *place) addHost(binary string, i, base int) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+base/200, 1+base%200, 10+i)
	r, err := newRelay(strings.TrimPrefix(p.web.URL, "http://"))
	p.must(err)
	p.t.Cleanup(r.stop)
	h := &host{name: fmt.Sprintf("front-%d", i), ip: ip, relay: r, settings: filepath.Join(p.dir, fmt.Sprintf("host-%d.json", i))}
	data, err := json.Marshal(map[string]any{
		"node_name": h.name, "ip": ip, "zone": "a", "zones": map[string]string{"a": "r"},
		"listen":         map[string]string{"front": ip + ":8625", "ready": ip + ":8621"},
		"internal_ports": []int{7740, 7755}, "heartbeat_ms": 1200,
		"limits": map[string]any{"memory_mb": 284, "cpu_share": 0.4, "cores": 1},
		"bounds": map[string]any{
			"grace_s": stopBound.Seconds(), "strict_revoke": true, "revoke_ms": revokeBound.Milliseconds(),
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 200,
		},
		"platform": map[string]any{"address": r.address()},
	})
	p.must(err)
	p.must(os.WriteFile(h.settings, data, 0o600))
	h.log, err = os.Create(filepath.Join(p.dir, h.name+".log"))
	p.must(err)
	p.hosts = append(p.hosts, h)
	p.must(h.start(binary))
	p.t.Cleanup(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, cmd := range h.started {
			_ = cmd.Process.Kill() // most have ended
		}
		<-h.exited
		_ = h.log.Close()
	})
}

func (h *host) start(binary string) error {
	cmd := exec.Command(binary, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.started = append(h.started, cmd)
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ends by a signal of ours; the run judges what that does
		close(exited)
	}()
	return nil
}

// signal goes to the process that this host started, by its id.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(s) // it may have ended just now
	}
}

func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ip + ":8621/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
