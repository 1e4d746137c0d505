package serverspeed

import (
	"context"
	"fmt"
	"iter"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

var now = time.Unix(1000, 0)

// observe records n responses at a server with the full weight.
func observe(s *State, n int, relative float64, at time.Time) {
	for range n {
		s.Observe(relative, 1, 8, 1, at)
	}
}

// Guards against a server that counts as slow after one response, or that stays slow for long without
// any.
func TestOneResponseIsNoProofAndOldOnesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var s State
	observe(&s, 1, 8, now)
	g.Expect(s.Slow()).To(BeFalse(), "one response")
	observe(&s, 1, 1, now)
	g.Expect(s.Slow()).To(BeFalse(), "one of two")
	observe(&s, 3, 8, now)
	g.Expect(s.Slow()).To(BeTrue())
	g.Expect(s.Update(Conditions{Now: now, Hosts: 1})).To(BeTrue())
	g.Expect(s.Update(Conditions{Now: now, Hosts: 1})).To(BeFalse(), "told once")
	at := now.Add(12 * time.Second)
	g.Expect(s.Update(Conditions{Now: at, Hosts: 1})).To(BeTrue())
	g.Expect(s.Slow()).To(BeFalse())
}

// Guards against a judgement that changes back and forth around one threshold.
func TestJudgementHasHysteresis(t *testing.T) {
	g := NewWithT(t)
	var s State
	observe(&s, 20, 4, now)
	changes, slow := 0, true
	for i := range 200 {
		s.Observe([]float64{1.6, 2.2}[i%2], 1, 8, 1, now)
		if s.Slow() != slow {
			changes, slow = changes+1, !slow
		}
	}
	g.Expect(changes).To(BeZero())
}

// A server takes two requests at once well, of eight slots. Guards against taking it for one that is
// slow with any number of requests.
func TestRoomIsToldFromSpeed(t *testing.T) {
	g := NewWithT(t)
	var s State
	for i := range 200 {
		load := 1 + i%4
		s.Observe(math.Max(float64(load)/2, 1), load, 8, 1, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	f, unusual := s.Figures()
	g.Expect(unusual).To(BeTrue())
	g.Expect(f.RelativeTime).To(Equal(1.0))
	g.Expect(f.Room).To(BeNumerically("~", 0.35, 0.15))
}

// Guards against a queue of a server that counts as slowness of the server: four times as many requests
// as slots take four times as long.
func TestQueueIsNoSlowness(t *testing.T) {
	g := NewWithT(t)
	var s State
	for range 100 {
		s.Observe(4, 32, 8, 1, now)
	}
	_, unusual := s.Figures()
	g.Expect(unusual).To(BeFalse())
}

// Guards against a response that never comes and so says nothing of its server.
func TestOverdueResponse(t *testing.T) {
	g := NewWithT(t)
	var s State
	g.Expect(s.Overdue(now)).To(BeZero())
	s.RecordSent(now, now.Add(100*time.Millisecond))
	g.Expect(s.Overdue(now.Add(90 * time.Millisecond))).To(BeZero())
	g.Expect(s.Overdue(now.Add(150 * time.Millisecond))).To(Equal(50 * time.Millisecond))
	s.RecordSent(now.Add(150*time.Millisecond), now.Add(250*time.Millisecond))
	g.Expect(s.Overdue(now.Add(160*time.Millisecond))).To(Equal(60*time.Millisecond), "another request changes nothing")
	s.RecordAwaited(now.Add(300 * time.Millisecond))
	g.Expect(s.Overdue(now.Add(250 * time.Millisecond))).To(BeZero())
	s.RecordAwaited(time.Time{})
	g.Expect(s.Overdue(now.Add(time.Hour))).To(BeZero(), "none is awaited")
	s.RecordSent(now, time.Time{})
	g.Expect(s.Overdue(now.Add(time.Hour))).To(BeZero(), "not known how long it takes")
}

// A server hangs with several requests, of which one fails at its timeout, or as its client leaves. Guards
// against a server that is not overdue any more for that.
func TestFailedAttemptLeavesOthersOverdue(t *testing.T) {
	g := NewWithT(t)
	var s State
	for range 3 {
		s.RecordSent(now, now.Add(100*time.Millisecond))
	}
	s.RecordAwaited(time.Time{})
	g.Expect(s.Overdue(now.Add(150 * time.Millisecond))).To(Equal(50 * time.Millisecond))
	s.RecordAwaited(now.Add(200 * time.Millisecond))
	g.Expect(s.Overdue(now.Add(150*time.Millisecond))).To(BeZero(), "it has responded")
	s.RecordAwaited(time.Time{})
	g.Expect(s.Overdue(now.Add(time.Hour))).To(BeZero(), "none is awaited")
	s.RecordSent(now, time.Time{})
	g.Expect(s.Overdue(now.Add(time.Hour))).To(BeZero(), "not known how long it takes")
}

// Guards against all servers of a service that count as slow because all of them tell it.
func TestToldFiguresAreRelativeToTheService(t *testing.T) {
	g := NewWithT(t)
	var told Told
	servers := make([]State, 3)
	tell := func(i int, figure float64, at time.Time) { servers[i].Tell(told.Relative("s", figure), at) }
	for i := range 200 {
		tell(i%3, 2.5, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	at := now.Add(2 * time.Second)
	for i := range servers {
		servers[i].Update(Conditions{Now: at, Hosts: 1})
		g.Expect(servers[i].Slow()).To(BeFalse())
	}
	for i := range 60 {
		tell(i%3, []float64{12, 2.5, 2.5}[i%3], at)
	}
	g.Expect(servers[0].Slow()).To(BeTrue())
	g.Expect(servers[1].Slow()).To(BeFalse())
	servers[0].Update(Conditions{Now: at.Add(maxToldAge + time.Millisecond), Hosts: 1})
	g.Expect(servers[0].Slow()).To(BeFalse(), "it is old")
}

// Guards against a server that is judged by each figure that it tells: they change many times a second
// around the usual one.
func TestFiguresThatChangeQuicklyAreAveraged(t *testing.T) {
	g := NewWithT(t)
	var s State
	at := now
	for i := range 500 {
		at = at.Add(10 * time.Millisecond)
		s.Tell([]float64{0.25, 4, 0.3, 3.5}[i%4], at)
		g.Expect(s.Slow()).To(BeFalse())
	}
	for range 30 {
		at = at.Add(10 * time.Millisecond)
		s.Tell(4, at)
	}
	g.Expect(s.Slow()).To(BeTrue())
}

// cluster is a few hosts that know one server each by their own state.
type cluster struct {
	names     []string
	network   *peertest.Network
	clock     *clock.Manual
	exchanges []*Exchange
	states    []*State
	servers   []Server // as each host lists it
}

// newCluster returns n hosts.
func newCluster(n int) *cluster {
	c := &cluster{network: peertest.NewNetwork(), clock: clock.NewManual(now)}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("host-", i))
		c.states, c.servers = append(c.states, &State{}), append(c.servers, Server{ID: "server", StartedUnixMS: 1})
	}
	for i, name := range c.names {
		c.exchanges = append(c.exchanges, NewExchange(Options{
			Hosts: func() (string, []string) { return name, c.names },
			Servers: func() iter.Seq2[Server, *State] {
				return func(yield func(Server, *State) bool) { yield(c.servers[i], c.states[i]) }
			},
			Link: c.network.Join(peer.Identity{Host: name, Incarnation: 1}), Clock: c.clock,
		}))
	}
	return c
}

// tell lets all hosts tell what is new some times.
func (c *cluster) tell(times int) {
	for range times {
		for _, x := range c.exchanges {
			x.Tell(context.Background())
		}
		c.clock.Advance(Interval)
	}
}

// slow returns the hosts for which the server is slow.
func (c *cluster) slow() (out []int) {
	for i, s := range c.states {
		if s.Slow() {
			out = append(out, i)
		}
	}
	return out
}

// Guards against findings that do not reach all hosts, and against those that go round for ever.
func TestFindingsReachAllHostsOnce(t *testing.T) {
	for _, n := range []int{2, 3, 20, 71, 380} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(n)
			c.tell(1)
			observe(c.states[0], 8, 5, c.clock.Now())
			c.tell(8)
			g.Expect(c.slow()).To(HaveLen(n))
			c.tell(20)
			calls, _ := c.network.Traffic(c.names[0])
			c.tell(20)
			again, _ := c.network.Traffic(c.names[0])
			g.Expect(again).To(Equal(calls))
			for _, s := range c.states {
				s.Update(Conditions{Now: c.clock.Now().Add(maxHeardAge), Hosts: n})
			}
			g.Expect(c.slow()).To(BeEmpty())
		})
	}
}

// A server starts again at its address, and some hosts have not seen it in the list. Guards against
// findings about the process before that count for the new one.
func TestFindingsAboutAnEarlierProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	c.servers[1].StartedUnixMS = 2
	c.tell(1)
	observe(c.states[0], 8, 5, c.clock.Now())
	c.tell(5)
	g.Expect(c.slow()).To(Equal([]int{0, 2}))
}

// A host was suspended with findings that it has not passed on. Guards against old ones that count as
// new.
func TestOldFindingsAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4)
	c.tell(1)
	observe(c.states[0], 8, 5, c.clock.Now())
	c.exchanges[0].Tell(context.Background())
	c.clock.Advance(4 * time.Second)
	c.tell(3)
	told := 0
	for _, s := range c.states {
		told += s.Report(c.clock.Now()).HeardHosts
	}
	g.Expect(told).To(Equal(2), "the hosts that the first one tells itself")
}

// A host was suspended while it waited for responses. Guards against it telling the others that servers
// are slow.
func TestSuspendedHostTellsNothingOfThatTime(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3)
	c.tell(1)
	c.clock.Advance(3 * time.Second)
	observe(c.states[0], 8, 8, c.clock.Now())
	c.tell(3)
	g.Expect(c.slow()).To(Equal([]int{0}))
}

// A host was suspended while it waited for responses, which it handles before or after it first updates what
// it knows. Guards against servers that it, and those that it tells, take for slow for that time.
func TestResponsesOfASuspensionAreNotMeasured(t *testing.T) {
	for name, updatesFirst := range map[string]bool{"updates first": true, "responses first": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(3)
			var usual Usual
			respond := func(s *State, took time.Duration) {
				usual.Observe(s, Measurement{Took: took, Load: 1, Slots: 8, At: c.clock.Now()})
			}
			update := func() {
				for _, s := range c.states {
					s.Update(Conditions{Now: c.clock.Now(), Hosts: 3})
				}
				c.tell(1)
			}
			update()
			for range 20 {
				respond(&State{}, 20*time.Millisecond)
			}
			c.clock.Advance(3 * time.Second)
			if updatesFirst {
				update()
			}
			for range 8 {
				respond(c.states[0], 3*time.Second)
			}
			usual.ObserveAtLeast(c.states[0], Measurement{Took: 3 * time.Second, Load: 1, Slots: 8, At: c.clock.Now()})
			for range 4 {
				update()
			}
			g.Expect(c.slow()).To(BeEmpty())
			for range 4 {
				respond(c.states[0], 200*time.Millisecond)
			}
			g.Expect(c.slow()).To(Equal([]int{0}), "it is measured again")
		})
	}
}

// Several responses in a row come from one server: it has most of the requests of a kind. Guards against one
// slow server that makes all count as slow, so that none is told from the others, and against a service of
// one server that is slower than itself.
func TestResponsesOfOneServerDoNotTellOfAll(t *testing.T) {
	for name, c := range map[string]struct {
		servers int     // that respond at first
		slow    []int   // servers of the responses that then take five times as long, in turn
		fast    bool    // and a server between them responds as before
		common  float64 // log of the factor for all
	}{
		"one of two":                    {servers: 2, slow: []int{0}},
		"one of two, the other as ever": {servers: 2, slow: []int{0, 0, 0, 0, 0}, fast: true},
		"both":                          {servers: 2, slow: []int{0, 1}, common: math.Log(5)},
		"both, most of one":             {servers: 2, slow: []int{0, 0, 0, 0, 0, 1}, common: math.Log(5)},
		"the only one":                  {servers: 1, slow: []int{0}, common: math.Log(5)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var usual Usual
			states := make([]State, 2)
			at := now
			respond := func(i int, took time.Duration) {
				at = at.Add(10 * time.Millisecond)
				usual.Observe(&states[i], Measurement{Took: took, Load: 1, Slots: 8, At: at})
			}
			for i := range 40 {
				respond(i%c.servers, 95*time.Millisecond) // 100 ms with jitter
			}
			for i := range 12 {
				respond(c.slow[i%len(c.slow)], 495*time.Millisecond)
				if c.fast && i%len(c.slow) == len(c.slow)-1 {
					respond(1, 95*time.Millisecond)
				}
			}
			common, known := usual.common(at)
			g.Expect(known).To(BeTrue())
			g.Expect(common).To(BeNumerically("~", c.common, 0.2))
		})
	}
}

// A host was suspended, and handles messages that have waited for it before it calls Tell again. Guards against
// findings of some seconds ago that count as of now, and that it passes on.
func TestFindingsThatWaitedForASuspendedHostAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.tell(1)
	observe(c.states[0], 8, 5, c.clock.Now())
	f, isNew := c.states[0].news(c.clock.Now())
	g.Expect(isNew).To(BeTrue())
	f.Server, f.Origin = c.servers[0].hash(), c.exchanges[0].self
	payload, err := peer.Marshal([]Finding{f})
	g.Expect(err).NotTo(HaveOccurred())
	receive := func() {
		_, err := c.exchanges[1].onFindings(context.Background(), peer.Identity{}, payload)
		g.Expect(err).NotTo(HaveOccurred())
	}
	c.clock.Advance(10 * time.Second)
	receive()
	g.Expect(c.slow()).To(Equal([]int{0}))
	c.tell(1)
	receive()
	g.Expect(c.slow()).To(Equal([]int{0, 1}), "it hears again")
}

// Guards against a finding that is held to be passed on and keeps its weight meanwhile.
func TestHeldFindingsLoseWeight(t *testing.T) {
	g := NewWithT(t)
	f := Finding{TimeWeight: 80, RoomWeight: 40, AgeMS: 100}
	g.Expect(f.older(0)).To(Equal(f))
	g.Expect(f.older(evidenceHalfLife)).To(Equal(Finding{TimeWeight: 40, RoomWeight: 20, AgeMS: 2100}))
	g.Expect(f.older(-time.Second)).To(Equal(f))
}

// A host's way to a server loses packets, others reach it well. Guards against the word of one host that
// outweighs what the others measure.
func TestOneHostDoesNotOutweighOthers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(6)
	for range 20 {
		observe(c.states[0], 2, 8, c.clock.Now())
		for _, s := range c.states[1:] {
			observe(s, 2, 1, c.clock.Now())
		}
		c.tell(1)
		for i, s := range c.states {
			s.Update(Conditions{Now: c.clock.Now(), Hosts: 6})
			g.Expect(i > 0 && s.Slow()).To(BeFalse())
		}
	}
}

// Guards against a message that another build, or a fault, fills with anything.
func TestFindingsOfAnyContentAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		for range 20 {
			s.hear(Finding{
				Origin: rapid.Uint32().Draw(t, "origin"), Time: rapid.Int16().Draw(t, "time"), TimeWeight: rapid.Uint8().Draw(t, "weight"),
				Room: rapid.Int16().Draw(t, "room"), RoomWeight: rapid.Uint8().Draw(t, "room weight"), AgeMS: rapid.Uint16().Draw(t, "age"),
			}, now)
		}
		f, _ := s.Figures()
		if !(f.RelativeTime >= 1./8 && f.RelativeTime <= 8.1 && f.Room > 0 && f.Room <= 1) || len(s.heard) > maxHeard {
			t.Fatalf("%+v of %d hosts", f, len(s.heard))
		}
	})
}

// Guards against messages above the bound of 1 KB a second.
func TestMessagesAreSmall(t *testing.T) {
	g := NewWithT(t)
	f := Finding{Server: math.MaxUint64, Origin: math.MaxUint32, Time: -208, TimeWeight: 80, Room: -208, RoomWeight: 80, AgeMS: math.MaxUint16}
	payload, err := peer.Marshal(slices.Repeat([]Finding{f}, maxFindings))
	g.Expect(err).NotTo(HaveOccurred())
	perSecond := float64(len(payload)*fanout) / Interval.Seconds()
	t.Logf("%d B a message, %.0f B/s at most", len(payload), perSecond)
	g.Expect(perSecond).To(BeNumerically("<=", 1024))
}
