package serverlimit

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Brittleness is what a brittle server names: it falls over if it has to refuse more requests in a
// second, from all entry hosts together, for want of room.
type Brittleness struct {
	MaxRefusals float64 // per second
	NamedAt     time.Time
}

const (
	// stopShare is the part of the refusals that a server bears, of the last second, at which it
	// gets no further requests. The rest is for what is in flight then.
	stopShare = 1.0 / 3
	// stopTime is how long a server gets nothing after the first refusal.
	stopTime = time.Second
	// restrictedTime is how long after a refusal all hosts together keep to a rate.
	restrictedTime = 6 * time.Second
	// The rate begins at startShare of what the server took before, and doubles in
	// doublingTime.
	startShare   = 0.7
	doublingTime = 2 * time.Second
	// After a refusal at a rate, the hosts go on with retreat of it. It is back after
	// returnTime, and grows by a factor of growth a second from there.
	retreat    = 0.7
	returnTime = 2 * time.Second
	growth     = 1.2
	// sameRefusalTime is the time in which further refusals are due to the same rate.
	sameRefusalTime = 300 * time.Millisecond
	// unconfirmedTime is the time in which a refusal arrives, also from another region. Until
	// then a host sends no further requests to a brittle server.
	unconfirmedTime = 60 * time.Millisecond
	// trialSlot is the time for which the requests of a rate are dealt to hosts: short, as all
	// hosts that own one send it when the slot begins if more is waiting.
	trialSlot = 100 * time.Millisecond
	// maxUnitsOfSlot bounds the time to compute the owners.
	maxUnitsOfSlot = 64
	// maxSlotStep is the number of slots for which a host sends nothing after a step of its
	// wall clock backwards. After a longer step it starts anew.
	maxSlotStep = 100
	// rateWindow is the time over which the requests are counted that a server takes.
	rateWindow = 2 * time.Second
)

// refusals is this host's state of a brittle server. Before a refusal requests are only spaced.
// After one the server gets nothing for a moment; then all hosts together keep to a rate, which
// is dealt to them slot by slot. Each host knows it from the same messages.
type refusals struct {
	mu         sync.Mutex  // guards the fields below
	sentAt     []time.Time // requests of this host within unconfirmedTime, oldest first
	takenAt    []time.Time // requests of this host that the server took within rateWindow
	refusedAt  []time.Time // refusals within a second, at any host, oldest first
	restricted bool        // within restrictedTime of the last refusal
	stopUntil  time.Time   // no request before
	since      time.Time   // when the rate was last changed by a refusal
	base       float64     // requests per second, at since
	ceiling    float64     // rate at the last refusal; 0: not known
	slot       int64       // newest slot, counted from the Unix epoch, for which left was computed
	left       int         // requests that this host may still send in it
	borrowed   loan.Credit
	// spentSlot is the newest slot in which other hosts had nothing left to lend.
	spentSlot int64
	// borrowedSlot is the newest slot of which this host has borrowed borrowedUnits.
	borrowedSlot  int64
	borrowedUnits int
}

// Brittle returns the brittleness that the server has named, or nil.
func (s *State) Brittle() *Brittleness { return s.brittle.Load() }

// Restricted reports whether the server is brittle and has refused a request a moment ago.
func (s *State) Restricted(now time.Time) bool {
	if s.Brittle() == nil {
		return false
	}
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	return s.refusals.isRestricted(now)
}

// isRestricted reports whether the rate applies. The caller holds r.mu.
func (r *refusals) isRestricted(now time.Time) bool {
	return r.restricted && now.Sub(r.since) < restrictedTime
}

// rate returns the requests per second of all hosts. The caller holds r.mu.
func (r *refusals) rate(now time.Time) float64 {
	elapsed := max(now.Sub(r.since), 0)
	switch {
	case r.ceiling == 0:
		return r.base * math.Exp2(elapsed.Seconds()/doublingTime.Seconds())
	case elapsed < returnTime:
		return r.base * math.Pow(r.ceiling/r.base, elapsed.Seconds()/returnTime.Seconds())
	default:
		return r.ceiling * math.Pow(growth, (elapsed-returnTime).Seconds())
	}
}

// refused records a refusal and lowers the rate. started is the rate to begin with. The caller
// holds r.mu.
func (r *refusals) refused(started float64, now time.Time) {
	r.refusedAt = append(within(r.refusedAt, time.Second, now), now)
	switch {
	case !r.isRestricted(now):
		r.base, r.ceiling, r.stopUntil = max(started, minRate), 0, now.Add(stopTime)
	case now.Sub(r.since) < sameRefusalTime:
		return
	case now.Before(r.stopUntil):
		return // sent before the stop
	default:
		r.ceiling = max(r.rate(now), minRate)
		r.base = retreat * r.ceiling
	}
	r.restricted, r.since = true, now
}

// startRate returns the rate of all hosts with which to begin after a first refusal, from what the
// server took from this host.
func (r *refusals) startRate(b *Brittleness, hosts int, now time.Time) float64 {
	r.takenAt = within(r.takenAt, rateWindow, now)
	taken := float64(len(r.takenAt)*hosts) / rateWindow.Seconds()
	return max(startShare*taken, stopShare*b.MaxRefusals)
}

// within returns the times less than d before now. It reuses the array.
func within(times []time.Time, d time.Duration, now time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) >= d })
}

// stopped reports whether the server gets nothing now. The caller holds r.mu.
func (r *refusals) stopped(b *Brittleness, now time.Time) bool {
	r.refusedAt = within(r.refusedAt, time.Second, now)
	return now.Before(r.stopUntil) || float64(len(r.refusedAt)) >= max(stopShare*b.MaxRefusals, 1)
}

// available returns the requests that this host may still send in this slot. The caller holds r.mu.
func (r *refusals) available(server string, hosts Hosts, now time.Time) int {
	slot := now.UnixNano() / int64(trialSlot)
	if slot > r.slot || slot < r.slot-maxSlotStep {
		self, all := hosts()
		key := slotKey(server, slot)
		r.slot, r.left = slot, rendezvous.OwnedUnits(self, all, key, unitsOfSlot(r.rate(now), key))
	}
	if slot < r.slot {
		return 0 // the wall clock was set back
	}
	return r.left
}

// unitsOfSlot returns the requests of a slot at a rate. The fraction of one is rounded up in as
// many slots as it says, the same ones at all hosts, by the hash of the slot.
func unitsOfSlot(rate float64, hash uint64) int {
	units := rate * trialSlot.Seconds()
	whole := math.Floor(units)
	if float64(hash)/math.MaxUint64 < units-whole {
		whole++
	}
	return int(min(whole, maxUnitsOfSlot))
}

// withinRefusals reports whether n further requests may be sent to a server without more refusals
// than it bears, and counts them.
func (l *Limiter) withinRefusals(server Server, s *State, hosts Hosts, n int) bool {
	b := s.Brittle()
	if b == nil {
		return true
	}
	now, r := l.opts.Clock.Now(), &s.refusals
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt = within(r.sentAt, unconfirmedTime, now)
	if len(r.sentAt) > 0 || r.stopped(b, now) {
		return false
	}
	if r.isRestricted(now) {
		switch {
		case r.available(server.ID, hosts, now) >= max(n, 1):
			r.left -= n
		case !r.borrowed.Available(now):
			return false
		case n > 0:
			r.borrowed.Take(now)
		}
	}
	if n > 0 {
		r.sentAt = append(r.sentAt, now)
	}
	return true
}

// observeBrittle records what a response says of the brittleness and the room of its server.
func (l *Limiter) observeBrittle(server Server, s *State, r Response) {
	old, now := s.Brittle(), l.opts.Clock.Now()
	switch {
	case r.Brittle:
		s.brittle.Store(&Brittleness{MaxRefusals: r.MaxRefusals, NamedAt: now})
		if old == nil || differs(old.MaxRefusals, r.MaxRefusals) {
			l.brittleChanged(BrittleChange{Server: server, MaxRefusals: r.MaxRefusals, Brittle: true})
		}
	case old == nil:
		return
	case !r.NotRun && !r.SentAt.Before(old.NamedAt): // a refusal may come from another process
		if s.brittle.CompareAndSwap(old, nil) {
			s.brittleEndedAt.Store(now.UnixNano())
			l.brittleChanged(BrittleChange{Server: server})
		}
		return
	}
	named := s.Brittle()
	switch {
	case named == nil:
	case r.Refused:
		if rate := l.recordOwnRefusal(s, named, now); l.opts.Link != nil {
			go l.tellAll(methodBrittle, brittleMessage{ServerID: server.ID, StartedUnixMS: server.StartedUnixMS, MaxRefusals: named.MaxRefusals, Brittle: true, Refused: true, Rate: rate})
		}
	case !r.NotRun:
		s.refusals.mu.Lock()
		s.refusals.takenAt = append(within(s.refusals.takenAt, rateWindow, now), now)
		s.refusals.mu.Unlock()
	}
}

// recordOwnRefusal records a refusal of a request of this host. It returns the rate at which the
// hosts begin if it is the first one.
func (l *Limiter) recordOwnRefusal(s *State, b *Brittleness, now time.Time) (rate float64) {
	_, all := l.opts.Hosts()
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	rate = s.refusals.startRate(b, len(all), now)
	s.refusals.refused(rate, now)
	return rate
}

// recordToldRefusal records a refusal of which another host has told.
func (s *State) recordToldRefusal(rate float64, now time.Time) {
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	s.refusals.refused(rate, now)
}

// BrittleChange is a change of the brittleness of a server.
type BrittleChange struct {
	Server      Server
	MaxRefusals float64 // per second; valid if Brittle is set
	Brittle     bool
	From        string // name of the host that has told of it; empty: the server itself
}

// brittleChanged reports a change to OnBrittle and the other hosts.
func (l *Limiter) brittleChanged(c BrittleChange) {
	l.opts.OnBrittle(c)
	if l.opts.Link != nil {
		go l.tellAll(methodBrittle, brittleMessage{ServerID: c.Server.ID, StartedUnixMS: c.Server.StartedUnixMS, MaxRefusals: c.MaxRefusals, Brittle: c.Brittle})
	}
}

// methodBrittle tells the other hosts of the brittleness of a server, or of a refusal.
const methodBrittle peer.Method = "serverlimit.brittle"

// brittleMessage is the content of methodBrittle.
type brittleMessage struct {
	ServerID      string
	StartedUnixMS int64
	MaxRefusals   float64
	Brittle       bool
	Refused       bool    // it has refused a request for want of room
	Rate          float64 // at which the hosts begin if that was the first refusal
}

// onBrittle handles methodBrittle.
func (l *Limiter) onBrittle(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var m brittleMessage
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("serverlimit: malformed message: %w", err)
	}
	if !isLimit(m.MaxRefusals) || !isLimit(m.Rate) {
		return nil, fmt.Errorf("serverlimit: %v refusals per second is no limit", m.MaxRefusals)
	}
	server := Server{ID: m.ServerID, StartedUnixMS: m.StartedUnixMS}
	s := l.opts.Lookup(server)
	if s == nil {
		return msgpack.Marshal(false)
	}
	now, old := l.opts.Clock.Now(), s.Brittle()
	switch {
	case m.Brittle && old == nil:
		if endedWithin(s.brittleEndedAt.Load(), tellTimeout, now) {
			return msgpack.Marshal(false) // sent before it ended
		}
		s.brittle.Store(&Brittleness{MaxRefusals: m.MaxRefusals, NamedAt: now})
		l.opts.OnBrittle(BrittleChange{Server: server, MaxRefusals: m.MaxRefusals, Brittle: true, From: from.Host})
	case !m.Brittle && old != nil && s.brittle.CompareAndSwap(old, nil):
		s.brittleEndedAt.Store(now.UnixNano())
		l.opts.OnBrittle(BrittleChange{Server: server, From: from.Host})
	}
	if m.Refused && s.Brittle() != nil {
		s.recordToldRefusal(m.Rate, now)
	}
	return msgpack.Marshal(true)
}
