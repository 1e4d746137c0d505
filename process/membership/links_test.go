package membership

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// Heartbeats between all pairs of 380 hosts would be 380 x 379 a second. The
// heartbeat targets of a host must not grow with the number of hosts, while each
// host still gets heartbeats from three others of its domain and each pair of
// domains stays linked.
func TestHeartbeatTargetsDoNotGrowWithHosts(t *testing.T) {
	for _, perDomain := range []int{2, 6, 38} {
		t.Run(fmt.Sprint(perDomain), func(t *testing.T) {
			g := NewWithT(t)
			const domains, successors, links = 10, 3, 2
			var all []Peer
			for d := range domains {
				for i := range perDomain {
					all = append(all, Peer{Identity: peer.Identity{Host: fmt.Sprintf("h-%d-%d", d, i), Domain: fmt.Sprintf("d%d", d)}})
				}
			}
			inDomain, crossDomain := map[string]int{}, map[[2]string]int{}
			domainOf := map[string]string{}
			for _, p := range all {
				domainOf[p.Host] = p.Domain
			}
			for _, p := range all {
				others := slices.DeleteFunc(slices.Clone(all), func(o Peer) bool { return o.Host == p.Host })
				for _, to := range heartbeatTargets(p.Identity, others, successors, links) {
					if domainOf[to] == p.Domain {
						inDomain[to]++
					} else {
						crossDomain[[2]string{p.Domain, domainOf[to]}]++
					}
				}
			}
			for _, p := range all {
				g.Expect(inDomain[p.Host]).To(Equal(min(successors, perDomain-1)), p.Host)
			}
			g.Expect(crossDomain).To(HaveLen(domains * (domains - 1)))
			for pair, n := range crossDomain {
				g.Expect(n).To(Equal(links), "%v", pair)
			}
		})
	}
}
