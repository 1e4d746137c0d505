package claim

import "sync/atomic"

// CommitCounters count the committer's platform calls and conflicts.
type CommitCounters struct {
	Reads, Writes, Conflicts, LostResponses, Claims atomic.Int64
}

// Map returns the counts by name.
func (c *CommitCounters) Map() map[string]int64 {
	return map[string]int64{
		"reads": c.Reads.Load(), "writes": c.Writes.Load(), "conflicts": c.Conflicts.Load(), "lost": c.LostResponses.Load(), "claims": c.Claims.Load(),
	}
}
