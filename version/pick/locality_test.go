package pick

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/table"
)

var start = time.Unix(1_000_000, 0)

// servers returns n servers of 4 slots; locality returns the failure domain and region of each.
func servers(n int, locality func(i int) (domain, region string)) []Server {
	reg := serverstate.NewRegistry()
	out := make([]Server, n)
	for i := range out {
		d, r := locality(i)
		s := table.Server{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Domain: d, Region: r}
		out[i] = Server{Server: s, State: reg.Get(s.Name, s.Address, start.Add(-time.Hour)), Slots: 4}
	}
	return out
}

func localDomain(int) (string, string) { return "a1", "a" }

func attempt() *Attempt { return &Attempt{Now: start, Rand: clock.NewSeeded(1), Class: table.Standard} }

func addRequests(s *Server, n int) {
	for range n {
		s.State.BeginRequest()
	}
}

func TestLocalServersArePreferredUntilFull(t *testing.T) {
	g := NewWithT(t)
	all := servers(3, func(i int) (string, string) {
		return []string{"a1", "a2", "b1"}[i], []string{"a", "a", "b"}[i]
	})
	for i := range all {
		all[i].State.SetLoad(&serverstate.Load{Received: start})
	}
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	expectPick := func(name string, a *Attempt) {
		t.Helper()
		s, err := p.Pick(a)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Name).To(Equal(name))
	}
	expectPick("s0", attempt())
	addRequests(&all[0], 4)
	expectPick("s1", attempt()) // another domain of the region has free slots
	addRequests(&all[1], 5)
	expectPick("s0", attempt()) // the region is full, but below RemoteSpilloverLoad
	addRequests(&all[0], 2)
	addRequests(&all[1], 2)
	expectPick("s0", attempt())
	addRequests(&all[0], 1)
	expectPick("s2", attempt())
	largeInput := attempt()
	largeInput.InputBytes = 4 << 20
	expectPick("s0", largeInput) // the transfer costs more than the lower load gains
	background := attempt()
	background.Class = table.Background
	expectPick("s0", background)
}

// A request that crashes servers or a congested network makes attempts fail on every server of
// a pool. Without a bound all of them are ejected, and the pool rejects all requests although
// its servers work. The bound keeps half of them in use.
func TestEjectionsKeepAFractionInUse(t *testing.T) {
	g := NewWithT(t)
	all := servers(4, localDomain)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	for i := range all {
		for range 5 {
			all[i].State.RecordOutcome(start, serverstate.Failed, time.Second)
		}
		g.Expect(all[i].State.Health(start)).To(Equal(serverstate.Outlier))
	}
	usable := 0
	for i := range all {
		if p.usable(p.domain, &all[i], attempt()) {
			usable++
		}
	}
	g.Expect(usable).To(Equal(2))
	_, err := p.Pick(attempt())
	g.Expect(err).NotTo(HaveOccurred())
}

// A server that refuses connections fails requests at once, has none in flight and therefore
// appears to be the least loaded one. Unless it is ejected and probed by a single request at a
// time, it attracts and fails request after request.
func TestUnreachableServerIsProbedByOneRequestAtATime(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, localDomain)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	addRequests(&all[1], 3)
	all[0].State.RecordOutcome(start, serverstate.Unreachable, 0)
	for range 20 {
		s, err := p.Pick(attempt())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Name).To(Equal("s1"))
	}
	later := attempt()
	later.Now = start.Add(2 * time.Second)
	probes := 0
	for range 20 {
		if s, err := p.Pick(later); err == nil && s.Name == "s0" {
			probes++
		}
	}
	g.Expect(probes).To(Equal(1))
	all[0].State.RecordOutcome(later.Now, serverstate.Succeeded, time.Millisecond)
	g.Expect(all[0].State.Health(later.Now)).To(Equal(serverstate.Healthy))
}

func TestSubsetsAreStableSmallAndBalanced(t *testing.T) {
	g := NewWithT(t)
	const hosts, n, size = 200, 100, 8
	all := servers(n, func(int) (string, string) { return "a2", "a" })
	used := map[string]int{}
	for h := range hosts {
		p := NewLocalityPicker(DefaultOptions(fmt.Sprint("host", h), "a1", "a"), all)
		g.Expect(p.region).To(HaveLen(size))
		for _, s := range p.region {
			used[s.Name]++
		}
		// Removing a server changes at most one element of a subset.
		fewer := NewLocalityPicker(DefaultOptions(fmt.Sprint("host", h), "a1", "a"), all[:n-1])
		same := 0
		for _, s := range fewer.region {
			for _, x := range p.region {
				if x.Name == s.Name {
					same++
				}
			}
		}
		g.Expect(same).To(BeNumerically(">=", size-1))
	}
	for _, s := range all {
		g.Expect(used[s.Name]).To(And(BeNumerically(">", 0), BeNumerically("<", 3*hosts*size/n)), s.Name)
	}
}

// Without the bound on load, all requests with a frequent prefix go to one server while the
// others are idle.
func TestPrefixAffinityCreatesNoHotSpot(t *testing.T) {
	g := NewWithT(t)
	all := servers(8, localDomain)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	a := attempt()
	a.PrefixHash = PrefixHash([]byte("you are a soap boiler"))
	first, err := p.Pick(a)
	g.Expect(err).NotTo(HaveOccurred())
	for range 10 {
		s, _ := p.Pick(a)
		g.Expect(s).To(BeIdenticalTo(first))
	}
	for range 16 { // half of all slots
		s, _ := p.Pick(a)
		s.State.BeginRequest()
	}
	g.Expect(first.State.InFlight()).To(BeNumerically("<=", 4))
	for i := range all {
		g.Expect(all[i].State.InFlight()).To(BeNumerically("<=", 4))
	}
}

// All hosts have the same report, one second old, of one idle server among busy ones. If each
// sends to the server with the lowest reported load, all requests go to that server.
func TestStaleReportCausesNoHerding(t *testing.T) {
	g := NewWithT(t)
	const hosts, each, n = 20, 10, 20
	sent := map[string]int{}
	for h := range hosts {
		all := servers(n, localDomain)
		for i := range all {
			running := 2
			if i == 7 {
				running = 0
			}
			all[i].State.SetLoad(&serverstate.Load{Running: running, Received: start.Add(-time.Second)})
		}
		p := NewLocalityPicker(DefaultOptions(fmt.Sprint("h", h), "a1", "a"), all)
		a := &Attempt{Now: start, Rand: clock.NewSeeded(uint64(h))}
		for range each {
			s, err := p.Pick(a)
			g.Expect(err).NotTo(HaveOccurred())
			s.State.BeginRequest()
			sent[s.Name]++
		}
	}
	g.Expect(sent["s7"]).To(BeNumerically("<", 3*hosts*each/n))
}

// Half of the region's servers are down, and their requests queue on the others while another
// region is idle. This queue does not drain by itself, so requests spill over at a lower load
// than in a healthy region.
func TestDegradedRegionSpillsOverEarlier(t *testing.T) {
	g := NewWithT(t)
	all := servers(3, func(i int) (string, string) {
		return []string{"a1", "a1", "b1"}[i], []string{"a", "a", "b"}[i]
	})
	all[2].State.SetLoad(&serverstate.Load{Received: start})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	addRequests(&all[0], 5)
	addRequests(&all[1], 5)
	s, err := p.Pick(attempt())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Region).To(Equal("a"))
	all[1].State.SetDown(true)
	s, err = p.Pick(attempt())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Region).To(Equal("b"))
}

// Two regions are full, and no load reports arrive from the respective other one, so its
// servers appear idle to a host that has sent them nothing. Without staleReportLoad each region
// would send its excess requests to the other, and pay for the transferred bytes.
func TestUnknownRemoteLoadCausesNoSpillover(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, func(i int) (string, string) {
		return []string{"a1", "b1"}[i], []string{"a", "b"}[i]
	})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	addRequests(&all[0], 6)
	s, err := p.Pick(attempt())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal("s0"))
	all[0].State.SetDown(true)
	s, err = p.Pick(attempt())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal("s1"), "the only usable server, with unknown load")
}

// A pool has servers in another region only, or its last healthy server in the own region
// failed. If only the spare slots in other regions counted, the pool would appear to be down,
// and all its requests would be rejected although the other servers work.
func TestRemoteOnlyPoolIsNotDown(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, func(i int) (string, string) {
		return []string{"a1", "b1"}[i], []string{"a", "b"}[i]
	})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	g.Expect(p.Load(start).Slots).To(BeNumerically("==", 4), "the spare slots of the other region are unknown")
	all[0].State.RecordOutcome(start, serverstate.Unreachable, 0)
	g.Expect(p.Load(start).Slots).To(BeNumerically("==", 4))
	only := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all[1:])
	g.Expect(only.Load(start).Slots).To(BeNumerically("==", 4))
	all[1].State.RecordOutcome(start, serverstate.Unreachable, 0)
	g.Expect(only.Load(start).Slots).To(BeZero())
}
