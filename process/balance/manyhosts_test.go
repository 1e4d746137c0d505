package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// manyHosts returns a simulation of 71 hosts with 240 requests a second in all and six servers of six
// slots, so that a host gets a response of each about every two seconds.
func manyHosts() *simulation {
	s := &simulation{
		hosts: 71, perSecond: 240, duration: 20 * time.Second, mayRepeat: 0.3, reportsLoad: true, tellEachOther: true, seed: 1,
		work: about(20 * time.Millisecond),
	}
	for range 6 {
		s.servers = append(s.servers, &simServer{slots: 6, slowdown: usualSpeed})
	}
	return s
}

// twoSlow makes two of the servers slow from the fifth to the twelfth second.
func (s *simulation) twoSlow() {
	for _, i := range []int{0, 5} {
		s.servers[i].slowdown = slowAt(func(at time.Duration) bool { return at > 5*time.Second && at < 12*time.Second })
	}
}

// sentBytes returns the mean of the bytes that a host has sent and received a second.
func (s *simulation) sentBytes() float64 {
	var sum int64
	for _, name := range s.names {
		_, bytes := s.network.Traffic(name)
		sum += bytes
	}
	return float64(sum) / s.duration.Seconds() / float64(s.hosts)
}

// countFirst returns how many of the requests that arrived in a time the first server got.
func (s *simulation) countFirst(from, to time.Duration) *int {
	count := new(int)
	before := s.onResponse
	s.onResponse = func(r *simRequest, at time.Duration) {
		if r.server == 0 && r.arrivedAt >= from && r.arrivedAt < to {
			*count++
		}
		if before != nil {
			before(r, at)
		}
	}
	return count
}

// Guards against hosts that each have to find out by themselves that a server is slow or well: each sees
// too few responses. The messages stay below 1 KB a second and host.
func TestManyHostsLearnTogether(t *testing.T) {
	g := NewWithT(t)
	s := manyHosts()
	s.twoSlow()
	slow, well := s.countFirst(8*time.Second, 12*time.Second), s.countFirst(16*time.Second, 20*time.Second)
	s.run()
	alone := manyHosts()
	alone.twoSlow()
	alone.tellEachOther = false
	slowAlone := alone.countFirst(8*time.Second, 12*time.Second)
	alone.run()
	t.Logf("over 90 ms: %.1f %%, %d requests to a slow server; alone %.1f %%, %d; %.0f B/s a host", 100*s.over(90*time.Millisecond), *slow,
		100*alone.over(90*time.Millisecond), *slowAlone, s.sentBytes())
	g.Expect(s.over(90 * time.Millisecond)).To(BeNumerically("<", 0.04))
	g.Expect(*slow).To(BeNumerically("~", 20, 18), "a few, of 960")
	g.Expect(*slow).To(BeNumerically("<", *slowAlone/2))
	g.Expect(*well).To(BeNumerically(">", 100), "of 960")
	g.Expect(s.sentBytes()).To(BeNumerically("<", 1024))
}

// Guards against messages while no server is slow; where one request in ten takes eight times as long,
// almost none once the hosts have seen how much requests differ.
func TestHostsSendNothingWhileNoServerIsSlow(t *testing.T) {
	g := NewWithT(t)
	s := manyHosts()
	s.run()
	g.Expect(s.sentBytes()).To(BeZero())
	s = manyHosts()
	s.work = func(r *rand.Rand) time.Duration {
		if r.IntN(10) == 0 {
			return 160 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	s.duration = 60 * time.Second
	learning := 0.0
	s.at(20*time.Second, func(time.Duration) { learning = s.sentBytes() * 3 })
	s.run()
	settled := (s.sentBytes()*3 - learning) / 2
	t.Logf("with hard requests %.0f B/s a host in the first 20 s, %.0f then", learning, settled)
	g.Expect(learning).To(BeNumerically("<", 1024))
	g.Expect(settled).To(BeNumerically("<", 100))
}

// All servers take five times as long for some seconds. Guards against hosts that tell each other that
// servers are slow, each of the few that it got responses of, until all of them are.
func TestAllServersSlowAtOnceIsToldByNoHost(t *testing.T) {
	for _, servers := range []int{6, 60} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			g := NewWithT(t)
			s := manyHosts()
			s.servers = nil
			for range servers {
				s.servers = append(s.servers, &simServer{slots: 16, slowdown: slowAt(func(at time.Duration) bool { return at > 8*time.Second && at < 14*time.Second })})
			}
			known, slow := 0, 0
			s.onResponse = func(r *simRequest, at time.Duration) {
				for i := range s.servers {
					if at > 8*time.Second {
						known++
						if s.listed(r.host, i).Speed.Slow() {
							slow++
						}
					}
				}
			}
			s.run()
			t.Logf("slow: %.2f %%", 100*float64(slow)/float64(known))
			g.Expect(slow).To(BeNumerically("<", known/50))
		})
	}
}

// Guards against hosts that depend on being told: one of three is cut off from the others, and learns
// from its own responses.
func TestHostThatHearsNothingUsesItsOwnMeasurements(t *testing.T) {
	g := NewWithT(t)
	s := manyHosts()
	s.hosts = 3
	s.twoSlow()
	s.partitioned = 1
	fromCutOff, all := 0, 0
	s.onResponse = func(r *simRequest, _ time.Duration) {
		if r.arrivedAt > 8*time.Second && r.arrivedAt < 12*time.Second && r.host == 0 {
			all++
			if r.server == 0 || r.server == 5 {
				fromCutOff++
			}
		}
	}
	s.run()
	g.Expect(all).To(BeNumerically(">", 200))
	g.Expect(fromCutOff).To(BeNumerically("<", all/10))
}

// Guards against learning that fails because some hosts are of a build without it: a third refuses the
// messages, and the others learn from each other.
func TestHostsOfTheBuildBeforeArePassedBy(t *testing.T) {
	g := NewWithT(t)
	s := manyHosts()
	s.twoSlow()
	s.ofBuildBefore = 23
	sent, toSlow := 0, 0
	s.onResponse = func(r *simRequest, _ time.Duration) {
		if r.arrivedAt > 9*time.Second && r.arrivedAt < 12*time.Second && r.host >= s.ofBuildBefore {
			sent++
			if r.server == 0 || r.server == 5 {
				toSlow++
			}
		}
	}
	s.run()
	g.Expect(sent).To(BeNumerically(">", 400))
	g.Expect(toSlow).To(BeNumerically("<", sent/10))
}

// Guards against all hosts choosing the same of several servers that look equal to each of them.
func TestHostsChooseDifferentServersOfEqualCost(t *testing.T) {
	g := NewWithT(t)
	s := manyHosts()
	s.run()
	for _, server := range s.servers {
		g.Expect(server.served).To(BeNumerically("~", 800, 300), "of 4,800")
	}
}
