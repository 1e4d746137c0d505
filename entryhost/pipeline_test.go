package entryhost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/engine"
	"bilberrydale/internal/standin/platform"
	"bilberrydale/internal/standin/service"
	"bilberrydale/process/clock"
	"bilberrydale/process/release"
	"bilberrydale/request/entry"
	"bilberrydale/version/table"
)

// testEnv is a stand-in platform with backend servers on loopback. It starts
// entry hosts that follow its releases.
type testEnv struct {
	objects  *platform.Store
	store    *httptest.Server
	services map[string]*service.Service
	tables   table.Tables
}

func newTestEnv() *testEnv {
	env := &testEnv{objects: platform.NewStore(), services: map[string]*service.Service{}}
	env.store = httptest.NewServer(env.objects.Handler())
	DeferCleanup(env.store.Close)
	return env
}

func (env *testEnv) addService(pool string) {
	s := service.New(service.Options{Name: pool + "-1", Crash: func() {}})
	env.services[pool] = s
	env.addPool(table.Pool{Name: pool, Kind: table.Service, Slots: 8}, s.Handler())
}

func (env *testEnv) addEngine(pool string) {
	e := engine.New(engine.Options{Name: pool + "-1", ResponseTokens: 20, InitialModel: "m", Crash: func() {}})
	env.addPool(table.Pool{Name: pool, Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}}, e.Handler())
}

func (env *testEnv) addPool(p table.Pool, h http.Handler) {
	srv := httptest.NewServer(h)
	DeferCleanup(srv.Close)
	p.Servers = []table.Server{{Name: p.Name + "-1", Address: srv.Listener.Addr().String(), Domain: "d1", Region: "r1"}}
	env.tables.Pools = append(env.tables.Pools, p)
}

func (env *testEnv) publish(author string) release.Release {
	rows, err := table.EncodeRows(env.tables)
	Expect(err).NotTo(HaveOccurred())
	pub := &release.Publisher{Store: env.objects, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.SystemRand{}}
	head, _, err := pub.Head(context.Background())
	Expect(err).NotTo(HaveOccurred())
	set := release.ChangeSet{Author: author}
	for key, data := range rows {
		old, _ := head.Row(key)
		set.Changes = append(set.Changes, release.Change{Key: key, Data: data, BaseVersion: old.Version})
	}
	rel, err := pub.Apply(context.Background(), set)
	Expect(err).NotTo(HaveOccurred())
	return rel
}

func (env *testEnv) startHost(name string) *Host {
	return env.startHostWith(func(o *Options) { o.Name = name })
}

func (env *testEnv) startHostWith(change func(*Options)) *Host {
	h := env.newHost("", change)
	runHost(h)
	return h
}

// newHost returns a host that does not run yet.
func (env *testEnv) newHost(name string, change func(*Options)) *Host {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.PlatformURL = name, "d1", "r1", env.store.URL
	opts.ListenAddress, opts.AdminAddress, opts.PeerAddress, opts.LogLevel = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "error"
	change(&opts)
	h, err := New(context.Background(), opts)
	Expect(err).NotTo(HaveOccurred())
	return h
}

// runHost runs h until stop is called or the spec ends. The result of Run is sent
// on done.
func runHost(h *Host) (stop context.CancelFunc, done chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	var result error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		result = h.Run(ctx)
		done <- result
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, 10*time.Second).Should(BeClosed())
		Expect(result).NotTo(HaveOccurred())
	})
	return cancel, done
}

func sendToHost(h *Host, path, accept, body string) (*http.Response, []byte) {
	callers, _ := h.Addresses()
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Accept", accept)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, data
}

func fourStageRoute() table.Route {
	stage := func(name, pool string) table.Stage {
		return table.Stage{Name: name, Pool: pool, Budget: table.Duration(time.Second), Repeatable: true}
	}
	r := table.Route{
		Name: "draft", Match: table.Match{Path: "/v1/drafts"}, Deadline: table.Duration(5 * time.Second), Worth: 1, Class: table.Standard,
		Stages: []table.Stage{stage("encode", "encoders"), stage("retrieve", "retrievers"), stage("rerank", "rerankers"), stage("generate", "model")},
	}
	r.Stages[3].Stream = true
	return r
}

var _ = Describe("the request path", func() {
	It("answers a four-stage request on every host, whole and streamed, and follows a new release", func() {
		env := newTestEnv()
		env.addService("encoders")
		env.addService("retrievers")
		env.addService("rerankers")
		env.addEngine("model")
		env.tables.Routes = []table.Route{fourStageRoute()}
		env.publish("ada")
		hosts := []*Host{env.startHost("e1"), env.startHost("e2")}
		for _, h := range hosts {
			Eventually(h.ready, 5*time.Second).Should(BeTrue())
			resp, body := sendToHost(h, "/v1/drafts", "", `{"x":1}`)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), string(body))
			Expect(string(body)).To(ContainSubstring("answer of model-1"))
			Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain; charset=utf-8"))

			resp, body = sendToHost(h, "/v1/drafts", entry.StreamMediaType, `{"x":1}`)
			Expect(resp.Header.Get("Content-Type")).To(Equal(entry.StreamMediaType))
			Expect(bytes.TrimSpace(body)).To(HaveSuffix(`"final":true}`))
		}
		Expect(env.services["rerankers"].TotalExecutions()).To(BeEquivalentTo(4))

		second := fourStageRoute()
		second.Name, second.Match.Path = "other", "/v2/drafts"
		env.tables.Routes = append(env.tables.Routes, second)
		rel := env.publish("bo")
		for _, h := range hosts {
			Eventually(func() uint64 { return h.Status().Release }, 5*time.Second).Should(Equal(rel.Number))
			resp, _ := sendToHost(h, "/v2/drafts", "", `{}`)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("refuses an unknown path with a problem that reports it as not run", func() {
		env := newTestEnv()
		env.addService("encoders")
		r := fourStageRoute()
		r.Stages = r.Stages[:1]
		env.tables.Routes = []table.Route{r}
		env.publish("ada")
		h := env.startHost("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		resp, body := sendToHost(h, "/nowhere", "", `{}`)
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		var p entry.Problem
		Expect(json.Unmarshal(body, &p)).To(Succeed())
		Expect(p.Kind).To(BeEquivalentTo("no_route"))
		Expect(p.Ran).To(BeEquivalentTo("no"))
	})
})
