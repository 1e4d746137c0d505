package replay

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func short(name string, load float64) Scenario {
	return Scenario{Name: name, LoadFactor: load, Duration: 10 * time.Second}
}

// A figure is only worth something if the run that gave it can be repeated.
func TestSameSeedGivesSameBytes(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			g := NewWithT(t)
			var first []byte
			for range 2 {
				d := Kalahari()
				s := short("x", 1.5)
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

func TestTraceSurvivesWritingAndReading(t *testing.T) {
	g := NewWithT(t)
	d := Zagara()
	want := GenerateTrace(d, short("x", .5), 3)
	var b bytes.Buffer
	g.Expect(WriteTrace(&b, want)).To(Succeed())
	got, err := ReadTrace(&b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
}

// Without overload the bound is all that was offered; with it, it is no more
// than the engines' time at the best worth a second plus all other work.
func TestBoundIsTightAtBothEnds(t *testing.T) {
	g := NewWithT(t)
	d := Kalahari()
	low := short("x", .3)
	records := GenerateTrace(d, low, 1)
	var offered float64
	for i := range records {
		offered += d.route(records[i].Route).Worth
	}
	g.Expect(UpperBound(d, low, records)).To(BeNumerically("~", offered, offered/100))
	high := short("x", 4)
	records = GenerateTrace(d, high, 1)
	offered = 0
	for i := range records {
		offered += d.route(records[i].Route).Worth
	}
	g.Expect(UpperBound(d, high, records)).To(BeNumerically("<", .8*offered))
}

func TestFairDueLendsWhatOthersLeave(t *testing.T) {
	g := NewWithT(t)
	a := []Account{{Weight: 1}, {Weight: 1}, {Weight: 2}}
	g.Expect(fairDue([]float64{10, 100, 100}, a, 100)).To(Equal([]float64{10, 30, 60}))
	g.Expect(fairDue([]float64{1, 2, 3}, a, 100)).To(Equal([]float64{1, 2, 3}))
}

// A trace recorded elsewhere may name what the deployment has not; that is a
// fault of one line, not a panic in the middle of a replay.
func TestRecordedTraceHasToFit(t *testing.T) {
	g := NewWithT(t)
	d := Kalahari()
	records := GenerateTrace(d, short("x", .1), 1)
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
