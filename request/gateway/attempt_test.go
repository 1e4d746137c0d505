package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/process/streamwriter"
	"bilberrydale/version/plan"
)

// Guards against sending a request to the server chosen with its stage results although that
// server has failed in the meantime: another server gets the request.
func TestPreferredServerIsSkippedAfterFailure(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s", Domain: "x", Slots: 4}, {ID: "b", Service: "s", Domain: "y", Slots: 4}}, now)
	gw := New(Options{Directory: dir, Clock: clock.NewManual(now), Rand: clock.NewSeeded(1), OneWayLatency: func(domain string) time.Duration {
		return time.Duration(domain[0]) * time.Millisecond // "a" is nearer
	}})
	x := &exchange{Gateway: gw, services: &plan.Services{}, route: &plan.Route{}, service: "s", preferredServer: "b"}
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("b"))
	g.Expect(x.chooseServer(&attemptHistory{tried: serverSet{"b": true}}).ID).To(Equal("a"))
	dir.View().Server("b").RecordFailure(now)
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("a"))
	x.preferredServer = "gone"
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("a"))
}

// Guards against late streams delaying streams that can still meet their target latency. In
// a burst both are queued at the same engine, and the late ones are sent with a low
// priority. A stream whose first event was sent goes before the others, and a request without a
// latency target for the first event keeps its place.
func TestLateStreamsGetLowEnginePriority(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := newStagedExchange(now, 10*time.Second, streamDuration{toFirstEvent: 400 * time.Millisecond})
	x.route.Kind = plan.Stream
	g.Expect(x.enginePriority(now.Add(time.Second))).To(Equal(unsetPriority))
	g.Expect(x.enginePriority(now.Add(1700 * time.Millisecond))).To(Equal(latePriority))
	x.writer = streamwriter.Writer{Service: "s", Version: "v1"}
	g.Expect(x.enginePriority(now.Add(1700 * time.Millisecond))).To(Equal(continuedPriority))
	x.writer, x.route.Kind = streamwriter.Writer{}, plan.Safe
	g.Expect(x.enginePriority(now.Add(time.Hour))).To(Equal(unsetPriority))
}
