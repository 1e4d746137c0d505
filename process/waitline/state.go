package waitline

import (
	"sync/atomic"
	"time"
)

// State is what a host has last seen of the requests at one server, from all hosts. It is safe for
// concurrent use; a reader that meets an update may see parts of both. The zero value is that of a
// server of which nothing is known.
type State struct {
	seenAt  atomic.Int64 // Unix nanoseconds; 0: nothing is known
	load    atomic.Int64 // requests at the server at seenAt
	sent    atomic.Int64 // requests of this host sent since seenAt, less those that returned
	refused atomic.Bool  // the server refused a request and reported no load
}

// Report records the server's own report of the requests that it runs and has queued.
func (s *State) Report(load int, now time.Time) {
	s.load.Store(int64(load))
	s.sent.Store(0)
	s.refused.Store(false)
	s.seenAt.Store(now.UnixNano())
}

// Refused records that the server refused a request for want of room and reported no load with it.
func (s *State) Refused(now time.Time) {
	s.sent.Store(0)
	s.refused.Store(true)
	s.seenAt.Store(now.UnixNano())
}

// Sent records that this host has sent a request to the server.
func (s *State) Sent() { s.sent.Add(1) }

// Returned records that the server has finished a request of this host, sent at sentAt. A report
// since then takes it into account.
func (s *State) Returned(sentAt time.Time) {
	if s.refused.Load() || s.seenAt.Load() < sentAt.UnixNano() {
		s.sent.Add(-1)
	}
}

// SeenAt returns when the load of the server was last seen; zero: never.
func (s *State) SeenAt() time.Time {
	at := s.seenAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// maxBeliefAge is the age from which what was seen says nothing. The load of short requests changes
// within a few hundred milliseconds.
const maxBeliefAge = 500 * time.Millisecond

// Query asks whether a server has room for a request.
type Query struct {
	Slots       int           // requests that the server runs concurrently; 0: not known, it has room
	InFlight    int           // requests of this host at the server
	Rank        int           // urgency of the request among those of the service; 0: most urgent
	ServiceTime time.Duration // that a request of the service takes in a slot
	Now         time.Time
}

// Belief is whether a server has room for a request.
type Belief struct {
	Room bool
	// RoomAt is when it is expected to have room; zero: not known, or it has room.
	RoomAt time.Time
}

// Room returns whether the server has room for a request. A server of which nothing was seen for
// maxBeliefAge has room. After a report the server is taken to finish requests at its full rate, and
// to get new ones of this host only.
func (s *State) Room(q Query) Belief {
	limit := Limit(q.Slots, q.Rank)
	if q.Slots <= 0 {
		return Belief{Room: true}
	}
	if q.InFlight >= limit {
		return Belief{}
	}
	seenAt := s.seenAt.Load()
	age := time.Duration(q.Now.UnixNano() - seenAt)
	if seenAt == 0 || age < 0 {
		return Belief{Room: true}
	}
	load := s.load.Load()
	if s.refused.Load() {
		load = int64(Limit(q.Slots, 0))
	}
	perRequest := max(q.ServiceTime/time.Duration(q.Slots), minTimePerRequest)
	excess := load + s.sent.Load() - int64(limit) + 1 // requests that have to end first
	left := min(time.Duration(min(excess, maxExcess))*perRequest, maxBeliefAge) - age
	if left <= 0 {
		return Belief{Room: true}
	}
	return Belief{RoomAt: q.Now.Add(left)}
}

const (
	// minTimePerRequest bounds the rate at which a server is taken to finish requests.
	minTimePerRequest = 200 * time.Microsecond
	maxExcess         = 1 << 16 // requests; bounds the product with a time
)

// queueShares is the part of a server's slots by which requests at the server may exceed its slots, by
// the rank of the request that is to be sent: a short queue keeps the server busy between two reports,
// and what is left of it is a reserve for more urgent requests of any host.
var queueShares = []float64{1, 0.5, 0.25, 0}

// Limit returns the number of requests at a server with that many slots from which it has no room
// for a request of a rank.
func Limit(slots, rank int) int {
	share := queueShares[min(max(rank, 0), len(queueShares)-1)]
	return slots + int(share*float64(slots)+0.999)
}
