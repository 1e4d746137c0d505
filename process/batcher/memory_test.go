package batcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// After a power loss of all entry hosts, a server's result memory is still nine tenths full
// of results that no host can release. The host that starts batching must probe the server
// before it fills it: the next call contains only what fits, and probes continue until the
// old results have expired.
func TestResultsFromBeforePowerLossAreProbed(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	b.submit("1", 1, time.Second, "x")
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1))
	b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty(), "one probe at a time")
	b.q.UpdateFreeMemory("a", testOptions.ResultMemoryBytes/10, true, b.now)
	for i := range 6 {
		b.submit(fmt.Sprint("more-", i), 2, 5*time.Second, "x")
	}
	calls := b.nextCalls()
	b.g.Expect(calls).To(HaveLen(1))
	b.g.Expect(len(calls[0].Items)).To(BeNumerically("<=", 2), "what fits into a tenth of the memory")
	b.now = b.now.Add(probeInterval)
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1), "old results expire within seconds")
	b.now = calls[0].ExpectedEnd
	b.complete(calls[0])
	b.q.UpdateFreeMemory("a", testOptions.ResultMemoryBytes-calls[0].resultBytes, true, b.now)
	calls = b.nextCalls()
	b.g.Expect(len(calls[0].Items)).To(BeNumerically(">", 6))
	b.now = b.now.Add(probeInterval)
	b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty())
}

// A server refuses an item although its estimated free memory is sufficient. It must be
// probed, and get work as before if the probe fails or shows nothing new.
func TestFullServerIsProbed(t *testing.T) {
	for name, applyProbe := range map[string]func(*Queue, time.Time){
		"probe fails":    func(q *Queue, now time.Time) { q.UpdateFreeMemory("a", 0, false, now) },
		"nothing is new": func(q *Queue, now time.Time) { q.UpdateFreeMemory("a", testOptions.ResultMemoryBytes, true, now) },
		"server is gone": func(q *Queue, now time.Time) { q.UpdateFreeMemory("gone", 0, true, now) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, testOptions, map[string]string{"a": "x"})
			b.submit("1", 1, time.Second, "x")
			b.q.ServersToProbe(b.now)
			c := b.nextCalls()[0]
			b.now = c.ExpectedEnd.Add(probeInterval)
			b.q.CompleteCall(c, Response{Results: []Result{{Reason: NoCapacity}}}, b.now)
			b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1))
			applyProbe(b.q, b.now)
			b.now = b.now.Add(fullPause)
			b.g.Expect(b.nextCalls()).To(HaveLen(1))
		})
	}
}

// An entry host that has sent calls all the time has a record of its servers' results and
// must not probe them.
func TestServersWithKnownResultsAreNotProbed(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x"})
	for i := range 20 {
		b.submit(fmt.Sprint(i), 2, time.Second, "x")
		if i == 0 {
			b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(2))
			b.q.UpdateFreeMemory("a", testOptions.ResultMemoryBytes, true, b.now)
			b.q.UpdateFreeMemory("b", testOptions.ResultMemoryBytes, true, b.now)
		}
		b.advance(500*time.Millisecond, 200*time.Millisecond)
		b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty())
	}
	b.now = b.now.Add(testOptions.ResultTTL + time.Millisecond)
	b.submit("later", 1, time.Second, "x")
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(2))
}
