package batcher

import (
	"time"

	"bilberrydale/process/directory"
)

// roomShare of the configured room is filled: sizes of results are approximate.
const roomShare = 0.96

// roomOf is the room for results at a server; 0: not bounded.
func (q *Queue) roomOf(s *server) int64 {
	room := int64(roomShare * float64(q.opts.ResultMemoryBytes))
	if s.room > 0 {
		room = min(room, s.room)
	}
	return room
}

// Freed notes that a server no longer holds results of the given size.
func (q *Queue) ResultsReleased(serverID string, bytes int64) {
	s := q.servers[serverID]
	if s == nil {
		return
	}
	s.fullTil = time.Time{}
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
	// askEvery is the pause between two questions for the room of a server that
	// holds results of others: they go within seconds.
	askEvery = 250 * time.Millisecond
	// leastForeign of the configured room is no sign of others' results: sizes are
	// approximate, and what a server tells is some hundred milliseconds old.
	leastForeign = 0.15
)

// begin has all servers asked for their room if this queue has given no work for so
// long that it knows nothing of their results. After a loss of power servers hold for
// seconds what nobody can name any more; calls sent into that came back without
// results, and the requests behind them waited for nothing.
func (q *Queue) begin(now time.Time) {
	if q.opts.ResultMemoryBytes > 0 && now.Sub(q.worked) > q.opts.ResultTTL {
		for _, s := range q.servers {
			s.ask = true
		}
	}
	q.worked = now
}

// Unsure returns the servers to be asked for their room now; RoomTold takes their
// answers.
func (q *Queue) ServersToProbe(now time.Time) []*directory.Server {
	var out []*directory.Server
	for _, s := range q.servers {
		if s.ask && !now.Before(s.askAt) && !s.InBackoff(now) {
			s.ask, s.askAt = false, now.Add(askEvery)
			out = append(out, s.Server)
		}
	}
	return out
}

// RoomTold takes the room that a server has left, if it was told. What it holds beyond
// the results that are known here was made for others, or before a loss of power.
func (q *Queue) UpdateFreeMemory(serverID string, free int64, told bool, now time.Time) {
	s := q.servers[serverID]
	if s == nil || !told {
		return // a server that fails is found out by its calls
	}
	s.expire(now)
	s.foreign = 0
	known := int64(0)
	for _, r := range s.results {
		known += r.bytes
	}
	for _, c := range s.calls {
		if !now.Before(c.ExpectedStart) {
			known += c.bytes
		}
	}
	foreign := q.opts.ResultMemoryBytes - free - known
	if float64(foreign) < leastForeign*float64(q.opts.ResultMemoryBytes) {
		return
	}
	s.foreign, s.room = foreign, 0
	s.ask = true
}

// heldResults are results of one call at a server.
type heldResults struct {
	until time.Time // when the server frees them by itself
	bytes int64
}

// held is the size of the results that a server keeps or is making.
func (s *server) held() int64 {
	sum := s.inCalls + s.foreign
	for _, r := range s.results {
		sum += r.bytes
	}
	return sum
}

// expire forgets results that nobody freed and that are gone by now: their
// host may have died, and the room would count as taken for good.
func (s *server) expire(now time.Time) {
	for len(s.results) > 0 && !now.Before(s.results[0].until) {
		s.results = s.results[1:]
	}
}

const (
	// leastRoom of the configured room is always believed in: what another host
	// put there is gone within seconds.
	leastRoom = 0.5
	// roomRecovery of the configured room is believed in again each second.
	roomRecovery = 0.15
)

// recoverRoom lets a room that was found smaller than configured be filled more
// again, up to what is configured.
func (s *server) recoverRoom(configured int64) {
	if s.room == 0 {
		return
	}
	s.room += int64(roomRecovery * float64(configured))
	if s.room >= configured {
		s.room = 0
	}
}
