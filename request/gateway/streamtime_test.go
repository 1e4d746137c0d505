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

// staged returns a request with stages that arrived now, before streams of its
// route that have taken as long as told.
func staged(now time.Time, wait time.Duration, took streamTime) *exchange {
	gw := New(Options{Directory: directory.New(), Clock: clock.NewManual(now), Rand: clock.NewSeeded(1)})
	for range 60 {
		gw.times.note("r", took)
	}
	return &exchange{
		Gateway: gw, start: now, aim: now.Add(2 * time.Second), deadline: now.Add(wait),
		plan: &plan.Plan{}, route: &plan.Route{Name: "r", TargetLatency: 2 * time.Second, Stages: []plan.Stage{{Service: "s"}}},
	}
}

// The streams of a route take 3.4 s at most. Stage work of a request whose client
// leaves after 7 s is of use for 3.6 s; with a longer deadline it is for as long as
// clients wait for a first event.
func TestStageWorkLeavesTheTimeOfTheStream(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := staged(now, 7*time.Second, streamTime{first: 400 * time.Millisecond, rest: 2 * time.Second})
	takes := x.times.expect("r")
	g.Expect(x.stageRequest().Deadline).To(Equal(x.deadline.Add(-takes.total())))
	g.Expect(x.stageRequest().TargetTime).To(Equal(x.aim.Add(-takes.first)))
	x.deadline = now.Add(time.Minute)
	g.Expect(x.stageRequest().Deadline).To(Equal(now.Add(8*time.Second - takes.first)))
}

// The process was stopped for seconds while streams ran, and they seemed to take
// longer than clients wait. Every request of the route would be refused on arrival,
// no stream would end any more, and nothing new would be learned: half of the
// client's time is left for the stages whatever streams took.
func TestRequestsAreServedAfterStreamsThatSeemedEndless(t *testing.T) {
	for name, took := range map[string]streamTime{
		"to the first event": {first: 20 * time.Second}, "behind it": {rest: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			x := staged(now, 4*time.Second, took)
			NewWithT(t).Expect(x.stageRequest().Deadline).To(BeTemporally(">=", now.Add(2*time.Second)))
			x.deadline = now.Add(time.Minute)
			NewWithT(t).Expect(x.stageRequest().Deadline).To(BeTemporally(">=", now.Add(4*time.Second)))
		})
	}
}
