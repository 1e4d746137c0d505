package faultrun

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// A request crashes every server that executes it, and its caller resends it to
// another entry host each time. Without quarantine it crashes the whole pool.
// With quarantine at most two servers crash, and other requests are served.
func TestCrashingRequestSentToAllHosts(t *testing.T) {
	for _, baseline := range []bool{true, false} {
		g := NewWithT(t)
		env := newEnvironment(t, 3, 6)
		env.restartHosts(baseline)
		for _, s := range env.servers {
			s.poison.Store("poison")
		}
		kinds := map[string]int{}
		for i := range 12 {
			kinds[env.request(i, "draft", "poison", "").Kind]++
		}
		deaths := 0
		for _, s := range env.servers {
			deaths += int(s.crashes.Load())
		}
		t.Logf("baseline %t: %d servers crashed, responses %v", baseline, deaths, kinds)
		if baseline {
			g.Expect(deaths).To(Equal(6), "the baseline")
			continue
		}
		g.Expect(deaths).To(BeNumerically("<=", 2))
		g.Expect(kinds["quarantined"]).To(BeNumerically(">=", 10))
		for i := range 12 {
			op := Operation{Token: fmt.Sprint("good", i), Route: "draft", Repeatable: true}
			g.Expect(env.send(i, &op, "").Whole).To(BeTrue())
		}
	}
}

// Every server responds with errors. Without the retry budget, three attempts
// per request would triple the load on a pool that is already failing.
func TestRetriesToFailingPoolAreLimited(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 4)
	for _, s := range env.servers {
		s.failRequests.Store(true)
	}
	const n = 200
	for i := range n {
		env.send(0, &Operation{Token: fmt.Sprint(i), Route: "draft", Repeatable: true}, "")
	}
	o := env.host(0).runner.Options
	retries := env.host(0).runner.Counters.Retries.Load()
	t.Logf("%d requests, %d retries", n, retries)
	g.Expect(retries).To(BeNumerically("<=", n*o.RetryRatio+o.RetryBurst))
}
