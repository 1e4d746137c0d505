package release

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/membership"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

// fleet is a platform and the followers and distributors of several entry hosts
// in one process.
type fleet struct {
	g              *WithT
	objects        *standin.Store
	net            *peertest.Network
	hosts          map[string]*fleetHost
	mu             sync.Mutex
	staleMembers   []peer.Identity // killed hosts that the membership still lists as alive
	onChange       []func()
	syncInterval   time.Duration
	opts           FollowerOptions // of every host
	watcherTimeout time.Duration
	oneWayDelay    func(from, to string) time.Duration // between two domains, or to the platform (to ""); nil: none
}

type fleetHost struct {
	follower    *Follower
	distributor *Distributor
	link        *platformLink
	activatedAt sync.Map // time of activation by release number
	domain      string
	stop        func()
}

// platformLink is the connection of one host to the platform. fail interrupts
// it, including calls in flight; restore ends that.
type platformLink struct {
	objectapi.Store
	watches atomic.Int64
	calls   atomic.Int64
	delay   time.Duration // one way
	mu      sync.Mutex
	ctx     context.Context
	fail    context.CancelFunc
}

func newPlatformLink(store objectapi.Store) *platformLink {
	l := &platformLink{Store: store}
	l.restore()
	return l
}

func (l *platformLink) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx, l.fail = context.WithCancel(context.Background())
}

func (l *platformLink) linkContext() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx
}

func (l *platformLink) Get(ctx context.Context, key string) (objectapi.Object, error) {
	l.calls.Add(1)
	defer sleep(2 * l.delay)
	if l.linkContext().Err() != nil {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *platformLink) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]objectapi.Object, error) {
	l.watches.Add(1)
	l.calls.Add(1)
	sleep(l.delay)
	defer sleep(l.delay)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.linkContext(), cancel)()
	if l.linkContext().Err() != nil {
		return nil, objectapi.ErrUnavailable
	}
	return l.Store.Watch(ctx, prefix, after, wait)
}

func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

// delayedLink adds the one-way delay between two domains to the request and the
// response of each call.
type delayedLink struct {
	*peertest.Link
	delay func(from, to string) time.Duration
}

func (l delayedLink) Call(ctx context.Context, host string, m peer.Method, in, out any) error {
	to, _, _ := strings.Cut(host, "-")
	d := l.delay(l.Self().Domain, to)
	sleep(d)
	defer sleep(d)
	return l.Link.Call(ctx, host, m, in, out)
}

// fleetView is the membership view of a host: all hosts on the network and the
// stale members.
type fleetView struct {
	fl   *fleet
	link *peertest.Link
}

func (v fleetView) Peers() []membership.Peer {
	v.fl.mu.Lock()
	defer v.fl.mu.Unlock()
	var out []membership.Peer
	for _, p := range v.link.Peers() {
		out = append(out, membership.Peer{Identity: p})
	}
	for _, p := range v.fl.staleMembers {
		out = append(out, membership.Peer{Identity: p})
	}
	return out
}

func (v fleetView) Lookup(string) (membership.Peer, bool) { return membership.Peer{}, false }
func (v fleetView) OnChange(f func()) {
	v.fl.mu.Lock()
	defer v.fl.mu.Unlock()
	v.fl.onChange = append(v.fl.onChange, f)
}

func (fl *fleet) notifyMembership() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, f := range fl.onChange {
		f()
	}
}

// awaitWatchers waits until all hosts have joined and only the elected hosts of
// each domain watch the platform.
func (fl *fleet) awaitWatchers(domains int) {
	fl.g.THelper()
	fl.g.Eventually(func() int {
		watching := 0
		for _, h := range fl.hosts {
			if h.distributor.watching.Load() || !h.distributor.Joined() {
				watching++
			}
		}
		return watching
	}, 5*time.Second, time.Millisecond).Should(Equal(domains * DefaultWatchers))
}

func newFleet(g *WithT) *fleet {
	return &fleet{
		g: g, objects: standin.NewStore(), net: peertest.NewNetwork(), hosts: map[string]*fleetHost{}, syncInterval: 100 * time.Millisecond, watcherTimeout: 400 * time.Millisecond,
		opts: FollowerOptions{WatchTimeout: 500 * time.Millisecond, PollInterval: 100 * time.Millisecond},
	}
}

// start runs n hosts in each domain.
func (fl *fleet) start(t testing.TB, domains, n int) {
	for d := range domains {
		for i := range n {
			fl.startHost(t, fmt.Sprintf("d%d-%d", d, i), fmt.Sprintf("d%d", d), newPlatformLink(fl.objects))
		}
	}
	fl.awaitWatchers(domains)
}

// startHost runs one host that reaches the platform over l.
func (fl *fleet) startHost(t testing.TB, name, domain string, l *platformLink) *fleetHost {
	h := &fleetHost{link: l, domain: domain}
	link := fl.net.Join(peer.Identity{Host: name, Domain: domain})
	opts := fl.opts
	opts.Host, opts.Store, opts.Clock, opts.Rand = name, l, clock.System{}, clock.NewSeeded(rendezvousWeight(domain, name))
	opts.Compile = func(r Release) (func(), error) {
		return func() { h.activatedAt.Store(r.Number, time.Now()) }, nil
	}
	h.follower = NewFollower(opts)
	var peerLink peer.Link = link
	if fl.oneWayDelay != nil {
		l.delay = fl.oneWayDelay(domain, "")
		peerLink = delayedLink{link, fl.oneWayDelay}
	}
	h.distributor = NewDistributor(DistributorOptions{Follower: h.follower, Link: peerLink, View: fleetView{fl, link}, SyncInterval: fl.syncInterval, WatcherTimeout: fl.watcherTimeout})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.distributor.Run(ctx) }()
	h.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(h.stop)
	fl.hosts[name] = h
	fl.notifyMembership()
	return h
}

// kill stops a host abruptly, as SIGKILL does. membershipUpdated says whether
// the membership drops the host.
func (fl *fleet) kill(name string, membershipUpdated bool) {
	fl.net.Leave(name)
	fl.hosts[name].stop()
	fl.mu.Lock()
	if !membershipUpdated {
		fl.staleMembers = append(fl.staleMembers, peer.Identity{Host: name, Domain: fl.hosts[name].domain})
	}
	fl.mu.Unlock()
	delete(fl.hosts, name)
	fl.notifyMembership()
}

func (fl *fleet) hostNames() []string {
	var out []string
	for name := range fl.hosts {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// publish accepts a release that sets one row.
func (fl *fleet) publish(key, text string) Release {
	fl.g.THelper()
	p := newPublisher(fl.objects, 1)
	head := mustSucceed(fl.g)(latestRelease(context.Background(), fl.objects))
	row, _ := head.Row(key)
	return mustSucceed(fl.g)(p.Apply(context.Background(), putRow("ada", key, text, row.Version)))
}

// awaitInForce waits until every host has rel in force.
func (fl *fleet) awaitInForce(rel Release) {
	fl.g.THelper()
	for _, name := range fl.hostNames() {
		h := fl.hosts[name]
		fl.g.Eventually(func() string { r, _ := h.follower.Current(); return fmt.Sprint(r.Number, r.Hash) }, 10*time.Second, time.Millisecond).
			Should(Equal(fmt.Sprint(rel.Number, rel.Hash)), name)
	}
}

func (fl *fleet) hostsOf(d string) []*fleetHost {
	var out []*fleetHost
	for _, name := range fl.hostNames() {
		if fl.hosts[name].domain == d {
			out = append(out, fl.hosts[name])
		}
	}
	return out
}
