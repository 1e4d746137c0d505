package release

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
)

// All hosts follow a release, but only two of the twelve hosts of each domain
// watch the platform: it counts each waiting watch, and its call rate does not
// grow with the fleet. The watcher timeout is long: other hosts that watch
// because no watcher reported a response in time are the subject of another test.
func TestFewHostsOfADomainWatchThePlatform(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.watcherTimeout = defaultWatcherTimeout
	fl.start(t, 2, 12)
	for _, h := range fl.hosts {
		h.link.watches.Store(0)
	}
	for i := range 5 {
		fl.awaitInForce(fl.publish("pools/a", fmt.Sprint(i)))
	}
	for _, d := range []string{"d0", "d1"} {
		watching := 0
		for _, h := range fl.hostsOf(d) {
			if h.link.watches.Load() > 0 {
				watching++
			}
		}
		g.Expect(watching).To(Equal(DefaultWatchers), d)
	}
}

// A domain loses its connection to the platform and gets the next release from
// peers in the other domain. Then it loses these peers too and keeps the
// release that it has. When both connections return, it follows again.
func TestDomainLosesPlatformThenPeersThenReconnects(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 2, 3)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	for _, h := range fl.hostsOf("d1") {
		h.link.fail()
	}
	second := fl.publish("pools/a", "1")
	fl.awaitInForce(second)

	fl.eachCrossDomainPair(fl.net.Partition)
	third := fl.publish("pools/a", "2")
	for _, h := range fl.hostsOf("d0") {
		g.Eventually(func() uint64 { n, _ := h.follower.Summary(); return n }, 5*time.Second).Should(Equal(third.Number))
	}
	for _, h := range fl.hostsOf("d1") {
		cur, _ := h.follower.Current()
		g.Expect(cur.Number).To(Equal(second.Number))
	}
	fl.eachCrossDomainPair(fl.net.Heal)
	for _, h := range fl.hostsOf("d1") {
		h.link.restore()
	}
	fl.awaitInForce(third)
}

// eachCrossDomainPair calls f for each pair of hosts in different domains.
func (fl *fleet) eachCrossDomainPair(f func(a, b string)) {
	for a, ha := range fl.hosts {
		for b, hb := range fl.hosts {
			if ha.domain != hb.domain {
				f(a, b)
			}
		}
	}
}

// The platform is slow and loses the responses to writes. Publishing takes
// longer, and every host still activates every release.
func TestSlowPlatformThatLosesResponses(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 2, 3)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	for i := range 3 {
		fl.objects.SetFaults(standin.Faults{Delay: 20 * time.Millisecond, LoseWriteResponses: 4 + i})
		fl.awaitInForce(fl.publish("pools/a", fmt.Sprint("slow ", i)))
	}
	for name, h := range fl.hosts {
		for n := uint64(1); n <= 4; n++ {
			_, served := h.activatedAt.Load(n)
			g.Expect(served).To(BeTrue(), "%s release %d", name, n)
		}
	}
}

// Both watchers of a domain lose the platform but stay alive in the membership,
// so no new watchers are elected. The other hosts detect that no response of
// the platform is reported any more, and one of them watches it.
func TestOtherHostsWatchWhenElectedWatchersLoseThePlatform(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 6)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	for _, name := range fl.hosts["d0-0"].distributor.rankedHosts(membership.Alive)[:DefaultWatchers] {
		fl.hosts[name].link.fail()
	}
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// newFleetWithoutSync starts 16 hosts that learn of releases only by notices,
// with a first release in force. It also returns the hosts in the order of the
// notice tree.
func newFleetWithoutSync(t *testing.T) (*fleet, []string) {
	fl := newFleet(NewWithT(t))
	fl.syncInterval, fl.watcherTimeout = time.Hour, time.Hour
	fl.start(t, 1, 16)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	return fl, fl.hosts["d0-0"].distributor.rankedHosts(membership.Alive)
}

// A watcher and a host in the middle of the notice tree are killed while the
// membership still lists them as alive. The hosts below them get the release
// from the sender above; the periodic comparison with peers is off.
func TestNoticesPassKilledHosts(t *testing.T) {
	fl, ranked := newFleetWithoutSync(t)
	fl.kill(ranked[0], false)
	fl.kill(ranked[2], false)
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// A host is notified of a release, and the responses of both hosts that
// announced it are lost, as on a hanging connection. It fetches from other
// hosts at once; periodic comparison, which is off here, would take seconds,
// also for the hosts below it.
func TestLostFetchIsRetriedFromOtherHosts(t *testing.T) {
	fl, ranked := newFleetWithoutSync(t)
	fl.net.LoseResponses(ranked[2], ranked[0])
	fl.net.LoseResponses(ranked[2], ranked[1])
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// All hosts are replaced one after the other by hosts without state while
// releases are accepted. All end on the newest release.
func TestAllHostsReplacedDuringReleases(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 2, 3)
	var last Release
	for i, name := range fl.hostNames() {
		last = fl.publish("pools/a", fmt.Sprint(i))
		domain := fl.hosts[name].domain
		fl.kill(name, true)
		fl.startHost(t, name+"-new", domain, newPlatformLink(fl.objects))
	}
	fl.awaitInForce(last)
}

// A host restarts while the platform is down or returns an earlier state. It
// queries its peers before it is ready, so its callers do not meet a lower
// release than before. Without peers and platform it reports a fault and has no
// release in force.
func TestRestartedHostSyncsFromPeers(t *testing.T) {
	for _, faults := range []standin.Faults{{Down: true}, {StaleReads: true}} {
		g := NewWithT(t)
		fl := newFleet(g)
		fl.start(t, 1, 3)
		fl.awaitInForce(fl.publish("pools/a", "0"))
		fl.oneWayDelay = func(_, to string) time.Duration { // peers respond after the platform
			return time.Duration(len(to)) * time.Millisecond
		}
		otherPlatform := standin.NewStore()
		_, err := newPublisher(otherPlatform, 1).Apply(context.Background(), putRow("ada", "pools/a", "0", 0))
		g.Expect(err).NotTo(HaveOccurred())
		second := fl.publish("pools/a", "1")
		fl.awaitInForce(second)
		otherPlatform.SetFaults(faults)
		h := fl.startHost(t, "d0-new", "d0", newPlatformLink(otherPlatform))
		g.Eventually(h.distributor.Joined, 5*time.Second, time.Millisecond).Should(BeTrue())
		cur, _ := h.follower.Current()
		g.Expect(cur.Number).To(Equal(second.Number))
		_, served := h.activatedAt.Load(uint64(1))
		g.Expect(served).To(BeFalse(), "release 1 must never be activated")
	}
	g := NewWithT(t)
	isolated := newFleet(g)
	isolated.objects.SetFaults(standin.Faults{Down: true})
	h := isolated.startHost(t, "d0-0", "d0", newPlatformLink(isolated.objects))
	g.Eventually(h.follower.Err, 5*time.Second).Should(MatchError(ErrNoRelease))
	_, ok := h.follower.Current()
	g.Expect(ok).To(BeFalse())
}

// The platform is restored to an earlier state, so its versions are below those
// that the watches have seen. A watcher keeps the release in force and reports
// that the platform is behind; publishers refuse edits because of the
// high-water mark. After Recover all hosts follow again.
func TestRestoredPlatformIsReportedAndRecovered(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 3)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	backup := fl.objects.Backup()
	newest := fl.publish("pools/a", "1")
	fl.awaitInForce(newest)
	fl.objects.Restore(backup)

	watcher := fl.hosts[fl.hosts["d0-0"].distributor.rankedHosts(membership.Alive)[0]]
	g.Eventually(watcher.follower.Err, 5*time.Second).Should(MatchError(ErrPlatformBehind))
	p := newPublisher(fl.objects, 1)
	g.Eventually(func() error {
		_, err := p.Apply(context.Background(), putRow("bo", "pools/b", "1", 0))
		return err
	}, 5*time.Second).Should(MatchError(ErrPlatformBehind))
	kept, _ := watcher.follower.Current()
	g.Expect(kept.Hash).To(Equal(newest.Hash))
	rel := mustSucceed(g)(p.Recover(context.Background(), kept, "bo"))
	fl.awaitInForce(rel)
	g.Expect(watcher.follower.Err()).NotTo(HaveOccurred())
}

// A peer offers other content under the number of the release in force, which a
// restored platform can have accepted. The host keeps its own release and
// reports a fault; the next release ends it.
func TestHashMismatchIsReported(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 2)
	first := fl.publish("pools/a", "0")
	fl.awaitInForce(first)
	h := fl.hosts["d0-0"]
	h.distributor.ObservePeerRelease(peer.Identity{Host: "x"}, first.Number, "other")
	g.Expect(h.follower.Err()).To(MatchError(ContainSubstring("with hash other")))
	cur, _ := h.follower.Current()
	g.Expect(cur.Hash).To(Equal(first.Hash))
	fl.awaitInForce(fl.publish("pools/a", "1"))
	g.Expect(h.follower.Err()).NotTo(HaveOccurred())
}

// After a change of one row in large tables a response carries that row and not
// the tables. A peer without the base gets all rows, and a wrong base is
// detected by the hash.
func TestFetchResponseCarriesChangedRows(t *testing.T) {
	g := NewWithT(t)
	base := newTables(200, 1)
	next := Release{Number: 2, Rows: append([]Row(nil), base.Rows...)}
	next.Rows[7].Data, next.Rows[7].Version = []byte(`"changed"`), 2
	next.Hash = HashRows(next.Rows)
	delta, err := newFetchResponse(&PreparedRelease{Release: next}, &PreparedRelease{Release: base})
	g.Expect(err).NotTo(HaveOccurred())
	whole, err := newFetchResponse(&PreparedRelease{Release: next}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(delta.Delta)).To(BeNumerically("<", len(whole.Delta)/20))
	for _, tr := range []fetchResponse{delta, whole} {
		rel, err := tr.release(&PreparedRelease{Release: base})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rel.Verify()).To(Succeed())
	}
	other := newTables(199, 1)
	rel, err := delta.release(&PreparedRelease{Release: other})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rel.Verify()).To(MatchError(ErrCorrupt))
}

func newTables(n int, number uint64) Release {
	rel := Release{Number: number}
	for i := range n {
		data := fmt.Sprintf(`"%s-%d"`, strings.Repeat(fmt.Sprint(i*7919), 40), i)
		rel.Rows = append(rel.Rows, Row{Key: fmt.Sprintf("pools/%04d", i), Data: []byte(data), Version: number})
	}
	rel.Hash = HashRows(rel.Rows)
	return rel
}
