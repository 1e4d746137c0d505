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
	d.Replace([]Entry{{ID: "i", Service: "s", Born: 1}, {ID: "k", Service: "s", Born: 1}}, now)
	first := d.View().Server("i")
	first.Failed(now)
	d.Replace([]Entry{{ID: "i", Service: "s", Born: 2}, {ID: "k", Service: "s", Born: 1, Draining: true}}, now)
	again := d.View().Server("i")
	g.Expect(again.Avoided(now)).To(BeFalse())
	g.Expect(first.Gone()).To(BeTrue())
	g.Expect(d.View().Servers("s")).To(HaveLen(1), "one leaves")
	g.Expect(d.View().Server("k").Gone()).To(BeFalse())
}

func TestAvoidanceGrowsAndEnds(t *testing.T) {
	g := NewWithT(t)
	var s State
	now := time.Unix(1000, 0)
	s.Failed(now)
	g.Expect(s.Avoided(now.Add(minAvoid - 1))).To(BeTrue())
	g.Expect(s.Avoided(now.Add(minAvoid))).To(BeFalse())
	for range 20 {
		s.Failed(now)
	}
	g.Expect(s.Avoided(now.Add(maxAvoid - 1))).To(BeTrue())
	g.Expect(s.Avoided(now.Add(maxAvoid))).To(BeFalse())
	s.Succeeded()
	g.Expect(s.Avoided(now)).To(BeFalse())
}

// A server fails half of its answers while its health is good. That shows after
// a dozen answers, and fades when it gets no more requests.
func TestShareOfFailuresShowsAndFades(t *testing.T) {
	g := NewWithT(t)
	var s State
	now := time.Unix(1000, 0)
	for i := range 24 {
		s.Answered(i%2 == 0, now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(s.Errors(now)).To(BeNumerically(">", 0.3))
	g.Expect(s.Errors(now.Add(4 * errorsHalfLife))).To(BeNumerically("<", 0.05))
	for range 40 {
		s.Answered(false, now)
	}
	g.Expect(s.Errors(now)).To(BeNumerically("<", 0.05))
}
