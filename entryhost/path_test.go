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

// world is a platform, backend servers and entry hosts on loopback.
type world struct {
	objects  *platform.Store
	store    *httptest.Server
	services map[string]*service.Service
	tables   table.Tables
}

func newWorld() *world {
	w := &world{objects: platform.NewStore(), services: map[string]*service.Service{}}
	w.store = httptest.NewServer(w.objects.Handler())
	DeferCleanup(w.store.Close)
	return w
}

func (w *world) service(pool string) {
	s := service.New(service.Options{Name: pool + "-1", Crash: func() {}})
	w.services[pool] = s
	w.pool(table.Pool{Name: pool, Kind: table.Service, Slots: 8}, s.Handler())
}

func (w *world) engine(pool string) {
	e := engine.New(engine.Options{Name: pool + "-1", ResponseTokens: 20, InitialModel: "m", Crash: func() {}})
	w.pool(table.Pool{Name: pool, Kind: table.Engine, Slots: 8, Model: table.Model{Name: "m"}}, e.Handler())
}

func (w *world) pool(p table.Pool, h http.Handler) {
	srv := httptest.NewServer(h)
	DeferCleanup(srv.Close)
	p.Servers = []table.Server{{Name: p.Name + "-1", Address: srv.Listener.Addr().String(), Domain: "d1", Region: "r1"}}
	w.tables.Pools = append(w.tables.Pools, p)
}

func (w *world) apply(author string) release.Release {
	rows, err := table.EncodeRows(w.tables)
	Expect(err).NotTo(HaveOccurred())
	pub := &release.Publisher{Store: w.objects, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.SystemRand{}}
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

func (w *world) host(name string) *Host {
	return w.hostWith(func(o *Options) { o.Name = name })
}

func (w *world) hostWith(change func(*Options)) *Host {
	h := w.newHost("", change)
	runHost(h)
	return h
}

// newHost makes a host that does not run yet.
func (w *world) newHost(name string, change func(*Options)) *Host {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.PlatformURL = name, "d1", "r1", w.store.URL
	opts.ListenAddress, opts.AdminAddress, opts.PeerAddress, opts.LogLevel = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "error"
	change(&opts)
	h, err := New(context.Background(), opts)
	Expect(err).NotTo(HaveOccurred())
	return h
}

// runHost runs h to the end of the spec, or until stop is called; done then
// gets Run's result.
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

func send(h *Host, path, accept, body string) (*http.Response, []byte) {
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

func fourStages() table.Route {
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

var _ = Describe("the whole path", func() {
	It("answers a four-stage request on every host, whole and streamed, and follows a new release", func() {
		w := newWorld()
		w.service("encoders")
		w.service("retrievers")
		w.service("rerankers")
		w.engine("model")
		w.tables.Routes = []table.Route{fourStages()}
		w.apply("ada")
		hosts := []*Host{w.host("e1"), w.host("e2")}
		for _, h := range hosts {
			Eventually(h.ready, 5*time.Second).Should(BeTrue())
			resp, body := send(h, "/v1/drafts", "", `{"x":1}`)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), string(body))
			Expect(string(body)).To(ContainSubstring("answer of model-1"))
			Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain; charset=utf-8"))

			resp, body = send(h, "/v1/drafts", entry.StreamMediaType, `{"x":1}`)
			Expect(resp.Header.Get("Content-Type")).To(Equal(entry.StreamMediaType))
			Expect(bytes.TrimSpace(body)).To(HaveSuffix(`"final":true}`))
		}
		Expect(w.services["rerankers"].TotalExecutions()).To(BeEquivalentTo(4))

		second := fourStages()
		second.Name, second.Match.Path = "other", "/v2/drafts"
		w.tables.Routes = append(w.tables.Routes, second)
		rel := w.apply("bo")
		for _, h := range hosts {
			Eventually(func() uint64 { return h.Status().Release }, 5*time.Second).Should(Equal(rel.Number))
			resp, _ := send(h, "/v2/drafts", "", `{}`)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("refuses an unknown path with a problem that says it did not run", func() {
		w := newWorld()
		w.service("encoders")
		r := fourStages()
		r.Stages = r.Stages[:1]
		w.tables.Routes = []table.Route{r}
		w.apply("ada")
		h := w.host("e1")
		Eventually(h.ready, 5*time.Second).Should(BeTrue())
		resp, body := send(h, "/nowhere", "", `{}`)
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		var p entry.Problem
		Expect(json.Unmarshal(body, &p)).To(Succeed())
		Expect(p.Kind).To(BeEquivalentTo("no_route"))
		Expect(p.Ran).To(BeEquivalentTo("no"))
	})
})
