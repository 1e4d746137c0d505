package faultrun

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/server"
)

// Two callers choose the same request id, and the server mixes up the answers
// of requests that it runs at once. Checked against the caller's id both would
// pass; each caller has to get its own answer or none.
func TestCrossedAnswersOfEqualRequestIDs(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.servers[0].cross.Store(true)
	var wg sync.WaitGroup
	var wrong, right int
	var mu sync.Mutex
	for i := range 40 {
		wg.Go(func() {
			token := fmt.Sprint("op", i)
			req, _ := http.NewRequest(http.MethodPost, w.host(0).http.URL+"/draft", strings.NewReader(`{"token":"`+token+`"}`))
			req.Header.Set("X-Request-Id", "the-same")
			resp, err := callers.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			data := make([]byte, 4096)
			n, _ := resp.Body.Read(data)
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == http.StatusOK && string(data[:n]) != whole(token) {
				wrong++
			}
			if resp.StatusCode == http.StatusOK {
				right++
			}
		})
	}
	wg.Wait()
	g.Expect(wrong).To(Equal(0))
	w.servers[0].cross.Store(false)
	g.Expect(w.send(0, &Operation{Token: "after", Name: "draft", Repeatable: true}, "").Whole).To(BeTrue())
}

// A draft's first attempt makes no progress and a second one is sent beside it.
// The first was only slow: its answer comes before the second's and is used;
// the second's, which nobody waits for, reaches no other request.
func TestLateAnswerOfAnEarlierAttemptIsUsed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 2)
	for i := range 20 {
		g.Expect(w.send(0, &Operation{Token: fmt.Sprint("warm", i), Name: "draft", Repeatable: true}, "").Whole).To(BeTrue())
	}
	release := w.hold()
	done := make(chan Answer, 1)
	go func() { done <- w.send(0, &Operation{Token: "a", Name: "draft", Repeatable: true}, "") }()
	g.Eventually(func() int { return w.ledger.Executions("a#0") }, patience).Should(Equal(1))
	first := 0
	if w.servers[0].held.Load() == 0 {
		first = 1
	}
	g.Eventually(func() int { return w.ledger.Executions("a#0") }, patience).Should(Equal(2), "the second attempt")
	release(first)
	var a Answer
	g.Eventually(done, patience).Should(Receive(&a))
	g.Expect(a.Right).To(BeTrue())
	g.Expect(w.host(0).runner.Counters.LateResponsesUsed.Load()).To(BeEquivalentTo(1))
	release(-1)
	for i := range 20 {
		g.Expect(w.send(0, &Operation{Token: fmt.Sprint("next", i), Name: "draft", Repeatable: true}, "").Right).To(BeTrue())
	}
}

// A host draws all of its work from connections that something forgot: they
// are open and silent. The first request finds out by a new connection, and no
// later one waits; the server is not marked as dead.
func TestForgottenConnectionsCostOneWait(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	o := &w.host(0).runner.Options
	o.MinStallTimeout, o.ProbeTimeout = 200*time.Millisecond, patience
	draft := func(i int) Answer {
		return w.send(0, &Operation{Token: fmt.Sprint("d", i), Name: "draft", Repeatable: true}, "")
	}
	var wg sync.WaitGroup
	for i := range 60 { // several connections, and a measured pool
		wg.Go(func() { draft(i) })
	}
	wg.Wait()
	w.servers[0].relay.Blackhole(false)
	start := time.Now()
	for i := range 30 {
		g.Expect(draft(100 + i).Whole).To(BeTrue())
	}
	t.Logf("30 requests after the connections were forgotten: %s", time.Since(start))
	g.Expect(w.host(0).runner.Counters.Stalls.Load()).To(BeNumerically(">=", 1))
	g.Expect(w.servers[0].relay.BlackholedConnections()).To(BeNumerically("<=", 2), "attempts sent into silence")
	w.host(0).registry.Each(func(s *server.State) { g.Expect(s.Health(time.Now())).To(Equal(server.Healthy)) })
}
