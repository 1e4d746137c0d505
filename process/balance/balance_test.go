package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
)

var now = time.Unix(1000, 0)

// tokenTime of engines that read 55 tokens a millisecond.
const tokenTime = 18 * time.Microsecond

// servers lists some servers in each of three regions.
func servers(each int) directory.Candidates {
	d := directory.New()
	var entries []directory.Entry
	for _, domain := range []string{"x", "y", "z"} {
		for i := range each {
			entries = append(entries, directory.Entry{ID: fmt.Sprintf("%s-%d", domain, i), Service: "s", Domain: domain, Slots: 6})
		}
	}
	d.Replace(entries, now)
	return d.View().Candidates("s", residency.Set{})
}

func from(home string) func(string) time.Duration {
	return func(domain string) time.Duration {
		if domain == home {
			return 200 * time.Microsecond
		}
		return 20 * time.Millisecond
	}
}

func TestNearServersServeWhileTheyHaveSlots(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	list := slices.Collect(fleet.All())
	q := Query{Servers: fleet, OneWayLatency: from("y"), Now: now}
	g.Expect(Choose(q).ID).To(Equal("y-0"))
	list[1].RecordLoad(6, 3, now)
	g.Expect(Choose(q).Domain).NotTo(Equal("y"), "three wait there already")
	list[1].RecordLoad(6, 3, now.Add(-time.Second))
	g.Expect(Choose(q).ID).To(Equal("y-0"), "an old report")
}

// A server failed a moment ago. It is passed over while there is another, and
// tried again after a while.
func TestFailedServerIsAvoidedForAWhile(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	list := slices.Collect(fleet.All())
	q := Query{Servers: fleet, OneWayLatency: from("y"), Now: now}
	list[1].RecordFailure(now)
	g.Expect(Choose(q).Domain).NotTo(Equal("y"))
	q.Now = now.Add(time.Second)
	g.Expect(Choose(q).ID).To(Equal("y-0"))
	q.Exclude = func(s *directory.Server) bool { return s.ID != "y-0" }
	list[1].RecordFailure(q.Now)
	g.Expect(Choose(q).ID).To(Equal("y-0"), "there is no other")
	q.Exclude = func(*directory.Server) bool { return true }
	g.Expect(Choose(q)).To(BeNil())
}

// Hosts in all regions get requests that share a long part of their prompts.
// All send them to the same server, until that is much fuller than others.
func TestSharedPromptsMeetAtOneServer(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	list := slices.Collect(fleet.All())
	homes := map[string]bool{}
	for _, home := range []string{"x", "y", "z"} {
		s := Choose(Query{Servers: fleet, OneWayLatency: from(home), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: tokenTime, Now: now})
		homes[s.ID] = true
	}
	g.Expect(homes).To(HaveLen(1))
	for _, s := range list {
		if homes[s.ID] {
			s.InFlight.Store(100)
		}
	}
	s := Choose(Query{Servers: fleet, OneWayLatency: from("x"), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: tokenTime, Now: now})
	g.Expect(homes).NotTo(HaveKey(s.ID))
	g.Expect(s.Domain).To(Equal("x"))
}

// Chat requests share 200 tokens of their prompts, drafts 5,000. Reading 200 takes
// less than the way to another region: those requests stay where their client is,
// and where their inputs lie; the drafts meet at one server.
func TestShortSharedPartsStayInTheRegion(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	away := 0
	for i := range 60 {
		q := Query{Servers: fleet, OneWayLatency: from("x"), AffinityKey: fmt.Sprint(i), PrefixTokens: 200, PrefillTimePerToken: tokenTime, Now: now}
		g.Expect(Choose(q).Domain).To(Equal("x"))
		q.PrefixTokens = 5000
		if Choose(q).Domain != "x" {
			away++
		}
	}
	g.Expect(away).To(BeNumerically("~", 40, 10))
}

// Stage work waits in the client's own region, as where its clients send twice
// their usual. Requests that share little go to the next region; those that share
// much stay with their server, whose memory saves more than the wait costs.
func TestBusyRegionIsLeftByWhatIsFreeToGo(t *testing.T) {
	g := NewWithT(t)
	q := Query{Servers: servers(4), OneWayLatency: from("x"), AffinityKey: "part", PrefixTokens: 200, PrefillTimePerToken: tokenTime, Now: now}
	q.QueueingCost = func(domain string) time.Duration {
		if domain == "x" {
			return 60 * time.Millisecond
		}
		return 0
	}
	g.Expect(Choose(q).Domain).NotTo(Equal("x"))
	for i := range 60 {
		q.AffinityKey, q.PrefixTokens, q.QueueingCost = fmt.Sprint(i), 5000, nil
		home := Choose(q)
		q.QueueingCost = func(domain string) time.Duration {
			if domain == home.Domain {
				return 60 * time.Millisecond
			}
			return 0
		}
		g.Expect(Choose(q)).To(BeIdenticalTo(home))
	}
}

func TestAffinitiesSpreadOverServers(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	byServer := map[string]int{}
	for i := range 600 {
		byServer[Choose(Query{Servers: fleet, OneWayLatency: from("x"), AffinityKey: fmt.Sprint(i), PrefixTokens: 5000, PrefillTimePerToken: tokenTime, Now: now}).ID]++
	}
	g.Expect(byServer).To(HaveLen(12))
	for id, n := range byServer {
		g.Expect(n).To(BeNumerically("~", 50, 30), id)
	}
}

func TestLargeInputsDrawTheRequest(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	q := Query{Servers: fleet, OneWayLatency: from("x"), InputDomain: "z", InputBytes: 2_000_000, Now: now}
	g.Expect(Choose(q).Domain).To(Equal("z"))
	q.InputBytes = 10_000
	g.Expect(Choose(q).Domain).To(Equal("x"))
}

// The nearest server fails almost half of its answers, the others one in ten, as
// on a day with a grey server. Requests go to another region until it is better.
func TestServerThatFailsManyAnswersIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	list := slices.Collect(fleet.All())
	at := now
	for i := range 60 {
		for k, s := range list {
			s.RecordResponse(i%10 == 0 || k == 1 && i%9 < 4, at)
		}
		at = at.Add(10 * time.Millisecond)
	}
	q := Query{Servers: fleet, OneWayLatency: from("y"), Now: at}
	g.Expect(Choose(q).Domain).NotTo(Equal("y"))
	q.Now = at.Add(6 * time.Second)
	g.Expect(Choose(q).ID).To(Equal("y-0"))
}

// The servers to choose from hold the first two of the shared part, wherever they
// are, so that all hosts name the same ones, and near servers for the rest.
func TestRankNamesTheHomesOfThePartAndNearServers(t *testing.T) {
	g := NewWithT(t)
	homes := map[string]bool{}
	for _, region := range []string{"x", "y", "z"} {
		list := Rank(Query{Servers: servers(4), OneWayLatency: from(region), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: tokenTime, Now: now}, 4)
		g.Expect(list).To(HaveLen(4))
		g.Expect(list[0].Home != list[1].Home).To(BeTrue(), "one of the two is the first")
		homes[list[0].Server.ID], homes[list[1].Server.ID] = true, true
		g.Expect(list[2].Server.Domain).To(Equal(region))
		g.Expect(list[3].Server.Domain).To(Equal(region))
	}
	g.Expect(homes).To(HaveLen(2))
	g.Expect(Rank(Query{Servers: servers(1), OneWayLatency: from("x"), Now: now}, 4)).To(HaveLen(3))
}
