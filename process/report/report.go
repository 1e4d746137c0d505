// Package report knows how backend servers fare: it polls their load reports,
// each from two hosts of their domain, shares what it learns, and keeps new
// work away from servers that leave or are dead.
package report

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrydale/process/background"
	"bilberrydale/process/clock"
	"bilberrydale/process/member"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/server"
)

// Errors of a poll. Use errors.Is.
var (
	// ErrNoReport: the server answered, but not with a load report.
	ErrNoReport = errors.New("report: the server gives no load report")
	// ErrNoConnection: no connection to the server could be opened.
	ErrNoConnection = errors.New("report: no connection to the server")
)

// Report is a backend server's own account.
type Report struct {
	Running int
	Queued  int
	Slots   int
	Models  []string
	Role    string
	Leaving bool
}

// Prober asks backend servers.
type Prober interface {
	// Report polls address, on a fresh connection if fresh is set. It returns
	// ErrNoReport, ErrNoConnection, or another error when no answer came.
	Poll(ctx context.Context, address string, fresh bool) (Report, error)
	// Forget drops kept connections.
	CloseIdleConnections()
}

// Target is one backend server of the tables in force.
type Target struct {
	State  *server.State
	Domain string
}

// Options configure a Watcher; zero values get the defaults.
type Options struct {
	Link    peer.Link
	View    member.View
	Monitor *member.Monitor // carries signs on its heartbeats; may be nil
	Clock   clock.Clock
	Rand    clock.Rand
	Prober  Prober
	// Targets returns the backend servers of all domains.
	Targets func() []Target
	// Hosts reads the platform's list; may be nil.
	ListHosts func(ctx context.Context) ([]objectapi.Host, error)

	Interval            time.Duration // between polls; default 1 s
	Owners              int           // hosts of the domain that poll one server; default 2
	ShareBytesPerSecond int           // bytes a second for sharing load with peers; default 750
}

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

// Polls in a row that open no connection before a server is taken for dead: a
// refused connection says that no process listens, a lost one may be a full
// queue. A server that takes connections and answers late or never is not
// taken out here: an overloaded one does that too, and taking it out would
// overload the others in turn. Requests to it decide (version/pick ejects).
const (
	refusedPolls = 2
	lostPolls    = 3
)

// Counters count a Watcher's work.
type Counters struct{ Rounds, Polls, HostListReads, LoadsShared, LoadsSharedBytes atomic.Int64 }

// Watcher polls, shares and applies reports.
type Poller struct {
	Counters Counters

	opts Options
	mu   sync.Mutex
	// known is by server address; servers of older releases are dropped.
	known   map[string]*known
	byRow   map[uint32]*known // by the key of shared loads
	seeds   []string          // addresses of listed hosts that are no backend servers
	shareAt time.Time
	sends   int
	rounds  int
	present map[string]uint64 // incarnations of the hosts not gone
	joined  atomic.Bool       // a host came since signs were last repeated
	work    background.Group
}

// known is what this host holds of one backend server.
type known struct {
	target  Target
	sign    sign
	spread  int  // heartbeats that still carry the sign
	down    bool // by this host's own probes
	checkAt time.Time
	missed  int
	busy    bool
	report  Report
	first   bool // this host is the first owner and shares the load
	polled  bool // by this host since the last share
	detail  bool // models or role changed since the last share
}

// New returns a watcher and registers it on the link and the heartbeats.
func New(opts Options) *Poller {
	opts.setDefaults()
	w := &Poller{opts: opts, known: map[string]*known{}}
	opts.Link.Handle(MethodLoads, w.onLoads)
	opts.View.OnChange(w.noteJoined)
	if opts.Monitor != nil {
		opts.Monitor.Attach("signs", w.produceSigns, w.consumeSigns)
	}
	return w
}

// Run polls and shares until ctx ends.
func (w *Poller) Run(ctx context.Context) error {
	defer w.work.Close()
	for {
		w.round(ctx)
		wait := time.Duration((0.9 + 0.2*w.opts.Rand.Float64()) * float64(w.opts.Interval))
		select {
		case <-ctx.Done():
			return nil
		case <-w.opts.Clock.After(wait):
		}
	}
}

func (w *Poller) round(ctx context.Context) {
	w.refresh()
	w.Counters.Rounds.Add(1)
	if w.joined.Swap(false) {
		w.repeatSigns()
	}
	self := w.opts.Link.Self()
	hosts := member.HostsInDomain(w.opts.View, self, self.Domain)
	now := w.opts.Clock.Now()
	for _, k := range w.due(self, hosts, now) {
		w.work.Go(func() { w.poll(ctx, k) })
	}
	if w.opts.ListHosts != nil && member.IsOwner(w.opts.View, self, "platform host list", w.opts.Owners) {
		w.work.Go(func() { w.list(ctx) })
	}
	w.work.Go(func() { w.share(ctx, hosts, now) })
}

// refresh takes in the servers of the tables in force.
func (w *Poller) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[string]*known, len(w.known))
	for _, t := range w.opts.Targets() {
		k := w.known[t.State.Address]
		if k == nil || k.target != t {
			k = &known{target: t}
			w.apply(k) // forget what was known before the tables left it out
		}
		next[t.State.Address] = k
	}
	if w.known != nil && maps.Equal(next, w.known) {
		return
	}
	w.known, w.byRow = next, make(map[uint32]*known, len(next))
	for address, k := range next {
		w.byRow[rowKey(address)] = k
	}
}

// due returns the servers to poll now: those that this host owns, and those
// that it holds for dead, rarely, in case the owners cannot reach them.
func (w *Poller) due(self peer.Identity, hosts []string, now time.Time) []*known {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rounds++
	var out []*known
	for address, k := range w.known {
		owned := false
		k.first = false
		if k.target.Domain == self.Domain {
			place := member.RankIndex(address, self.Host, hosts)
			k.first = place == 0
			owned = k.first || (place < w.opts.Owners && w.rounds%standbyEvery == 0)
		}
		if k.busy {
			continue
		}
		recheck := k.down && !now.Before(k.checkAt)
		if owned || recheck {
			k.busy = true
			out = append(out, k)
		}
	}
	return out
}

// standbyEvery is how often owners after the first poll, in intervals. They
// matter only while the first is stopped or cut off, and what is left of the
// three seconds has to do for spreading the sign.
const standbyEvery = 2

// recheckIntervals is how often a host that does not own a dead server looks
// at it by itself.
const recheckIntervals = 10

// poll asks one server. A failure on a kept connection counts only when a
// fresh connection fails too: the kept one may have been forgotten by
// something in between while the server lives.
func (w *Poller) poll(ctx context.Context, k *known) {
	address := k.target.State.Address
	w.Counters.Polls.Add(1)
	r, err := w.opts.Prober.Poll(ctx, address, false)
	if err != nil && !errors.Is(err, ErrNoReport) && ctx.Err() == nil {
		w.opts.Prober.CloseIdleConnections()
		r, err = w.opts.Prober.Poll(ctx, address, true)
	}
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		w.reported(k, r)
	case errors.Is(err, ErrNoReport):
		w.answered(k)
	default:
		w.failed(k, err)
	}
}

func (w *Poller) reported(k *known, r Report) {
	now := w.opts.Clock.Now()
	w.mu.Lock()
	k.detail = k.detail || r.Role != k.report.Role || !equal(r.Models, k.report.Models) || r.Slots != k.report.Slots
	k.report, k.polled = r, true
	w.mu.Unlock()
	k.target.State.SetLoad(&server.Load{
		Running: r.Running, Queued: r.Queued, Slots: r.Slots, Models: r.Models, Role: r.Role, Received: now,
	})
	w.observe(k, func(s *sign) { s.Down, s.Reported = false, r.Leaving })
}

func (w *Poller) answered(k *known) { w.observe(k, func(s *sign) { s.Down = false }) }

func (w *Poller) failed(k *known, err error) {
	limit := lostPolls
	if errors.Is(err, syscall.ECONNREFUSED) {
		limit = refusedPolls
	}
	w.mu.Lock()
	k.busy = false
	if errors.Is(err, ErrNoConnection) {
		k.missed++
	}
	dead := k.missed >= limit
	w.mu.Unlock()
	if dead {
		w.observe(k, func(s *sign) { s.Down = true })
	}
}

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
