package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// The host that does the stage work chose a server for the request. By the time the
// results are there, that server has failed somebody: another one gets the request.
func TestChosenServerIsPassedOverOnceItHasFailed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s", Domain: "x", Slots: 4}, {ID: "b", Service: "s", Domain: "y", Slots: 4}}, now)
	gw := New(Options{Directory: dir, Clock: clock.NewManual(now), Rand: clock.NewSeeded(1), Distance: func(domain string) time.Duration {
		return time.Duration(domain[0]) * time.Millisecond // "a" is nearer
	}})
	x := &exchange{Gateway: gw, plan: &plan.Plan{}, route: &plan.Route{}, service: "s", target: "b"}
	g.Expect(x.choose(tried{}).ID).To(Equal("b"))
	g.Expect(x.choose(tried{"b": true}).ID).To(Equal("a"))
	dir.View().Server("b").RecordFailure(now)
	g.Expect(x.choose(tried{}).ID).To(Equal("a"))
	x.target = "gone"
	g.Expect(x.choose(tried{}).ID).To(Equal("a"))
}

// The pattern: in a burst, streams that are late already and streams that can still be
// on time meet at an engine. The late ones say that they may be read last. One that has
// begun, or that has no aim to lose, does not.
func TestLateStreamsAreReadBehindOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := staged(now, 10*time.Second, streamTime{first: 400 * time.Millisecond})
	x.route.Kind = plan.Stream
	g.Expect(x.rank(now.Add(time.Second))).To(Equal(noRank))
	g.Expect(x.rank(now.Add(1700 * time.Millisecond))).To(Equal(lateRank))
	x.begun = true
	g.Expect(x.rank(now.Add(1700 * time.Millisecond))).To(Equal(noRank))
	x.begun, x.route.Kind = false, plan.Safe
	g.Expect(x.rank(now.Add(time.Hour))).To(Equal(noRank))
}
