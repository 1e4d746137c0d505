package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequestIDs is the number of requests with IDs after which a connection is not kept, so that
// what it remembers stays small.
const maxRequestIDs = 1024

// requestIDs are the IDs of the requests that a connection has carried, as hashes. Two IDs with
// one hash cost another connection. It is not safe for concurrent use.
type requestIDs []uint64

// add adds an ID; an empty one is none.
func (s *requestIDs) add(id string) {
	if id != "" {
		*s = append(*s, xxhash.Sum64String(id))
	}
}

// contains reports whether an ID has been added.
func (s requestIDs) contains(id string) bool {
	return id != "" && slices.Contains(s, xxhash.Sum64String(id))
}

// full reports whether the connection must not carry any more.
func (s requestIDs) full() bool { return len(s) >= maxRequestIDs }
