package batcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var fiveServers = map[string]string{"a": "x", "b": "x", "c": "x", "d": "x", "e": "x"}

// keepBusy sends each of the first servers a call that takes one second.
func keepBusy(b *harness, servers int) {
	for i := range servers {
		b.submit(fmt.Sprintf("busy-%d", i), testOptions.MaxItems, 5*time.Second, "x")
		b.g.Expect(b.nextCalls()).To(HaveLen(1))
	}
	for _, c := range b.inFlight {
		c.ExpectedEnd = b.now.Add(time.Second)
	}
}

// Four of five servers are busy and requests of two items arrive. A call of two items takes
// three fifths of the time of a full one. The free server must wait up to a tenth of a
// second for more items, but not if other servers are free, if a job would miss its target
// time, or if the batch is full enough.
func TestLastFreeServerWaitsForFullerBatch(t *testing.T) {
	for _, c := range []struct {
		name       string
		busy, jobs int
		target     time.Duration
		atOnce     bool
	}{
		{name: "two items", busy: 4, jobs: 1, target: 2 * time.Second},
		{name: "enough items", busy: 4, jobs: 5, target: 2 * time.Second, atOnce: true},
		{name: "a job that would be late", busy: 4, jobs: 1, target: 500 * time.Millisecond, atOnce: true},
		{name: "other servers are free", busy: 2, jobs: 1, target: 2 * time.Second, atOnce: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, testOptions, fiveServers)
			keepBusy(b, c.busy)
			for i := range c.jobs {
				b.submit(fmt.Sprint(i), 2, c.target, "x")
			}
			if c.atOnce {
				b.g.Expect(b.nextCalls()).To(HaveLen(1))
				return
			}
			calls, wakeAt := b.q.NextCalls(b.now)
			b.g.Expect(calls).To(BeEmpty())
			b.g.Expect(wakeAt).To(BeTemporally("<=", b.now.Add(maxBatchWait)))
			b.now = b.now.Add(maxBatchWait)
			b.g.Expect(b.nextCalls()).To(HaveLen(1))
		})
	}
}

// Requests of four items arrive every 50 ms, half of what five servers can do with full
// calls. If servers take each request as it arrives, they are always busy with calls of
// seven items. Fuller calls must leave capacity for bursts.
func TestNormalLoadLeavesCapacityForBurst(t *testing.T) {
	b := newHarness(t, testOptions, fiveServers)
	for i := range 200 {
		b.submit(fmt.Sprint(i), 4, 2*time.Second, "x")
		b.advance(50*time.Millisecond, 300*time.Millisecond)
	}
	var working time.Duration
	for _, c := range b.calls {
		working += c.ExpectedDuration
	}
	busy := working.Seconds() / (200 * 0.05 * float64(len(fiveServers)))
	t.Logf("%d calls, servers busy %.2f of the time", len(b.calls), busy)
	b.g.Expect(busy).To(BeNumerically("<", 0.9))
	b.advance(time.Second, 300*time.Millisecond)
	b.g.Expect(b.results).To(HaveLen(800))
}
