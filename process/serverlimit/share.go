package serverlimit

import (
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberrydale/process/rendezvous"
)

const (
	// minRate is the lowest rate, in requests per second, at which a server gets requests
	// whatever limit it names: only a response shows that the limit no longer holds.
	minRate = 0.1
	// maxUnits bounds the units of a slot, and so the time to compute their owners. With a
	// higher limit each unit stands for several requests.
	maxUnits = 16
	// maxRate is the highest limit that is kept to, in requests per second. No server gets
	// as many from all hosts.
	maxRate = 1e6
	// maxClockStep is the number of slots for which a host sends nothing after a step of
	// its wall clock backwards. After a longer step it starts anew.
	maxClockStep = 8
)

// schedule divides the rate of a limit into slots of time. Each slot has some units, and each
// unit stands for the same number of requests.
type schedule struct {
	units    int
	requests int           // per unit
	length   time.Duration // of a slot; about a second, longer with a limit below one a second
}

// newSchedule returns the schedule of a limit in requests per second.
func newSchedule(perSecond float64) schedule {
	rate := min(max(perSecond, minRate), maxRate)
	whole := max(int(rate), 1)
	s := schedule{units: min(whole, maxUnits)}
	s.requests = whole / s.units
	s.length = time.Duration(float64(s.units*s.requests) / rate * float64(time.Second))
	return s
}

// share is what this host may send to a server with a limit. Every unit of a slot belongs to
// one host, by rendezvous hashing, so that all hosts together keep to the limit however many
// they are. As the owners change with each slot, every host gets its turn, and learns that
// the limit no longer holds even if no message of another host reaches it.
type share struct {
	mu       sync.Mutex // guards the fields below
	schedule schedule
	slot     int64 // newest slot, counted from the Unix epoch, for which left was computed
	left     int   // requests that this host may still send in slot
	used     int   // requests that it has sent in slot
	usedLast int   // and in the slot before

	loans     singleflight.Group // at most one question for loans at a time
	spent     map[string]bool    // hosts that lend no more in spentSlot; used by one question at a time
	spentSlot int64
}

// spentIn returns the hosts that lend no more in a slot, to which the caller adds others.
func (s *share) spentIn(slot int64) map[string]bool {
	if s.spent == nil || s.spentSlot != slot {
		s.spent, s.spentSlot = map[string]bool{}, slot
	}
	return s.spent
}

// take counts requests of this host. The caller holds s.mu.
func (s *share) take(requests int) { s.left, s.used = s.left-requests, s.used+requests }

// needed returns the requests that this host keeps for itself in slot: as many as it sent in the
// last one. The caller holds s.mu.
func (s *share) needed() int { return max(s.usedLast-s.used, 0) }

// available returns the number of requests that this host may still send in the slot of now.
// The caller holds s.mu.
func (s *share) available(server string, limit *Limit, hosts Hosts, now time.Time) int {
	schedule := newSchedule(limit.PerSecond)
	slot := now.UnixNano() / int64(schedule.length)
	if schedule != s.schedule || slot < s.slot-maxClockStep {
		s.schedule, s.slot, s.left, s.used, s.usedLast = schedule, slot, 0, 0, 0
		if limit.since.UnixNano() < slot*int64(schedule.length) {
			s.slot-- // this host has kept to the limit since before this slot
		}
	}
	if slot > s.slot {
		if s.usedLast = s.used; slot > s.slot+1 {
			s.usedLast = 0
		}
		s.slot, s.left, s.used = slot, schedule.requests*ownedUnits(server, slot, schedule.units, hosts), 0
	}
	if slot < s.slot {
		return 0 // the wall clock was set back: these slots have been used
	}
	return s.left
}

// ownedUnits returns how many of the units of a slot this host owns; 0 if it is not among the
// hosts.
func ownedUnits(server string, slot int64, units int, hosts Hosts) int {
	self, all := hosts()
	return rendezvous.OwnedUnits(self, all, slotKey(server, slot), units)
}

// slotKey returns the key by which the units of a slot are assigned to hosts.
func slotKey(server string, slot int64) uint64 {
	return rendezvous.Combine(rendezvous.Hash(server), uint64(slot))
}
