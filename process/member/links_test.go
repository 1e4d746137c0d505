package member

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// Heartbeats between all hosts would be 380 x 379 a second. The links of one
// host must not grow with the fleet, while each host is still watched by three
// others of its domain and each pair of domains keeps its links.
func TestLinksDoNotGrowWithHosts(t *testing.T) {
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
			watched, crossing := map[string]int{}, map[[2]string]int{}
			domainOf := map[string]string{}
			for _, p := range all {
				domainOf[p.Host] = p.Domain
			}
			for _, p := range all {
				others := slices.DeleteFunc(slices.Clone(all), func(o Peer) bool { return o.Host == p.Host })
				for _, to := range targets(p.Identity, others, successors, links) {
					if domainOf[to] == p.Domain {
						watched[to]++
					} else {
						crossing[[2]string{p.Domain, domainOf[to]}]++
					}
				}
			}
			for _, p := range all {
				g.Expect(watched[p.Host]).To(Equal(min(successors, perDomain-1)), p.Host)
			}
			g.Expect(crossing).To(HaveLen(domains * (domains - 1)))
			for pair, n := range crossing {
				g.Expect(n).To(Equal(links), "%v", pair)
			}
		})
	}
}
