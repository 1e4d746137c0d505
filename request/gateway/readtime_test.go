package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The pattern: engines of two deployments read a token in 18 and in 31 us, and each
// stream waits for others' reading as well, for a time that has nothing to do with its
// own prompt. Some hundred streams tell the two apart; what a shared part is worth
// follows them.
func TestReadingTimeOfATokenIsLearned(t *testing.T) {
	for _, token := range []time.Duration{18 * time.Microsecond, 31 * time.Microsecond} {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 2))
		var r readTimes
		g.Expect(r.token("s")).To(Equal(readTimeStart))
		for range 600 {
			tokens := int(500 + 6000*rng.ExpFloat64())
			waits := 60*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(40*time.Millisecond))
			r.note("s", tokens, waits+time.Duration(tokens)*token)
		}
		g.Expect(r.token("s")).To(BeNumerically("~", token, 4*time.Microsecond))
		g.Expect(r.token("other")).To(Equal(readTimeStart))
	}
}

// All prompts are of one length, or shorter ones happen to wait longer. Nothing is
// believed that no engine does.
func TestReadingTimeStaysWithinBounds(t *testing.T) {
	g := NewWithT(t)
	var r readTimes
	for i := range 300 {
		r.note("s", 1000-i, time.Duration(i)*time.Second)
	}
	g.Expect(r.token("s")).To(Equal(leastReadTime))
	for i := range 300 {
		r.note("s", 1000+i, time.Duration(i)*time.Second)
	}
	g.Expect(r.token("s")).To(Equal(mostReadTime))
}
