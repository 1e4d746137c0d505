package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/peer"
)

// Methods of calls between entry hosts.
const (
	methodStatus peer.Method = "claim.ask"    // status of a key that the receiver owns
	methodBorrow peer.Method = "claim.borrow" // run a ticket that the receiver minted
	methodReturn peer.Method = "claim.return" // return a borrowed ticket that did not run
)

// statusRequest is the request of claim.ask. Like the other requests it is encoded
// as an array: the order of the fields is the format.
type statusRequest struct {
	ID          []byte // ID of the key
	Incarnation uint64 // of the receiver when it made the claim
	Seq         uint64 // of the claim; the receiver does not check it
}

// borrowRequest is the request of claim.borrow.
type borrowRequest struct {
	Ticket  string // text of the ticket
	Account string // client account
	Body    uint64 // see Key.Body
	Seq     uint64 // number of the borrower's loan; a retry has the same number
}

// returnRequest is the request of claim.return.
type returnRequest struct {
	ID           []byte // ID of the key
	Seq          uint64 // number of the loan
	PartiallyRan bool   // repeatable stages ran
}

// keyStatus is the response of claim.ask, claim.borrow and claim.return: the status
// of a key on its owner or minter. It is encoded with its field names.
type keyStatus struct {
	State    State
	Response *Response `msgpack:"Answer"` // in state Done; nil if not cached
	// Found is false if the responding host is another incarnation or no
	// longer has the key.
	Found bool `msgpack:"Known"`
	// Releasing: nothing ran under the claim, and it is being released.
	Releasing bool `msgpack:"Free"`
	// PartiallyRan, with a loan: an earlier send ran repeatable stages.
	PartiallyRan bool `msgpack:"Part"`
	// Borrower and LoanSeq identify the loan of a lent ticket.
	Borrower Owner  `msgpack:"LentTo"`
	LoanSeq  uint64 `msgpack:"LentSeq"`
}

// registerHandlers registers the handlers of the methods between hosts.
func (m *Manager) registerHandlers() {
	m.link.Handle(methodStatus, m.onStatus)
	m.link.Handle(methodBorrow, m.onBorrow)
	m.link.Handle(methodReturn, m.onReturn)
	m.link.Handle(methodCommit, m.committer.onCommit)
}

// queryOwner returns the result for a key that another host claimed, by querying
// that host. While the request runs there, it polls until the request or ctx
// ends.
func (m *Manager) queryOwner(ctx context.Context, key Key, claim Record) Result {
	if claim.Body != key.Body {
		return Result{State: BodyMismatch}
	}
	id := key.ID()
	in := statusRequest{ID: id[:], Incarnation: claim.Owner.Incarnation, Seq: claim.Seq}
	for m.link != nil && claim.Owner != m.self {
		var status keyStatus
		if err := m.call(ctx, claim.Owner.Host, methodStatus, &in, &status); err != nil || !status.Found {
			break
		}
		if status.Releasing {
			return Result{State: Running, RetryAfter: m.opts.PollInterval}
		}
		if status.State != Running {
			return Result{State: status.State, Response: status.Response}
		}
		select {
		case <-ctx.Done():
			return Result{State: Running, RetryAfter: m.opts.PollInterval}
		case <-m.clock.After(m.opts.PollInterval):
		}
	}
	// The owner has ended, is unreachable, or no longer has the key. The
	// request may have run.
	if claim.Outcome == OutcomeDone {
		return Result{State: Done}
	}
	return Result{State: Unknown}
}

// call calls another host with CallTimeout. Errors are those of peer.Link.Call.
func (m *Manager) call(ctx context.Context, host string, method peer.Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.link.Call(ctx, host, method, in, out)
}

// onStatus handles claim.ask. It also releases a claim under which nothing was
// dispatched.
func (m *Manager) onStatus(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var in statusRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil || len(in.ID) != len(ID{}) {
		return nil, fmt.Errorf("claim: malformed status request: %w", err)
	}
	if in.Incarnation != m.self.Incarnation {
		return msgpack.Marshal(&keyStatus{})
	}
	id := ID(in.ID)
	state, ok := m.table.get(id)
	if !ok {
		return msgpack.Marshal(&keyStatus{})
	}
	status := keyStatus{Found: true, State: Running}
	switch state.phase {
	case phaseFinished:
		status.State, status.Response = Done, state.response
	case phaseUnknown:
		status.State = Unknown
	case phaseUncertain:
		// Release the claim, so that the sender's next attempt may find the
		// key unclaimed.
		status.Releasing = true
		if _, created, _ := m.table.getOrCreate(id, state.body, m.seq.Add(1)); created {
			m.table.setPhase(id, phaseRunning, nil)
			m.release(ctx, id, false)
		}
	case phaseReleasing:
		status.Releasing = true
	}
	return msgpack.Marshal(&status)
}

// borrowTicket requests the right to run a ticket from its minter and returns the
// result of Begin.
func (m *Manager) borrowTicket(ctx context.Context, id ID, key Key, t *Ticket, state keyState) Result {
	if m.link == nil {
		m.table.remove(id)
		return Result{State: UnknownTicket}
	}
	in := borrowRequest{Ticket: key.Key, Account: key.Account, Body: key.Body, Seq: state.seq}
	var status keyStatus
	err := m.call(ctx, t.Minter.Host, methodBorrow, &in, &status)
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		m.table.remove(id)
		return Result{State: UnknownTicket, RetryAfter: time.Second}
	case err != nil:
		// The minter may have lent the ticket: the next Begin requests the loan
		// again under the same number.
		m.table.setPhase(id, phaseUncertain, func(k *keyState) { k.ticket, k.lender = t, t.Minter.Host })
		return Result{State: UnknownTicket, RetryAfter: m.opts.CallTimeout}
	case !status.Found:
		m.table.remove(id)
		return Result{State: UnknownTicket}
	case status.State == Granted:
		m.table.setPhase(id, phaseRunning, func(k *keyState) { k.ticket, k.lender, k.partiallyRan = t, t.Minter.Host, status.PartiallyRan })
		return Result{State: Granted, PartiallyRan: status.PartiallyRan}
	}
	m.table.remove(id)
	switch {
	case status.Borrower == m.self && !m.clock.Now().After(t.Expires):
		// An earlier loan to this host, which is being returned.
		return Result{State: Running, RetryAfter: m.opts.PollInterval}
	case status.Borrower.Host != "":
		return m.queryOwner(ctx, key, Record{Body: key.Body, Owner: status.Borrower, Seq: status.LoanSeq})
	case status.State == Running:
		return m.queryOwner(ctx, key, Record{Body: key.Body, Owner: t.Minter})
	}
	return Result{State: status.State, Response: status.Response}
}

// onBorrow handles claim.borrow. It lends a ticket once. A retry of the same loan,
// whose response was lost, is granted again: the borrower dispatches nothing
// before it gets the response.
func (m *Manager) onBorrow(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in borrowRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil {
		return nil, fmt.Errorf("claim: malformed borrow request: %w", err)
	}
	key := Key{Account: in.Account, Key: in.Ticket, Body: in.Body}
	t, err := parseTicket(in.Ticket)
	if err != nil || t.Minter != m.self {
		return msgpack.Marshal(&keyStatus{})
	}
	id := key.ID()
	if _, ok := m.checkOwnTicket(id, key, t); !ok {
		return msgpack.Marshal(&keyStatus{})
	}
	borrower := Record{ID: id, Body: in.Body, Owner: Owner{Host: from.Host, Incarnation: from.Incarnation}, Seq: in.Seq}
	state, created, full := m.table.getOrCreate(id, in.Body, in.Seq)
	if full {
		return nil, errors.New("claim: the key table is full")
	}
	if created {
		m.table.setPhase(id, phaseLent, func(k *keyState) { k.ticket, k.loan = t, borrower })
		return msgpack.Marshal(&keyStatus{Found: true, State: Granted, PartiallyRan: state.partiallyRan})
	}
	status := keyStatus{Found: true, State: Running, PartiallyRan: state.partiallyRan}
	switch {
	case state.body != in.Body:
		status.State = BodyMismatch
	case state.phase == phaseLent && state.loan.sameClaim(&borrower):
		status.State = Granted
	case state.phase == phaseLent:
		status.Borrower, status.LoanSeq = state.loan.Owner, state.loan.Seq
	case state.phase == phaseFinished:
		status.State, status.Response = Done, state.response
	case state.phase == phaseUnknown:
		status.State = Unknown
	}
	return msgpack.Marshal(&status)
}

// returnTicket returns a borrowed ticket under which nothing, or only repeatable
// stages, ran.
func (m *Manager) returnTicket(ctx context.Context, id ID, state keyState) {
	in := returnRequest{ID: id[:], Seq: state.seq, PartiallyRan: state.partiallyRan}
	// If the call fails the ticket stays lent and is never run again.
	_ = m.call(ctx, state.lender, methodReturn, &in, nil)
}

// onReturn handles claim.return. It ignores a ticket that is not lent to the
// sender under that number.
func (m *Manager) onReturn(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in returnRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil || len(in.ID) != len(ID{}) {
		return nil, fmt.Errorf("claim: malformed return request: %w", err)
	}
	id := ID(in.ID)
	state, ok := m.table.get(id)
	borrower := Record{Owner: Owner{Host: from.Host, Incarnation: from.Incarnation}, Seq: in.Seq}
	switch {
	case !ok || state.phase != phaseLent || !state.loan.sameClaim(&borrower):
	case state.partiallyRan || in.PartiallyRan:
		m.table.setPhase(id, phaseUncertain, func(k *keyState) { k.partiallyRan = true })
	default:
		m.table.remove(id)
	}
	return msgpack.Marshal(&keyStatus{Found: true})
}
