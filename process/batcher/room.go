package batcher

import "time"

// roomShare of the configured room is filled: sizes of results are approximate.
const roomShare = 0.96

// roomOf is the room for results at a server; 0: not bounded.
func (q *Queue) roomOf(s *server) int64 {
	room := int64(roomShare * float64(q.opts.RoomBytes))
	if s.room > 0 {
		room = min(room, s.room)
	}
	return room
}

// Freed notes that a server no longer holds results of the given size.
func (q *Queue) Freed(serverID string, bytes int64) {
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

// heldResults are results of one call at a server.
type heldResults struct {
	until time.Time // when the server frees them by itself
	bytes int64
}

// held is the size of the results that a server keeps or is making.
func (s *server) held() int64 {
	sum := s.inCalls
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
