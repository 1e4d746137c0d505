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

// fleet is a platform, one backend server a stage and entry hosts.
type fleet struct {
	t        *testing.T
	platform string
	engine   string
	dir      string
}

func newFleet(t *testing.T) *fleet {
	_, platform := start(t, "standin", "platform", "--listen", "127.0.0.1:0")
	f := &fleet{t: t, platform: "http://" + platform["callers"], dir: t.TempDir()}
	var addrs []any
	for _, name := range []string{"e-1", "r-1", "k-1"} {
		_, a := start(t, "standin", "service", "--listen", "127.0.0.1:0", "--name", name)
		addrs = append(addrs, a["callers"])
	}
	_, a := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--name", "m-1", "--model", "m", "--slots", "64", "--report-lag", "0s")
	f.engine = a["callers"]
	addrs = append(addrs, f.engine)
	NewWithT(t).Expect(os.WriteFile(filepath.Join(f.dir, "tables.yaml"), fmt.Appendf(nil, tables, addrs...), 0o600)).To(Succeed())
	f.apply()
	return f
}

func (f *fleet) apply() {
	f.t.Helper()
	var out bytes.Buffer
	err := ctl.Run(context.Background(), []string{"apply", f.dir, "--platform", f.platform, "--author", "ada"}, &out)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) entryHost(name string) (p *process, callers string) {
	f.t.Helper()
	p, a := start(
		f.t, "bilberryd", "--name", name, "--domain", "d1", "--region", "r1", "--platform", f.platform,
		"--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--drain-delay", "2s",
	)
	NewWithT(f.t).Eventually(func() bool { return ready(a["callers"]) }, 20*time.Second).Should(BeTrue(), p.String())
	return p, a["callers"]
}

func ready(callers string) bool {
	resp, err := http.Get("http://" + callers + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balancer spreads requests over the entry hosts that it has not left. When it
// leaves one is the test's choice: a real one learns late.
type balancer struct {
	hosts []string
	left  []atomic.Bool
	whole atomic.Int64

	mu     sync.Mutex
	faults []string
}

func (b *balancer) run(ctx context.Context, clients int) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				if i := n % len(b.hosts); !b.left[i].Load() {
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
		b.fault(err.Error())
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.fault(fmt.Sprintf("status %d, %v: %.200s", resp.StatusCode, err, body))
		return
	}
	b.whole.Add(1)
}

func (b *balancer) fault(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, text)
}

// Callers send four-stage requests through two entry hosts. Then one of them
// is ended with SIGTERM under that load. It first says that it is not ready and
// still serves; only then the balancer moves on; what is in flight finishes.
// Every caller gets its whole answer, and the process ends without an error.
func TestSIGTERMUnderLoadCutsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	first, a := f.entryHost("entry-1")
	_, c := f.entryHost("entry-2")
	b := &balancer{hosts: []string{a, c}, left: make([]atomic.Bool, 2)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(ctx, 8)
	}()
	g.Eventually(b.whole.Load, 20*time.Second).Should(BeNumerically(">", 50))
	first.signal(syscall.SIGTERM)
	g.Eventually(func() bool { return ready(a) }, 10*time.Second).Should(BeFalse())
	var late sync.WaitGroup
	for range 8 {
		late.Go(func() { b.send(a) })
	}
	late.Wait()
	b.left[0].Store(true)
	g.Eventually(first.done, 20*time.Second).Should(Receive(BeNil()), first.String())
	after := b.whole.Load()
	g.Eventually(b.whole.Load, 20*time.Second).Should(BeNumerically(">", after+20))
	cancel()
	g.Eventually(done, 20*time.Second).Should(BeClosed())
	g.Expect(b.faults).To(BeEmpty())
}

// An operator sends one more route to entry hosts that serve. Both take it
// without a restart.
func TestApplyChangesTheRouteOnEveryRunningHost(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	_, a := f.entryHost("entry-1")
	_, c := f.entryHost("entry-2")
	path := filepath.Join(f.dir, "tables.yaml")
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, bytes.Replace(data, []byte("/v1/drafts"), []byte("/v2/drafts"), 1), 0o600)).To(Succeed())
	f.apply()
	for _, host := range []string{a, c} {
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

// faults sets a stand-in's failure switches.
func (f *fleet) faults(addr string, x hop.Faults) {
	f.t.Helper()
	data, err := json.Marshal(x)
	g := NewWithT(f.t)
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/admin/faults", bytes.NewReader(data))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Four callers wait on a slow engine when the platform ends their entry host.
// Their answers outlast the drain delay; the host refuses new work meanwhile
// and ends only when the last of the four has its whole answer.
func TestSIGTERMWaitsForSlowAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	host, addr := f.entryHost("entry-1")
	f.faults(f.engine, hop.Faults{Delay: 1500 * time.Millisecond})
	b := &balancer{hosts: []string{addr}}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { b.send(addr) })
	}
	g.Eventually(func() int { return f.running() }, 10*time.Second).Should(Equal(4))
	host.signal(syscall.SIGTERM)
	wg.Wait()
	g.Expect(b.faults).To(BeEmpty())
	g.Expect(b.whole.Load()).To(BeEquivalentTo(4))
	g.Eventually(host.done, 20*time.Second).Should(Receive(BeNil()), host.String())
}

// running returns the sequences in the engine's batch.
func (f *fleet) running() int {
	resp, err := http.Get("http://" + f.engine + "/load")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var l struct{ Running int }
	_ = json.NewDecoder(resp.Body).Decode(&l)
	return l.Running
}
