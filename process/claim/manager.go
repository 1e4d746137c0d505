package claim

import (
	"context"
	"sync/atomic"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
)

// Manager is the Claims of an entry host. A key of the caller's own making is
// claimed on the platform before it runs. A ticket is decided by the memory of
// the incarnation that minted it. A claim is granted once: it never passes to
// another host, so a paused owner that wakes finds nobody in its place.
type Manager struct {
	Counters CommitCounters

	self   Owner
	clock  clock.Clock
	opts   Options
	link   peer.Link // nil: this host knows no other
	table  *table
	commit *committer
	mint   *mint
	seq    atomic.Uint64
}

// Config is what a Manager is made from.
type Config struct {
	Host        string
	Incarnation uint64
	Store       objectapi.Store
	Clock       clock.Clock
	Link        peer.Link // may be nil
	Options     Options
}

// New returns a Manager and registers its handlers with the link, which must
// not have been started.
func New(cfg Config) *Manager {
	self := Owner{Host: cfg.Host, Incarnation: cfg.Incarnation}
	m := &Manager{
		self: self, clock: cfg.Clock, opts: cfg.Options, link: cfg.Link,
		table: newTable(cfg.Clock, cfg.Options), mint: newMint(self, cfg.Clock, cfg.Options.TicketTTL),
	}
	m.commit = newCommitter(cfg.Store, cfg.Clock, cfg.Options, &m.Counters)
	if m.link != nil {
		m.commit.homes = newHomes(m.link, cfg.Clock, cfg.Options)
		m.handle()
	}
	return m
}

var (
	_ Claims          = (*Manager)(nil)
	_ PartialReleaser = (*Manager)(nil)
)

// Mint implements Claims.
func (m *Manager) MintTicket(_ context.Context, account string) (string, error) {
	return m.mint.issue(account)
}

// Flush writes the outcomes that no claim has carried to the platform yet. It
// is called at shutdown.
func (m *Manager) Flush(ctx context.Context) error { return m.commit.flush(ctx) }

// Begin implements Claims.
func (m *Manager) Begin(ctx context.Context, key Key) Result {
	id := key.ID()
	var ticket *Ticket
	if isTicket(key.Key) {
		t, err := parseTicket(key.Key)
		if err != nil {
			return Result{State: UnknownTicket}
		}
		ticket = t
	}
	if ticket != nil && ticket.Minter == m.self {
		if res, ok := m.admitOwn(id, key, ticket); !ok {
			return res
		}
	}
	h, created, full := m.table.open(id, key.Body, m.seq.Add(1))
	switch {
	case full:
		return Result{State: Unavailable, RetryAfter: m.opts.StoreBackoff}
	case !created:
		return m.known(ctx, id, key, h)
	case ticket == nil:
		return m.claim(ctx, id, key, h)
	case ticket.Minter == m.self:
		m.table.set(id, running, func(h *holding) { h.ticket = ticket })
		return Result{State: Granted, PartiallyRan: h.part}
	default:
		return m.borrow(ctx, id, key, ticket, h)
	}
}

// admitOwn checks a ticket of this incarnation before its first use.
func (m *Manager) admitOwn(id ID, key Key, t *Ticket) (Result, bool) {
	if m.mint.check(key.Key, key.Account) != nil {
		return Result{State: UnknownTicket}, false
	}
	if _, used := m.table.peek(id); !used && m.clock.Now().After(t.Expires) {
		return Result{State: UnknownTicket}, false
	}
	return Result{}, true
}

// known answers from this process's memory.
func (m *Manager) known(ctx context.Context, id ID, key Key, h holding) Result {
	if h.body != key.Body {
		return Result{State: BodyMismatch}
	}
	switch h.phase {
	case ended:
		return Result{State: Done, Response: h.answer}
	case lost:
		return Result{State: Unknown}
	case lent:
		return m.ask(ctx, key, h.lentTo)
	default:
		return Result{State: Running, Wait: h.done, RetryAfter: m.opts.PollInterval}
	}
}

// claim makes the claim on the platform.
func (m *Manager) claim(ctx context.Context, id ID, key Key, h holding) Result {
	m.Counters.Claims.Add(1)
	r := Record{ID: id, Body: key.Body, Owner: m.self, Seq: h.seq, At: m.clock.Now(), PartiallyRan: h.part}
	res := m.commit.run(ctx, add, r, h.first)
	switch res.verdict {
	case granted:
		m.table.set(id, running, func(h *holding) { h.part = res.other.PartiallyRan })
		return Result{State: Granted, PartiallyRan: res.other.PartiallyRan}
	case taken:
		m.table.drop(id)
		return m.ask(ctx, key, res.other)
	case undecided:
		// The record may stand on the platform. Nothing was dispatched: the
		// next Begin here takes the same record up again.
		m.table.set(id, doubtful, nil)
	default:
		m.table.drop(id)
	}
	wait, _ := m.commit.down()
	return Result{State: Unavailable, RetryAfter: max(wait, m.opts.StoreBackoff)}
}

// Finish implements Claims.
func (m *Manager) Finish(_ context.Context, key Key, answer Response) {
	id := key.ID()
	m.table.set(id, ended, func(h *holding) {
		if int64(len(answer.Body)) <= m.opts.MaxResponseBytes {
			h.answer = &answer
		}
	})
	m.note(id, OutcomeDone)
}

// Lose implements Claims.
func (m *Manager) MarkUnknown(_ context.Context, key Key) {
	id := key.ID()
	m.table.set(id, lost, nil)
	m.note(id, OutcomeUnknown)
}

func (m *Manager) note(id ID, o Outcome) {
	h, ok := m.table.peek(id)
	if !ok || h.ticket != nil {
		return
	}
	m.commit.note(Record{ID: id, Body: h.body, Owner: m.self, Seq: h.seq, At: h.touched, Outcome: o})
}

// Release implements Claims. The claim is given back so that a resend to any
// host may run the key.
func (m *Manager) Release(ctx context.Context, key Key) { m.release(ctx, key.ID(), false) }

// ReleasePart implements Parts.
func (m *Manager) ReleasePartial(ctx context.Context, key Key) { m.release(ctx, key.ID(), true) }

func (m *Manager) release(ctx context.Context, id ID, ranPart bool) {
	h, ok := m.table.peek(id)
	if !ok || h.phase != running {
		return
	}
	h.part = h.part || ranPart
	switch {
	case h.ticket == nil:
		m.table.set(id, releasing, func(held *holding) { held.part = h.part })
		go m.giveBack(id, h)
	case h.lender == "" && h.part:
		m.table.set(id, doubtful, func(held *holding) { held.part = true })
	case h.lender == "":
		m.table.drop(id)
	default:
		// Forgotten before it is given back: this host cannot run the key
		// while the lender may already have lent it to another.
		m.table.drop(id)
		go m.returnTicket(context.WithoutCancel(ctx), id, h)
	}
}

// giveBack gives the claim up on the platform. If that fails the record may
// stand; the next Begin here replaces it with a new one. The new number keeps
// a delayed removal from taking away a claim under which something runs.
func (m *Manager) giveBack(id ID, h holding) {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.CommitTimeout)
	defer cancel()
	r := Record{ID: id, Body: h.body, Owner: m.self, Seq: h.seq}
	act := remove
	if h.part {
		act = part
	}
	if m.commit.run(ctx, act, r, h.first).verdict == granted {
		m.table.drop(id)
		return
	}
	m.table.set(id, doubtful, nil)
}
