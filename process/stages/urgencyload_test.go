package stages

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
)

// Requests of three priorities and the same stages ask for twice what the servers can do, for twelve
// seconds; the less urgent, the more worth. Guards against urgent requests that are refused or late while
// less urgent ones are served, and against less urgent ones that get nothing at all.
func TestUrgentRequestsAreServedFirstInALastingShortage(t *testing.T) {
	g := NewWithT(t)
	opts := batcher.Options{MaxItems: 8, CallTime: 150 * time.Millisecond, ItemTime: 14 * time.Millisecond, ResultTTL: 4 * time.Second}
	l := workload{duration: 12 * time.Second, services: map[string]simService{"rank": {Options: opts, serverDomains: []string{"x", "x", "y", "z"}}}}
	capacity := l.services["rank"].itemRate() / 2 // in requests of two items
	for i, share := range []float64{0.4, 0.4, 1.2} {
		l.classes = append(l.classes, requestClass{
			name: fmt.Sprint("priority-", i), priority: i, rate: steady(share * capacity), targetLatency: 1200 * time.Millisecond, timeout: 4 * time.Second,
			worth:  func(r *rand.Rand) float64 { return float64(1+3*i) * (0.3 + 0.7*r.ExpFloat64()) },
			stages: func(*rand.Rand) []Stage { return []Stage{{Service: "rank", Items: 2}} },
		})
	}
	out := l.runSeeds(t)
	g.Expect(out["priority-0"].servedShare()).To(BeNumerically(">", 0.99))
	g.Expect(out["priority-0"].onTimeShare()).To(BeNumerically(">", 0.9))
	g.Expect(out["priority-1"].servedShare()).To(BeNumerically(">", out["priority-2"].servedShare()))
	g.Expect(out["priority-2"].servedShare()).To(BeNumerically(">", 0.1))
}
