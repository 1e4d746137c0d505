package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// Nine hosts see a service fail and all repeat what they can. Over any ten
// seconds they stay within the bound for all of them together, though none
// knows of the others' sends.
func TestAllHostsTogetherKeepTheBound(t *testing.T) {
	g := NewWithT(t)
	const hosts, ratio, slack = 9, 0.2, 52.0
	now := clock.NewManual(time.Unix(1000, 0))
	var parts []*RetryLimiter
	for range hosts {
		parts = append(parts, New(Options{Ratio: ratio, Window: 10 * time.Second, Slack: slack, Hosts: func() int { return hosts }, Clock: now}))
	}
	type sent struct {
		at               time.Duration
		requests, repeat int
	}
	var log []sent
	for i := range 600 { // a minute
		s := sent{at: time.Duration(i) * 100 * time.Millisecond}
		for _, p := range parts {
			if i%3 == 0 {
				p.RecordRequest("s")
				s.requests++
			}
			for p.AllowRetry("s") {
				s.repeat++
			}
		}
		log = append(log, s)
		now.Advance(100 * time.Millisecond)
	}
	for start := 0; start+100 <= len(log); start++ {
		var requests, repeats int
		for _, s := range log[start : start+100] {
			requests += s.requests
			repeats += s.repeat
		}
		g.Expect(float64(repeats)).To(BeNumerically("<=", ratio*float64(requests)+slack), "from %s", log[start].at)
	}
	total := 0
	for _, s := range log {
		total += s.repeat
	}
	g.Expect(total).To(BeNumerically(">", 100), "and makes use of it")
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	p := New(Options{Window: 10 * time.Second, Slack: 2, Hosts: func() int { return 1 }, Clock: clock.NewManual(time.Unix(1, 0))})
	g.Expect(p.AllowRetry("a")).To(BeTrue())
	g.Expect(p.AllowRetry("a")).To(BeFalse())
	g.Expect(p.AllowRetry("b")).To(BeTrue())
}
