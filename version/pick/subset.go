package pick

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns at most n servers of t for the named host, selected by rendezvous hashing.
// Without subsets every host would keep connections to and load reports of every server, whose
// total number grows with hosts times servers. The subset of a host is stable: a server that is
// added or removed changes only its own place in subsets. Over many hosts each server is
// selected about equally often.
func subset(host string, t tier, n int) tier {
	if len(t) <= n {
		return t
	}
	hostHash := xxhash.Sum64String(host)
	sorted := slices.Clone(t)
	slices.SortFunc(sorted, func(a, b *Server) int {
		return cmp.Compare(mixHashes(hostHash, xxhash.Sum64String(b.Address)), mixHashes(hostHash, xxhash.Sum64String(a.Address)))
	})
	return sorted[:n]
}

// mixHashes combines two hashes into one by the 128-bit product of both. The constants are
// arbitrary, but must be the same on all hosts, since pickByPrefix has to assign a prefix to the
// same server everywhere.
func mixHashes(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd1b54a32d192ed03)
	return hi ^ lo
}
