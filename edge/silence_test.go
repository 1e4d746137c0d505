package edge

import (
	"net/http"
	"strings"
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
