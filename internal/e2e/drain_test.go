package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/ctl"
	"bilberrydale/internal/standin/hop"
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bilberrydale-e2e")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const tables = `routes:
  - name: draft
    match: {path: /v1/drafts}
    deadline: 5s
    worth: 1
    class: standard
    stages:
      - {name: encode, pool: encoders, budget: 500ms, repeatable: true}
      - {name: retrieve, pool: retrievers, budget: 500ms, repeatable: true}
      - {name: rerank, pool: rerankers, budget: 500ms, repeatable: true}
      - {name: generate, pool: model, budget: 2s, repeatable: true, stream: true}
pools:
  - {name: encoders, kind: encoder, slots: 64, servers: [{name: e-1, address: '%s', domain: d1, region: r1}]}
  - {name: retrievers, kind: encoder, slots: 64, servers: [{name: r-1, address: '%s', domain: d1, region: r1}]}
  - {name: rerankers, kind: encoder, slots: 64, servers: [{name: k-1, address: '%s', domain: d1, region: r1}]}
  - {name: model, kind: engine, model: {name: m}, slots: 64, servers: [{name: m-1, address: '%s', domain: d1, region: r1}]}
`

// fleet is a platform, one backend server for each stage, and entry hosts.
type fleet struct {
	t             *testing.T
	platformURL   string
	engineAddress string
	tablesDir     string
}

func newFleet(t *testing.T) *fleet {
	_, platform := start(t, "standin", "platform", "--listen", "127.0.0.1:0")
	f := &fleet{t: t, platformURL: "http://" + platform["callers"], tablesDir: t.TempDir()}
	var addrs []any
	for _, name := range []string{"e-1", "r-1", "k-1"} {
		_, a := start(t, "standin", "service", "--listen", "127.0.0.1:0", "--name", name)
		addrs = append(addrs, a["callers"])
	}
	_, a := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--name", "m-1", "--model", "m", "--slots", "64", "--report-lag", "0s")
	f.engineAddress = a["callers"]
	addrs = append(addrs, f.engineAddress)
	NewWithT(t).Expect(os.WriteFile(filepath.Join(f.tablesDir, "tables.yaml"), fmt.Appendf(nil, tables, addrs...), 0o600)).To(Succeed())
	f.apply()
	return f
}

// apply publishes the tables of f.tablesDir as a release.
func (f *fleet) apply() {
	f.t.Helper()
	var out bytes.Buffer
	err := ctl.Run(context.Background(), []string{"apply", f.tablesDir, "--platform", f.platformURL, "--author", "ada"}, &out)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
}

// startEntryHost starts an entry host and waits until it is ready.
func (f *fleet) startEntryHost(name string) (p *process, callers string) {
	f.t.Helper()
	p, addresses := start(
		f.t, "bilberryd", "--name", name, "--domain", "d1", "--region", "r1", "--platform", f.platformURL,
		"--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--drain-delay", "2s",
	)
	NewWithT(f.t).Eventually(func() bool { return ready(addresses["callers"]) }, 20*time.Second).Should(BeTrue(), p.String())
	return p, addresses["callers"]
}

// ready reports whether the health check at the callers' address succeeds.
func ready(callers string) bool {
	resp, err := http.Get("http://" + callers + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balancer distributes requests over the entry hosts that are not removed from
// rotation. The test decides when to remove one, because a real load balancer
// learns late that a host is not ready.
type balancer struct {
	hosts     []string
	removed   []atomic.Bool
	completed atomic.Int64

	mu       sync.Mutex
	failures []string
}

func (b *balancer) run(ctx context.Context, clients int) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				if i := n % len(b.hosts); !b.removed[i].Load() {
					b.send(b.hosts[i])
				}
				n++
			}
		})
	}
	wg.Wait()
}

func (b *balancer) send(host string) {
	resp, err := http.Post("http://"+host+"/v1/drafts", "application/json", bytes.NewBufferString(`{"recipe":"tallow"}`))
	if err != nil {
		b.addFailure(err.Error())
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.addFailure(fmt.Sprintf("status %d, %v: %.200s", resp.StatusCode, err, body))
		return
	}
	b.completed.Add(1)
}

func (b *balancer) addFailure(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, text)
}

// Callers send four-stage requests through two entry hosts, and one host gets
// SIGTERM under this load. It has to report not ready first and continue to
// serve until the load balancer stops sending. Requests in flight finish, every
// caller gets a complete response, and the process exits without an error.
func TestSIGTERMUnderLoadCompletesRequestsInFlight(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	firstHost, firstAddress := f.startEntryHost("entry-1")
	_, secondAddress := f.startEntryHost("entry-2")
	b := &balancer{hosts: []string{firstAddress, secondAddress}, removed: make([]atomic.Bool, 2)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(ctx, 8)
	}()
	g.Eventually(b.completed.Load, 20*time.Second).Should(BeNumerically(">", 50))
	firstHost.signal(syscall.SIGTERM)
	g.Eventually(func() bool { return ready(firstAddress) }, 10*time.Second).Should(BeFalse())
	var lateRequests sync.WaitGroup
	for range 8 {
		lateRequests.Go(func() { b.send(firstAddress) })
	}
	lateRequests.Wait()
	b.removed[0].Store(true)
	g.Eventually(firstHost.exited, 20*time.Second).Should(Receive(BeNil()), firstHost.String())
	completedAtExit := b.completed.Load()
	g.Eventually(b.completed.Load, 20*time.Second).Should(BeNumerically(">", completedAtExit+20))
	cancel()
	g.Eventually(done, 20*time.Second).Should(BeClosed())
	g.Expect(b.failures).To(BeEmpty())
}

// An operator changes the path of a route. Both running entry hosts apply the
// change without a restart.
func TestApplyChangesTheRouteOnEveryRunningHost(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	_, firstAddress := f.startEntryHost("entry-1")
	_, secondAddress := f.startEntryHost("entry-2")
	path := filepath.Join(f.tablesDir, "tables.yaml")
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, bytes.Replace(data, []byte("/v1/drafts"), []byte("/v2/drafts"), 1), 0o600)).To(Succeed())
	f.apply()
	for _, host := range []string{firstAddress, secondAddress} {
		g.Eventually(func() int {
			resp, err := http.Post("http://"+host+"/v2/drafts", "application/json", bytes.NewBufferString(`{}`))
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}, 11*time.Second).Should(Equal(http.StatusOK))
	}
}

// setFaults sets the injected faults of the stand-in at addr.
func (f *fleet) setFaults(addr string, faults hop.Faults) {
	f.t.Helper()
	data, err := json.Marshal(faults)
	g := NewWithT(f.t)
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/admin/faults", bytes.NewReader(data))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Four requests are running on a slow engine when their entry host gets SIGTERM,
// and they take longer than the drain delay. The host refuses new requests
// meanwhile and has to exit only after all four callers have complete responses.
func TestSIGTERMWaitsForSlowResponses(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	host, addr := f.startEntryHost("entry-1")
	f.setFaults(f.engineAddress, hop.Faults{Delay: 1500 * time.Millisecond})
	b := &balancer{hosts: []string{addr}}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { b.send(addr) })
	}
	g.Eventually(func() int { return f.runningSequences() }, 10*time.Second).Should(Equal(4))
	host.signal(syscall.SIGTERM)
	wg.Wait()
	g.Expect(b.failures).To(BeEmpty())
	g.Expect(b.completed.Load()).To(BeEquivalentTo(4))
	g.Eventually(host.exited, 20*time.Second).Should(Receive(BeNil()), host.String())
}

// runningSequences returns the number of sequences in the engine's batch, or 0 if
// the engine cannot be reached.
func (f *fleet) runningSequences() int {
	resp, err := http.Get("http://" + f.engineAddress + "/load")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var load struct{ Running int }
	_ = json.NewDecoder(resp.Body).Decode(&load)
	return load.Running
}
