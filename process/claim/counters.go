package claim

import "sync/atomic"

// CommitCounters count the committer's calls to the platform's object store.
type CommitCounters struct {
	// Reads and Writes count objects read and updates sent, Conflicts updates
	// refused because another host wrote first, LostResponses updates of unknown
	// outcome, Claims the claims requested by this host.
	Reads, Writes, Conflicts, LostResponses, Claims atomic.Int64
}

// Map returns the counts by the names used in the status page.
func (c *CommitCounters) Map() map[string]int64 {
	return map[string]int64{
		"reads": c.Reads.Load(), "writes": c.Writes.Load(), "conflicts": c.Conflicts.Load(), "lost": c.LostResponses.Load(), "claims": c.Claims.Load(),
	}
}
