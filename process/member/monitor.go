package member

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/background"
	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Methods of the membership on the link.
const (
	MethodHeartbeat peer.Method = "hb"
	MethodMembers   peer.Method = "members"
)

// Transport is the link with what membership needs beside calls.
type Transport interface {
	peer.Link
	AddPeer(id peer.Identity)
	RemovePeer(host string)
	// Fresh returns nil when host proved itself on a new connection.
	Reconnect(ctx context.Context, host string) error
	// Meet opens a connection to an address and returns who answers there.
	DialAddress(ctx context.Context, address string) (peer.Identity, error)
}

// Options configure a Monitor; zero values get the defaults.
type Options struct {
	Link  Transport
	Clock clock.Clock
	Rand  clock.Rand
	// Seeds returns addresses where entry hosts may be found, such as those of
	// the settings and of the platform's list. May be nil.
	Seeds func() []string
	// Draining reports whether this host takes no new requests. May be nil.
	Draining func() bool

	Interval         time.Duration // between heartbeats; default 1 s
	Timeout          time.Duration // of one heartbeat or fresh connection; default 800 ms
	SeedInterval     time.Duration // between visits of the seeds; default 10 s
	RemoveGoneAfter  time.Duration // after which a gone host is forgotten; default 2 h
	Successors       int           // heartbeat targets in the domain; default 3
	CrossDomainLinks int           // hosts that keep links to each other domain; default 2
	MaxPeers         int           // default 4096
}

const (
	firstProbeIntervals = 2  // of a gone host, then doubling
	maxProbeIntervals   = 30 // bounds the time to notice a heal
	probesATick         = 3
	newsAHeartbeat      = 8
	checkTries          = 2 // fresh connections before a host is judged gone
)

func (o *Options) setDefaults() {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.Timeout, 800*time.Millisecond)
	setDefault(&o.SeedInterval, 10*time.Second)
	setDefault(&o.RemoveGoneAfter, 2*time.Hour)
	setDefault(&o.Successors, 3)
	setDefault(&o.CrossDomainLinks, 2)
	setDefault(&o.MaxPeers, 4096)
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Counters count a Monitor's work since the start.
type Counters struct {
	Sent, Received, Failed, Checks, DeclaredGone, Pulls atomic.Int64
	BusyNanos                                           atomic.Int64 // nanoseconds spent on making and reading heartbeats
}

// Monitor exchanges heartbeats and keeps the View of the other entry hosts.
type Monitor struct {
	*table
	Counters Counters

	opts     Options
	attached []attachment
	kick     chan struct{}
	work     background.Group
	pull     pullState
	seedMu   sync.Mutex
	seedAt   time.Time
	ctx      context.Context // ends with Run; handlers use it before Run too
	cancel   context.CancelFunc
}

var _ View = (*Monitor)(nil)

// New returns a monitor and registers its handlers on the link.
func New(opts Options) *Monitor {
	opts.setDefaults()
	m := &Monitor{table: newTable(opts.Link.Self(), opts.MaxPeers), opts: opts, kick: make(chan struct{}, 1)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	opts.Link.Handle(MethodHeartbeat, m.onHeartbeat)
	opts.Link.Handle(MethodMembers, m.onMembers)
	return m
}

// Run exchanges heartbeats until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	defer m.work.Close()
	defer context.AfterFunc(ctx, m.cancel)()
	for {
		m.round()
		select {
		case <-m.ctx.Done():
			return nil
		case <-m.kick:
			// News spread at once, but no faster than ten times an interval.
			if !m.wait(m.opts.Interval / 10) {
				return nil
			}
		case <-m.opts.Clock.After(m.jittered(m.opts.Interval)):
		}
	}
}

func (m *Monitor) wait(d time.Duration) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-m.opts.Clock.After(d):
		return true
	}
}

// jittered spreads d by a tenth, so that hosts started together do not stay in
// step.
func (m *Monitor) jittered(d time.Duration) time.Duration {
	return time.Duration((0.9 + 0.2*m.opts.Rand.Float64()) * float64(d))
}

// Kick sends the next heartbeats now, for news that should not wait.
func (m *Monitor) HeartbeatNow() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *Monitor) round() {
	if m.opts.Draining != nil && m.opts.Draining() {
		m.setDraining()
	}
	now := m.opts.Clock.Now()
	for _, host := range targets(m.self, m.current.Load().peers, m.opts.Successors, m.opts.CrossDomainLinks) {
		m.start(func() { m.beat(host) })
	}
	for _, host := range m.probes(now, probesATick) {
		m.start(func() { m.check(host) })
	}
	for _, host := range m.forget(now, m.opts.RemoveGoneAfter) {
		m.opts.Link.RemovePeer(host)
	}
	m.visitSeeds(now)
}

// start runs f beside the loop; nothing starts once the loop is to end.
func (m *Monitor) start(f func()) {
	if m.ctx.Err() == nil {
		m.work.Go(f)
	}
}

// Hint tells that host may be dead, such as after a failed call. It is checked
// on a fresh connection before it is judged.
func (m *Monitor) CheckHost(host string) { m.start(func() { m.check(host) }) }

// beat exchanges one heartbeat. A failure is about the connection until a
// fresh one has failed too.
func (m *Monitor) beat(host string) {
	if err := m.exchange(host); err != nil && m.ctx.Err() == nil {
		m.Counters.Failed.Add(1)
		m.check(host)
	}
}

// check asks host on fresh connections. Only when they fail as well is it
// judged gone: a forgotten connection fails while the host lives.
func (m *Monitor) check(host string) {
	if !m.beginCheck(host) {
		return
	}
	m.Counters.Checks.Add(1)
	began := m.opts.Clock.Now()
	alive := false
	for try := range checkTries {
		if try > 0 && !m.wait(m.opts.Interval/4) {
			break
		}
		if m.fresh(host) == nil {
			alive = true
			break
		}
	}
	if m.ctx.Err() != nil {
		return
	}
	now := m.opts.Clock.Now()
	before, _ := m.Lookup(host)
	if alive {
		m.heard(before.Identity, false, now)
	}
	m.endCheck(host, began, now, alive, firstProbeIntervals*m.opts.Interval, maxProbeIntervals*m.opts.Interval)
	if after, _ := m.Lookup(host); after.State == Gone && before.State != Gone {
		m.Counters.DeclaredGone.Add(1)
		m.HeartbeatNow()
	}
}

func (m *Monitor) fresh(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	return m.opts.Link.Reconnect(ctx, host)
}

// visitSeeds opens connections to seeds at which no live peer is known: at
// every interval while this host knows nobody, and rarely after that.
func (m *Monitor) visitSeeds(now time.Time) {
	if m.opts.Seeds == nil {
		return
	}
	m.seedMu.Lock()
	defer m.seedMu.Unlock()
	alive := map[string]bool{m.self.Address: true}
	for _, p := range m.current.Load().peers {
		if p.State == Alive {
			alive[p.Address] = true
		}
	}
	if len(alive) > 1 && now.Before(m.seedAt) {
		return
	}
	m.seedAt = now.Add(m.jittered(m.opts.SeedInterval))
	for _, address := range m.opts.Seeds() {
		if !alive[address] {
			m.start(func() { m.meet(address) })
		}
	}
}

func (m *Monitor) meet(address string) {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	id, err := m.opts.Link.DialAddress(ctx, address)
	if err != nil || id.Host == m.self.Host {
		return
	}
	m.heard(id, false, m.opts.Clock.Now())
	_ = m.members(id.Host)
	m.HeartbeatNow()
}

// errOld is the answer to a heartbeat of an incarnation that has a successor.
var errOld = errors.New("member: a newer incarnation is known")

// Seen records that an incarnation proved itself on a connection.
func (m *Monitor) RecordAlive(id peer.Identity) { m.heard(id, false, m.opts.Clock.Now()) }
