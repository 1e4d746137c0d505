package soak

import (
	"bytes"
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

	"bilberrydale/internal/relay"
	"bilberrydale/platform/platformtest"
	"bilberrydale/process/coldstart"
	"bilberrydale/version/plan"
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
	log     *ledger

	mu      sync.Mutex
	version int
	keys    []string
	revoked map[string]time.Time // when the store acknowledged that a key is gone
	ran     map[string][]string  // servers that ran an attempt
	made    map[string][]string  // servers that made results for an attempt
}

// host is one daemon.
type host struct {
	number   int
	name, ip string
	settings string
	relay    *relay.Proxy // to the store
	log      *os.File
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{} // closed when the host has no process any more
	told       bool          // to end
	frozen     bool          // by SIGSTOP: it cannot act on other signals
	started    []*exec.Cmd   // all processes of this host, to end them by their ids
}

// backend is a backend server behind a relay.
type backend struct {
	*platformtest.Server
	relay  *relay.Proxy
	domain string
	starts int // how often it has come back cold
	// while cold: when requests reached it
	coldUntil time.Time
	cold      [][]time.Time // of each time
}

func newPlace(t *testing.T, binary string, hosts int, base int) *place {
	p := &place{
		t: t, dir: t.TempDir(), store: platformtest.NewStore(), keys: []string{"key-1", "key-2"},
		revoked: map[string]time.Time{}, ran: map[string][]string{}, made: map[string][]string{}, log: newLedger(),
	}
	p.web = httptest.NewServer(p.store)
	t.Cleanup(p.web.Close)
	for _, service := range []string{"ledger", "ledger", "model", "model", "model", "floor", "floor", "portal"} {
		p.addServer(service, nearDomain)
	}
	for _, service := range []string{"ledger", "model", "floor", "portal"} {
		p.addServer(service, farDomain)
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

// Hosts are in the near domain; the far one is in a region of its own, to which some routes
// are bound.
const (
	nearDomain, nearRegion = "a", "r"
	farDomain, farRegion   = "b", "q"
)

func (p *place) addServer(service, domain string) {
	s := platformtest.NewServer(fmt.Sprintf("%s-%d", service, len(p.servers)), service)
	p.t.Cleanup(s.HTTP.Close)
	r, err := relay.New(s.Address())
	p.must(err)
	p.t.Cleanup(r.Close)
	s.ListedAddress = r.Address()
	b := &backend{Server: s, relay: r, domain: domain}
	p.servers = append(p.servers, b)
	s.SetInterceptor(func(w http.ResponseWriter, q *http.Request) bool { return p.serve(b, w, q) })
	p.list(b, false)
}

// list has a server write its entry, which tells how long it stays cold.
func (p *place) list(b *backend, draining bool) {
	p.mu.Lock()
	left, born := time.Until(b.coldUntil), b.born()
	p.mu.Unlock()
	if left > 0 && !draining {
		p.store.PutColdServer(b.Server, b.domain, left, born)
		return
	}
	p.store.PutServer(b.Server, b.domain, draining)
}

// born tells the starts of a server apart. It is called with the place's lock held.
func (b *backend) born() int64 { return int64(1700000000000 + b.starts) }

// serve answers as the backend server, and notes who ran what.
func (p *place) serve(b *backend, w http.ResponseWriter, q *http.Request) bool {
	if platformtest.IsStageCall(q) {
		p.noteStage(b, q)
		return false
	}
	id := platformtest.AttemptID(q.Header)
	_, _ = io.Copy(io.Discard, q.Body)
	p.mu.Lock()
	p.ran[id] = append(p.ran[id], b.ID)
	if now := time.Now(); now.Before(b.coldUntil) {
		b.cold[b.starts-1] = append(b.cold[b.starts-1], now)
	}
	p.mu.Unlock()
	platformtest.Sign(w.Header(), "stamp-"+id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		for i := platformtest.LastEventID(q) + 1; i <= streamEvents; i++ {
			b.WriteEvents(w, i, i)
			work(q, eventTime)
		}
		return true
	}
	work(q, callTime)
	_, _ = io.WriteString(w, "answer to "+id)
	return true
}

// noteStage notes for which attempts a server makes results.
func (p *place) noteStage(b *backend, q *http.Request) {
	body, _ := io.ReadAll(q.Body) // a call that breaks off fails in the server itself
	q.Body = io.NopCloser(bytes.NewReader(body))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range platformtest.StageRequestIDs(body) {
		p.made[id] = append(p.made[id], b.ID)
	}
}

// returnCold has a server start again under its id, cold.
func (p *place) returnCold(b *backend) {
	p.mu.Lock()
	b.starts++
	b.coldUntil, b.cold = time.Now().Add(coldTime), append(b.cold, nil)
	p.mu.Unlock()
	p.list(b, false)
}

// What engines bear while they are cold, and what the platform counts as beyond it: half
// as much again and some.
const (
	coldTime  = 3 * time.Second
	coldRate  = 1.0
	coldMost  = 1.5*coldRate + 5
	coldCount = time.Second
)

// Work of a backend server, so that faults meet requests under way.
const (
	streamEvents = 8
	eventTime    = 20 * time.Millisecond
	callTime     = 5 * time.Millisecond
)

// work takes a time of a server, or until nobody waits for it any more.
func work(q *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-q.Context().Done():
	}
}

// configure writes the next configuration with the keys that hold.
func (p *place) configure() {
	p.mu.Lock()
	p.version += 3
	version, keys := p.version, append([]string(nil), p.keys...)
	p.mu.Unlock()
	route := func(name string, kind plan.RouteKind, service string) plan.Route {
		path := "/" + name + "/"
		if kind == plan.Stream {
			path = "/stream" + path
		}
		return plan.Route{
			Name: name, Host: "soap.example", PathPrefix: path, Kind: kind, Targets: []plan.Target{{Service: service, Weight: 1}}, MaxAttempts: 2,
			Timeout: routeTime, TargetLatency: 800 * time.Millisecond, Priority: 1, MaxEventGap: 400 * time.Millisecond,
		}
	}
	chat, draft := route("chat", plan.Stream, "model"), route("draft", plan.Stream, "model")
	chat.Resumable = true
	draft.MaxAttempts = 1
	bound, boundDraft := route("bound", plan.Safe, "ledger"), route("bounddraft", plan.Stream, "model")
	bound.Regions, boundDraft.Regions = []string{farRegion}, []string{farRegion}
	draft.Stages = []plan.Stage{{Service: "floor", ResultBytes: 1000}, {Service: "portal", DependsOn: []int{0}, ResultBytes: 1000}}
	boundDraft.Stages = draft.Stages
	batch := &plan.Batch{
		ConcurrentCalls: 1, QueuedCalls: 2, MaxItemsPerCall: 8, TimePerCall: 5 * time.Millisecond, TimePerItem: time.Millisecond,
		ResultMemoryBytes: 1_000_000, ResultTTL: 4 * time.Second,
	}
	p.store.PutConfig(plan.Config{
		Version: int64(version),
		Routes:  []plan.Route{route("transfer", plan.Unsafe, "ledger"), route("status", plan.Safe, "ledger"), chat, draft, bound, boundDraft},
		Services: []plan.Service{
			{Name: "ledger"},
			{Name: "model", Engine: &plan.Engine{Slots: 8}, ColdStart: coldstart.Limit{RequestsPerSecond: coldRate, ColdDuration: coldTime}},
			{Name: "floor", Batch: batch},
			{Name: "portal", Batch: batch},
		},
		Limits:   plan.Limits{MaxBodyBytes: 100_000},
		Accounts: []plan.Account{{Name: "soap", Keys: keys}},
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
	r, err := relay.New(strings.TrimPrefix(p.web.URL, "http://"))
	p.must(err)
	p.t.Cleanup(r.Close)
	h := &host{number: i, name: fmt.Sprintf("front-%d", i), ip: ip, relay: r, settings: filepath.Join(p.dir, fmt.Sprintf("host-%d.json", i))}
	data, err := platformtest.HostSettings{
		Name: h.name, IP: ip, Domain: nearDomain, Region: nearRegion, OtherRegions: map[string]string{farDomain: farRegion}, ClientAddress: ip + ":8625", ReadinessAddress: ip + ":8621",
		FirstInternalPort: 7740, LastInternalPort: 7755, StoreAddress: r.Address(), ShutdownGracePeriod: stopBound, MaxKeyRevocationDelay: revokeBound, MaxEvacuationDelay: 5 * time.Second,
		HeartbeatInterval: 1200 * time.Millisecond, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 200,
	}.JSON()
	p.must(err)
	p.must(os.WriteFile(h.settings, data, 0o600))
	h.log, err = os.Create(filepath.Join(p.dir, h.name+".log"))
	p.must(err)
	p.hosts = append(p.hosts, h)
	p.must(h.start(binary))
	p.t.Cleanup(func() {
		h.mu.Lock()
		h.told = true
		for _, cmd := range h.started {
			_ = cmd.Process.Kill() // most have ended
		}
		exited := h.exited
		h.mu.Unlock()
		<-exited
		_ = h.log.Close()
	})
}

func (h *host) start(binary string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told, h.exited = false, make(chan struct{})
	return h.launch(binary)
}

// launch starts a process; it is called with h.mu held.
func (h *host) launch(binary string) error {
	cmd := exec.Command(h.build(binary), "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.frozen = cmd, false
	h.started = append(h.started, cmd)
	go func() {
		_ = cmd.Wait() // ends by a signal of ours; the run judges what that does
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.told && endedBy(cmd, syscall.SIGHUP) && h.launch(binary) == nil {
			return
		}
		close(h.exited)
	}()
	return nil
}

// build returns the program of the host's next process: with -soak.other, the builds take
// turns over the hosts and over the starts of each. It is called with h.mu held.
func (h *host) build(binary string) string {
	if *otherFlag != "" && (h.number+len(h.started))%2 == 1 {
		return *otherFlag
	}
	return binary
}

// decodingFaults reports lines of the daemons' logs that tell of messages or entries which
// one build wrote and the other could not read.
func (p *place) decodingFaults() {
	for _, h := range p.hosts {
		data, err := os.ReadFile(h.log.Name())
		p.must(err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "msgpack") {
				p.t.Errorf("%s: %s", h.name, line)
			}
		}
	}
}

// endedBy reports whether a signal ended the process. SIGHUP does so in the first
// moments of a process, before it can say that it takes it; the platform starts
// it again, and so does the run.
func endedBy(cmd *exec.Cmd, s syscall.Signal) bool {
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// signal goes to the process that this host started, by its id.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = h.told || s == syscall.SIGTERM || s == syscall.SIGKILL
	switch s {
	case syscall.SIGSTOP:
		h.frozen = true
	case syscall.SIGCONT:
		h.frozen = false
	}
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(s) // it may have ended just now
	}
}

func (h *host) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

// endPoll is how often a process that has to end is looked at.
const endPoll = 10 * time.Millisecond

// endsWithin tells whether the process ends within bound of its own running time. A
// frozen process takes no signal: its time to stop begins when it runs again.
func (h *host) endsWithin(exited <-chan struct{}, bound time.Duration) bool {
	tick := time.NewTicker(endPoll)
	defer tick.Stop()
	var ran time.Duration
	for last := time.Now(); ran < bound; {
		select {
		case <-exited:
			return true
		case now := <-tick.C:
			if !h.isFrozen() {
				ran += now.Sub(last)
			}
			last = now
		}
	}
	return false
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
