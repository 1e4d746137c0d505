package edge

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

func TestRequestsOfEachKindAreServed(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	ledger := p.servers["ledger-1"]
	ledger.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
		ledger.Serve(w, r)
		return true
	})

	r := p.send(h, "POST", "/transfer/x?n=1", "soap")
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(Equal("answer of ledger-1"))
	g.Expect(platformtest.Signed(r.header)).To(BeTrue())
	g.Expect(r.header).NotTo(HaveKey("Date"), "a header that the server did not send")
	g.Expect(r.header).NotTo(HaveKey("Content-Type"), "a header that the server did not send")
	run := p.runs("ledger")[0]
	g.Expect(run.URI).To(Equal("/transfer/x?n=1"))
	g.Expect(run.Body).To(Equal("soap"))
	g.Expect(run.Host).To(Equal("soap.example"))
	g.Expect(run.Account()).To(Equal("boilers"))
	g.Expect(run.HasKey()).To(BeFalse(), "the key was passed on")
	g.Expect(run.Header.Get("User-Agent")).To(Equal(userAgent))

	g.Expect(p.send(h, "GET", "/status/1", "").body).To(Equal("answer of ledger-1"))
	g.Expect(p.send(h, "GET", "/open/1", "", func(q *platformtest.Request) { q.Key = "" }).status).To(Equal(http.StatusOK))

	s := p.send(h, "POST", "/stream/stream/1", "prompt")
	g.Expect(s.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(s.body, "data: piece")).To(Equal(5))
}

func TestStagesRunBeforeTheRequestAndTheirResultsAreFreed(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	r := p.send(h, "POST", "/stream/staged/1", "prompt", func(q *platformtest.Request) {
		q.Items, q.ItemKey = []int{2, 3}, "k"
	})
	g.Expect(r.status).To(Equal(http.StatusOK), r.body)
	inputs := p.runs("model")[0].Inputs()
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
	p := newTestPlatform(t)
	first, second := p.startHost("front-1"), p.startHost("front-2")
	g.Eventually(func() int { return len(second.mesh.Peers()) }, "20s").Should(Equal(1))
	staged := func(h *Host) int {
		return p.send(h, "POST", "/stream/staged/1", "x", func(q *platformtest.Request) { q.Items = []int{1, 1} }).status
	}
	g.Expect(staged(second)).To(Equal(http.StatusOK))
	g.Expect(second.meter.Counter("stage_calls_floor")).To(BeZero())
	g.Expect(first.meter.Counter("stage_calls_floor")).To(BeEquivalentTo(1))
	p.stopHost[0]()
	g.Eventually(first.stopping.Load, "10s").Should(BeTrue())
	g.Expect(staged(second)).To(Equal(http.StatusOK))
	g.Expect(second.meter.Counter("stage_calls_floor")).To(BeEquivalentTo(1))
}

// A client sets headers that are the system's own, and names end-to-end headers
// in Connection to have them dropped. Neither may reach a server as sent.
func TestHeadersOfTheSystemAreNotTheClientsToSet(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	r := p.send(h, "POST", "/transfer/1", "x", func(q *platformtest.Request) { q.Forged = true })
	g.Expect(r.status).To(Equal(http.StatusOK))
	got := p.runs("ledger")[0]
	g.Expect(got.Forged()).To(BeEmpty())
	g.Expect(got.Account()).To(Equal("boilers"))
	g.Expect(got.Header.Get("User-Agent")).To(Equal(userAgent))
	g.Expect(got.ID()).NotTo(BeEmpty())
}

func TestRefusalsBeforeAnythingRuns(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	g.Expect(p.send(h, "GET", "/nowhere/1", "").status).To(Equal(http.StatusNotFound))
	g.Expect(p.send(h, "GET", "/status/1", "", func(q *platformtest.Request) { q.Key = "x" }).status).To(Equal(http.StatusUnauthorized))
	g.Expect(p.send(h, "POST", "/transfer/1", strings.Repeat("x", 5000)).status).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(p.send(h, "GET", "/status/1", "", func(q *platformtest.Request) { q.ID = "" }).status).To(Equal(http.StatusBadRequest))
	g.Expect(p.runs("ledger")).To(BeEmpty())
}

// The server closes the connection after it has read the request. It may have
// run it: an unsafe request must not go to another server, and the client must
// not be told that it has not run; a safe one is served by the other.
func TestBrokenAnswerOfARequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	other := p.addServer("ledger-2", "ledger")
	h := p.startHost("front-1")
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
	r := p.send(h, "POST", "/transfer/1", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.header).NotTo(HaveKey("Retry-After"))
	g.Expect(p.runs("ledger")).To(HaveLen(1))

	other.SetHandle(nil)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "10s").Should(Equal(http.StatusOK))
}

// A server's plain answers end in the middle. The safe request is served by the
// other server, and the one that breaks its answers is passed over for a while.
func TestServerThatCutsItsAnswersIsPassedOver(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.addServer("ledger-2", "ledger")
	h := p.startHost("front-1")
	cut := map[string]bool{}
	first := make(chan string, 1)
	for _, id := range []string{"ledger-1", "ledger-2"} {
		p.servers[id].SetHandle(func(w http.ResponseWriter, _ *http.Request) bool {
			select {
			case first <- id:
			default:
				return false
			}
			platformtest.Sign(w.Header(), "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half of it")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	cut[<-first] = true
	for id := range p.servers {
		g.Expect(h.directory.View().Server(id).InBackoff(h.clock.Now())).To(Equal(cut[id]), id)
	}
}

// The server says that it did not run the request. The other gets it; when that
// one refuses as well, the client is told truthfully that nothing ran.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	other := p.addServer("ledger-2", "ledger")
	h := p.startHost("front-1")
	full := func(w http.ResponseWriter, _ *http.Request) bool {
		platformtest.RefuseNotRun(w)
		return true
	}
	p.servers["ledger-1"].SetHandle(full)
	r := p.send(h, "POST", "/transfer/1", "x")
	g.Expect(r.body).To(Equal("answer of ledger-2"))

	other.SetHandle(full)
	r = p.send(h, "POST", "/transfer/2", "x")
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(p.runs("ledger")).To(HaveLen(1))
}

// A server answers 503 without saying that it did not run the request. Passed
// on, the status alone would promise that to the client.
func TestStatusThatWouldPromiseTooMuchIsNotPassedOn(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		p.servers["ledger-1"].Note(r)
		platformtest.Sign(w.Header(), "s")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	g.Expect(p.send(h, "POST", "/transfer/1", "x").status).To(Equal(http.StatusBadGateway))
}

// An answer carries the id of another request: a late extra answer stood where
// this one was expected. The client must not get it, and an unsafe request must
// not be sent again.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		p.servers["ledger-1"].Note(r)
		platformtest.NameAnother(w.Header(), "of-another")
		platformtest.Sign(w.Header(), "s")
		_, _ = io.WriteString(w, "not yours")
		return true
	})
	r := p.send(h, "POST", "/transfer/1", "x")
	g.Expect(r.status).To(Equal(http.StatusBadGateway))
	g.Expect(r.body).NotTo(ContainSubstring("not yours"))
	g.Expect(p.runs("ledger")).To(HaveLen(1))
}

// A success without the server's signature, or with an encoded body, is not the
// server's answer.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(w, "unsigned")
		return true
	})
	g.Expect(p.send(h, "POST", "/transfer/1", "x").status).To(Equal(http.StatusBadGateway))
}

// A stream breaks off in the middle of its third event. Where it may be
// resumed, another server goes on behind the last whole event, and the client
// sees each event once; elsewhere the answer must not end as complete.
func TestStreamThatBreaksOff(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	second := p.addServer("model-2", "model")
	second.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		second.Note(r)
		platformtest.Sign(w.Header(), "second")
		if platformtest.LastEvent(r) == 0 {
			second.Events(w, 1, 2)
			panic(http.ErrAbortHandler)
		}
		second.Events(w, 3, 5)
		return true
	})
	p.servers["model-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		s := p.servers["model-1"]
		s.Note(r)
		platformtest.Sign(w.Header(), "first")
		if platformtest.LastEvent(r) != 0 {
			s.Events(w, 3, 5)
			return true
		}
		s.Events(w, 1, 2)
		_, _ = io.WriteString(w, "id: 3\ndata: pie")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	g.Eventually(func() int { return h.directory.View().Count() }, "10s").Should(Equal(5))

	r := p.send(h, "POST", "/stream/resume/1", "x")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"))
	g.Expect(p.runs("model")).To(HaveLen(2))
	avoided := func(id string) bool { return h.directory.View().Server(id).InBackoff(h.clock.Now()) }
	g.Expect(avoided("model-1")).NotTo(Equal(avoided("model-2")), "the one that broke off")

	r = p.send(h, "POST", "/stream/stream/1", "x")
	g.Expect(r.err).To(HaveOccurred(), "the answer must not end as complete")
	g.Expect(r.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"))
	g.Expect(p.runs("model")).To(HaveLen(3))
}

// A stream breaks off and goes on at a server that does not know where the client
// is: it begins anew. The client sees each event once and in order.
func TestEventsThatTheClientHasAreNotSentAgain(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	second := p.addServer("model-2", "model")
	g.Eventually(func() int { return h.directory.View().Count() }, "10s").Should(Equal(5))
	var broken atomic.Bool
	for _, s := range []*platformtest.Server{p.servers["model-1"], second} {
		s.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
			platformtest.Sign(w.Header(), s.ID)
			if !broken.Swap(true) {
				s.Events(w, 1, 3)
				panic(http.ErrAbortHandler)
			}
			s.Events(w, 1, 5)
			return true
		})
	}
	r := p.send(h, "POST", "/stream/resume/1", "x")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"))
}

// A server reads the request and breaks off: it may have run. The next one has
// lost the inputs, and they cannot be made again. A lack of servers is a refusal
// as "not run" otherwise; here the client must not be told so.
func TestRequestThatMayHaveRunIsNeverRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.route("resume").Stages = []plan.Stage{{Service: "floor", ResultBytes: 1000}}
	p.config.Version++
	p.store.PutConfig(p.config)
	second := p.addServer("model-2", "model")
	h := p.startHost("front-1")
	var sends, calls atomic.Int32
	for _, s := range []*platformtest.Server{p.servers["model-1"], second} {
		s.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
			if sends.Add(1) == 1 {
				s.Note(r)
				panic(http.ErrAbortHandler)
			}
			platformtest.RefuseInputs(w)
			return true
		})
	}
	p.servers["floor-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		if !platformtest.IsStageCall(r) || calls.Add(1) == 1 {
			return false
		}
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	r := p.send(h, "POST", "/stream/resume/1", "x", func(q *platformtest.Request) { q.Items = []int{1} })
	g.Expect(calls.Load()).To(BeNumerically(">", 1), "the inputs are to be made again")
	g.Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
	g.Expect(r.header).NotTo(HaveKey("Retry-After"))
	g.Expect(r.body).To(ContainSubstring(`"ran":"unknown"`))
}

// The client leaves while its request waits for the answer. The server's
// connection is closed, so that it stops working.
func TestClientThatLeavesStopsTheServer(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	arrived, stopped := make(chan struct{}), make(chan struct{})
	p.servers["model-1"].SetHandle(func(_ http.ResponseWriter, r *http.Request) bool {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(stopped)
		return true
	})
	conn := p.dial(h, "/stream/stream/1")
	g.Eventually(arrived, "10s").Should(BeClosed())
	_ = conn.Close()
	g.Eventually(stopped, "10s").Should(BeClosed())
}

// The client leaves in the middle of its stream. That says nothing of the server:
// passed over for it, a service would lose its servers to clients that give up.
func TestClientThatLeavesAStreamDoesNotSpeakAgainstTheServer(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	model := p.servers["model-1"]
	stopped := make(chan struct{})
	model.SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		model.Note(r)
		platformtest.Sign(w.Header(), "s")
		for i := 1; r.Context().Err() == nil; i++ {
			model.Events(w, i, i)
		}
		close(stopped)
		return true
	})
	conn := p.dial(h, "/stream/resume/1")
	_, err := io.ReadFull(conn, make([]byte, 4096)) // some events
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.Close()
	g.Eventually(stopped, "10s").Should(BeClosed())
	g.Eventually(h.activeRequests.Load, "10s").Should(BeZero())
	g.Expect(h.directory.View().Server("model-1").InBackoff(h.clock.Now())).To(BeFalse())
	g.Expect(p.runs("model")).To(HaveLen(1))
}

// An operator asks a host what it believes: which configuration, how old, and
// why a server gets no work.
func TestStateTellsWhyAServerIsNotUsed(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.store.PutServer(p.servers["ledger-1"], "a", true)
	_, _, metrics := h.Addresses()
	read := func() hostState {
		resp, err := http.Get("http://" + metrics + "/state")
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var s hostState
		g.Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
		return s
	}
	g.Eventually(func() string { return read().Servers[1].UnusedReason }, "10s").Should(Equal("it leaves"))
	s := read()
	g.Expect(s.ConfigVersion).To(BeEquivalentTo(5))
	g.Expect(s.Ready).To(BeTrue())
	g.Expect(s.Servers).To(HaveLen(4))
	g.Expect(s.Servers[2].UnusedReason).To(BeEmpty())
}

// The server's address belongs to another process by now, which refuses without
// naming the request. It has not run: another server gets it.
func TestRefusalWithoutAnIDOnANewConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.addServer("ledger-2", "ledger")
	h := p.startHost("front-1")
	p.servers["ledger-1"].SetHandle(func(w http.ResponseWriter, _ *http.Request) bool {
		platformtest.NameAnother(w.Header(), "")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	})
	for range 5 {
		g.Expect(p.send(h, "POST", "/transfer/1", "x").body).To(Equal("answer of ledger-2"))
	}
}
