package edge

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

// serverSilence is longer than a stream waits until it looks for another server.
const serverSilence = 2400 * time.Millisecond

// newStagedStreams starts a host with a resumable route with stages, whose clients wait for an event for
// patience, and two servers for its streams. A server that runs one calls run, unless it goes on with one.
func newStagedStreams(t *testing.T, patience time.Duration, run func(p *testPlatform, s *platformtest.Server, w http.ResponseWriter)) (*WithT, *testPlatform, *Host) {
	t.Helper()
	t.Parallel()
	p := newTestPlatform(t)
	r := p.route("staged")
	r.Resumable, r.Timeout, r.TargetLatency, r.MaxEventGap = true, 20*time.Second, patience/4, patience/8
	p.store.PutConfig(p.config)
	p.addServer("model-2", "model")
	for _, id := range []string{"model-1", "model-2"} {
		s := p.servers[id]
		s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
			switch after := platformtest.LastEventID(r); {
			case p.released(inputsOf(r)):
				platformtest.RespondInputsLost(w)
			case after > 0:
				platformtest.Sign(w.Header(), "stamp."+s.ID)
				s.WriteEvents(w, after+1, 5)
			default:
				platformtest.Sign(w.Header(), "stamp."+s.ID)
				run(p, s, w)
			}
			return true
		})
	}
	return NewWithT(t), p, p.startHost("front-1")
}

// inputsOf returns the handles of the stage results that a request was given.
func inputsOf(r *http.Request) []string {
	e := platformtest.ExecutedRequest{Header: r.Header}
	return e.InputHandles()
}

// released reports whether one of some stage results was released.
func (p *testPlatform) released(handles []string) bool {
	for _, id := range []string{"floor-1", "portal-1"} {
		for _, released := range p.servers[id].ReleasedResults() {
			for _, h := range handles {
				if h == released {
					return true
				}
			}
		}
	}
	return false
}

// sendStaged sends a request to the route with stages.
func (p *testPlatform) sendStaged(h *Host) clientResponse {
	return p.send(h, "POST", "/stream/staged/1", "x", func(q *platformtest.Request) {
		q.StageItems, q.StageInputKey, q.Timeout = []int{1, 1}, "k", 20*time.Second
	})
}

// Guards against breaking off the run of a silent server for another server that cannot go on: the
// inputs of the stream were released at its first event, and the stages are refused.
func TestSilentRunIsKeptWhileTheStreamCannotGoOnElsewhere(t *testing.T) {
	g, p, h := newStagedStreams(t, 6*time.Second, func(p *testPlatform, s *platformtest.Server, w http.ResponseWriter) {
		s.WriteEvents(w, 1, 1)
		for _, id := range []string{"floor-1", "portal-1"} {
			p.servers[id].SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
				if platformtest.IsNewWork(r) {
					platformtest.RespondNotRun(w)
				}
				return platformtest.IsNewWork(r)
			})
		}
		time.Sleep(serverSilence)
		s.WriteEvents(w, 2, 5)
	})
	r := p.sendStaged(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(r.body, "data: piece")).To(Equal(5))
}

// Guards against ending a stream that breaks off late: the stages whose results it needs to go on count
// the client's patience from its last event, not from its arrival.
func TestStreamThatBreaksOffLateGoesOnWithItsStages(t *testing.T) {
	const patience = 3 * time.Second
	g, p, h := newStagedStreams(t, patience, func(_ *testPlatform, s *platformtest.Server, w http.ResponseWriter) {
		for event := range 4 {
			s.WriteEvents(w, event+1, event+1)
			time.Sleep(patience / 3)
		}
		panic(http.ErrAbortHandler)
	})
	r := p.sendStaged(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(r.body, "data: piece")).To(Equal(5))
}

// Guards against a stream that stays with a server that never speaks again: once its stages have run
// again, it goes on elsewhere, without a request for which the inputs are known to be gone.
func TestStreamLeavesASilentServerOnceItCanGoOnElsewhere(t *testing.T) {
	woken := make(chan struct{})
	var refused atomic.Int64
	g, p, h := newStagedStreams(t, 6*time.Second, func(_ *testPlatform, s *platformtest.Server, w http.ResponseWriter) {
		s.WriteEvents(w, 1, 1)
		<-woken
	})
	t.Cleanup(func() { close(woken) })
	for _, id := range []string{"model-1", "model-2"} {
		p.servers[id].SetObserver(func(_ http.ResponseWriter, r *http.Request) bool {
			if platformtest.IsNewWork(r) && p.released(inputsOf(r)) {
				refused.Add(1)
			}
			return false
		})
	}
	r := p.sendStaged(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(r.body, "data: piece")).To(Equal(5))
	g.Expect(refused.Load()).To(BeZero(), "requests with inputs that were released")
}

// stoppable returns a function that lets a server be silent until it gets a time, as a process that is stopped
// is: it answers nobody, and does not notice that a connection is closed.
func stoppable(s *platformtest.Server) (stop func(until <-chan time.Time)) {
	var stopped sync.RWMutex
	s.SetObserver(func(http.ResponseWriter, *http.Request) bool {
		stopped.RLock()
		defer stopped.RUnlock()
		return false
	})
	return func(until <-chan time.Time) {
		stopped.Lock()
		defer stopped.Unlock()
		<-until
	}
}

// Guards against a stream that runs at two servers: the first one falls silent while the stages run again that
// the stream needs to go on at the second one.
func TestSilenceWhileTheStagesRunAgainIsAwaited(t *testing.T) {
	var goneOn atomic.Int64
	g, p, h := newStagedStreams(t, 8*time.Second, func(p *testPlatform, s *platformtest.Server, w http.ResponseWriter) {
		stop, stagesRun := stoppable(s), make(chan struct{})
		var once sync.Once
		p.servers["floor-1"].SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
			if platformtest.IsNewWork(r) {
				once.Do(func() { close(stagesRun) })
				time.Sleep(100 * time.Millisecond)
			}
			return false
		})
		s.WriteEvents(w, 1, 1)
		<-stagesRun
		stop(time.After(1300 * time.Millisecond))
		s.WriteEvents(w, 2, 5)
	})
	for _, id := range []string{"model-1", "model-2"} {
		p.servers[id].SetObserver(func(_ http.ResponseWriter, r *http.Request) bool {
			if platformtest.LastEventID(r) > 0 {
				goneOn.Add(1)
			}
			return false
		})
	}
	r := p.sendStaged(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(r.body, "data: piece")).To(Equal(5))
	g.Expect(goneOn.Load()).To(BeZero())
}

// newSilentModels starts a host and two stoppable servers for its streams, whose first run calls run.
func newSilentModels(t *testing.T, run func(s *platformtest.Server, w http.ResponseWriter, stop func(until <-chan time.Time))) (*WithT, *testPlatform, *Host) {
	t.Helper()
	t.Parallel()
	p := newTestPlatform(t)
	p.route("resume").Timeout = 20 * time.Second
	p.store.PutConfig(p.config)
	p.addServer("model-2", "model")
	var runs atomic.Int64
	for _, id := range []string{"model-1", "model-2"} {
		s := p.servers[id]
		stop := stoppable(s)
		s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
			s.RecordRequest(r)
			platformtest.Sign(w.Header(), s.ID)
			if runs.Add(1) > 1 {
				s.WriteEvents(w, platformtest.LastEventID(r)+1, 5)
				return true
			}
			_ = http.NewResponseController(w).Flush() // fails if the host is gone
			run(s, w, stop)
			return true
		})
	}
	return NewWithT(t), p, p.startHost("front-1")
}

// sendResumable sends a request to a route whose streams may go on at another server.
func (p *testPlatform) sendResumable(h *Host) clientResponse {
	return p.send(h, "POST", "/stream/resume/1", "x", func(q *platformtest.Request) { q.Timeout = 20 * time.Second })
}

// Guards against a stream that runs at two servers: the first one is silent for a second after the time
// that it took for the prompt, and goes on with its run.
func TestSilenceAfterThePromptIsAwaited(t *testing.T) {
	g, p, h := newSilentModels(t, func(s *platformtest.Server, w http.ResponseWriter, stop func(<-chan time.Time)) {
		time.Sleep(time.Second)
		stop(time.After(1300 * time.Millisecond))
		s.WriteEvents(w, 1, 5)
	})
	r := p.sendResumable(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(Equal(firstEvents + lastEvents))
	g.Expect(p.runs("model")).To(HaveLen(1))
	g.Eventually(func() int64 { return h.meter.Counter("server_silences_awaited") }, "10s").Should(BeEquivalentTo(1))
}

// Guards against a stream that waits for a server that never wakes: it goes on elsewhere once the server
// has been silent for longer than sound ones are.
func TestStreamLeavesAServerThatNeverWakes(t *testing.T) {
	ended := make(chan time.Time)
	g, p, h := newSilentModels(t, func(s *platformtest.Server, w http.ResponseWriter, stop func(<-chan time.Time)) {
		s.WriteEvents(w, 1, 2)
		stop(ended)
	})
	t.Cleanup(func() { close(ended) })
	r := p.sendResumable(h)
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.body).To(Equal(firstEvents + lastEvents))
	g.Expect(p.runs("model")).To(HaveLen(2))
}
