package member

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
)

// Rank orders hosts for a key by rendezvous hashing: every host that knows the
// same hosts gets the same order, and a host that comes or goes moves only the
// keys it is first for. hosts is sorted in place and returned.
func Rank(key string, hosts []string) []string {
	sort.Slice(hosts, func(i, j int) bool { return before(key, hosts[i], hosts[j]) })
	return hosts
}

// Place returns the index that host has in Rank, without sorting.
func RankIndex(key, host string, hosts []string) int {
	place := 0
	for _, other := range hosts {
		if other != host && before(key, other, host) {
			place++
		}
	}
	return place
}

func before(key, a, b string) bool {
	if sa, sb := score(key, a), score(key, b); sa != sb {
		return sa > sb
	}
	return a < b
}

// score hashes both halves by themselves first, so that no key and host can be
// taken for another pair.
func score(key, host string) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	binary.BigEndian.PutUint64(pair[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(pair[:])
}

// Domain returns the names of the hosts of domain that are not gone, with self
// if it stands there.
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

// First reports whether self is among the first n of its domain for key.
func IsOwner(v View, self peer.Identity, key string, n int) bool {
	return RankIndex(key, self.Host, HostsInDomain(v, self, self.Domain)) < n
}

// targets returns whom self sends heartbeats to: a few hosts at fixed distances
// on the hashed ring of its domain, and a few links to each other domain. The number does
// not grow with the hosts of a domain, and every host of a domain with at
// least two is watched by its predecessors.
func targets(self peer.Identity, peers []Peer, successors, links int) []string {
	domains := map[string][]string{self.Domain: {self.Host}}
	for _, p := range peers {
		if p.State != Gone {
			domains[p.Domain] = append(domains[p.Domain], p.Host)
		}
	}
	out := ring(self.Host, domains[self.Domain], successors)
	for domain, hosts := range domains {
		if domain == self.Domain {
			continue
		}
		out = append(out, across(self, domain, domains[self.Domain], hosts, links)...)
	}
	return out
}

func ring(self string, hosts []string, n int) []string {
	sort.Slice(hosts, func(i, j int) bool { return xxhash.Sum64String(hosts[i]) < xxhash.Sum64String(hosts[j]) })
	at := 0
	for i, h := range hosts {
		if h == self {
			at = i
		}
	}
	var out []string
	for _, step := range steps(len(hosts), n) {
		out = append(out, hosts[(at+step)%len(hosts)])
	}
	return out
}

// steps returns the n distances on a ring of size hosts at which a host's
// targets stand: 1 and roughly equal powers up to size. Neighbours alone would
// pass news on along the ring, in rounds that grow with its size; with powers
// they grow with its logarithm.
func steps(size, n int) []int {
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

// across returns the target in another domain, if self is one of the hosts
// that keep the links between the two domains.
func across(self peer.Identity, domain string, own, theirs []string, links int) []string {
	pair := self.Domain + "\x00" + domain
	if domain < self.Domain {
		pair = domain + "\x00" + self.Domain
	}
	sources, sinks := Rank(pair, append([]string(nil), own...)), Rank(pair, theirs)
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
