package serverlimit

import (
	"context"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// loanShare is the part of what a host sends in a slot for which it asks at once.
const loanShare = 0.25

// methodLoan asks a host for units that it owns of the current slot and does not need.
const methodLoan peer.Method = "serverlimit.loan"

// loanMessage is the content of methodLoan. The response is the number of requests that the asking
// host may send in the slot in place of the other one.
type loanMessage struct {
	ServerID      string
	StartedUnixMS int64
	PerSecond     float64 // the limit that the asking host knows
	Slot          int64   // by its clock
	Requests      int     // that it asks for
}

// Borrow asks the hosts that own units of the current slot of a server's limit, or of its rate if it
// is brittle, for those that they do not need, if this host has none left: clients may come to one
// host only. It returns whether this host may send a request now, after twice loan.Timeout at most.
// The sum over all hosts stays the same: what a host lends it does not use.
func (l *Limiter) Borrow(ctx context.Context, server Server, s *State) bool {
	if l.WouldAllow(server, s) {
		return true
	}
	if l.opts.Link == nil {
		return false
	}
	select {
	case <-s.share.loans.DoChan("", func() (any, error) {
		l.borrow(server, s)
		l.borrowBrittle(server, s)
		return nil, nil
	}):
	case <-ctx.Done():
	}
	return l.WouldAllow(server, s)
}

// borrow asks for a loan, unless this host has something left.
func (l *Limiter) borrow(server Server, s *State) {
	limit, now := s.Limit(), l.opts.Clock.Now()
	if limit == nil {
		return
	}
	s.share.mu.Lock()
	left := s.share.available(server.ID, limit, l.opts.Hosts, now)
	slot, schedule := s.share.slot, s.share.schedule
	wanted := max(int(loanShare*float64(max(s.share.used, s.share.usedLast))), 1)
	s.share.mu.Unlock()
	if left > 0 || !l.pace.Allows(now) {
		return
	}
	lent := l.askOwners(s, loanMessage{ServerID: server.ID, StartedUnixMS: server.StartedUnixMS, PerSecond: limit.PerSecond, Slot: slot}, wanted, schedule.units)
	if lent > 0 && l.opts.OnLoan != nil {
		l.opts.OnLoan(lent)
	}
	s.share.mu.Lock()
	defer s.share.mu.Unlock()
	if s.share.slot == slot && s.share.schedule == schedule {
		s.share.left += lent
	}
}

// askOwners asks the owners of units for a number of requests, and returns how many they lend. One
// that lends less than asked for is not asked again in the slot.
func (l *Limiter) askOwners(s *State, m loanMessage, wanted, units int) int {
	self, all := l.opts.Hosts()
	spent := s.share.spentIn(m.Slot)
	owners := loan.Others(rendezvous.UnitOwners(all, slotKey(m.ServerID, m.Slot), units), self, uint64(m.Slot))
	lent, newlySpent := loan.Question{
		Link: l.opts.Link, Method: methodLoan, Wanted: wanted, Pace: &l.pace, Now: l.opts.Clock.Now(),
		Owners: slices.DeleteFunc(owners, func(host string) bool { return spent[host] }),
		Message: func(requests int) any {
			asked := m
			asked.Requests = requests
			return asked
		},
	}.Ask()
	for _, host := range newlySpent {
		spent[host] = true
	}
	return lent
}

// onLoan handles methodLoan.
func (l *Limiter) onLoan(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m loanMessage
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("serverlimit: malformed loan: %w", err)
	}
	server := Server{ID: m.ServerID, StartedUnixMS: m.StartedUnixMS}
	s := l.opts.Lookup(server)
	if s == nil {
		return msgpack.Marshal(0)
	}
	limit := s.Limit()
	if limit == nil || newSchedule(limit.PerSecond) != newSchedule(m.PerSecond) {
		return msgpack.Marshal(0)
	}
	s.share.mu.Lock()
	defer s.share.mu.Unlock()
	left := s.share.available(server.ID, limit, l.opts.Hosts, l.opts.Clock.Now())
	if s.share.slot != m.Slot {
		return msgpack.Marshal(0)
	}
	lent := min(max(left-s.share.needed(), 0), max(m.Requests, 0))
	s.share.left -= lent
	return msgpack.Marshal(lent)
}
