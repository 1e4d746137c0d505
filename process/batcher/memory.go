package batcher

import (
	"time"

	"bilberrydale/process/directory"
)

// memoryFillShare is the fraction of the configured result memory that is used, because
// result sizes are approximate.
const memoryFillShare = 0.96

// resultMemory returns the usable result memory of a server in bytes: memoryFillShare of the
// configured memory, or the learned limit if that is lower; 0: unlimited.
func (q *Queue) resultMemory(s *server) int64 {
	limit := int64(memoryFillShare * float64(q.opts.ResultMemoryBytes))
	if s.memoryLimit > 0 {
		limit = min(limit, s.memoryLimit)
	}
	return limit
}

// ResultsReleased records that a server has released results of the given total size.
func (q *Queue) ResultsReleased(serverID string, bytes int64) {
	s := q.servers[serverID]
	if s == nil {
		return
	}
	s.fullUntil = time.Time{}
	for bytes > 0 && len(s.results) > 0 {
		oldest := &s.results[0]
		part := min(bytes, oldest.bytes)
		oldest.bytes -= part
		bytes -= part
		if oldest.bytes == 0 {
			s.results = s.results[1:]
		}
	}
}

const (
	// probeInterval is the pause between probes of a server that holds results which this
	// queue did not produce; they expire within seconds.
	probeInterval = 250 * time.Millisecond
	// minForeignShare is the fraction of the configured memory below which a discrepancy
	// is not attributed to results that this queue did not produce: sizes are approximate, and a
	// server's reports are some hundred milliseconds old.
	minForeignShare = 0.15
)

// probeAfterIdle schedules probes of all servers if this queue was idle for longer than the
// lifetime of results, so that it has no record of what the servers hold. After a power
// loss, servers hold results for seconds that no entry host can release. Calls sent to
// such servers returned without results and delayed their requests.
func (q *Queue) probeAfterIdle(now time.Time) {
	if q.opts.ResultMemoryBytes > 0 && now.Sub(q.lastSubmit) > q.opts.ResultTTL {
		for _, s := range q.servers {
			s.needsProbe = true
		}
	}
	q.lastSubmit = now
}

// ServersToProbe returns the servers whose free memory the caller has to probe now, at most one
// probe per server and probeInterval. The responses go to UpdateFreeMemory.
func (q *Queue) ServersToProbe(now time.Time) []*directory.Server {
	var out []*directory.Server
	for _, s := range q.servers {
		if s.needsProbe && !now.Before(s.nextProbe) && !s.InBackoff(now) && s.Pauses.Admits(now) {
			s.needsProbe, s.nextProbe = false, now.Add(probeInterval)
			out = append(out, s.Server)
		}
	}
	return out
}

// UpdateFreeMemory applies the response to a probe: free is the free result memory of the
// server in bytes, and ok is false if the probe failed. Memory in use beyond the results
// that this queue produced belongs to other entry hosts, or dates from before a power loss.
func (q *Queue) UpdateFreeMemory(serverID string, free int64, ok bool, now time.Time) {
	s := q.servers[serverID]
	if s == nil || !ok {
		return // failing servers are detected by their calls
	}
	s.dropExpiredResults(now)
	s.foreignBytes = 0
	known := int64(0)
	for _, r := range s.results {
		known += r.bytes
	}
	for _, c := range s.calls {
		if !now.Before(c.ExpectedStart) {
			known += c.resultBytes
		}
	}
	foreign := q.opts.ResultMemoryBytes - free - known
	if float64(foreign) < minForeignShare*float64(q.opts.ResultMemoryBytes) {
		return
	}
	s.foreignBytes, s.memoryLimit = foreign, 0
	s.needsProbe = true
}

// storedResults are the results of one call that a server holds.
type storedResults struct {
	expiresAt time.Time // when the server drops them unless released
	bytes     int64
}

// usedBytes returns the size of the results that a server holds or is computing.
func (s *server) usedBytes() int64 {
	sum := s.inFlightBytes + s.foreignBytes
	for _, r := range s.results {
		sum += r.bytes
	}
	return sum
}

// dropExpiredResults forgets results that have expired without being released. Their entry
// host may have failed, and their memory would count as used forever.
func (s *server) dropExpiredResults(now time.Time) {
	for len(s.results) > 0 && !now.Before(s.results[0].expiresAt) {
		s.results = s.results[1:]
	}
}

const (
	// minMemoryShare is the lower bound of the learned memory limit, as a fraction of
	// the configured memory: results of other entry hosts expire within seconds.
	minMemoryShare = 0.5
	// memoryRecoveryShare is the fraction of the configured memory by which a learned
	// limit grows per second.
	memoryRecoveryShare = 0.15
)

// recoverMemoryLimit raises the learned memory limit of a server towards the configured one.
func (s *server) recoverMemoryLimit(configured int64) {
	if s.memoryLimit == 0 {
		return
	}
	s.memoryLimit += int64(memoryRecoveryShare * float64(configured))
	if s.memoryLimit >= configured {
		s.memoryLimit = 0
	}
}
