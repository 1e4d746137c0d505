package edge

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/process/clock"
)

// jumpingClock is a clock that can be put forward.
type jumpingClock struct {
	clock.Clock
	ahead atomic.Int64 // as time.Duration
}

func (c *jumpingClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.ahead.Load())) }

// Guards against a stop that wakes after the time for requests, before the platform's limit, and answers none.
func TestRequestIsAnsweredByAStopThatWakesLate(t *testing.T) {
	g, p := newStoppingPlatform(t)
	h, out := p.newHost("front-1")
	boot := &jumpingClock{Clock: clock.Boot{}}
	h.bootClock = boot
	p.runHost(h, out)
	s := p.servers["ledger-1"]
	s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		s.RecordRequest(r)
		<-r.Context().Done()
		return true
	})
	held := p.sendHeld(h)
	p.stopHosts[0]()
	g.Eventually(h.stopping.Load, "5s").Should(BeTrue())
	stopped := time.Now()
	g.Eventually(h.balancerLeft.Load, "10s").Should(BeTrue())
	boot.ahead.Store(int64(stopTime - stopMargin + lastAnswersTime + 50*time.Millisecond - time.Since(stopped)))
	g.Expect(receiveAnswer(g, held).status).To(Equal(http.StatusBadGateway))
}

// Guards against a stop that takes requests late, passes them on and cuts them without an answer, unsafe ones too: the
// server that has answered soon till then answers no more.
func TestRequestsThatComeLateInAStopAreAnswered(t *testing.T) {
	const (
		conns    = 30
		interval = 100 * time.Millisecond // between two requests
	)
	g, p := newStoppingPlatform(t)
	h := p.startHost("front-1")
	s := p.servers["ledger-1"]
	var holds atomic.Bool
	s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		s.RecordRequest(r)
		if holds.Load() || r.URL.Path == "/transfer/held" {
			<-r.Context().Done()
			return true
		}
		platformtest.Sign(w.Header(), "s")
		_, _ = io.WriteString(w, "done")
		return true
	})
	held := p.sendHeld(h) // with which the host goes on
	var kept []*rawConn
	for range conns {
		conn := p.dialRaw(h)
		conn.write(g, p.rawRequest("POST", "/transfer/1", "x"))
		status, body, err := conn.response()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK), body)
		kept = append(kept, conn)
	}
	before := len(p.runs("ledger"))
	holds.Store(true)
	p.stopUntilBalancerLeft(g, h)
	for _, conn := range kept { // from there on until after the last connection is closed
		if _, err := io.WriteString(conn, p.rawRequest("POST", "/transfer/late", "x")); err != nil {
			break // it was closed before
		}
		time.Sleep(interval)
	}
	g.Expect(receiveAnswer(g, held).status).To(Equal(http.StatusBadGateway))
	cut := 0
	for _, conn := range kept {
		status, body, err := conn.response()
		switch {
		case err != nil:
			continue // closed before the request was read, or it would have run
		case status == http.StatusBadGateway:
			g.Expect(body).To(ContainSubstring(`"kind":"draining","ran":"unknown"`))
			cut++
		default:
			expectDraining(g, status, body)
		}
	}
	g.Expect(cut).To(BeNumerically(">", 0), "some were taken")
	g.Expect(p.runs("ledger")).To(HaveLen(before+cut), "each that was passed on is answered")
}
