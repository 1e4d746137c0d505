package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/request/wire"
)

// startingHost is a gateway whose host has just started.
type startingHost struct {
	*WithT
	clock   *clock.Manual
	started chan struct{}
	gateway *Gateway
}

func newStartingHost(t *testing.T) *startingHost {
	h := &startingHost{WithT: NewWithT(t), clock: clock.NewManual(time.Unix(50, 0)), started: make(chan struct{})}
	h.gateway = New(Options{Directory: directory.New(), Clock: h.clock, Rand: clock.NewSeeded(1), Started: h.started})
	return h
}

// arrive lets a request arrive and returns a channel that is closed when it does not wait any more.
func (h *startingHost) arrive(timeout time.Duration) chan struct{} {
	x := &exchange{Gateway: h.gateway, r: httptest.NewRequest("GET", "/", nil), arrivedAt: h.clock.Now(), clientRequest: wire.ClientRequest{Timeout: timeout}}
	done := make(chan struct{})
	go func() {
		x.awaitStart()
		close(done)
	}()
	return done
}

// awaitWaiters waits until a number of requests wait.
func (h *startingHost) awaitWaiters(n int) {
	h.Eventually(h.gateway.startWaiters.Load, "10s").Should(BeEquivalentTo(n))
	h.Eventually(h.clock.Waiters, "10s").Should(Equal(n))
}

// Guards against requests that are refused, and told to come back much later, by a host that knows
// its configuration a moment after it has started.
func TestRequestsOfAStartingHostWaitForItsConfiguration(t *testing.T) {
	h := newStartingHost(t)
	done := h.arrive(0)
	h.awaitWaiters(1)
	h.Consistently(done, "50ms").ShouldNot(BeClosed())
	close(h.started)
	h.Eventually(done, "10s").Should(BeClosed())
	h.Eventually(h.arrive(0), "10s").Should(BeClosed())
	h.Expect(h.gateway.startWaiters.Load()).To(BeZero())
}

// Guards against requests that wait for a configuration which does not come, as the platform is away.
func TestRequestsOfAStartingHostWaitForAShortTime(t *testing.T) {
	h := newStartingHost(t)
	patient := h.arrive(0)
	h.awaitWaiters(1)
	impatient := h.arrive(60 * time.Millisecond)
	h.awaitWaiters(2)
	h.clock.Advance(20*time.Millisecond - 1)
	h.Consistently(impatient, "50ms").ShouldNot(BeClosed())
	h.clock.Advance(1)
	h.Eventually(impatient, "10s").Should(BeClosed())
	h.clock.Advance(maxStartWait - 20*time.Millisecond - 1)
	h.Consistently(patient, "50ms").ShouldNot(BeClosed())
	h.clock.Advance(1)
	h.Eventually(patient, "10s").Should(BeClosed())
	h.Eventually(h.arrive(0), "10s").Should(BeClosed(), "the host has not just started")
}

// Guards against memory that requests of a host without a configuration take.
func TestRequestsThatWaitForTheStartAreBounded(t *testing.T) {
	h := newStartingHost(t)
	h.gateway.startWaiters.Store(maxStartWaiters)
	h.Eventually(h.arrive(0), "10s").Should(BeClosed())
	h.Expect(h.gateway.startWaiters.Load()).To(BeEquivalentTo(maxStartWaiters))
}
