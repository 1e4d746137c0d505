// Package rendezvous assigns keys to entry hosts by rendezvous hashing. Hosts with the same
// list of names compute the same assignment without messages, and a host that joins or
// leaves changes only the keys that it gets or had.
package rendezvous

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name, for the functions of this package.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Combine hashes two numbers into one.
func Combine(a, b uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], a)
	binary.LittleEndian.PutUint64(bytes[8:], b)
	return xxhash.Sum64(bytes[:])
}

// hashAll returns the hashes of some names.
func hashAll(names []string) []uint64 {
	out := make([]uint64, len(names))
	for i, name := range names {
		out[i] = Hash(name)
	}
	return out
}

// Owner returns the index of the host that owns the key, and -1 if there is no host. hosts
// are the hashes of the hosts' names.
func Owner(hosts []uint64, key uint64) int {
	best, highest := -1, uint64(0)
	for i, host := range hosts {
		if h := Combine(host, key); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// UnitOwners returns the hosts that own any of the given number of units of a key, each once, in
// the order of hosts.
func UnitOwners(hosts []string, key uint64, units int) []string {
	hashes := hashAll(hosts)
	owns := make([]bool, len(hosts))
	for unit := range units {
		if i := Owner(hashes, Combine(key, uint64(unit))); i >= 0 {
			owns[i] = true
		}
	}
	var out []string
	for i, host := range hosts {
		if owns[i] {
			out = append(out, host)
		}
	}
	return out
}

// OwnedUnits returns how many of the given number of units of a key the host self owns; 0 if it
// is not among the hosts. Each unit belongs to one host.
func OwnedUnits(self string, hosts []string, key uint64, units int) int {
	selfIndex := slices.Index(hosts, self)
	if selfIndex < 0 {
		return 0
	}
	hashes := hashAll(hosts)
	owned := 0
	for unit := range units {
		if Owner(hashes, Combine(key, uint64(unit))) == selfIndex {
			owned++
		}
	}
	return owned
}
