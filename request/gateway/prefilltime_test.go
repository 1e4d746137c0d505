package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The engines of two deployments take 18 and 31 us per prompt token, and each stream also
// waits for the prefill of other prompts, independently of its own prompt. Guards against an
// estimate that includes this wait, or that does not converge within a few hundred streams.
func TestPrefillTimeIsLearned(t *testing.T) {
	for _, perToken := range []time.Duration{18 * time.Microsecond, 31 * time.Microsecond} {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 2))
		var times prefillTimes
		g.Expect(times.estimate("s")).To(Equal(initialPrefillTimePerToken))
		for range 600 {
			tokens := int(500 + 6000*rng.ExpFloat64())
			queueTime := 60*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(40*time.Millisecond))
			times.observe("s", tokens, queueTime+time.Duration(tokens)*perToken)
		}
		g.Expect(times.estimate("s")).To(BeNumerically("~", perToken, 4*time.Microsecond))
		g.Expect(times.estimate("other")).To(Equal(initialPrefillTimePerToken))
	}
}

// Guards against implausible estimates if all prompts have the same length, or shorter ones
// happen to wait longer.
func TestPrefillTimeIsClamped(t *testing.T) {
	g := NewWithT(t)
	var times prefillTimes
	for i := range 300 {
		times.observe("s", 1000-i, time.Duration(i)*time.Second)
	}
	g.Expect(times.estimate("s")).To(Equal(minPrefillTimePerToken))
	for i := range 300 {
		times.observe("s", 1000+i, time.Duration(i)*time.Second)
	}
	g.Expect(times.estimate("s")).To(Equal(maxPrefillTimePerToken))
}
