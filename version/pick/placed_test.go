package pick

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/server"
	"bilberrydale/version/table"
)

var start = time.Unix(1_000_000, 0)

func servers(n int, place func(i int) (domain, region string)) []Server {
	reg := server.NewRegistry()
	out := make([]Server, n)
	for i := range out {
		d, r := place(i)
		s := table.Server{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Domain: d, Region: r}
		out[i] = Server{Server: s, State: reg.Get(s.Name, s.Address, start.Add(-time.Hour)), Slots: 4}
	}
	return out
}

func near(int) (string, string) { return "a1", "a" }

func info() *Attempt { return &Attempt{Now: start, Rand: clock.NewSeeded(1), Class: table.Standard} }

func fill(s *Server, n int) {
	for range n {
		s.State.BeginRequest()
	}
}

func TestWorkStaysNearUntilNearIsFull(t *testing.T) {
	g := NewWithT(t)
	all := servers(3, func(i int) (string, string) {
		return []string{"a1", "a2", "b1"}[i], []string{"a", "a", "b"}[i]
	})
	for i := range all {
		all[i].State.SetLoad(&server.Load{Received: start})
	}
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	want := func(name string, in *Attempt) {
		t.Helper()
		s, err := p.Pick(in)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Name).To(Equal(name))
	}
	want("s0", info())
	fill(&all[0], 4)
	want("s1", info()) // the own region has room
	fill(&all[1], 5)
	want("s0", info()) // full, but not by enough to pay for another region
	fill(&all[0], 2)
	fill(&all[1], 2)
	want("s0", info())
	fill(&all[0], 1)
	want("s2", info())
	heavy := info()
	heavy.InputBytes = 4 << 20
	want("s0", heavy) // too many billed bytes for the gain
	background := info()
	background.Class = table.Background
	want("s0", background)
}

// What the caller sees without the bound: every server of the pool fails for a
// while, and then the pool refuses all requests although the servers are well.
// A poisoned request or a full network makes each server fail in turn; each is
// ejected; none is left. The bound keeps half of them in use.
func TestEjectionsLeaveAShareInUse(t *testing.T) {
	g := NewWithT(t)
	all := servers(4, near)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	for i := range all {
		for range 5 {
			all[i].State.RecordOutcome(start, server.Failed, time.Second)
		}
		g.Expect(all[i].State.Health(start)).To(Equal(server.Outlier))
	}
	usable := 0
	for i := range all {
		if p.usable(p.near, &all[i], info()) {
			usable++
		}
	}
	g.Expect(usable).To(Equal(2))
	_, err := p.Pick(info())
	g.Expect(err).NotTo(HaveOccurred())
}

// What the caller sees without it: a dead server answers "connection refused"
// at once, has nothing in flight, and so looks like the least loaded one; it
// draws request after request until something takes it out.
func TestDeadServerIsTriedByOneRequestAtATime(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, near)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	fill(&all[1], 3)
	all[0].State.RecordOutcome(start, server.Unreachable, 0)
	for range 20 {
		s, err := p.Pick(info())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Name).To(Equal("s1"))
	}
	later := info()
	later.Now = start.Add(2 * time.Second)
	trials := 0
	for range 20 {
		if s, err := p.Pick(later); err == nil && s.Name == "s0" {
			trials++
		}
	}
	g.Expect(trials).To(Equal(1))
	all[0].State.RecordOutcome(later.Now, server.Succeeded, time.Millisecond)
	g.Expect(all[0].State.Health(later.Now)).To(Equal(server.Healthy))
}

func TestSubsetsAreStableSmallAndEven(t *testing.T) {
	g := NewWithT(t)
	const hosts, n, k = 200, 100, 8
	all := servers(n, func(int) (string, string) { return "a2", "a" })
	used := map[string]int{}
	for h := range hosts {
		p := NewLocalityPicker(DefaultOptions(fmt.Sprint("host", h), "a1", "a"), all)
		g.Expect(p.region).To(HaveLen(k))
		for _, s := range p.region {
			used[s.Name]++
		}
		// One server less moves at most one place of the subset.
		fewer := NewLocalityPicker(DefaultOptions(fmt.Sprint("host", h), "a1", "a"), all[:n-1])
		same := 0
		for _, s := range fewer.region {
			for _, x := range p.region {
				if x.Name == s.Name {
					same++
				}
			}
		}
		g.Expect(same).To(BeNumerically(">=", k-1))
	}
	for _, s := range all {
		g.Expect(used[s.Name]).To(And(BeNumerically(">", 0), BeNumerically("<", 3*hosts*k/n)), s.Name)
	}
}

// Without the bound on load, every request with the one prefix in demand goes
// to one server while the others idle.
func TestAffinityKeepsPlaceButMakesNoHotSpot(t *testing.T) {
	g := NewWithT(t)
	all := servers(8, near)
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	in := info()
	in.PrefixHash = PrefixHash([]byte("you are a soap boiler"))
	first, err := p.Pick(in)
	g.Expect(err).NotTo(HaveOccurred())
	for range 10 {
		s, _ := p.Pick(in)
		g.Expect(s).To(BeIdenticalTo(first))
	}
	for range 16 { // half of all slots
		s, _ := p.Pick(in)
		s.State.BeginRequest()
	}
	g.Expect(first.State.InFlight()).To(BeNumerically("<=", 4))
	for i := range all {
		g.Expect(all[i].State.InFlight()).To(BeNumerically("<=", 4))
	}
}

// Hosts see the same report, a second old, of one idle server among busy ones.
// If each sends to the least loaded by report, all their work lands on it.
func TestStaleReportDrawsNoHerd(t *testing.T) {
	g := NewWithT(t)
	const hosts, each, n = 20, 10, 20
	sent := map[string]int{}
	for h := range hosts {
		all := servers(n, near)
		for i := range all {
			running := 2
			if i == 7 {
				running = 0
			}
			all[i].State.SetLoad(&server.Load{Running: running, Received: start.Add(-time.Second)})
		}
		p := NewLocalityPicker(DefaultOptions(fmt.Sprint("h", h), "a1", "a"), all)
		in := &Attempt{Now: start, Rand: clock.NewSeeded(uint64(h))}
		for range each {
			s, err := p.Pick(in)
			g.Expect(err).NotTo(HaveOccurred())
			s.State.BeginRequest()
			sent[s.Name]++
		}
	}
	g.Expect(sent["s7"]).To(BeNumerically("<", 3*hosts*each/n))
}

// Half of the region's servers are gone. Their work queues for the rest while
// another region idles; a queue that will not pass is left sooner.
func TestRegionShortOfServersLeavesSooner(t *testing.T) {
	g := NewWithT(t)
	all := servers(3, func(i int) (string, string) {
		return []string{"a1", "a1", "b1"}[i], []string{"a", "a", "b"}[i]
	})
	all[2].State.SetLoad(&server.Load{Received: start})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	fill(&all[0], 5)
	fill(&all[1], 5)
	s, err := p.Pick(info())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Region).To(Equal("a"))
	all[1].State.SetDown(true)
	s, err = p.Pick(info())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Region).To(Equal("b"))
}

// Two regions are full. No report of the other comes through, so its servers
// look idle to a host that has sent them nothing; without the safeguard each
// region sends its overload to the other, at the price of the billed bytes.
func TestUnknownLoadElsewhereDrawsNoSpill(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, func(i int) (string, string) {
		return []string{"a1", "b1"}[i], []string{"a", "b"}[i]
	})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	fill(&all[0], 6)
	s, err := p.Pick(info())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal("s0"))
	all[0].State.SetDown(true)
	s, err = p.Pick(info())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal("s1"), "better an unknown server than none")
}

// A pool stands in another region only, or its last server near by is lost. A
// host that counts only what others can spare takes such a pool for down and
// refuses every request, although the servers there would answer.
func TestPoolElsewhereIsNotDown(t *testing.T) {
	g := NewWithT(t)
	all := servers(2, func(i int) (string, string) {
		return []string{"a1", "b1"}[i], []string{"a", "b"}[i]
	})
	p := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all)
	g.Expect(p.Load(start).Slots).To(BeNumerically("==", 4), "what the other can spare is unknown")
	all[0].State.RecordOutcome(start, server.Unreachable, 0)
	g.Expect(p.Load(start).Slots).To(BeNumerically("==", 4))
	only := NewLocalityPicker(DefaultOptions("h", "a1", "a"), all[1:])
	g.Expect(only.Load(start).Slots).To(BeNumerically("==", 4))
	all[1].State.RecordOutcome(start, server.Unreachable, 0)
	g.Expect(only.Load(start).Slots).To(BeZero())
}
