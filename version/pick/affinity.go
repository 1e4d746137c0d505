package pick

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt decides where it is cached.
const PrefixBytes = 256

// Prefix returns the affinity of a prompt: the hash of its start, never 0.
func PrefixHash(body []byte) uint64 {
	return max(1, xxhash.Sum64(body[:min(len(body), PrefixBytes)]))
}

// cached returns the server that the prefix belongs to, if it has a free slot
// and is not far above the mean of its tier. Cache events come late and with
// gaps, so the place of a prefix is decided by rendezvous hashing alone: every
// host finds the same server without being told, and a prefix that is in high
// demand spills to others instead of making its server a hot spot.
func (p *LocalityPicker) cached(t tier, info *Attempt) (*Server, float64) {
	var best *Server
	var rank uint64
	for _, s := range t {
		if r := mix(info.PrefixHash, s.State.Hash()); (best == nil || r > rank) && p.usable(t, s, info) {
			best, rank = s, r
		}
	}
	if best == nil {
		return nil, 0
	}
	load := p.load(best, info.Now)
	if load >= p.opts.SpilloverLoad || load > p.bound(t, best, info) {
		return nil, 0
	}
	return best, load
}

// bound returns the load up to which best may take requests for its prefixes.
func (p *LocalityPicker) bound(t tier, best *Server, info *Attempt) float64 {
	var sum, n float64
	for _, s := range t {
		if p.usable(t, s, info) {
			sum += p.load(s, info.Now)
			n++
		}
	}
	return p.opts.MaxAffinityLoadFactor*sum/n + 1/best.capacity()
}
