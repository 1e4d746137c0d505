package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/process/streamwriter"
)

var now = time.Unix(1000, 0)

// prefillTimePerToken corresponds to engines that process 55 prompt tokens per
// millisecond.
const prefillTimePerToken = 18 * time.Microsecond

// servers returns candidates with the given number of servers in each of three regions.
func servers(each int) directory.Candidates {
	d := directory.New()
	var entries []directory.Entry
	for _, domain := range []string{"x", "y", "z"} {
		for i := range each {
			entries = append(entries, directory.Entry{ID: fmt.Sprintf("%s-%d", domain, i), Service: "s", Domain: domain, Slots: 6})
		}
	}
	d.Replace(entries, now)
	return d.View().Candidates("s", residency.Set{}, streamwriter.Writer{})
}

// latencyFrom returns the latencies seen from one domain: 200 µs within it and 20 ms to
// others.
func latencyFrom(home string) func(string) time.Duration {
	return func(domain string) time.Duration {
		if domain == home {
			return 200 * time.Microsecond
		}
		return 20 * time.Millisecond
	}
}

// Guards against leaving the local region while it has free slots, and against use of an
// outdated load report: only a recent one with more requests than slots diverts the
// request.
func TestLocalServersAreChosenWhileSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	list := slices.Collect(fleet.All())
	q := Query{Servers: fleet, OneWayLatency: latencyFrom("y"), Now: now}
	g.Expect(Choose(q).ID).To(Equal("y-0"))
	list[1].RecordLoad(6, 3, now)
	g.Expect(Choose(q).Domain).NotTo(Equal("y"), "three requests are queued there")
	list[1].RecordLoad(6, 3, now.Add(-time.Second))
	g.Expect(Choose(q).ID).To(Equal("y-0"), "an outdated report")
}

// Guards against repeated use of a server that has just failed. It is skipped while there
// is another one, and used again once its backoff has ended.
func TestFailedServerIsSkippedDuringBackoff(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	list := slices.Collect(fleet.All())
	q := Query{Servers: fleet, OneWayLatency: latencyFrom("y"), Now: now}
	list[1].RecordFailure(now)
	g.Expect(Choose(q).Domain).NotTo(Equal("y"))
	q.Now = now.Add(time.Second)
	g.Expect(Choose(q).ID).To(Equal("y-0"))
	q.Exclude = func(s *directory.Server) bool { return s.ID != "y-0" }
	list[1].RecordFailure(q.Now)
	g.Expect(Choose(q).ID).To(Equal("y-0"), "no other server")
	q.Exclude = func(*directory.Server) bool { return true }
	g.Expect(Choose(q)).To(BeNil())
}

// Hosts in all regions get requests with the same long prefix. Guards against different
// home servers per host: all select the same server, until it is much more heavily loaded
// than others.
func TestSharedPrefixesGoToOneServer(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	list := slices.Collect(fleet.All())
	homes := map[string]bool{}
	for _, home := range []string{"x", "y", "z"} {
		s := Choose(Query{Servers: fleet, OneWayLatency: latencyFrom(home), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: prefillTimePerToken, Now: now})
		homes[s.ID] = true
	}
	g.Expect(homes).To(HaveLen(1))
	for _, s := range list {
		if homes[s.ID] {
			s.InFlight.Store(100)
		}
	}
	s := Choose(Query{Servers: fleet, OneWayLatency: latencyFrom("x"), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: prefillTimePerToken, Now: now})
	g.Expect(homes).NotTo(HaveKey(s.ID))
	g.Expect(s.Domain).To(Equal("x"))
}

// Chat requests share 200 prompt tokens, drafts 5,000. Processing 200 tokens takes less
// than a round trip to another region: those requests stay in the region of their client
// and inputs, while drafts with the same prefix go to one server in any region.
func TestShortSharedPrefixesStayInRegion(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	inOtherRegions := 0
	for i := range 60 {
		q := Query{Servers: fleet, OneWayLatency: latencyFrom("x"), AffinityKey: fmt.Sprint(i), PrefixTokens: 200, PrefillTimePerToken: prefillTimePerToken, Now: now}
		g.Expect(Choose(q).Domain).To(Equal("x"))
		q.PrefixTokens = 5000
		if Choose(q).Domain != "x" {
			inOtherRegions++
		}
	}
	g.Expect(inOtherRegions).To(BeNumerically("~", 40, 10))
}

// Stage work is queued in the client's own region, as when clients send twice their usual
// load. Requests with a short shared prefix go to the next region; those with a long one
// stay at their home server, whose cache saves more than the queueing costs.
func TestOverloadedRegionLosesOnlyRequestsWithShortPrefixes(t *testing.T) {
	g := NewWithT(t)
	q := Query{Servers: servers(4), OneWayLatency: latencyFrom("x"), AffinityKey: "part", PrefixTokens: 200, PrefillTimePerToken: prefillTimePerToken, Now: now}
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

// Guards against home servers that concentrate on a few of the servers.
func TestAffinityKeysSpreadOverServers(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	byServer := map[string]int{}
	for i := range 600 {
		byServer[Choose(Query{Servers: fleet, OneWayLatency: latencyFrom("x"), AffinityKey: fmt.Sprint(i), PrefixTokens: 5000, PrefillTimePerToken: prefillTimePerToken, Now: now}).ID]++
	}
	g.Expect(byServer).To(HaveLen(12))
	for id, n := range byServer {
		g.Expect(n).To(BeNumerically("~", 50, 30), id)
	}
}

// Guards against moving large inputs to another region: 2 MB of inputs attract the request
// to their failure domain, 10 kB do not.
func TestLargeInputsKeepRequestInTheirDomain(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(1)
	q := Query{Servers: fleet, OneWayLatency: latencyFrom("x"), InputDomain: "z", InputBytes: 2_000_000, Now: now}
	g.Expect(Choose(q).Domain).To(Equal("z"))
	q.InputBytes = 10_000
	g.Expect(Choose(q).Domain).To(Equal("x"))
}

// The nearest server fails almost half of its responses, the others one in ten, as with a
// partially failed server. Requests go to another region until its failure rate has
// decayed.
func TestServerWithHighFailureRateIsSkipped(t *testing.T) {
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
	q := Query{Servers: fleet, OneWayLatency: latencyFrom("y"), Now: at}
	g.Expect(Choose(q).Domain).NotTo(Equal("y"))
	q.Now = at.Add(6 * time.Second)
	g.Expect(Choose(q).ID).To(Equal("y-0"))
}

// Guards against different home servers per host: the ranking includes the first two
// servers for the prefix, wherever they are, and fills up with local servers.
func TestRankReturnsHomeAndLocalServers(t *testing.T) {
	g := NewWithT(t)
	homes := map[string]bool{}
	for _, region := range []string{"x", "y", "z"} {
		list := Rank(Query{Servers: servers(4), OneWayLatency: latencyFrom(region), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: prefillTimePerToken, Now: now}, 4)
		g.Expect(list).To(HaveLen(4))
		g.Expect(list[0].Home != list[1].Home).To(BeTrue(), "exactly one of the two is the home server")
		homes[list[0].Server.ID], homes[list[1].Server.ID] = true, true
		g.Expect(list[2].Server.Domain).To(Equal(region))
		g.Expect(list[3].Server.Domain).To(Equal(region))
	}
	g.Expect(homes).To(HaveLen(2))
	g.Expect(Rank(Query{Servers: servers(1), OneWayLatency: latencyFrom("x"), Now: now}, 4)).To(HaveLen(3))
}
