package coldstart

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/directory"
)

var start = time.Unix(1000, 0)

const coldTime = 3 * time.Second

// server returns a server that is cold for a time from the start.
func server(cold time.Duration) *directory.Server {
	d := directory.New()
	d.Replace([]directory.Entry{{ID: "e", Service: "s", ColdRemaining: cold}}, start)
	return d.View().Server("e")
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("host-", i)
	}
	return out
}

// play has every host send all that it may for a while, and returns the moments.
func play(gates []*Limiter, s *directory.Server, l Limit) []time.Time {
	var sent []time.Time
	for at := start; at.Before(start.Add(2500 * time.Millisecond)); at = at.Add(50 * time.Millisecond) {
		for _, g := range gates {
			for g.WouldAllow(s, l, at) && g.Allow(s, l, at) {
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// most returns the most sends of any second.
func most(sent []time.Time) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a server that crashes while it is cold: all hosts of a fleet send what
// they may, and in no second do more requests reach it than it bears.
func TestAllHostsTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := names(rapid.IntRange(1, 400).Draw(t, "hosts"))
		limit := Limit{RequestsPerSecond: rapid.Float64Range(1, 40).Draw(t, "rate"), ColdDuration: coldTime}
		gates := make([]*Limiter, len(list))
		for i, name := range list {
			gates[i] = New(name, func() []string { return list })
		}
		if n := most(play(gates, server(coldTime), limit)); n != limit.parts() {
			t.Fatalf("%d requests in a second, of %v", n, limit.RequestsPerSecond)
		}
	})
}

// Guards against twice the rate and more while hosts are cut off from each other: half of
// a fleet has forgotten the other half, which has forgotten nobody.
func TestHostsWithDifferentListsStayBelowTwiceTheRate(t *testing.T) {
	g := NewWithT(t)
	all, limit := names(80), Limit{RequestsPerSecond: 9.3, ColdDuration: coldTime}
	var gates []*Limiter
	for i, name := range all {
		known := all
		if i < 40 {
			known = all[:40]
		}
		gates = append(gates, New(name, func() []string { return known }))
	}
	g.Expect(most(play(gates, server(coldTime), limit))).To(BeNumerically("<=", 18))
}

// Guards against a fleet that starts at once, each host of which takes itself for the only
// one and sends the whole rate.
func TestHostThatKnowsNoOtherSendsNothing(t *testing.T) {
	g := NewWithT(t)
	gate := New("host-1", func() []string { return nil })
	g.Expect(play([]*Limiter{gate}, server(coldTime), Limit{RequestsPerSecond: 9.3, ColdDuration: coldTime})).To(BeEmpty())
}

// Guards against a server that started again under its address before the list tells so,
// and one whose failure domain was evacuated and may have become cold meanwhile.
func TestServersThatMayBeColdCountAsCold(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{RequestsPerSecond: 9.3, ColdDuration: coldTime}
	gate := New("host-1", func() []string { return nil })
	warm := server(0)
	g.Expect(gate.Allow(warm, limit, start)).To(BeTrue())
	warm.RecordFailure(start)
	g.Expect(gate.Allow(warm, limit, start.Add(coldTime-1))).To(BeFalse())
	g.Expect(gate.Allow(warm, limit, start.Add(coldTime))).To(BeTrue())

	d := directory.New()
	d.Replace([]directory.Entry{{ID: "e", Service: "s", Domain: "x"}}, start)
	d.SetEvacuated([]string{"x"}, start)
	g.Expect(d.View().Servers("s")).To(BeEmpty())
	d.SetEvacuated(nil, start.Add(time.Minute))
	again := d.View().Server("e")
	g.Expect(gate.Allow(again, limit, start.Add(time.Minute))).To(BeFalse())
	g.Expect(gate.Allow(again, limit, start.Add(time.Minute+coldTime))).To(BeTrue())
}

// Guards against a bound on servers of services that bear any rate while they are cold.
func TestServicesWithoutARateAreNotBounded(t *testing.T) {
	g := NewWithT(t)
	gate := New("host-1", func() []string { return nil })
	g.Expect(gate.Allow(server(coldTime), Limit{ColdDuration: coldTime}, start)).To(BeTrue())
}

// Guards against one host that owns the rate of all servers: others could send none of
// their requests while a whole failure domain is cold.
func TestPartsAreSpreadOverTheHosts(t *testing.T) {
	g := NewWithT(t)
	all := names(80)
	const servers, parts = 60, 9
	least, most := servers*parts, 0
	for _, self := range all {
		own := 0
		for i := range servers {
			own += deal(fmt.Sprint("server-", i), self, all, parts)
		}
		least, most = min(least, own), max(most, own)
	}
	g.Expect(least).To(BeNumerically(">=", 1))
	g.Expect(most).To(BeNumerically("<=", 4*servers*parts/len(all)))
}
