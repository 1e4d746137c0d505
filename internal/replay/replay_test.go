package replay

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shortScenario returns a scenario of ten seconds without faults.
func shortScenario(name string, load float64) Scenario {
	return Scenario{Name: name, LoadFactor: load, Duration: 10 * time.Second}
}

// Results can only be compared if equal seeds reproduce them exactly.
func TestSameSeedGivesIdenticalResults(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			g := NewWithT(t)
			var first []byte
			for range 2 {
				d := Kalahari()
				s := shortScenario("x", 1.5)
				var b bytes.Buffer
				g.Expect(WriteJSON(&b, []*Result{Replay(d, s, GenerateTrace(d, s, 7), p, 7)})).To(Succeed())
				if first == nil {
					first = b.Bytes()
				}
				g.Expect(b.Bytes()).To(Equal(first))
			}
		})
	}
}

func TestTraceRoundTrip(t *testing.T) {
	g := NewWithT(t)
	d := Zagara()
	want := GenerateTrace(d, shortScenario("x", .5), 3)
	var b bytes.Buffer
	g.Expect(WriteTrace(&b, want)).To(Succeed())
	got, err := ReadTrace(&b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
}

// At low load the bound is the whole offered worth, and far above the capacity of
// the engines it is clearly below it.
func TestUpperBoundAtLowAndHighLoad(t *testing.T) {
	g := NewWithT(t)
	d := Kalahari()
	low := shortScenario("x", .3)
	records := GenerateTrace(d, low, 1)
	var offered float64
	for i := range records {
		offered += d.findRoute(records[i].Route).Worth
	}
	g.Expect(UpperBound(d, low, records)).To(BeNumerically("~", offered, offered/100))
	high := shortScenario("x", 4)
	records = GenerateTrace(d, high, 1)
	offered = 0
	for i := range records {
		offered += d.findRoute(records[i].Route).Worth
	}
	g.Expect(UpperBound(d, high, records)).To(BeNumerically("<", .8*offered))
}

// Capacity that an account does not use goes to the others by weight.
func TestFairSharesRedistributeUnusedCapacity(t *testing.T) {
	g := NewWithT(t)
	a := []Account{{Weight: 1}, {Weight: 1}, {Weight: 2}}
	g.Expect(fairShares([]float64{10, 100, 100}, a, 100)).To(Equal([]float64{10, 30, 60}))
	g.Expect(fairShares([]float64{1, 2, 3}, a, 100)).To(Equal([]float64{1, 2, 3}))
}

// A recorded trace can name routes or regions that the deployment doesn't have.
// Run returns an error with the number of the record; otherwise the replay would
// panic.
func TestRecordedTraceMustMatchDeployment(t *testing.T) {
	g := NewWithT(t)
	d := Kalahari()
	records := GenerateTrace(d, shortScenario("x", .1), 1)
	job := Job{Deployments: []*Deployment{d}, Scenario: "ordinary", Policies: []Policy{Naive()}, Records: records}
	_, err := Run(job)
	g.Expect(err).NotTo(HaveOccurred())
	records[3].Route = "nowhere"
	_, err = Run(job)
	g.Expect(err).To(MatchError(ContainSubstring("record 4")))
	job.Scenario = ""
	_, err = Run(job)
	g.Expect(err).To(HaveOccurred())
}
