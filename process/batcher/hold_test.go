package batcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var five = map[string]string{"a": "x", "b": "x", "c": "x", "d": "x", "e": "x"}

// keepBusy gives the first servers a call each that lasts for a second.
func keepBusy(b *bench, servers int) {
	for i := range servers {
		b.submit(fmt.Sprintf("busy-%d", i), sheet.MaxItems, 5*time.Second, "x")
		b.g.Expect(b.next()).To(HaveLen(1))
	}
	for _, c := range b.open {
		c.ExpectedEnd = b.now.Add(time.Second)
	}
}

// Four of five servers work, the fifth is free, and requests of two items come
// in. A call of two items takes three fifths of the time of a full one. The free
// server waits for more items, up to a tenth of a second; it does not wait if
// others are free, too, if a job would be late, or if the call is full enough.
func TestTheLastFreeServerWaitsForAFullerCall(t *testing.T) {
	for _, c := range []struct {
		name       string
		busy, jobs int
		aim        time.Duration
		atOnce     bool
	}{
		{name: "two items", busy: 4, jobs: 1, aim: 2 * time.Second},
		{name: "enough items", busy: 4, jobs: 5, aim: 2 * time.Second, atOnce: true},
		{name: "a job that would be late", busy: 4, jobs: 1, aim: 500 * time.Millisecond, atOnce: true},
		{name: "other servers are free", busy: 2, jobs: 1, aim: 2 * time.Second, atOnce: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, sheet, five)
			keepBusy(b, c.busy)
			for i := range c.jobs {
				b.submit(fmt.Sprint(i), 2, c.aim, "x")
			}
			if c.atOnce {
				b.g.Expect(b.next()).To(HaveLen(1))
				return
			}
			calls, again := b.q.NextCalls(b.now)
			b.g.Expect(calls).To(BeEmpty())
			b.g.Expect(again).To(BeTemporally("<=", b.now.Add(gatherWait)))
			b.now = b.now.Add(gatherWait)
			b.g.Expect(b.next()).To(HaveLen(1))
		})
	}
}

// A stage under its usual load: a request of four items every 50 ms, half of what
// five servers make in full calls. Servers that take each request as it comes
// are always busy, with calls of seven items; with fuller calls a part of their
// time is left for a burst.
func TestUsualLoadLeavesTimeForABurst(t *testing.T) {
	b := newBench(t, sheet, five)
	for i := range 200 {
		b.submit(fmt.Sprint(i), 4, 2*time.Second, "x")
		b.run(50*time.Millisecond, 300*time.Millisecond)
	}
	var working time.Duration
	for _, c := range b.calls {
		working += c.ExpectedDuration
	}
	busy := working.Seconds() / (200 * 0.05 * float64(len(five)))
	t.Logf("%d calls, servers busy %.2f of the time", len(b.calls), busy)
	b.g.Expect(busy).To(BeNumerically("<", 0.9))
	b.run(time.Second, 300*time.Millisecond)
	b.g.Expect(b.done).To(HaveLen(800))
}
