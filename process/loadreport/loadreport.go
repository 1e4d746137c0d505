// Package loadreport polls the load reports of the backend servers, each server
// from two hosts of its failure domain, shares the results between the entry
// hosts, and keeps new work away from servers that are leaving or dead.
package loadreport

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/membership"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/serverstate"
	"bilberrydale/process/taskgroup"
)

// Errors of a poll. Compare with errors.Is.
var (
	// ErrNoReport means that the server responded, but not with a load report.
	ErrNoReport = errors.New("report: the server gives no load report")
	// ErrNoConnection means that no connection to the server could be opened.
	ErrNoConnection = errors.New("report: no connection to the server")
)

// Report is the load report of a backend server.
type Report struct {
	Running int      // requests being executed
	Queued  int      // requests waiting
	Slots   int      // requests that it executes concurrently
	Models  []string // loaded models, as model/adapter@version
	Role    string   // that the server has; empty: none
	Leaving bool     // the server is leaving and must not get new requests
}

// Prober polls backend servers. Implementations are safe for concurrent use.
type Prober interface {
	// Poll fetches the load report of the server at address (host:port). If fresh
	// is set it opens a new connection. It returns ErrNoReport, ErrNoConnection, or
	// another error if no response arrived.
	Poll(ctx context.Context, address string, fresh bool) (Report, error)
	// CloseIdleConnections closes the connections kept from earlier polls.
	CloseIdleConnections()
}

// Target is a backend server of the tables in force.
type Target struct {
	State  *serverstate.State
	Domain string // failure domain
}

// Options configure a Poller. Link, View, Clock, Rand, Prober and Targets are
// required; zero durations and counts get the defaults.
type Options struct {
	Link    peer.Link
	View    membership.View
	Monitor *membership.Monitor // its heartbeats carry server statuses; may be nil
	Clock   clock.Clock
	Rand    clock.Rand
	Prober  Prober
	// Targets returns the backend servers of all domains in the tables in force.
	Targets func() []Target
	// ListHosts reads the platform's host list. May be nil.
	ListHosts func(ctx context.Context) ([]objectapi.Host, error)

	Interval            time.Duration // between polls; default 1 s
	Owners              int           // hosts of the domain that poll each server; default 2
	ShareBytesPerSecond int           // limit of the bytes sent to all peers together for sharing loads; default 750
}

// setDefaults replaces durations and counts that are not positive.
func (o *Options) setDefaults() {
	if o.Interval <= 0 {
		o.Interval = time.Second
	}
	if o.Owners <= 0 {
		o.Owners = 2
	}
	if o.ShareBytesPerSecond <= 0 {
		o.ShareBytesPerSecond = 750
	}
}

// Consecutive polls that cannot connect before a server counts as down. A
// refused connection means that no process listens; a timeout may be a full
// accept queue and needs more evidence. A server that accepts connections but
// responds late or never is not marked down here: an overloaded server does the
// same, and removing it would overload the others in turn. Its requests decide
// (version/pick ejects servers).
const (
	maxRefusedConnects = 2
	maxFailedConnects  = 3
)

// Counters count the work of a Poller since its start: rounds, polls of servers,
// reads of the host list, and the calls and bytes that share loads with peers.
type Counters struct{ Rounds, Polls, HostListReads, LoadsShared, LoadsSharedBytes atomic.Int64 }

// Poller polls the backend servers of its domain, shares their loads and
// statuses with other hosts, and applies both to the server states. It is safe
// for concurrent use.
type Poller struct {
	Counters Counters

	opts Options
	mu   sync.Mutex // guards the fields from servers to incarnations, and the serverRecords
	// servers is keyed by address. Servers that the tables no longer have are
	// dropped.
	servers       map[string]*serverRecord
	byAddressHash map[uint32]*serverRecord // by the hash that shared loads carry
	seeds         []string                 // addresses of listed hosts that are not backend servers
	nextShare     time.Time                // no loads are shared before this time
	shareRounds   int                      // shares that were due so far, also empty ones; selects those that repeat details
	rounds        int                      // polling rounds so far; selects those in which standby owners poll
	incarnations  map[string]uint64        // of the hosts that are not gone, by name
	hostJoined    atomic.Bool              // a host joined since statuses were last repeated
	tasks         taskgroup.Group
}

// serverRecord is the state of a Poller for one backend server.
type serverRecord struct {
	target            Target
	status            serverStatus
	pendingHeartbeats int       // number of heartbeats that still have to carry the status by gossip
	down              bool      // according to this host's own polls
	nextCheck         time.Time // while down: next poll by a host that does not own the server
	failedConnects    int       // polls that could not connect since the last response
	polling           bool      // a poll is in progress
	report            Report    // of the last poll by this host
	primaryOwner      bool      // this host is the first owner and shares the load
	unshared          bool      // polled by this host since the last share
	detailsChanged    bool      // models, role or slots changed since the last share
}

// New returns a poller and registers it on the link and the heartbeats. It must
// be called before the link and the monitor start.
func New(opts Options) *Poller {
	opts.setDefaults()
	p := &Poller{opts: opts, servers: map[string]*serverRecord{}}
	opts.Link.Handle(MethodLoads, p.handleLoads)
	opts.View.OnChange(p.detectJoinedHosts)
	if opts.Monitor != nil {
		opts.Monitor.Attach("signs", p.encodeStatuses, p.applyPeerStatuses)
	}
	return p
}

// Run polls servers and shares their loads until ctx is cancelled. It always
// returns nil.
func (p *Poller) Run(ctx context.Context) error {
	defer p.tasks.Close()
	for {
		p.runRound(ctx)
		wait := time.Duration((0.9 + 0.2*p.opts.Rand.Float64()) * float64(p.opts.Interval))
		select {
		case <-ctx.Done():
			return nil
		case <-p.opts.Clock.After(wait):
		}
	}
}

// runRound starts the polls, the read of the host list and the sharing of loads
// that are due.
func (p *Poller) runRound(ctx context.Context) {
	p.updateTargets()
	p.Counters.Rounds.Add(1)
	if p.hostJoined.Swap(false) {
		p.repeatStatuses()
	}
	self := p.opts.Link.Self()
	hosts := membership.HostsInDomain(p.opts.View, self, self.Domain)
	now := p.opts.Clock.Now()
	for _, rec := range p.duePolls(self, hosts, now) {
		p.tasks.Go(func() { p.poll(ctx, rec) })
	}
	if p.opts.ListHosts != nil && membership.IsOwner(p.opts.View, self, "platform host list", p.opts.Owners) {
		p.tasks.Go(func() { p.readHostList(ctx) })
	}
	p.tasks.Go(func() { p.shareLoads(ctx, hosts, now) })
}

// updateTargets replaces the polled servers by those of the tables in force.
func (p *Poller) updateTargets() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*serverRecord, len(p.servers))
	for _, t := range p.opts.Targets() {
		rec := p.servers[t.State.Address]
		if rec == nil || rec.target != t {
			rec = &serverRecord{target: t}
			p.applyStatus(rec) // reset the state from before the tables dropped it
		}
		next[t.State.Address] = rec
	}
	if p.servers != nil && maps.Equal(next, p.servers) {
		return
	}
	p.servers, p.byAddressHash = next, make(map[uint32]*serverRecord, len(next))
	for address, rec := range next {
		p.byAddressHash[addressHash(address)] = rec
	}
}

// duePolls returns the servers to poll now and marks them as being polled: those
// that this host owns, and, less often, those that it considers down, in case
// their owners cannot reach them.
func (p *Poller) duePolls(self peer.Identity, hosts []string, now time.Time) []*serverRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rounds++
	var out []*serverRecord
	for address, rec := range p.servers {
		owned := false
		rec.primaryOwner = false
		if rec.target.Domain == self.Domain {
			rank := membership.RankIndex(address, self.Host, hosts)
			rec.primaryOwner = rank == 0
			owned = rec.primaryOwner || (rank < p.opts.Owners && p.rounds%standbyPollRounds == 0)
		}
		if rec.polling || !rec.target.State.Pauses.Admits(now) {
			continue
		}
		recheck := rec.down && !now.Before(rec.nextCheck)
		if owned || recheck {
			rec.polling = true
			out = append(out, rec)
		}
	}
	return out
}

// standbyPollRounds is the number of rounds between the polls of owners after
// the first. They matter only while the first owner is stopped or partitioned,
// and the rest of the three seconds that a status change may take has to suffice
// for spreading it.
const standbyPollRounds = 2

// recheckIntervals is the number of intervals between polls of a down server by
// a host that does not own it.
const recheckIntervals = 10

// poll polls one server and records the result. A failure on a kept connection
// counts only if a new connection fails as well: a middlebox may have dropped the
// state of the kept one while the server is alive.
func (p *Poller) poll(ctx context.Context, rec *serverRecord) {
	address := rec.target.State.Address
	p.Counters.Polls.Add(1)
	r, err := p.opts.Prober.Poll(ctx, address, false)
	if err != nil && !errors.Is(err, ErrNoReport) && ctx.Err() == nil {
		p.opts.Prober.CloseIdleConnections()
		r, err = p.opts.Prober.Poll(ctx, address, true)
	}
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		p.recordReport(rec, r)
	case errors.Is(err, ErrNoReport):
		p.recordNoReport(rec)
	default:
		p.recordFailure(rec, err)
	}
}

// recordReport stores a load report: the server is up, and leaving if it says so.
func (p *Poller) recordReport(rec *serverRecord, r Report) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	rec.detailsChanged = rec.detailsChanged || r.Role != rec.report.Role || !equal(r.Models, rec.report.Models) || r.Slots != rec.report.Slots
	rec.report, rec.unshared = r, true
	p.mu.Unlock()
	rec.target.State.SetLoad(&serverstate.Load{
		Running: r.Running, Queued: r.Queued, Slots: r.Slots, Models: r.Models, Role: r.Role, Received: now,
	})
	p.updateStatus(rec, func(s *serverStatus) { s.Down, s.ReportedLeaving = false, r.Leaving })
}

// recordNoReport records a response without a load report: the server is up.
func (p *Poller) recordNoReport(rec *serverRecord) {
	p.updateStatus(rec, func(s *serverStatus) { s.Down = false })
}

// recordFailure counts a failed poll and marks the server down after enough of
// them that could not connect.
func (p *Poller) recordFailure(rec *serverRecord, err error) {
	limit := maxFailedConnects
	if errors.Is(err, syscall.ECONNREFUSED) {
		limit = maxRefusedConnects
	}
	p.mu.Lock()
	rec.polling = false
	if errors.Is(err, ErrNoConnection) {
		rec.failedConnects++
	}
	down := rec.failedConnects >= limit
	p.mu.Unlock()
	if down {
		p.updateStatus(rec, func(s *serverStatus) { s.Down = true })
	}
}

// equal reports whether a and b have the same elements in the same order.
func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
