package serverlimit

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// brittleLoanDuration is how long after the question a borrowed request may be sent to a brittle
// server: longer than its slot, as the response may take as long.
const brittleLoanDuration = loan.Timeout + trialSlot

// methodBrittleLoan asks a host for requests that it owns of the current slot of a brittle server's
// rate.
const methodBrittleLoan peer.Method = "serverlimit.brittleloan"

// brittleLoanMessage is the content of methodBrittleLoan. The response is the number of requests
// that the asking host may send in place of the other one.
type brittleLoanMessage struct {
	ServerID      string
	StartedUnixMS int64
	Requests      int // that it asks for
}

// borrowBrittle asks the owners of the current slot of a brittle server's rate for a request,
// if this host owns none that is left and they have not had none either.
func (l *Limiter) borrowBrittle(server Server, s *State) {
	asked, r := l.opts.Clock.Now(), &s.refusals
	b := s.Brittle()
	if b == nil {
		return
	}
	self, all := l.opts.Hosts()
	r.mu.Lock()
	r.sentAt = within(r.sentAt, unconfirmedTime, asked)
	due := len(r.sentAt) == 0 && !r.stopped(b, asked) && r.isRestricted(asked) &&
		r.available(server.ID, l.opts.Hosts, asked) == 0 && !r.borrowed.Available(asked) && r.spentSlot != r.slot
	key := slotKey(server.ID, r.slot)
	units := unitsOfSlot(r.rate(asked), key)
	due = due && (r.borrowedSlot != r.slot || r.borrowedUnits < units)
	slot := r.slot
	r.mu.Unlock()
	if !due || !l.pace.Allows(asked) {
		return
	}
	lent, _ := loan.Question{
		Link: l.opts.Link, Method: methodBrittleLoan, Wanted: 1, Pace: &l.pace, Now: asked, Owners: loan.Others(rendezvous.UnitOwners(all, key, units), self, key),
		Message: func(requests int) any { return brittleLoanMessage{server.ID, server.StartedUnixMS, requests} },
	}.Ask()
	if lent > 0 && l.opts.OnLoan != nil {
		l.opts.OnLoan(lent)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if lent == 0 {
		r.spentSlot = slot
		return
	}
	if r.borrowedSlot != slot {
		r.borrowedSlot, r.borrowedUnits = slot, 0
	}
	r.borrowedUnits += lent
	r.borrowed.Add(lent, l.opts.Clock.Now(), asked.Add(brittleLoanDuration))
}

// onBrittleLoan handles methodBrittleLoan.
func (l *Limiter) onBrittleLoan(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m brittleLoanMessage
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("serverlimit: malformed loan: %w", err)
	}
	server := Server{ID: m.ServerID, StartedUnixMS: m.StartedUnixMS}
	s := l.opts.Lookup(server)
	if s == nil || s.Brittle() == nil {
		return msgpack.Marshal(0)
	}
	return msgpack.Marshal(s.refusals.lend(server.ID, l.opts.Hosts, m.Requests, l.opts.Clock.Now()))
}

// lend gives another host up to a number of requests that this host may still send in the slot.
func (r *refusals) lend(server string, hosts Hosts, requests int, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isRestricted(now) {
		return 0
	}
	lent := min(r.available(server, hosts, now), max(requests, 0))
	r.left -= lent
	return lent
}
