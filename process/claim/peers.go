package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/peer"
)

// Methods between entry hosts.
const (
	methodAsk    peer.Method = "claim.ask"    // how a key that you own stands
	methodBorrow peer.Method = "claim.borrow" // may I run a ticket of yours
	methodReturn peer.Method = "claim.return" // I did not run it
)

type askRequest struct {
	ID          []byte
	Incarnation uint64
	Seq         uint64
}

type borrowRequest struct {
	Text    string // the ticket
	Account string
	Body    uint64
	Seq     uint64 // numbers the borrower's loans; a repeat is the same loan
}

type returnRequest struct {
	ID   []byte
	Seq  uint64
	Part bool // stages that may be repeated ran
}

// standing is an owner's answer about a key.
type standing struct {
	State  State
	Answer *Response
	// Known is false if the asked host is another incarnation or has
	// forgotten the key.
	Known bool
	// Free: nothing ran under the claim, and it is being given back.
	Free bool
	// Part, with a loan: an earlier send ran stages that may be repeated.
	Part bool
	// LentTo and LentSeq name the borrower of a ticket.
	LentTo  Owner
	LentSeq uint64
}

func (m *Manager) handle() {
	m.link.Handle(methodAsk, m.onAsk)
	m.link.Handle(methodBorrow, m.onBorrow)
	m.link.Handle(methodReturn, m.onReturn)
	m.link.Handle(methodCommit, m.commit.onCommit)
}

// ask resolves a key that other claimed: its owner alone knows how it stands.
// A running request is asked about until it ends or ctx does.
func (m *Manager) ask(ctx context.Context, key Key, other Record) Result {
	if other.Body != key.Body {
		return Result{State: BodyMismatch}
	}
	id := key.ID()
	in := askRequest{ID: id[:], Incarnation: other.Owner.Incarnation, Seq: other.Seq}
	for m.link != nil && other.Owner != m.self {
		var s standing
		if err := m.call(ctx, other.Owner.Host, methodAsk, &in, &s); err != nil || !s.Known {
			break
		}
		if s.Free {
			return Result{State: Running, RetryAfter: m.opts.PollInterval}
		}
		if s.State != Running {
			return Result{State: s.State, Response: s.Answer}
		}
		select {
		case <-ctx.Done():
			return Result{State: Running, RetryAfter: m.opts.PollInterval}
		case <-m.clock.After(m.opts.PollInterval):
		}
	}
	// The owner is gone, cut off, or has forgotten the key. It may have run.
	if other.Outcome == OutcomeDone {
		return Result{State: Done}
	}
	return Result{State: Unknown}
}

func (m *Manager) call(ctx context.Context, host string, method peer.Method, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.link.Call(ctx, host, method, in, out)
}

func (m *Manager) onAsk(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var in askRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil || len(in.ID) != len(ID{}) {
		return nil, fmt.Errorf("claim: malformed question: %w", err)
	}
	if in.Incarnation != m.self.Incarnation {
		return msgpack.Marshal(&standing{})
	}
	id := ID(in.ID)
	h, ok := m.table.peek(id)
	if !ok {
		return msgpack.Marshal(&standing{})
	}
	s := standing{Known: true, State: Running}
	switch h.phase {
	case ended:
		s.State, s.Answer = Done, h.answer
	case lost:
		s.State = Unknown
	case doubtful:
		// The asker's next attempt may find the key free.
		s.Free = true
		if _, created, _ := m.table.open(id, h.body, m.seq.Add(1)); created {
			m.table.set(id, running, nil)
			m.release(ctx, id, false)
		}
	case releasing:
		s.Free = true
	}
	return msgpack.Marshal(&s)
}

// borrow asks the minter of a ticket for the right to run it.
func (m *Manager) borrow(ctx context.Context, id ID, key Key, t *Ticket, h holding) Result {
	if m.link == nil {
		m.table.drop(id)
		return Result{State: UnknownTicket}
	}
	in := borrowRequest{Text: key.Key, Account: key.Account, Body: key.Body, Seq: h.seq}
	var s standing
	err := m.call(ctx, t.Minter.Host, methodBorrow, &in, &s)
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		m.table.drop(id)
		return Result{State: UnknownTicket, RetryAfter: time.Second}
	case err != nil:
		// The minter may have lent it: ask again under the same number.
		m.table.set(id, doubtful, func(h *holding) { h.ticket, h.lender = t, t.Minter.Host })
		return Result{State: UnknownTicket, RetryAfter: m.opts.CallTimeout}
	case !s.Known:
		m.table.drop(id)
		return Result{State: UnknownTicket}
	case s.State == Granted:
		m.table.set(id, running, func(h *holding) { h.ticket, h.lender, h.part = t, t.Minter.Host, s.Part })
		return Result{State: Granted, PartiallyRan: s.Part}
	}
	m.table.drop(id)
	switch {
	case s.LentTo == m.self && !m.clock.Now().After(t.Expires):
		// An earlier loan to this host that it is giving back.
		return Result{State: Running, RetryAfter: m.opts.PollInterval}
	case s.LentTo.Host != "":
		return m.ask(ctx, key, Record{Body: key.Body, Owner: s.LentTo, Seq: s.LentSeq})
	case s.State == Running:
		return m.ask(ctx, key, Record{Body: key.Body, Owner: t.Minter})
	}
	return Result{State: s.State, Response: s.Answer}
}

// onBorrow lends a ticket once. A repeat of the same loan, whose answer was
// lost, is granted again: the borrower has dispatched nothing before it.
func (m *Manager) onBorrow(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in borrowRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil {
		return nil, fmt.Errorf("claim: malformed loan: %w", err)
	}
	key := Key{Account: in.Account, Key: in.Text, Body: in.Body}
	t, err := parseTicket(in.Text)
	if err != nil || t.Minter != m.self {
		return msgpack.Marshal(&standing{})
	}
	id := key.ID()
	if _, ok := m.admitOwn(id, key, t); !ok {
		return msgpack.Marshal(&standing{})
	}
	borrower := Record{ID: id, Body: in.Body, Owner: Owner{Host: from.Host, Incarnation: from.Incarnation}, Seq: in.Seq}
	h, created, full := m.table.open(id, in.Body, in.Seq)
	if full {
		return nil, errors.New("claim: too many keys")
	}
	if created {
		m.table.set(id, lent, func(h *holding) { h.ticket, h.lentTo = t, borrower })
		return msgpack.Marshal(&standing{Known: true, State: Granted, Part: h.part})
	}
	s := standing{Known: true, State: Running, Part: h.part}
	switch {
	case h.body != in.Body:
		s.State = BodyMismatch
	case h.phase == lent && h.lentTo.same(&borrower):
		s.State = Granted
	case h.phase == lent:
		s.LentTo, s.LentSeq = h.lentTo.Owner, h.lentTo.Seq
	case h.phase == ended:
		s.State, s.Answer = Done, h.answer
	case h.phase == lost:
		s.State = Unknown
	}
	return msgpack.Marshal(&s)
}

// returnTicket gives a loan back after nothing was dispatched.
func (m *Manager) returnTicket(ctx context.Context, id ID, h holding) {
	in := returnRequest{ID: id[:], Seq: h.seq, Part: h.part}
	// Without an answer the ticket stays lent, and is never run again.
	_ = m.call(ctx, h.lender, methodReturn, &in, nil)
}

func (m *Manager) onReturn(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in returnRequest
	if err := msgpack.Unmarshal(payload, &in); err != nil || len(in.ID) != len(ID{}) {
		return nil, fmt.Errorf("claim: malformed return: %w", err)
	}
	id := ID(in.ID)
	h, ok := m.table.peek(id)
	borrower := Record{Owner: Owner{Host: from.Host, Incarnation: from.Incarnation}, Seq: in.Seq}
	switch {
	case !ok || h.phase != lent || !h.lentTo.same(&borrower):
	case h.part || in.Part:
		m.table.set(id, doubtful, func(h *holding) { h.part = true })
	default:
		m.table.drop(id)
	}
	return msgpack.Marshal(&standing{Known: true})
}
