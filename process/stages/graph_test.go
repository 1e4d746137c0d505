package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// denseRequest returns a request of n stages with one item each, each of which depends on all
// earlier ones.
func denseRequest(n int) *Request {
	now := time.Now()
	r := &Request{ID: fmt.Sprint("dense-", n), InputKey: "key", RunDomain: "x", Worth: 1, TargetTime: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	for i := range n {
		s := Stage{Service: []string{"floor", "portal"}[i%2], Items: 1, ResultBytes: 10}
		for earlier := range i {
			s.DependsOn = append(s.DependsOn, earlier)
		}
		r.Stages = append(r.Stages, s)
	}
	return r
}

// Guards against a host that computes until long after the deadline, with the lock of its stage work
// held: it followed each of the paths through the stages, whose number doubles with each stage.
func TestStagesThatDependOnAllEarlierOnesAreRun(t *testing.T) {
	const stages = 64
	w := newFixture(t)
	done := make(chan error, 1)
	var results Results
	go func() {
		var err error
		results, err = w.k.Run(t.Context(), denseRequest(stages))
		done <- err
	}()
	w.g.Eventually(done, "50s").Should(Receive(BeNil()))
	w.g.Expect(results.Inputs).To(HaveLen(1))
	w.g.Eventually(w.freedCount, "10s").Should(Equal(stages-1), "results that later stages have consumed")
}

// Guards against target times and limits for another path than the longest one.
func TestGraphFollowsTheLongestPath(t *testing.T) {
	w := newFixture(t) // a call takes 10 ms or more
	r := &Request{Stages: []Stage{
		{Service: "floor", Items: 1},
		{Service: "floor", Items: 1, DependsOn: []int{0}},
		{Service: "floor", Items: 0, DependsOn: []int{0}},
		{Service: "floor", Items: 1, DependsOn: []int{0, 1}},
		{Service: "unknown", Items: 1, DependsOn: []int{2, 3}},
		{Service: "floor", Items: 1, DependsOn: []int{4, 0}},
	}}
	const call = 10 * time.Millisecond
	w.g.Expect(w.k.minTimesAfter(r)).To(Equal([]time.Duration{3 * call, 2 * call, call, call, call, 0}))
	g := r.graph()
	w.g.Expect(g.positions).To(Equal([]stagePosition{{0, true}, {1, true}, {1, true}, {2, true}, {3, true}, {4, false}}))
	w.g.Expect(g.successors).To(Equal([][]int{{1, 2, 3, 5}, {3}, {4}, {4}, {5}, nil}))
	w.g.Expect(g.finalStages()).To(Equal([]int{5}))
}
