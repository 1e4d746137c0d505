package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// Guards against stage work that completes just before the deadline, so that the stream that
// follows is cut off. Stream durations are learned per route, so that stages are started in
// time or not at all.
func TestStreamDurationsAreLearnedPerRoute(t *testing.T) {
	g := NewWithT(t)
	var d streamDurations
	g.Expect(d.estimate("r")).To(Equal(initialStreamDuration))
	for range 60 {
		d.observe("r", streamDuration{toFirstEvent: 400 * time.Millisecond, afterFirstEvent: 2 * time.Second})
	}
	g.Expect(d.estimate("r").toFirstEvent).To(BeNumerically("~", 400*time.Millisecond, 10*time.Millisecond))
	g.Expect(d.estimate("r").upperEstimate()).To(BeNumerically("~", 3360*time.Millisecond, 50*time.Millisecond))
	g.Expect(d.estimate("other")).To(Equal(initialStreamDuration))
}

// newStagedExchange returns a request with stages that arrived at now, on a route whose
// streams have taken the given duration.
func newStagedExchange(now time.Time, timeout time.Duration, duration streamDuration) *exchange {
	gw := New(Options{Directory: directory.New(), Clock: clock.NewManual(now), Rand: clock.NewSeeded(1)})
	for range 60 {
		gw.streamDurations.observe("r", duration)
	}
	return &exchange{
		Gateway: gw, arrivedAt: now, targetTime: now.Add(2 * time.Second), deadline: now.Add(timeout),
		services: &plan.Services{}, route: &plan.Route{Name: "r", TargetLatency: 2 * time.Second, Stages: []plan.Stage{{Service: "s"}}},
	}
}

// The streams of the route take up to 3.4 s. Stage results of a request with a deadline of 7 s
// are of use for 3.6 s; with a longer deadline, for as long as clients wait for a first
// event.
func TestStageWorkReservesTimeForStream(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := newStagedExchange(now, 7*time.Second, streamDuration{toFirstEvent: 400 * time.Millisecond, afterFirstEvent: 2 * time.Second})
	expected := x.streamDurations.estimate("r")
	g.Expect(x.stageRequest().Deadline).To(Equal(x.deadline.Add(-expected.upperEstimate())))
	g.Expect(x.stageRequest().TargetTime).To(Equal(x.targetTime.Add(-expected.toFirstEvent)))
	x.deadline = now.Add(time.Minute)
	g.Expect(x.stageRequest().Deadline).To(Equal(now.Add(8*time.Second - expected.toFirstEvent)))
}

// The process was paused for seconds during streams, which then seemed to take longer than
// clients wait. Guards against refusing every request of the route on arrival, after which
// no stream would end and the estimate would never recover: half of the client's time is
// always left for the stages.
func TestOverlongStreamsDoNotBlockRoute(t *testing.T) {
	for name, duration := range map[string]streamDuration{
		"to the first event": {toFirstEvent: 20 * time.Second}, "behind it": {afterFirstEvent: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			x := newStagedExchange(now, 4*time.Second, duration)
			NewWithT(t).Expect(x.stageRequest().Deadline).To(BeTemporally(">=", now.Add(2*time.Second)))
			x.deadline = now.Add(time.Minute)
			NewWithT(t).Expect(x.stageRequest().Deadline).To(BeTemporally(">=", now.Add(4*time.Second)))
		})
	}
}
