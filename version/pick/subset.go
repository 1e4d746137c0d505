package pick

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns at most n of t for the named host, by rendezvous hashing.
// Without it every host would keep connections and reports for every server:
// hosts times servers. Each host's choice is stable, a server that comes or goes
// moves only its own part, and over many hosts every server is chosen about
// equally often.
func subset(host string, t tier, n int) tier {
	if len(t) <= n {
		return t
	}
	h := xxhash.Sum64String(host)
	sorted := slices.Clone(t)
	slices.SortFunc(sorted, func(a, b *Server) int {
		return cmp.Compare(mix(h, xxhash.Sum64String(b.Address)), mix(h, xxhash.Sum64String(a.Address)))
	})
	return sorted[:n]
}

// mix combines two hashes so that every bit of both counts.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd1b54a32d192ed03)
	return hi ^ lo
}
