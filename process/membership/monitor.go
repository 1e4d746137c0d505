package membership

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/taskgroup"
)

// Methods that a Monitor registers on its link.
const (
	MethodHeartbeat peer.Method = "hb"      // exchanges heartbeats
	MethodMembers   peer.Method = "members" // returns the live hosts
)

// Transport is a link that also manages the connections to peers. peer.Mesh
// implements it.
type Transport interface {
	peer.Link
	// AddPeer makes a host known to the link; older incarnations are ignored.
	AddPeer(id peer.Identity)
	// RemovePeer closes the connections to host and removes it.
	RemovePeer(host string)
	// Reconnect returns nil when host authenticated itself on a new connection.
	Reconnect(ctx context.Context, host string) error
	// DialAddress opens a connection to an address (host:port) and returns the
	// identity of the entry host that runs there.
	DialAddress(ctx context.Context, address string) (peer.Identity, error)
}

// Options configure a Monitor. Link, Clock and Rand are required; zero durations
// and counts get the defaults.
type Options struct {
	Link  Transport
	Clock clock.Clock
	Rand  clock.Rand
	// Seeds returns addresses (host:port) at which entry hosts may run, for example
	// from the settings and from the platform's host list. This host connects to them
	// to find the other entry hosts. May be nil.
	Seeds func() []string
	// Draining reports whether this host takes no new requests. May be nil.
	Draining func() bool

	Interval         time.Duration // between heartbeats; default 1 s
	Timeout          time.Duration // of one heartbeat or new connection; default 800 ms
	SeedInterval     time.Duration // between contacts of the seeds; default 10 s
	RemoveGoneAfter  time.Duration // time after which a gone host is removed; default 2 h
	Successors       int           // heartbeat targets in the host's own domain; default 3
	CrossDomainLinks int           // hosts that send heartbeats to each other domain; default 2
	MaxPeers         int           // bound of the table of hosts; default 4096
}

const (
	// Heartbeat intervals between probes of a gone host: they double from the
	// first to the maximum, which bounds the time to detect a healed partition.
	firstProbeIntervals = 2
	maxProbeIntervals   = 30
	probesPerRound      = 3 // bounds the gone hosts that are probed per heartbeat interval
	updatesPerHeartbeat = 8 // bounds the updates of hosts that a heartbeat carries
	checkAttempts       = 2 // failed new connections before a host is declared gone
)

// setDefaults replaces durations and counts that are not positive.
func (o *Options) setDefaults() {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.Timeout, 800*time.Millisecond)
	setDefault(&o.SeedInterval, 10*time.Second)
	setDefault(&o.RemoveGoneAfter, 2*time.Hour)
	setDefault(&o.Successors, 3)
	setDefault(&o.CrossDomainLinks, 2)
	setDefault(&o.MaxPeers, 4096)
}

// setDefault replaces a value that is not positive by def.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Counters count the work of a Monitor since its start. Sent, Received and
// Failed are heartbeats, Checks the checks of hosts on new connections,
// DeclaredGone the hosts that this host declared gone, and Pulls the member
// lists fetched from peers.
type Counters struct {
	Sent, Received, Failed, Checks, DeclaredGone, Pulls atomic.Int64
	BusyNanos                                           atomic.Int64 // nanoseconds spent on building and applying heartbeats
}

// Monitor exchanges heartbeats with other entry hosts and maintains the View of
// them. It is safe for concurrent use.
type Monitor struct {
	*table
	Counters Counters

	opts            Options
	attachments     []attachment  // not changed after Run is called
	wake            chan struct{} // HeartbeatNow was called; holds one element
	tasks           taskgroup.Group
	pull            pullState
	seedMu          sync.Mutex // guards nextSeedContact
	nextSeedContact time.Time
	ctx             context.Context // cancelled when Run ends; handlers use it before Run too
	cancel          context.CancelFunc
}

var _ View = (*Monitor)(nil)

// New returns a monitor and registers its handlers on the link. It must be
// called before the link starts.
func New(opts Options) *Monitor {
	opts.setDefaults()
	m := &Monitor{table: newTable(opts.Link.Self(), opts.MaxPeers), opts: opts, wake: make(chan struct{}, 1)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	opts.Link.Handle(MethodHeartbeat, m.handleHeartbeat)
	opts.Link.Handle(MethodMembers, m.handleMembers)
	return m
}

// Run sends heartbeats, checks and probes until ctx is cancelled. It always
// returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	defer m.tasks.Close()
	defer context.AfterFunc(ctx, m.cancel)()
	for {
		m.runRound()
		select {
		case <-m.ctx.Done():
			return nil
		case <-m.wake:
			// Updates spread at once, but at most ten times per interval.
			if !m.sleep(m.opts.Interval / 10) {
				return nil
			}
		case <-m.opts.Clock.After(m.withJitter(m.opts.Interval)):
		}
	}
}

// sleep waits for d and reports false if Run ended meanwhile.
func (m *Monitor) sleep(d time.Duration) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-m.opts.Clock.After(d):
		return true
	}
}

// withJitter varies d by up to a tenth, so that hosts that started together do
// not stay synchronized.
func (m *Monitor) withJitter(d time.Duration) time.Duration {
	return time.Duration((0.9 + 0.2*m.opts.Rand.Float64()) * float64(d))
}

// HeartbeatNow sends the next heartbeats without waiting for the end of the
// interval, for updates that are urgent. It does not block.
func (m *Monitor) HeartbeatNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// runRound starts the heartbeats, probes and seed contacts that are due.
func (m *Monitor) runRound() {
	if m.opts.Draining != nil && m.opts.Draining() {
		m.setDraining()
	}
	now := m.opts.Clock.Now()
	for _, host := range heartbeatTargets(m.self, m.current.Load().peers, m.opts.Successors, m.opts.CrossDomainLinks) {
		m.startTask(func() { m.sendOrCheck(host) })
	}
	for _, host := range m.dueDoubts(now, m.recentContact()) {
		m.startTask(func() { m.check(host) })
	}
	for _, host := range m.dueProbes(now, probesPerRound) {
		m.startTask(func() { m.check(host) })
	}
	for _, host := range m.removeGone(now, m.opts.RemoveGoneAfter) {
		m.opts.Link.RemovePeer(host)
	}
	m.contactSeeds(now)
}

// recentContact is the time for which a contact outweighs a report that a host is unresponsive.
func (m *Monitor) recentContact() time.Duration { return 2 * m.opts.Interval }

// startTask runs f in its own goroutine, unless Run is about to end.
func (m *Monitor) startTask(f func()) {
	if m.ctx.Err() == nil {
		m.tasks.Go(f)
	}
}

// CheckHost checks host on a new connection because it may be dead, for example
// after a failed call. It does not block.
func (m *Monitor) CheckHost(host string) { m.startTask(func() { m.check(host) }) }

// sendOrCheck exchanges one heartbeat with host. If it fails, it checks host on
// a new connection: only the current connection may be broken.
func (m *Monitor) sendOrCheck(host string) {
	if err := m.exchangeHeartbeat(host); err != nil && m.ctx.Err() == nil {
		m.Counters.Failed.Add(1)
		m.check(host)
	}
}

// check probes host on new connections and declares it gone only if they fail
// as well: a connection whose state a middlebox has dropped fails while the host
// is alive.
func (m *Monitor) check(host string) {
	if !m.beginCheck(host) {
		return
	}
	m.Counters.Checks.Add(1)
	startedAt := m.opts.Clock.Now()
	alive := false
	for attempt := range checkAttempts {
		if attempt > 0 && !m.sleep(m.opts.Interval/4) {
			break
		}
		if m.reconnect(host) == nil {
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
		m.recordContact(before.Identity, false, now)
	}
	m.finishCheck(host, startedAt, now, alive, firstProbeIntervals*m.opts.Interval, maxProbeIntervals*m.opts.Interval)
	if after, _ := m.Lookup(host); after.State == Gone && before.State != Gone {
		m.Counters.DeclaredGone.Add(1)
		m.HeartbeatNow()
	}
}

// reconnect returns nil if host authenticated itself on a new connection within
// Options.Timeout.
func (m *Monitor) reconnect(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	return m.opts.Link.Reconnect(ctx, host)
}

// contactSeeds opens connections to the seeds at which no live peer is known:
// at every heartbeat interval while this host knows no live peer, and every
// SeedInterval after that.
func (m *Monitor) contactSeeds(now time.Time) {
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
	if len(alive) > 1 && now.Before(m.nextSeedContact) {
		return
	}
	m.nextSeedContact = now.Add(m.withJitter(m.opts.SeedInterval))
	for _, address := range m.opts.Seeds() {
		if !alive[address] {
			m.startTask(func() { m.contactSeed(address) })
		}
	}
}

// contactSeed connects to address and fetches the member list of its host.
func (m *Monitor) contactSeed(address string) {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	id, err := m.opts.Link.DialAddress(ctx, address)
	if err != nil || id.Host == m.self.Host {
		return
	}
	m.recordContact(id, false, m.opts.Clock.Now())
	_ = m.fetchMembers(id.Host)
	m.HeartbeatNow()
}

// errOldIncarnation is the response to a heartbeat of an incarnation that was
// replaced by a newer one.
var errOldIncarnation = errors.New("member: a newer incarnation is known")

// RecordAlive records that an incarnation authenticated itself on a connection.
func (m *Monitor) RecordAlive(id peer.Identity) { m.recordContact(id, false, m.opts.Clock.Now()) }
