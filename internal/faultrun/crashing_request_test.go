package faultrun

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// One request crashes each server that runs it, and its caller sends it again,
// each time to another entry host. Without quarantine it takes the pool; with
// it two servers are lost, and other requests go on.
func TestCrashingRequestOverAllHosts(t *testing.T) {
	for _, naive := range []bool{true, false} {
		g := NewWithT(t)
		w := newWorld(t, 3, 6)
		w.rebuild(naive)
		for _, s := range w.servers {
			s.poison.Store("poison")
		}
		kinds := map[string]int{}
		for i := range 12 {
			kinds[w.exchange(i, "draft", "poison", "").Kind]++
		}
		deaths := 0
		for _, s := range w.servers {
			deaths += int(s.deaths.Load())
		}
		t.Logf("naive %t: %d servers lost, answers %v", naive, deaths, kinds)
		if naive {
			g.Expect(deaths).To(Equal(6), "the naive variant")
			continue
		}
		g.Expect(deaths).To(BeNumerically("<=", 2))
		g.Expect(kinds["quarantined"]).To(BeNumerically(">=", 10))
		for i := range 12 {
			op := Operation{Token: fmt.Sprint("good", i), Name: "draft", Repeatable: true}
			g.Expect(w.send(i, &op, "").Whole).To(BeTrue())
		}
	}
}

// Every server answers with errors. Retries are paid from a budget: without it
// three attempts each would triple the load on a pool that is already failing.
func TestFailingPoolIsNotStormed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 4)
	for _, s := range w.servers {
		s.fail.Store(true)
	}
	const n = 200
	for i := range n {
		w.send(0, &Operation{Token: fmt.Sprint(i), Name: "draft", Repeatable: true}, "")
	}
	o := w.host(0).runner.Options
	retries := w.host(0).runner.Counters.Retries.Load()
	t.Logf("%d requests, %d retries", n, retries)
	g.Expect(retries).To(BeNumerically("<=", n*o.RetryRatio+o.RetryBurst))
}
