package membership

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
)

// Rank orders hosts for a key by rendezvous hashing: every host that knows the
// same hosts computes the same order, and a host that joins or leaves moves only
// the keys for which it is first. hosts is sorted in place and returned.
func Rank(key string, hosts []string) []string {
	sort.Slice(hosts, func(i, j int) bool { return ranksBefore(key, hosts[i], hosts[j]) })
	return hosts
}

// RankIndex returns the index of host in Rank(key, hosts) without sorting.
func RankIndex(key, host string, hosts []string) int {
	index := 0
	for _, other := range hosts {
		if other != host && ranksBefore(key, other, host) {
			index++
		}
	}
	return index
}

// ranksBefore reports whether host a is before host b in the order for key.
func ranksBefore(key, a, b string) bool {
	if sa, sb := score(key, a), score(key, b); sa != sb {
		return sa > sb
	}
	return a < b
}

// score returns the rendezvous hash of a key and a host; the highest is first. It
// hashes key and host separately first, so that different pairs with the
// same concatenation get different scores.
func score(key, host string) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	binary.BigEndian.PutUint64(pair[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(pair[:])
}

// HostsInDomain returns the names of the hosts of a failure domain that are not
// gone, including self if it belongs to the domain.
func HostsInDomain(v View, self peer.Identity, domain string) []string {
	var out []string
	if self.Domain == domain {
		out = append(out, self.Host)
	}
	for _, p := range v.Peers() {
		if p.Domain == domain && p.State != Gone {
			out = append(out, p.Host)
		}
	}
	return out
}

// IsOwner reports whether self is one of the n owners of key: the first n hosts
// of its failure domain in the order of Rank.
func IsOwner(v View, self peer.Identity, key string, n int) bool {
	return RankIndex(key, self.Host, HostsInDomain(v, self, self.Domain)) < n
}

// heartbeatTargets returns the hosts to which self sends heartbeats: a few at
// fixed distances on the hash ring of its domain and, if self is one of the
// hosts that link two domains, one in the other domain. Their number does not
// grow with the hosts of a domain, and every host of a domain with at least two
// gets heartbeats from its predecessors on the ring. successors is the number of
// targets in the own domain, links that of the hosts that link two domains.
func heartbeatTargets(self peer.Identity, peers []Peer, successors, links int) []string {
	domains := map[string][]string{self.Domain: {self.Host}}
	for _, p := range peers {
		if p.State != Gone {
			domains[p.Domain] = append(domains[p.Domain], p.Host)
		}
	}
	out := ringTargets(self.Host, domains[self.Domain], successors)
	for domain, hosts := range domains {
		if domain == self.Domain {
			continue
		}
		out = append(out, crossDomainTarget(self, domain, domains[self.Domain], hosts, links)...)
	}
	return out
}

// ringTargets returns up to n successors of self on the ring of hosts, which it
// sorts by hash.
func ringTargets(self string, hosts []string, n int) []string {
	sort.Slice(hosts, func(i, j int) bool { return xxhash.Sum64String(hosts[i]) < xxhash.Sum64String(hosts[j]) })
	position := 0
	for i, h := range hosts {
		if h == self {
			position = i
		}
	}
	var out []string
	for _, step := range ringSteps(len(hosts), n) {
		out = append(out, hosts[(position+step)%len(hosts)])
	}
	return out
}

// ringSteps returns the up to n distances between a host and its targets on a
// ring of size hosts: 1 and roughly geometric steps up to size. With neighbours
// only, the rounds that an update needs to reach all hosts would grow with the
// size of the ring; with geometric steps they grow with its logarithm.
func ringSteps(size, n int) []int {
	var out []int
	last := 0
	for i := range n {
		step := max(last+1, int(math.Round(math.Pow(float64(size), float64(i)/float64(n)))))
		if step >= size {
			break
		}
		out, last = append(out, step), step
	}
	return out
}

// crossDomainTarget returns the target in another domain, if self is one of the
// hosts that link the two domains, else nil.
func crossDomainTarget(self peer.Identity, domain string, ownHosts, otherHosts []string, links int) []string {
	pair := self.Domain + "\x00" + domain
	if domain < self.Domain {
		pair = domain + "\x00" + self.Domain
	}
	sources, sinks := Rank(pair, append([]string(nil), ownHosts...)), Rank(pair, otherHosts)
	for i, s := range sources {
		if i >= links {
			break
		}
		if s == self.Host {
			return []string{sinks[i%len(sinks)]}
		}
	}
	return nil
}
