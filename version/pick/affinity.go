package pick

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix, in bytes, that is hashed for prefix
// affinity.
const PrefixBytes = 256

// PrefixHash returns the hash of the first PrefixBytes bytes of a prompt. It is never 0,
// which in Attempt.PrefixHash means that there is no prefix.
func PrefixHash(body []byte) uint64 {
	return max(1, xxhash.Sum64(body[:min(len(body), PrefixBytes)]))
}

// pickByPrefix returns the server that the attempt's prefix hash is assigned to, and its
// load. It returns nil if that server has no free slot or its load is far above the mean of
// the tier. Cache events arrive late and with gaps, so prefixes are assigned to servers by
// rendezvous hashing alone: all hosts compute the same server without communication. The
// bound on the load keeps a frequent prefix from overloading its server: the excess requests
// go to other servers.
func (p *LocalityPicker) pickByPrefix(t tier, attempt *Attempt) (*Server, float64) {
	var best *Server
	var highest uint64
	for _, s := range t {
		if r := mixHashes(attempt.PrefixHash, s.State.Hash()); (best == nil || r > highest) && p.usable(t, s, attempt) {
			best, highest = s, r
		}
	}
	if best == nil {
		return nil, 0
	}
	load := p.load(best, attempt.Now)
	if load >= p.opts.SpilloverLoad || load > p.maxAffinityLoad(t, best, attempt) {
		return nil, 0
	}
	return best, load
}

// maxAffinityLoad returns the load up to which server best of the tier receives requests for
// the prefixes assigned to it: MaxAffinityLoadFactor times the mean load of the tier's usable
// servers, plus one request.
func (p *LocalityPicker) maxAffinityLoad(t tier, best *Server, attempt *Attempt) float64 {
	var sum, n float64
	for _, s := range t {
		if p.usable(t, s, attempt) {
			sum += p.load(s, attempt.Now)
			n++
		}
	}
	return p.opts.MaxAffinityLoadFactor*sum/n + 1/best.capacity()
}
