package coldstart

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/directory"
	"bilberrydale/process/loan"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

const (
	// loanDuration is how long after the question a borrowed unit may be used. The lender uses it
	// again rateWindow after it has lent it, a second after the borrower at least.
	loanDuration = loan.Timeout + 50*time.Millisecond
	// loanPause is the time without another question after one that brought nothing.
	loanPause = 100 * time.Millisecond
	// maxRate is the highest rate, in requests per second, for which units are lent.
	maxRate = 10_000
)

// methodLoan asks a host for units that it owns and has not used within the window.
const methodLoan peer.Method = "coldstart.loan"

// loanMessage is the content of methodLoan. The response is the number of requests that the asking
// host may send in place of the other one.
type loanMessage struct {
	ServerID  string
	PerSecond float64 // rate of the server's service
	Requests  int     // that it asks for
}

// Borrow asks the hosts that own units of a server's rate for one that they have not used, if this
// host has none left: clients may come to one host only. It returns whether this host may send a
// request now, after loan.Timeout at most. The sum over all hosts stays the same: what a host lends
// counts as used there.
func (limiter *Limiter) Borrow(ctx context.Context, s *directory.Server, l Limit) bool {
	if limiter.opts.Link != nil && !limiter.WouldAllow(s, l, limiter.opts.Clock.Now()) {
		select {
		case <-limiter.loans.DoChan(s.ID, func() (any, error) { limiter.borrow(s.ID, l); return nil, nil }):
		case <-ctx.Done():
		}
	}
	return limiter.WouldAllow(s, l, limiter.opts.Clock.Now())
}

// borrow asks for a loan, unless the last question brought nothing a moment ago.
func (limiter *Limiter) borrow(server string, l Limit) {
	asked := limiter.opts.Clock.Now()
	limiter.mu.Lock()
	q := limiter.quotaFor(server, l, asked)
	recent, inVain := len(q.sentAt), asked.Sub(q.askedInVainAt) < loanPause
	limiter.mu.Unlock()
	if inVain || !limiter.pace.Allows(asked) {
		return
	}
	owners := rendezvous.UnitOwners(limiter.opts.Hosts(), rendezvous.Hash(server), l.rateUnits())
	lent, _ := loan.Question{
		Link: limiter.opts.Link, Method: methodLoan, Wanted: max(recent/4, 1), Pace: &limiter.pace, Now: asked,
		Owners:  loan.Others(owners, limiter.opts.Self, uint64(asked.UnixNano())),
		Message: func(requests int) any { return loanMessage{server, l.RequestsPerSecond, requests} },
	}.Ask()
	if lent > 0 && limiter.opts.OnLoan != nil {
		limiter.opts.OnLoan(lent)
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	q = limiter.quotaFor(server, l, asked)
	if lent == 0 {
		q.askedInVainAt = asked
		return
	}
	q.borrowed.Add(lent, limiter.opts.Clock.Now(), asked.Add(loanDuration))
}

// onLoan handles methodLoan.
func (limiter *Limiter) onLoan(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m loanMessage
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, fmt.Errorf("coldstart: malformed loan: %w", err)
	}
	if !(m.PerSecond > 0 && m.PerSecond <= maxRate) {
		return nil, fmt.Errorf("coldstart: %v requests per second is no rate", m.PerSecond)
	}
	now := limiter.opts.Clock.Now()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	q := limiter.quotaFor(m.ServerID, Limit{RequestsPerSecond: m.PerSecond}, now)
	lent := min(q.left(), max(m.Requests, 0))
	for range lent {
		q.sentAt = append(q.sentAt, now)
	}
	return msgpack.Marshal(lent)
}
