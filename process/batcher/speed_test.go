package batcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The host that sent the calls has failed, and had told that a server is slow. Guards against jobs that
// wait for this server because the host that takes over begins without what the other knew.
func TestTakeoverKnowsSlowServers(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"s1": "a", "s2": "a"})
	for _, s := range b.directory.View().Servers("s") {
		for range 8 {
			if s.ID == "s1" {
				s.Speed.Observe(5, 1, 1, 1, b.now)
			}
		}
	}
	b.submit("r", 4, 2*time.Second, "a")
	b.g.Expect(firstCallTo(b.nextCalls(), "s1")).To(BeNil())
	b.g.Expect(b.calls).To(HaveLen(1))
	b.g.Expect(b.calls[0].Server.ID).To(Equal("s2"))
}

// Guards against calls that tell other hosts nothing: a stage server takes three times as long, and is
// known as slow.
func TestStageCallsShowSlowServers(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"s1": "a", "s2": "a", "s3": "a"})
	slow := func() (out []string) {
		for _, s := range b.directory.View().Servers("s") {
			if s.Speed.Slow() {
				out = append(out, s.ID)
			}
		}
		return out
	}
	run := func(from, to int) {
		for i := from; i < to; i++ {
			b.submit(fmt.Sprint("r", i), 10, 3*time.Second, "a")
			b.nextCalls()
			b.advance(100*time.Millisecond, 0)
		}
	}
	run(0, 40)
	b.g.Expect(slow()).To(BeEmpty())
	b.slowdown["s1"] = 3
	run(40, 80)
	b.g.Expect(slow()).To(Equal([]string{"s1"}))
}
