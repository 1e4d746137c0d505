package faultrun

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/request/entry"
)

func transfer(token string) *Operation { return &Operation{Token: token, Name: "transfer"} }

// hold makes the last stage on every server wait until release is called for
// that server, or for all of them (-1).
func (w *world) hold() (release func(server int)) {
	once := make([]sync.Once, len(w.servers))
	for _, s := range w.servers {
		gate := make(chan struct{})
		s.gate.Store(&gate)
	}
	free := func(i int) { once[i].Do(func() { close(*w.servers[i].gate.Load()) }) }
	release = func(i int) {
		if i >= 0 {
			free(i)
			return
		}
		for i := range w.servers {
			free(i)
		}
	}
	w.t.Cleanup(func() { release(-1) })
	return release
}

// booking waits until token's booking has begun.
func (w *world) booking(g *WithT, token string) {
	g.Eventually(func() int { return w.ledger.Executions(token) }, patience).Should(Equal(1))
}

// A booking runs on a backend server when its entry host is killed. The caller
// sees its connection end and sends the same key to another host. Memory alone
// knows nothing there and books twice; the claim on the platform says that it
// may have run.
func TestKilledHostsBookingIsNotRepeated(t *testing.T) {
	for _, naive := range []bool{true, false} {
		g := NewWithT(t)
		w := newWorld(t, 2, 1)
		w.rebuild(naive)
		release := w.hold()
		op, done := transfer("a"), make(chan Answer, 1)
		go func() { done <- w.send(0, op, "key") }()
		w.booking(g, "a")
		w.kill(0)
		g.Eventually(done, patience).Should(Receive(HaveField("Whole", false)))
		release(-1)
		again := w.send(1, op, "key")
		if naive {
			g.Expect(w.ledger.Executions("a")).To(Equal(2), "the naive variant")
			continue
		}
		g.Expect(again.Kind).To(Equal("outcome_unknown"))
		g.Expect(again.Ran).To(Equal(RanUnknown))
		g.Expect(w.ledger.Executions("a")).To(Equal(1))
	}
}

// The caller gives up while its booking runs. Cancelling the exchange would
// lose an outcome that is about to arrive; it goes on without the caller, and
// the resend, here to another host, gets the answer.
func TestResendAfterTheCallerLeftGetsTheAnswer(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	release := w.hold()
	op := transfer("a")
	ctx, leave := context.WithCancel(context.Background())
	body, _ := json.Marshal(work{Token: "a"})
	gone := make(chan error, 1)
	go func() {
		_, _, err := w.post(ctx, 0, "/transfer", "key", body, false)
		gone <- err
	}()
	w.booking(g, "a")
	leave()
	g.Eventually(gone, patience).Should(Receive(HaveOccurred()))
	release(-1)
	g.Eventually(func() bool { return w.send(1, op, "key").Whole }, patience).Should(BeTrue())
	g.Expect(w.ledger.Executions("a")).To(Equal(1))
}

// The connection under a booking goes silent while the server lives. No answer
// can come on it. The caller is told at once that the outcome is unknown, not
// at its deadline, and the booking is not sent again.
func TestSilentConnectionUnderABookingIsUnknownAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	for range 20 { // measures the pool, and leaves a connection for reuse
		g.Expect(w.send(0, &Operation{Token: "warm", Name: "draft", Repeatable: true}, "").Whole).To(BeTrue())
	}
	release := w.hold()
	done := make(chan Answer, 1)
	start := time.Now()
	go func() { done <- w.send(0, transfer("a"), "key") }()
	w.booking(g, "a")
	w.servers[0].relay.Blackhole(false)
	release(-1)
	var a Answer
	g.Eventually(done, patience).Should(Receive(&a))
	g.Expect(a.Kind).To(Equal("outcome_unknown"))
	t.Logf("told after %s, deadline %s", time.Since(start), w.limit)
	g.Expect(w.ledger.Executions("a")).To(Equal(1))
}

// Without a key nothing tells a resend from a new request, so the host must
// not send again by itself: the connection breaks under the booking, and one
// execution is all there is.
func TestBrokenConnectionUnderABookingIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 3)
	w.hold()
	done := make(chan Answer, 1)
	go func() { done <- w.send(0, transfer("a"), "") }()
	g.Eventually(func() int { return w.ledger.Executions("a#0") }, patience).Should(Equal(1))
	for _, s := range w.servers {
		s.relay.ResetConnections()
	}
	g.Eventually(done, patience).Should(Receive(HaveField("Kind", "outcome_unknown")))
	g.Expect(w.ledger.Executions("a#0")).To(Equal(1))
}

// The platform is down. A key of the caller's own may have run elsewhere, so it
// is refused at once and without a claim about that; a ticket needs no platform
// and is booked, once, whichever host gets it.
func TestPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	down := w.objects.Faults()
	down.Down = true
	w.objects.SetFaults(down)
	a := w.send(0, transfer("a"), "key")
	g.Expect(a.Kind).To(Equal("claim_unavailable"))
	g.Expect(a.Ran).To(Equal(RanUnknown))
	g.Expect(w.ledger.Received("a")).To(BeFalse())
	ticket := w.ticket(0)
	for i := range 4 {
		g.Expect(w.send(i, transfer("b"), ticket).Whole).To(BeTrue())
	}
	g.Expect(w.ledger.Executions("b")).To(Equal(1))
	resp, data, err := w.post(t.Context(), 1, "/transfer", ticket, []byte(`{"token":"c"}`), false)
	g.Expect(err).NotTo(HaveOccurred())
	var p entry.Problem
	g.Expect(json.Unmarshal(data, &p)).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(422))
	g.Expect(p.Ran).To(BeEquivalentTo(RanNo))
}
