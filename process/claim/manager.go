package claim

import (
	"context"
	"sync/atomic"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
)

// Manager is the Claims of an entry host. A key chosen by the caller is claimed on
// the platform before its request runs. A ticket is claimed in the memory of the
// incarnation that minted it. A claim is never transferred to another host, so
// an owner that resumes after a pause cannot find its claim taken over.
type Manager struct {
	Counters CommitCounters // calls to the platform; safe for concurrent use

	self      Owner // this incarnation of the host
	clock     clock.Clock
	opts      Options
	link      peer.Link // nil if there are no other hosts
	table     *keyTable
	committer *committer
	minter    *ticketMinter
	seq       atomic.Uint64 // number of the last claim or loan; see Record.Seq
}

// Config holds the identity, dependencies and options of a Manager.
type Config struct {
	Host        string // name of this entry host
	Incarnation uint64 // of the process; differs after each start of the host
	Store       objectapi.Store
	Clock       clock.Clock
	Link        peer.Link // nil if there are no other hosts
	Options     Options   // zero fields get no defaults; see DefaultOptions
}

// New returns a Manager and registers its handlers with cfg.Link, which must not
// have been started.
func New(cfg Config) *Manager {
	self := Owner{Host: cfg.Host, Incarnation: cfg.Incarnation}
	m := &Manager{
		self: self, clock: cfg.Clock, opts: cfg.Options, link: cfg.Link,
		table: newKeyTable(cfg.Clock, cfg.Options), minter: newTicketMinter(self, cfg.Clock, cfg.Options.TicketTTL),
	}
	m.committer = newCommitter(cfg.Store, cfg.Clock, cfg.Options, &m.Counters)
	if m.link != nil {
		m.committer.writers = newShardWriters(m.link, cfg.Clock, cfg.Options)
		m.registerHandlers()
	}
	return m
}

var (
	_ Claims          = (*Manager)(nil)
	_ PartialReleaser = (*Manager)(nil)
)

// MintTicket implements Claims. The error is that of encoding the ticket.
func (m *Manager) MintTicket(_ context.Context, account string) (string, error) {
	return m.minter.mint(account)
}

// Flush writes the outcomes that are not on the platform yet. It is called at
// shutdown and returns the error of ctx if that ends first.
func (m *Manager) Flush(ctx context.Context) error { return m.committer.flushOutcomes(ctx) }

// Begin implements Claims. A key or ticket in the table gets the result of its state
// there. A new key is claimed on the platform. A new, valid ticket is granted if this
// incarnation minted it; otherwise the right to run it once is borrowed from its
// minter. A claim or loan with an unknown outcome is requested again.
func (m *Manager) Begin(ctx context.Context, key Key) Result {
	id := key.ID()
	var ticket *Ticket
	if hasTicketPrefix(key.Key) {
		t, err := parseTicket(key.Key)
		if err != nil {
			return Result{State: UnknownTicket}
		}
		ticket = t
	}
	if ticket != nil && ticket.Minter == m.self {
		if res, ok := m.checkOwnTicket(id, key, ticket); !ok {
			return res
		}
	}
	state, created, full := m.table.getOrCreate(id, key.Body, m.seq.Add(1))
	switch {
	case full:
		return Result{State: Unavailable, RetryAfter: m.opts.StoreBackoff}
	case !created:
		return m.resultFromTable(ctx, id, key, state)
	case ticket == nil:
		return m.claimKey(ctx, id, key, state)
	case ticket.Minter == m.self:
		m.table.setPhase(id, phaseRunning, func(s *keyState) { s.ticket = ticket })
		return Result{State: Granted, PartiallyRan: state.partiallyRan}
	default:
		return m.borrowTicket(ctx, id, key, ticket, state)
	}
}

// checkOwnTicket verifies a ticket that names this incarnation as its minter, and
// before the first use its expiry. It returns false with the refusal if the
// ticket may not run.
func (m *Manager) checkOwnTicket(id ID, key Key, t *Ticket) (Result, bool) {
	if m.minter.verify(key.Key, key.Account) != nil {
		return Result{State: UnknownTicket}, false
	}
	if _, used := m.table.get(id); !used && m.clock.Now().After(t.Expires) {
		return Result{State: UnknownTicket}, false
	}
	return Result{}, true
}

// resultFromTable returns the result for a key that is in the table. If the ticket
// is lent, it queries the borrower.
func (m *Manager) resultFromTable(ctx context.Context, id ID, key Key, state keyState) Result {
	if state.body != key.Body {
		return Result{State: BodyMismatch}
	}
	switch state.phase {
	case phaseFinished:
		return Result{State: Done, Response: state.response}
	case phaseUnknown:
		return Result{State: Unknown}
	case phaseLent:
		return m.queryOwner(ctx, key, state.loan)
	default:
		return Result{State: Running, Wait: state.changed, RetryAfter: m.opts.PollInterval}
	}
}

// claimKey writes the claim to the platform and returns the result of Begin. If
// another claim of the key is in effect, it queries its owner.
func (m *Manager) claimKey(ctx context.Context, id ID, key Key, state keyState) Result {
	m.Counters.Claims.Add(1)
	r := Record{ID: id, Body: key.Body, Owner: m.self, Seq: state.seq, ClaimedAt: m.clock.Now(), PartiallyRan: state.partiallyRan}
	res := m.committer.submitAndWait(ctx, actionAdd, r, state.minSeq)
	switch res.verdict {
	case verdictGranted:
		m.table.setPhase(id, phaseRunning, func(s *keyState) { s.partiallyRan = res.record.PartiallyRan })
		return Result{State: Granted, PartiallyRan: res.record.PartiallyRan}
	case verdictTaken:
		m.table.remove(id)
		return m.queryOwner(ctx, key, res.record)
	case verdictUnknown:
		// The record may be on the platform, but nothing was dispatched: the
		// next Begin here supersedes the record with a new one.
		m.table.setPhase(id, phaseUncertain, nil)
	default:
		m.table.remove(id)
	}
	wait, _ := m.committer.storeBackoff()
	return Result{State: Unavailable, RetryAfter: max(wait, m.opts.StoreBackoff)}
}

// Finish implements Claims.
func (m *Manager) Finish(_ context.Context, key Key, response Response) {
	id := key.ID()
	m.table.setPhase(id, phaseFinished, func(s *keyState) {
		if int64(len(response.Body)) <= m.opts.MaxResponseBytes {
			s.response = &response
		}
	})
	m.queueOutcome(id, OutcomeDone)
}

// MarkUnknown implements Claims.
func (m *Manager) MarkUnknown(_ context.Context, key Key) {
	id := key.ID()
	m.table.setPhase(id, phaseUnknown, nil)
	m.queueOutcome(id, OutcomeUnknown)
}

// queueOutcome records the outcome with the next write of the shard. Tickets have
// no record on the platform.
func (m *Manager) queueOutcome(id ID, o Outcome) {
	state, ok := m.table.get(id)
	if !ok || state.ticket != nil {
		return
	}
	m.committer.queueOutcome(Record{ID: id, Body: state.body, Owner: m.self, Seq: state.seq, ClaimedAt: state.updated, Outcome: o})
}

// Release implements Claims. It returns before the claim is removed from the
// platform or the ticket is returned; after that a resend to any host may run it.
func (m *Manager) Release(ctx context.Context, key Key) { m.release(ctx, key.ID(), false) }

// ReleasePartial implements PartialReleaser.
func (m *Manager) ReleasePartial(ctx context.Context, key Key) { m.release(ctx, key.ID(), true) }

// release starts releasing the claim of a running request.
func (m *Manager) release(ctx context.Context, id ID, partiallyRan bool) {
	state, ok := m.table.get(id)
	if !ok || state.phase != phaseRunning {
		return
	}
	state.partiallyRan = state.partiallyRan || partiallyRan
	switch {
	case state.ticket == nil:
		m.table.setPhase(id, phaseReleasing, func(s *keyState) { s.partiallyRan = state.partiallyRan })
		go m.releaseClaim(id, state)
	case state.lender == "" && state.partiallyRan:
		m.table.setPhase(id, phaseUncertain, func(s *keyState) { s.partiallyRan = true })
	case state.lender == "":
		m.table.remove(id)
	default:
		// Removed before the ticket is returned, so that this host cannot run
		// the key when the lender has already lent it to another host.
		m.table.remove(id)
		go m.returnTicket(context.WithoutCancel(ctx), id, state)
	}
}

// releaseClaim removes the claim from the platform. If that fails the record may
// remain; the next Begin here supersedes it with a new one. The new number keeps
// a delayed removal from removing a claim under which a request runs.
func (m *Manager) releaseClaim(id ID, state keyState) {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.CommitTimeout)
	defer cancel()
	r := Record{ID: id, Body: state.body, Owner: m.self, Seq: state.seq}
	releaseAction := actionRemove
	if state.partiallyRan {
		releaseAction = actionReleasePartial
	}
	if m.committer.submitAndWait(ctx, releaseAction, r, state.minSeq).verdict == verdictGranted {
		m.table.remove(id)
		return
	}
	m.table.setPhase(id, phaseUncertain, nil)
}
