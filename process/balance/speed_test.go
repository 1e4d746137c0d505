package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowFactor is how much longer work takes at the slow servers of these tests.
const slowFactor = 5

// threeServers returns a simulation of one host with 140 requests a second and three servers that take
// 100 each, with a number of slots.
func threeServers(slots int, seed uint64) *simulation {
	s := &simulation{
		hosts: 1, perSecond: 140, duration: 8 * time.Second, mayRepeat: 0.5, seed: seed,
		work: about(time.Duration(slots) * 10 * time.Millisecond),
	}
	for range 3 {
		s.servers = append(s.servers, &simServer{slots: slots, slowdown: usualSpeed})
	}
	return s
}

// slowAt is a slowdown for the times for which slow returns true.
func slowAt(slow func(at time.Duration) bool) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if slow(at) {
			return slowFactor
		}
		return 1
	}
}

// shareOver runs a simulation with some seeds, with and without load reports, and returns the share of
// the requests that took over 200 ms.
func shareOver(slots int, change func(*simulation)) float64 {
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		s := threeServers(slots, seed)
		s.reportsLoad = seed%2 == 0
		change(s)
		s.run()
		sum += s.over(200 * time.Millisecond)
	}
	return sum / seeds
}

// Guards against callers who wait at a server that takes five times as long as the others, which have
// room for all requests: always, in turns of two seconds, or once more than a quarter of its slots are
// in use.
func TestFewRequestsWaitAtASlowServer(t *testing.T) {
	for name, change := range map[string]func(*simulation){
		"always slow": func(s *simulation) { s.servers[0].slowdown = slowAt(func(time.Duration) bool { return true }) },
		"slow in turns": func(s *simulation) {
			s.servers[0].slowdown = slowAt(func(at time.Duration) bool { return at/(2*time.Second)%2 == 0 })
		},
		"slow and well by the half second": func(s *simulation) {
			s.servers[0].slowdown = slowAt(func(at time.Duration) bool { return at/(500*time.Millisecond)%2 == 0 })
		},
		"a quarter of the room": func(s *simulation) { s.servers[0].stretch = max(s.servers[0].slots/4, 1) },
	} {
		for _, slots := range []int{2, 4, 8} {
			t.Run(fmt.Sprintf("%s, %d slots", name, slots), func(t *testing.T) {
				g := NewWithT(t)
				over := shareOver(slots, change)
				without := shareOver(slots, func(s *simulation) { change(s); s.withoutSpeed = true })
				t.Logf("over 200 ms: %.1f %%, without figures %.1f %%", 100*over, 100*without)
				g.Expect(over).To(BeNumerically("<", 0.05))
				g.Expect(over).To(BeNumerically("<", max(0.6*without, 0.005)), "few wait without figures, or much fewer with them")
			})
		}
	}
}

// The slow server is another one every two seconds. Guards against a server that is avoided for long
// after it is well, while the one that is slow now gets its requests.
func TestSlownessThatMovesIsFollowed(t *testing.T) {
	g := NewWithT(t)
	over := shareOver(4, func(s *simulation) {
		for i, server := range s.servers {
			server.slowdown = slowAt(func(at time.Duration) bool { return int(at/(2*time.Second)%3) == i })
		}
	})
	g.Expect(over).To(BeNumerically("<", 0.05))
}

// Guards against a server that gets few requests for long after it is well again.
func TestServerThatIsWellAgainGetsRequests(t *testing.T) {
	g := NewWithT(t)
	s := threeServers(4, 1)
	s.duration = 10 * time.Second
	s.servers[0].slowdown = slowAt(func(at time.Duration) bool { return at < 4*time.Second })
	slow, well := 0, 0
	s.onResponse = func(r *simRequest, _ time.Duration) {
		switch {
		case r.server != 0:
		case r.arrivedAt > 2*time.Second && r.arrivedAt < 4*time.Second:
			slow++
		case r.arrivedAt > 7*time.Second && r.arrivedAt < 9*time.Second:
			well++
		}
	}
	s.run()
	g.Expect(slow).To(BeNumerically("<", 20), "of 280")
	g.Expect(well).To(BeNumerically(">", 60), "of 280")
}

// Guards against trials of a slow server by requests that must not run twice, while there are others.
func TestSlowServerIsTriedByRequestsThatMayBeRepeated(t *testing.T) {
	g := NewWithT(t)
	s := threeServers(4, 1)
	s.servers[0].slowdown = slowAt(func(time.Duration) bool { return true })
	repeatable, other := 0, 0
	s.onResponse = func(r *simRequest, _ time.Duration) {
		if r.server == 0 && r.arrivedAt > 2*time.Second {
			if r.mayRepeat {
				repeatable++
			} else {
				other++
			}
		}
	}
	s.run()
	g.Expect(repeatable).To(BeNumerically(">=", 5))
	g.Expect(other).To(BeNumerically("<=", repeatable/4))
}

// slowShare runs a simulation with some seeds and returns the share of the responses after which their
// server was known as slow.
func slowShare(perSecond float64, change func(*simulation)) float64 {
	responses, slow := 0, 0
	for seed := range uint64(5) {
		s := threeServers(8, seed)
		s.perSecond, s.duration = perSecond, 20*time.Second
		s.onResponse = func(r *simRequest, _ time.Duration) {
			responses++
			if s.listed(r.host, r.server).Speed.Slow() {
				slow++
			}
		}
		change(s)
		s.run()
	}
	return float64(slow) / float64(responses)
}

// Guards against servers that are taken for slow because all of them are.
func TestAllServersSlowAtOnceChangesNoRanking(t *testing.T) {
	g := NewWithT(t)
	share := slowShare(30, func(s *simulation) {
		for _, server := range s.servers {
			server.slowdown = slowAt(func(at time.Duration) bool { return at > 3*time.Second && at < 9*time.Second })
		}
	})
	t.Logf("%.3f", share)
	g.Expect(share).To(BeNumerically("<", 0.02))
}

// One request in six takes eight times as long, at whatever server. Guards against a server that loses
// requests because it got some of them by chance.
func TestHardRequestsDoNotCountAgainstAServer(t *testing.T) {
	g := NewWithT(t)
	share := slowShare(40, func(s *simulation) {
		s.work = func(r *rand.Rand) time.Duration {
			if r.IntN(6) == 0 {
				return 160 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
	})
	t.Logf("%.3f", share)
	g.Expect(share).To(BeNumerically("<", 0.01))
}

// All servers take twice as long with half of their slots in use, and four times with all of them, as
// engines do that share their time among requests. Guards against taking that for a fault of the busy
// ones: they would get fewer requests than without learning.
func TestLoadThatSlowsAllServersIsUsual(t *testing.T) {
	g := NewWithT(t)
	unusual, responses := 0, 0
	for seed := range uint64(4) {
		s := &simulation{hosts: 1, perSecond: 270, duration: 40 * time.Second, reportsLoad: true, seed: seed, work: about(40 * time.Millisecond)}
		for range 3 {
			s.servers = append(s.servers, &simServer{slots: 16, slowdown: usualSpeed, stretch: 4})
		}
		s.onResponse = func(r *simRequest, at time.Duration) {
			if at < 20*time.Second {
				return
			}
			responses++
			if _, is := s.listed(r.host, r.server).Speed.Figures(); is {
				unusual++
			}
		}
		s.run()
	}
	t.Logf("unusual: %d of %d", unusual, responses)
	g.Expect(unusual).To(BeNumerically("<", responses/50))
}

// Guards against a home server of a prefix that keeps its requests while it is slow, and against one
// that changes with each measurement: a prefix that is processed twice takes time of engines.
func TestSlowHomeServerLosesItsPrefixesUntilItIsWell(t *testing.T) {
	g := NewWithT(t)
	fleet := servers(4)
	q := Query{Servers: fleet, OneWayLatency: latencyFrom("x"), AffinityKey: "part", PrefixTokens: 5000, PrefillTimePerToken: prefillTimePerToken, Now: now, UsualTime: 100 * time.Millisecond}
	home := Choose(q)
	_, next := q.homeServers()
	changes, last := 0, home
	at := now
	step := func(relative float64) {
		at = at.Add(100 * time.Millisecond)
		home.Speed.Observe(relative, 1, 6, 1, at)
		q.Now = at
		if s := Choose(q); s != last {
			changes, last = changes+1, s
		}
	}
	for range 20 {
		step(slowFactor)
	}
	g.Expect(last).To(BeIdenticalTo(next), "all hosts name the same one")
	g.Expect(changes).To(Equal(1))
	for i := range 40 {
		step(1 + float64(i%3)/2) // between 1 and 2
	}
	g.Expect(last).To(BeIdenticalTo(home))
	g.Expect(changes).To(Equal(2))
}
