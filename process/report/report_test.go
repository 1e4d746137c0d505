package report_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/serverprobe"
	"bilberrydale/process/clock"
	"bilberrydale/process/member"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
	"bilberrydale/process/report"
	"bilberrydale/process/server"
)

const (
	interval = 20 * time.Millisecond
	patience = 10 * time.Second
)

var (
	errTimeout = errors.New("no answer in time")
	errRefused = fmt.Errorf("%w: %w", report.ErrNoConnection, syscall.ECONNREFUSED)
)

// backends are fake backend servers that every host polls; faults are by host.
type backends struct {
	mu      sync.Mutex
	reports map[string]report.Report
	kept    map[string]error            // on kept connections
	all     map[string]error            // on every connection
	from    map[string]map[string]error // on every connection of one host
	polls   map[string]int
}

type prober struct {
	*backends
	host string
}

func (p prober) Poll(_ context.Context, address string, fresh bool) (report.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[p.host]++
	if err := p.all[address]; err != nil {
		return report.Report{}, err
	}
	if err := p.from[p.host][address]; err != nil {
		return report.Report{}, err
	}
	if err := p.kept[address]; err != nil && !fresh {
		return report.Report{}, err
	}
	return p.reports[address], nil
}

func (p prober) CloseIdleConnections() {}

func (b *backends) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// site is a few domains of entry hosts and their backend servers.
type site struct {
	*backends
	g     Gomega
	net   *peertest.Network
	mu    sync.Mutex
	list  []objectapi.Host
	err   error
	hosts map[string]*siteHost

	leftOut sync.Map // servers that the tables leave out
}

type siteHost struct {
	registry *server.Registry
	watcher  *report.Poller
	monitor  *member.Monitor
}

func newSite(t *testing.T, domains, hosts, servers int) *site {
	s := &site{
		backends: &backends{
			reports: map[string]report.Report{}, kept: map[string]error{}, all: map[string]error{},
			from: map[string]map[string]error{}, polls: map[string]int{},
		},
		g: NewWithT(t), net: peertest.NewNetwork(), hosts: map[string]*siteHost{},
	}
	for d := range domains {
		for i := range hosts {
			s.start(t, fmt.Sprintf("h%d-%d", d, i), fmt.Sprint("d", d), domains, servers)
		}
	}
	for name, h := range s.hosts {
		s.g.Eventually(func() int { return len(h.monitor.Peers()) }, patience).Should(Equal(domains*hosts-1), name)
	}
	return s
}

func (s *site) start(t *testing.T, name, domain string, domains, servers int) {
	link := s.net.Join(peer.Identity{Host: name, Incarnation: 1, Domain: domain, Address: name})
	h := &siteHost{registry: server.NewRegistry()}
	sys, rnd := clock.System{}, clock.NewSeeded(uint64(len(s.hosts)+1))
	h.monitor = member.New(member.Options{Link: link, Clock: sys, Rand: rnd, Interval: interval, Seeds: func() []string { return []string{"h0-0"} }})
	h.watcher = report.New(report.Options{
		Link: link, View: h.monitor, Monitor: h.monitor, Clock: sys, Rand: rnd, Prober: prober{s.backends, name}, Interval: interval,
		ListHosts: func(context.Context) ([]objectapi.Host, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.list, s.err
		},
		Targets: func() []report.Target {
			var out []report.Target
			for d := range domains {
				for i := range servers {
					n := fmt.Sprintf("s%d-%d", d, i)
					if _, left := s.leftOut.Load(n); left {
						continue
					}
					out = append(out, report.Target{State: h.registry.Get(n, n+":1", time.Unix(1, 0)), Domain: fmt.Sprint("d", d)})
				}
			}
			return out
		},
	})
	s.hosts[name] = h
	for _, run := range []func(context.Context) error{h.monitor.Run, h.watcher.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- run(ctx) }()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
}

func (s *site) state(host, srv string) *server.State {
	return s.hosts[host].registry.Get(srv, srv+":1", time.Unix(1, 0))
}

func (s *site) everywhere(srv string, check func(*server.State) bool, want bool) {
	for name := range s.hosts {
		s.g.EventuallyWithOffset(1, func() bool { return check(s.state(name, srv)) }, patience, interval).Should(Equal(want), "%s on %s", srv, name)
	}
}

// A backend server says in its own report that it leaves. The platform is
// down, so no list will ever say so. Two hosts of its domain poll it; every
// host of every domain has to stop sending it work, and to use it again when
// it is back.
func TestLeavingServerIsKnownEverywhereWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t, 3, 3, 2)
	s.mu.Lock()
	s.err = objectapi.ErrUnavailable
	s.mu.Unlock()
	s.everywhere("s1-0", (*server.State).Usable, true)
	s.set(func() { s.reports["s1-0:1"] = report.Report{Leaving: true} })
	s.everywhere("s1-0", (*server.State).Usable, false)
	s.set(func() { s.reports["s1-0:1"] = report.Report{} })
	s.everywhere("s1-0", (*server.State).Usable, true)
}

// The platform lists a server as leaving before the server says anything. The
// list is a sign like any other; when it lags behind and still says live, it
// does not undo what the server itself reports.
func TestTheListAddsSignsAndDoesNotUndoOthers(t *testing.T) {
	s := newSite(t, 2, 2, 1)
	s.mu.Lock()
	s.list = []objectapi.Host{{Name: "s0-0", Address: "s0-0:1", State: objectapi.HostLeaving}, {Name: "s1-0", State: objectapi.HostLive}}
	s.mu.Unlock()
	s.set(func() { s.reports["s1-0:1"] = report.Report{Leaving: true} })
	s.everywhere("s0-0", (*server.State).Usable, false)
	s.everywhere("s1-0", (*server.State).Usable, false)
	lists := s.hosts["h0-0"].watcher.Counters.HostListReads.Load()
	s.g.Eventually(s.hosts["h0-0"].watcher.Counters.HostListReads.Load, patience).Should(BeNumerically(">", lists+3))
	s.g.Expect(s.state("h0-0", "s1-0").Usable()).To(BeFalse())
}

// A kept connection to a server was forgotten by something in between and
// every poll on it times out. The server is well: fresh connections work. It
// must not be taken out for one moment.
func TestSilentConnectionIsNotADeadServer(t *testing.T) {
	s := newSite(t, 1, 2, 1)
	s.set(func() { s.kept["s0-0:1"] = errTimeout })
	for range 200 {
		s.g.Expect(s.state("h0-0", "s0-0").Usable()).To(BeTrue())
		s.g.Expect(s.state("h0-1", "s0-0").Usable()).To(BeTrue())
		before := s.hosts["h0-0"].watcher.Counters.Polls.Load()
		if before > 20 {
			return
		}
		s.g.Eventually(s.hosts["h0-0"].watcher.Counters.Polls.Load, patience).Should(BeNumerically(">", before))
	}
}

// A server is so loaded that it takes connections and answers no poll in time.
// If that took it out, the others would get its work, be as late, and go out
// one after the other. Requests decide about it.
func TestLateServerIsNotTakenOut(t *testing.T) {
	s := newSite(t, 1, 2, 1)
	s.set(func() { s.all["s0-0:1"] = errTimeout })
	polls := s.hosts["h0-0"].watcher.Counters.Polls.Load
	before := polls()
	s.g.Eventually(polls, patience).Should(BeNumerically(">", before+10))
	s.everywhere("s0-0", (*server.State).Usable, true)
}

// A server dies: both owners' polls are refused, on fresh connections too. All
// hosts keep work away from it, each after a probe of its own, and take it
// back when it answers again.
func TestDeadServerIsDownEverywhereAndComesBack(t *testing.T) {
	s := newSite(t, 2, 3, 1)
	s.set(func() { s.all["s0-0:1"] = errRefused })
	s.everywhere("s0-0", (*server.State).Usable, false)
	s.set(func() { delete(s.all, "s0-0:1") })
	s.everywhere("s0-0", (*server.State).Usable, true)
}

// The links of both owners to a server are broken; they tell the others that
// it is down. The others' own probes succeed, so they keep sending it work.
func TestOneHostsProbeIsOnlyAHint(t *testing.T) {
	s := newSite(t, 1, 3, 1)
	ranked := member.Rank("s0-0:1", []string{"h0-0", "h0-1", "h0-2"})
	refused := map[string]error{"s0-0:1": errRefused}
	s.set(func() { s.from[ranked[0]], s.from[ranked[1]] = refused, refused })
	for _, owner := range ranked[:2] {
		s.g.Eventually(func() bool { return s.state(owner, "s0-0").Usable() }, patience).Should(BeFalse())
	}
	polls := func() int {
		s.backends.mu.Lock()
		defer s.backends.mu.Unlock()
		return s.polls[ranked[2]]
	}
	s.g.Eventually(polls, patience).Should(BeNumerically(">", 0))
	s.g.Expect(s.state(ranked[2], "s0-0").Usable()).To(BeTrue())
}

// A host starts, in another domain, after a server was found leaving. The sign
// has long spread; without being told again it would send the server work.
func TestHostThatComesLaterLearnsOfLeavingServers(t *testing.T) {
	s := newSite(t, 2, 2, 1)
	s.set(func() { s.reports["s0-0:1"] = report.Report{Leaving: true} })
	s.everywhere("s0-0", (*server.State).Usable, false)
	sent := s.hosts["h1-0"].monitor.Counters.Sent.Load()
	s.g.Eventually(s.hosts["h1-0"].monitor.Counters.Sent.Load, patience).Should(BeNumerically(">", sent+60), "the news has spread")
	s.start(t, "h1-2", "d1", 2, 1)
	s.everywhere("s0-0", (*server.State).Usable, false)
}

// A server left, went out of the tables, and a later release has it again at
// the same address. What was known of it before must not keep it out.
func TestServerThatTheTablesHaveAgainIsUsable(t *testing.T) {
	s := newSite(t, 1, 3, 1)
	s.set(func() { s.reports["s0-0:1"] = report.Report{Leaving: true} })
	s.everywhere("s0-0", (*server.State).Usable, false)
	s.leftOut.Store("s0-0", true)
	for _, h := range s.hosts {
		before := h.watcher.Counters.Rounds.Load()
		s.g.Eventually(h.watcher.Counters.Rounds.Load, patience).Should(BeNumerically(">", before+2), "the tables are taken in")
	}
	s.set(func() { s.reports["s0-0:1"] = report.Report{} })
	s.leftOut.Delete("s0-0")
	s.everywhere("s0-0", (*server.State).Usable, true)
}

// A domain is cut off from the others and the platform is down for all. A
// server of the cut domain leaves. Its own hosts have to know at once, from
// each other alone; the others learn when the cut heals, without the server
// changing again.
func TestDomainCutFromPeersAndPlatformGoesOnAndHeals(t *testing.T) {
	s := newSite(t, 2, 3, 1)
	s.mu.Lock()
	s.err = objectapi.ErrUnavailable
	s.mu.Unlock()
	pairs := func(do func(a, b string)) {
		for i := range 3 {
			for j := range 3 {
				do(fmt.Sprint("h0-", i), fmt.Sprint("h1-", j))
			}
		}
	}
	pairs(s.net.Partition)
	s.set(func() { s.reports["s1-0:1"] = report.Report{Leaving: true} })
	for i := range 3 {
		name := fmt.Sprint("h1-", i)
		s.g.Eventually(func() bool { return s.state(name, "s1-0").Usable() }, patience, interval).Should(BeFalse(), name)
		s.g.Expect(s.state(name, "s0-0").Usable()).To(BeTrue(), "a cut is no sign of a server")
		outside := s.hosts[fmt.Sprint("h0-", i)]
		s.g.Eventually(func() member.State { p, _ := outside.monitor.Lookup(name); return p.State }, patience).Should(Equal(member.Gone))
		s.g.Expect(s.state(fmt.Sprint("h0-", i), "s1-0").Usable()).To(BeTrue())
	}
	pairs(s.net.Heal)
	s.everywhere("s1-0", (*server.State).Usable, false)
}

// Load reports reach the hosts that do not poll the server themselves.
func TestLoadIsSharedInTheDomain(t *testing.T) {
	s := newSite(t, 1, 5, 3)
	s.set(func() {
		for i := range 3 {
			s.reports[fmt.Sprintf("s0-%d:1", i)] = report.Report{Running: i, Queued: 7, Slots: 8, Models: []string{"m@2"}, Role: "decode"}
		}
	})
	for name := range s.hosts {
		s.g.Eventually(func() string {
			l := s.state(name, "s0-1").Load()
			if l == nil {
				return ""
			}
			return fmt.Sprintf("%d %d %d %v %s", l.Running, l.Queued, l.Slots, l.Models, l.Role)
		}, patience).Should(Equal("1 7 8 [m@2] decode"), name)
	}
}

func TestProbeOverHTTP(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"running":3,"queued":1,"slots":8,"models":["m"],"role":"r","leaving":true,"other":1}`))
	}))
	address := srv.Listener.Addr().String()
	c := serverprobe.New(serverprobe.Options{})
	for _, fresh := range []bool{false, true} {
		r, err := c.Poll(context.Background(), address, fresh)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(report.Report{Running: 3, Queued: 1, Slots: 8, Models: []string{"m"}, Role: "r", Leaving: true}))
	}
	c.CloseIdleConnections()
	srv.Close()
	_, err := c.Poll(context.Background(), address, true)
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	g.Expect(err).To(MatchError(report.ErrNoConnection))
	plain := httptest.NewServer(http.NotFoundHandler())
	defer plain.Close()
	_, err = c.Poll(context.Background(), plain.Listener.Addr().String(), true)
	g.Expect(err).To(MatchError(report.ErrNoReport))
}
