package loadreport_test

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
	"bilberrydale/process/loadreport"
	"bilberrydale/process/membership"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
	"bilberrydale/process/serverstate"
)

const (
	interval          = 20 * time.Millisecond
	eventuallyTimeout = 10 * time.Second
)

var (
	errTimeout = errors.New("no answer in time")
	errRefused = fmt.Errorf("%w: %w", loadreport.ErrNoConnection, syscall.ECONNREFUSED)
)

// fakeServers are the backend servers of all hosts. Poll errors are set by
// address.
type fakeServers struct {
	mu          sync.Mutex
	reports     map[string]loadreport.Report
	keptConnErr map[string]error            // on kept connections
	allConnErr  map[string]error            // on every connection
	hostConnErr map[string]map[string]error // on every connection of one host
	polls       map[string]int
}

type fakeProber struct {
	*fakeServers
	host string
}

func (p fakeProber) Poll(_ context.Context, address string, fresh bool) (loadreport.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[p.host]++
	if err := p.allConnErr[address]; err != nil {
		return loadreport.Report{}, err
	}
	if err := p.hostConnErr[p.host][address]; err != nil {
		return loadreport.Report{}, err
	}
	if err := p.keptConnErr[address]; err != nil && !fresh {
		return loadreport.Report{}, err
	}
	return p.reports[address], nil
}

func (p fakeProber) CloseIdleConnections() {}

func (b *fakeServers) withLock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// deployment is a set of failure domains with entry hosts and backend servers.
type deployment struct {
	*fakeServers
	g           Gomega
	net         *peertest.Network
	mu          sync.Mutex
	hostList    []objectapi.Host
	hostListErr error
	hosts       map[string]*entryHost

	delisted sync.Map // servers that the tables do not have
}

type entryHost struct {
	registry *serverstate.Registry
	poller   *loadreport.Poller
	monitor  *membership.Monitor
}

func newDeployment(t *testing.T, domains, hosts, servers int) *deployment {
	s := &deployment{
		fakeServers: &fakeServers{
			reports: map[string]loadreport.Report{}, keptConnErr: map[string]error{}, allConnErr: map[string]error{},
			hostConnErr: map[string]map[string]error{}, polls: map[string]int{},
		},
		g: NewWithT(t), net: peertest.NewNetwork(), hosts: map[string]*entryHost{},
	}
	for d := range domains {
		for i := range hosts {
			s.start(t, fmt.Sprintf("h%d-%d", d, i), fmt.Sprint("d", d), domains, servers)
		}
	}
	for name, h := range s.hosts {
		s.g.Eventually(func() int { return len(h.monitor.Peers()) }, eventuallyTimeout).Should(Equal(domains*hosts-1), name)
	}
	return s
}

func (s *deployment) start(t *testing.T, name, domain string, domains, servers int) {
	link := s.net.Join(peer.Identity{Host: name, Incarnation: 1, Domain: domain, Address: name})
	h := &entryHost{registry: serverstate.NewRegistry()}
	sys, rnd := clock.System{}, clock.NewSeeded(uint64(len(s.hosts)+1))
	h.monitor = membership.New(membership.Options{Link: link, Clock: sys, Rand: rnd, Interval: interval, Seeds: func() []string { return []string{"h0-0"} }})
	h.poller = loadreport.New(loadreport.Options{
		Link: link, View: h.monitor, Monitor: h.monitor, Clock: sys, Rand: rnd, Prober: fakeProber{s.fakeServers, name}, Interval: interval,
		ListHosts: func(context.Context) ([]objectapi.Host, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.hostList, s.hostListErr
		},
		Targets: func() []loadreport.Target {
			var out []loadreport.Target
			for d := range domains {
				for i := range servers {
					n := fmt.Sprintf("s%d-%d", d, i)
					if _, left := s.delisted.Load(n); left {
						continue
					}
					out = append(out, loadreport.Target{State: h.registry.Get(n, n+":1", time.Unix(1, 0)), Domain: fmt.Sprint("d", d)})
				}
			}
			return out
		},
	})
	s.hosts[name] = h
	for _, run := range []func(context.Context) error{h.monitor.Run, h.poller.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- run(ctx) }()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
}

func (s *deployment) serverState(host, srv string) *serverstate.State {
	return s.hosts[host].registry.Get(srv, srv+":1", time.Unix(1, 0))
}

func (s *deployment) expectOnAllHosts(srv string, check func(*serverstate.State) bool, want bool) {
	for name := range s.hosts {
		s.g.EventuallyWithOffset(1, func() bool { return check(s.serverState(name, srv)) }, eventuallyTimeout, interval).Should(Equal(want), "%s on %s", srv, name)
	}
}

// A backend server reports that it is leaving while the platform is down, so that
// no host list shows it. Two hosts of its domain poll it; every host of every
// domain has to stop sending it work, and to use it again after it reports that
// it is back.
func TestLeavingReportSpreadsWhilePlatformIsDown(t *testing.T) {
	s := newDeployment(t, 3, 3, 2)
	s.mu.Lock()
	s.hostListErr = objectapi.ErrUnavailable
	s.mu.Unlock()
	s.expectOnAllHosts("s1-0", (*serverstate.State).Usable, true)
	s.withLock(func() { s.reports["s1-0:1"] = loadreport.Report{Leaving: true} })
	s.expectOnAllHosts("s1-0", (*serverstate.State).Usable, false)
	s.withLock(func() { s.reports["s1-0:1"] = loadreport.Report{} })
	s.expectOnAllHosts("s1-0", (*serverstate.State).Usable, true)
}

// The platform lists a server as leaving before the server reports it, and lists
// another one as live although it reports that it is leaving. Both must be
// unusable: the list lags and must not override the server's own report.
func TestHostListDoesNotOverrideLeavingReport(t *testing.T) {
	s := newDeployment(t, 2, 2, 1)
	s.mu.Lock()
	s.hostList = []objectapi.Host{{Name: "s0-0", Address: "s0-0:1", State: objectapi.HostLeaving}, {Name: "s1-0", State: objectapi.HostLive}}
	s.mu.Unlock()
	s.withLock(func() { s.reports["s1-0:1"] = loadreport.Report{Leaving: true} })
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, false)
	s.expectOnAllHosts("s1-0", (*serverstate.State).Usable, false)
	lists := s.hosts["h0-0"].poller.Counters.HostListReads.Load()
	s.g.Eventually(s.hosts["h0-0"].poller.Counters.HostListReads.Load, eventuallyTimeout).Should(BeNumerically(">", lists+3))
	s.g.Expect(s.serverState("h0-0", "s1-0").Usable()).To(BeFalse())
}

// Every poll on a kept connection times out because a middlebox dropped its
// state, while new connections to the server work. The server must never become
// unusable.
func TestUnresponsiveConnectionDoesNotMarkServerDown(t *testing.T) {
	s := newDeployment(t, 1, 2, 1)
	s.withLock(func() { s.keptConnErr["s0-0:1"] = errTimeout })
	for range 200 {
		s.g.Expect(s.serverState("h0-0", "s0-0").Usable()).To(BeTrue())
		s.g.Expect(s.serverState("h0-1", "s0-0").Usable()).To(BeTrue())
		before := s.hosts["h0-0"].poller.Counters.Polls.Load()
		if before > 20 {
			return
		}
		s.g.Eventually(s.hosts["h0-0"].poller.Counters.Polls.Load, eventuallyTimeout).Should(BeNumerically(">", before))
	}
}

// An overloaded server accepts connections but responds to no poll in time. If it
// was marked down, the others would get its work, become as slow, and go down one
// after the other.
func TestSlowServerIsNotMarkedDown(t *testing.T) {
	s := newDeployment(t, 1, 2, 1)
	s.withLock(func() { s.allConnErr["s0-0:1"] = errTimeout })
	polls := s.hosts["h0-0"].poller.Counters.Polls.Load
	before := polls()
	s.g.Eventually(polls, eventuallyTimeout).Should(BeNumerically(">", before+10))
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, true)
}

// A server dies: the polls of both owners are refused, also on new connections.
// All hosts mark it down, each after a poll of its own, and use it again when it
// responds.
func TestDeadServerIsDownOnAllHostsUntilItResponds(t *testing.T) {
	s := newDeployment(t, 2, 3, 1)
	s.withLock(func() { s.allConnErr["s0-0:1"] = errRefused })
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, false)
	s.withLock(func() { delete(s.allConnErr, "s0-0:1") })
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, true)
}

// The network between a server and both its owners fails, and the owners report it
// as down. The polls of the third host succeed, so it keeps using the server.
func TestFailedProbesOfOtherHostsAreVerified(t *testing.T) {
	s := newDeployment(t, 1, 3, 1)
	ranked := membership.Rank("s0-0:1", []string{"h0-0", "h0-1", "h0-2"})
	refused := map[string]error{"s0-0:1": errRefused}
	s.withLock(func() { s.hostConnErr[ranked[0]], s.hostConnErr[ranked[1]] = refused, refused })
	for _, owner := range ranked[:2] {
		s.g.Eventually(func() bool { return s.serverState(owner, "s0-0").Usable() }, eventuallyTimeout).Should(BeFalse())
	}
	polls := func() int {
		s.fakeServers.mu.Lock()
		defer s.fakeServers.mu.Unlock()
		return s.polls[ranked[2]]
	}
	s.g.Eventually(polls, eventuallyTimeout).Should(BeNumerically(">", 0))
	s.g.Expect(s.serverState(ranked[2], "s0-0").Usable()).To(BeTrue())
}

// A host of another domain starts after the leaving status of a server has
// spread. If statuses were not repeated for new hosts, it would send the server
// work.
func TestLateJoiningHostLearnsOfLeavingServers(t *testing.T) {
	s := newDeployment(t, 2, 2, 1)
	s.withLock(func() { s.reports["s0-0:1"] = loadreport.Report{Leaving: true} })
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, false)
	sent := s.hosts["h1-0"].monitor.Counters.Sent.Load()
	s.g.Eventually(s.hosts["h1-0"].monitor.Counters.Sent.Load, eventuallyTimeout).Should(BeNumerically(">", sent+60), "the status has spread")
	s.start(t, "h1-2", "d1", 2, 1)
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, false)
}

// A server that was leaving is removed from the tables and a later release has it
// again at the same address. Its old status must not keep it unusable.
func TestRelistedServerIsUsable(t *testing.T) {
	s := newDeployment(t, 1, 3, 1)
	s.withLock(func() { s.reports["s0-0:1"] = loadreport.Report{Leaving: true} })
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, false)
	s.delisted.Store("s0-0", true)
	for _, h := range s.hosts {
		before := h.poller.Counters.Rounds.Load()
		s.g.Eventually(h.poller.Counters.Rounds.Load, eventuallyTimeout).Should(BeNumerically(">", before+2), "the tables are applied")
	}
	s.withLock(func() { s.reports["s0-0:1"] = loadreport.Report{} })
	s.delisted.Delete("s0-0")
	s.expectOnAllHosts("s0-0", (*serverstate.State).Usable, true)
}

// A failure domain is partitioned from the other while the platform is down, and
// one of its servers is leaving. The hosts of the domain have to learn it from
// each other; the other hosts learn it when the partition heals, without a
// further change of the server's status.
func TestPartitionedDomainSharesStatusesAndHeals(t *testing.T) {
	s := newDeployment(t, 2, 3, 1)
	s.mu.Lock()
	s.hostListErr = objectapi.ErrUnavailable
	s.mu.Unlock()
	pairs := func(do func(a, b string)) {
		for i := range 3 {
			for j := range 3 {
				do(fmt.Sprint("h0-", i), fmt.Sprint("h1-", j))
			}
		}
	}
	pairs(s.net.Partition)
	s.withLock(func() { s.reports["s1-0:1"] = loadreport.Report{Leaving: true} })
	for i := range 3 {
		name := fmt.Sprint("h1-", i)
		s.g.Eventually(func() bool { return s.serverState(name, "s1-0").Usable() }, eventuallyTimeout, interval).Should(BeFalse(), name)
		s.g.Expect(s.serverState(name, "s0-0").Usable()).To(BeTrue(), "a partition says nothing about a server")
		outside := s.hosts[fmt.Sprint("h0-", i)]
		s.g.Eventually(func() membership.State { p, _ := outside.monitor.Lookup(name); return p.State }, eventuallyTimeout).Should(Equal(membership.Gone))
		s.g.Expect(s.serverState(fmt.Sprint("h0-", i), "s1-0").Usable()).To(BeTrue())
	}
	pairs(s.net.Heal)
	s.expectOnAllHosts("s1-0", (*serverstate.State).Usable, false)
}

// Loads reach the hosts that do not poll the server themselves.
func TestLoadIsSharedWithinDomain(t *testing.T) {
	s := newDeployment(t, 1, 5, 3)
	s.withLock(func() {
		for i := range 3 {
			s.reports[fmt.Sprintf("s0-%d:1", i)] = loadreport.Report{Running: i, Queued: 7, Slots: 8, Models: []string{"m@2"}, Role: "decode"}
		}
	})
	for name := range s.hosts {
		s.g.Eventually(func() string {
			l := s.serverState(name, "s0-1").Load()
			if l == nil {
				return ""
			}
			return fmt.Sprintf("%d %d %d %v %s", l.Running, l.Queued, l.Slots, l.Models, l.Role)
		}, eventuallyTimeout).Should(Equal("1 7 8 [m@2] decode"), name)
	}
}

func TestPollOverHTTP(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"running":3,"queued":1,"slots":8,"models":["m"],"role":"r","leaving":true,"other":1}`))
	}))
	address := srv.Listener.Addr().String()
	c := serverprobe.New(serverprobe.Options{})
	for _, fresh := range []bool{false, true} {
		r, err := c.Poll(context.Background(), address, fresh)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(loadreport.Report{Running: 3, Queued: 1, Slots: 8, Models: []string{"m"}, Role: "r", Leaving: true}))
	}
	c.CloseIdleConnections()
	srv.Close()
	_, err := c.Poll(context.Background(), address, true)
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	g.Expect(err).To(MatchError(loadreport.ErrNoConnection))
	plain := httptest.NewServer(http.NotFoundHandler())
	defer plain.Close()
	_, err = c.Poll(context.Background(), plain.Listener.Addr().String(), true)
	g.Expect(err).To(MatchError(loadreport.ErrNoReport))
}
