package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// Stage work for a late request was finished a moment before its deadline, and
// the stream that followed was cut by it. What a stream takes is learned by
// route, so that its stages are begun in time or not at all.
func TestStreamTimesAreLearnedByRoute(t *testing.T) {
	g := NewWithT(t)
	var f streamTimes
	g.Expect(f.expect("r")).To(Equal(streamTimeStart))
	for range 60 {
		f.note("r", streamTime{first: 400 * time.Millisecond, rest: 2 * time.Second})
	}
	g.Expect(f.expect("r").first).To(BeNumerically("~", 400*time.Millisecond, 10*time.Millisecond))
	g.Expect(f.expect("r").total()).To(BeNumerically("~", 3360*time.Millisecond, 50*time.Millisecond))
	g.Expect(f.expect("other")).To(Equal(streamTimeStart))
}

// The streams of a route take 3.4 s at most. Stage work of a request whose client
// leaves after 4 s is of use for half a second; with a longer deadline it is for as
// long as clients wait for a first event.
func TestStageWorkLeavesTheTimeOfTheStream(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	gw := New(Options{Directory: directory.New(), Clock: clock.NewManual(now), Rand: clock.NewSeeded(1)})
	for range 60 {
		gw.times.note("r", streamTime{first: 400 * time.Millisecond, rest: 2 * time.Second})
	}
	takes := gw.times.expect("r")
	x := &exchange{
		Gateway: gw, start: now, aim: now.Add(2 * time.Second), deadline: now.Add(4 * time.Second),
		route: &plan.Route{Name: "r", TargetLatency: 2 * time.Second, Stages: []plan.Stage{{Service: "s"}}},
	}
	g.Expect(x.stageRequest().DieBy).To(Equal(x.deadline.Add(-takes.total())))
	g.Expect(x.stageRequest().AimBy).To(Equal(x.aim.Add(-takes.first)))
	x.deadline = now.Add(time.Minute)
	g.Expect(x.stageRequest().DieBy).To(Equal(now.Add(8*time.Second - takes.first)))
}
