package retrybudget

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Without a budget, a pool that fails every attempt gets three times the load when it can
// handle it least.
func TestRetriesAreBoundedByFirstAttempts(t *testing.T) {
	g := NewWithT(t)
	b := New(Options{Ratio: .1, Burst: 5})
	allowed := 0
	for range 1000 {
		b.RecordFirstAttempt()
		for range 2 {
			if b.Allow() {
				allowed++
			}
		}
	}
	g.Expect(allowed).To(BeNumerically("<=", 105))
	g.Expect(allowed).To(BeNumerically(">=", 95))
	g.Expect(b.Denied()).To(Equal(int64(2000 - allowed)))
}

func TestUnusedRetriesAreBoundedByBurst(t *testing.T) {
	g := NewWithT(t)
	b := New(Options{Ratio: .1, Burst: 5})
	for range 10_000 {
		b.RecordFirstAttempt()
	}
	for range 5 {
		g.Expect(b.Allow()).To(BeTrue())
	}
	g.Expect(b.Allow()).To(BeFalse())
}
