package release

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

// All hosts follow a release, but only two of each domain's twelve hold a watch
// on the platform: it counts each waiting watch, and its rates do not grow with
// the fleet.
func TestFewHostsOfADomainWatchThePlatform(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
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

// A domain loses its line to the platform. A release accepted meanwhile comes
// to it through peers of the other domain. Then it loses those too and goes on
// serving what it has; when both come back it follows again.
func TestDomainCutFromPlatformThenPeersThenHealed(t *testing.T) {
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

func (fl *fleet) eachCrossDomainPair(f func(a, b string)) {
	for a, ha := range fl.hosts {
		for b, hb := range fl.hosts {
			if ha.domain != hb.domain {
				f(a, b)
			}
		}
	}
}

// The platform takes long for every call and loses the answers of writes. The
// operator waits longer, and every host still follows each release, in order.
func TestSlowPlatformThatLosesAnswers(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 2, 3)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	for i := range 3 {
		fl.objects.SetFaults(standin.Faults{Delay: 20 * time.Millisecond, LoseWrites: 4 + i})
		fl.awaitInForce(fl.publish("pools/a", fmt.Sprint("slow ", i)))
	}
	for name, h := range fl.hosts {
		for n := uint64(1); n <= 4; n++ {
			_, served := h.activatedAt.Load(n)
			g.Expect(served).To(BeTrue(), "%s release %d", name, n)
		}
	}
}

// Both watchers of a domain lose the platform and every peer outside, but stay
// alive for the membership. Nobody is told to take over; the others notice that
// no news of the platform comes any more, and one of them watches it.
func TestOthersWatchWhenTheChosenAreSilent(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 6)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	for _, name := range fl.hosts["d0-0"].distributor.rankedHosts(member.Alive)[:DefaultWatchers] {
		fl.hosts[name].link.fail()
	}
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// fleetThatDoesNotCompare has a first release in force on 16 hosts that hear of
// releases by notices alone, and returns the hosts in the order of the notices.
func newFleetWithoutSync(t *testing.T) (*fleet, []string) {
	fl := newFleet(NewWithT(t))
	fl.syncInterval, fl.watcherTimeout = time.Hour, time.Hour
	fl.start(t, 1, 16)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	return fl, fl.hosts["d0-0"].distributor.rankedHosts(member.Alive)
}

// A host in the middle of the notices' tree and a watcher are killed while the
// membership still lists them as alive. The hosts behind them get the release
// all the same, from the sender before; comparing with peers is switched off.
func TestKilledHostsCutNobodyOff(t *testing.T) {
	fl, ranked := newFleetWithoutSync(t)
	fl.kill(ranked[0], false)
	fl.kill(ranked[2], false)
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// A host hears of a release, and the answers of both hosts that told it are
// lost, as on a connection that went silent. It asks others at once; waiting to
// find out by comparing, which is switched off here, would take seconds, and for
// the hosts behind it too.
func TestLostFetchIsAskedOfOthers(t *testing.T) {
	fl, ranked := newFleetWithoutSync(t)
	fl.net.LoseResponses(ranked[2], ranked[0])
	fl.net.LoseResponses(ranked[2], ranked[1])
	fl.awaitInForce(fl.publish("pools/a", "1"))
}

// Every host is replaced while releases are accepted, one after the other, each
// new one knowing nothing. All end on the newest release.
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

// A host restarts while the platform is down, or answers with an earlier state.
// It asks its peers before it is ready, so its callers do not meet a release
// lower than before. Without peers and platform it says so and is not ready.
func TestRestartLearnsFromPeers(t *testing.T) {
	for _, faults := range []standin.Faults{{Down: true}, {StaleReads: true}} {
		g := NewWithT(t)
		fl := newFleet(g)
		fl.start(t, 1, 3)
		fl.awaitInForce(fl.publish("pools/a", "0"))
		fl.oneWayDelay = func(_, to string) time.Duration { // peers answer after the platform
			return time.Duration(len(to)) * time.Millisecond
		}
		old := standin.New()
		_, err := publisher(old, 1).Apply(context.Background(), putRow("ada", "pools/a", "0", 0))
		g.Expect(err).NotTo(HaveOccurred())
		second := fl.publish("pools/a", "1")
		fl.awaitInForce(second)
		old.SetFaults(faults)
		h := fl.startHost(t, "d0-new", "d0", newPlatformLink(old))
		g.Eventually(h.distributor.Joined, 5*time.Second, time.Millisecond).Should(BeTrue())
		cur, _ := h.follower.Current()
		g.Expect(cur.Number).To(Equal(second.Number))
		_, served := h.activatedAt.Load(uint64(1))
		g.Expect(served).To(BeFalse(), "not even for a moment")
	}
	g := NewWithT(t)
	alone := newFleet(g)
	alone.objects.SetFaults(standin.Faults{Down: true})
	h := alone.startHost(t, "d0-0", "d0", newPlatformLink(alone.objects))
	g.Eventually(h.follower.Err, 5*time.Second).Should(MatchError(ErrNoRelease))
	_, ok := h.follower.Current()
	g.Expect(ok).To(BeFalse())
}

// The platform is restored to an earlier state, so its versions are below what
// the watches have seen. Hosts keep what is in force, say that the platform is behind, and the floor that they raise makes the
// publisher refuse. After Recover all hosts follow again, upwards only.
func TestRestoredPlatformIsSaidAndMended(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 3)
	fl.awaitInForce(fl.publish("pools/a", "0"))
	early := fl.objects.Backup()
	newest := fl.publish("pools/a", "1")
	fl.awaitInForce(newest)
	fl.objects.Restore(early)

	watcher := fl.hosts[fl.hosts["d0-0"].distributor.rankedHosts(member.Alive)[0]]
	g.Eventually(watcher.follower.Err, 5*time.Second).Should(MatchError(ErrPlatformBehind))
	p := publisher(fl.objects, 1)
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

// A peer offers another content under the number in force, which a restored
// platform can have accepted. The host keeps its own and says so; the next
// number ends the disagreement.
func TestOneNumberWithTwoContentsIsSaid(t *testing.T) {
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

// A change of one row in large tables costs a peer the row, not the tables; a
// peer without the base gets all rows, and a wrong base is found by the hash.
func TestTransferCarriesRowsChanged(t *testing.T) {
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
