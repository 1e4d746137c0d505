package directory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A server starts again under the id that it had. What was known of its earlier
// life, such as a failure or its load, does not count for the new one.
func TestServerThatStartsAgainIsNotTheSame(t *testing.T) {
	g := NewWithT(t)
	d := New()
	now := time.Unix(1000, 0)
	d.Replace([]Entry{{ID: "i", Service: "s", StartedUnixMS: 1}, {ID: "k", Service: "s", StartedUnixMS: 1}}, now)
	first := d.View().Server("i")
	first.RecordFailure(now)
	d.Replace([]Entry{{ID: "i", Service: "s", StartedUnixMS: 2}, {ID: "k", Service: "s", StartedUnixMS: 1, Draining: true}}, now)
	again := d.View().Server("i")
	g.Expect(again.InBackoff(now)).To(BeFalse())
	g.Expect(first.Delisted()).To(BeTrue())
	g.Expect(d.View().Servers("s")).To(HaveLen(1), "one leaves")
	g.Expect(d.View().Server("k").Delisted()).To(BeFalse())
}

func TestAvoidanceGrowsAndEnds(t *testing.T) {
	g := NewWithT(t)
	var s LocalState
	now := time.Unix(1000, 0)
	s.RecordFailure(now)
	g.Expect(s.InBackoff(now.Add(minAvoid - 1))).To(BeTrue())
	g.Expect(s.InBackoff(now.Add(minAvoid))).To(BeFalse())
	for range 20 {
		s.RecordFailure(now)
	}
	g.Expect(s.InBackoff(now.Add(maxAvoid - 1))).To(BeTrue())
	g.Expect(s.InBackoff(now.Add(maxAvoid))).To(BeFalse())
	s.RecordSuccess()
	g.Expect(s.InBackoff(now)).To(BeFalse())
}

// A server fails half of its answers while its health is good. That shows after
// a dozen answers, and fades when it gets no more requests.
func TestShareOfFailuresShowsAndFades(t *testing.T) {
	g := NewWithT(t)
	var s LocalState
	now := time.Unix(1000, 0)
	for i := range 24 {
		s.RecordResponse(i%2 == 0, now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(s.FailureRate(now)).To(BeNumerically(">", 0.3))
	g.Expect(s.FailureRate(now.Add(4 * errorsHalfLife))).To(BeNumerically("<", 0.05))
	for range 40 {
		s.RecordResponse(false, now)
	}
	g.Expect(s.FailureRate(now)).To(BeNumerically("<", 0.05))
}
