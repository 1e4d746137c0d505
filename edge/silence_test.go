package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

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
