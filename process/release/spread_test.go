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
		h.line.watches.Store(0)
	}
	for i := range 5 {
		fl.inForce(fl.publish("pools/a", fmt.Sprint(i)))
	}
	for _, d := range []string{"d0", "d1"} {
		watching := 0
		for _, h := range fl.domain(d) {
			if h.line.watches.Load() > 0 {
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
	fl.inForce(fl.publish("pools/a", "0"))
	for _, h := range fl.domain("d1") {
		h.line.cut()
	}
	second := fl.publish("pools/a", "1")
	fl.inForce(second)

	fl.betweenDomains(fl.net.Partition)
	third := fl.publish("pools/a", "2")
	for _, h := range fl.domain("d0") {
		g.Eventually(func() uint64 { n, _ := h.f.Summary(); return n }, 5*time.Second).Should(Equal(third.Number))
	}
	for _, h := range fl.domain("d1") {
		cur, _ := h.f.Current()
		g.Expect(cur.Number).To(Equal(second.Number))
	}
	fl.betweenDomains(fl.net.Heal)
	for _, h := range fl.domain("d1") {
		h.line.heal()
	}
	fl.inForce(third)
}

func (fl *fleet) betweenDomains(f func(a, b string)) {
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
	fl.inForce(fl.publish("pools/a", "0"))
	for i := range 3 {
		fl.objects.SetFaults(standin.Faults{Delay: 20 * time.Millisecond, LoseWrites: 4 + i})
		fl.inForce(fl.publish("pools/a", fmt.Sprint("slow ", i)))
	}
	for name, h := range fl.hosts {
		for n := uint64(1); n <= 4; n++ {
			_, served := h.log.Load(n)
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
	fl.inForce(fl.publish("pools/a", "0"))
	for _, name := range fl.hosts["d0-0"].s.ranked(member.Alive)[:DefaultWatchers] {
		fl.hosts[name].line.cut()
	}
	fl.inForce(fl.publish("pools/a", "1"))
}

// fleetThatDoesNotCompare has a first release in force on 16 hosts that hear of
// releases by notices alone, and returns the hosts in the order of the notices.
func fleetThatDoesNotCompare(t *testing.T) (*fleet, []string) {
	fl := newFleet(NewWithT(t))
	fl.poll, fl.silence = time.Hour, time.Hour
	fl.start(t, 1, 16)
	fl.inForce(fl.publish("pools/a", "0"))
	return fl, fl.hosts["d0-0"].s.ranked(member.Alive)
}

// A host in the middle of the notices' tree and a watcher are killed while the
// membership still lists them as alive. The hosts behind them get the release
// all the same, from the sender before; comparing with peers is switched off.
func TestKilledHostsCutNobodyOff(t *testing.T) {
	fl, ranked := fleetThatDoesNotCompare(t)
	fl.kill(ranked[0], false)
	fl.kill(ranked[2], false)
	fl.inForce(fl.publish("pools/a", "1"))
}

// A host hears of a release, and the answers of both hosts that told it are
// lost, as on a connection that went silent. It asks others at once; waiting to
// find out by comparing, which is switched off here, would take seconds, and for
// the hosts behind it too.
func TestLostFetchIsAskedOfOthers(t *testing.T) {
	fl, ranked := fleetThatDoesNotCompare(t)
	fl.net.LoseResponses(ranked[2], ranked[0])
	fl.net.LoseResponses(ranked[2], ranked[1])
	fl.inForce(fl.publish("pools/a", "1"))
}

// Every host is replaced while releases are accepted, one after the other, each
// new one knowing nothing. All end on the newest release.
func TestAllHostsReplacedDuringReleases(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 2, 3)
	var last Release
	for i, name := range fl.names() {
		last = fl.publish("pools/a", fmt.Sprint(i))
		domain := fl.hosts[name].domain
		fl.kill(name, true)
		fl.host(t, name+"-new", domain, newLine(fl.objects))
	}
	fl.inForce(last)
}

// A host restarts while the platform is down, or answers with an earlier state.
// It asks its peers before it is ready, so its callers do not meet a release
// lower than before. Without peers and platform it says so and is not ready.
func TestRestartLearnsFromPeers(t *testing.T) {
	for _, faults := range []standin.Faults{{Down: true}, {StaleReads: true}} {
		g := NewWithT(t)
		fl := newFleet(g)
		fl.start(t, 1, 3)
		fl.inForce(fl.publish("pools/a", "0"))
		fl.delay = func(_, to string) time.Duration { // peers answer after the platform
			return time.Duration(len(to)) * time.Millisecond
		}
		old := standin.New()
		_, err := publisher(old, 1).Apply(context.Background(), put("ada", "pools/a", "0", 0))
		g.Expect(err).NotTo(HaveOccurred())
		second := fl.publish("pools/a", "1")
		fl.inForce(second)
		old.SetFaults(faults)
		h := fl.host(t, "d0-new", "d0", newLine(old))
		g.Eventually(h.s.Joined, 5*time.Second, time.Millisecond).Should(BeTrue())
		cur, _ := h.f.Current()
		g.Expect(cur.Number).To(Equal(second.Number))
		_, served := h.log.Load(uint64(1))
		g.Expect(served).To(BeFalse(), "not even for a moment")
	}
	g := NewWithT(t)
	alone := newFleet(g)
	alone.objects.SetFaults(standin.Faults{Down: true})
	h := alone.host(t, "d0-0", "d0", newLine(alone.objects))
	g.Eventually(h.f.Err, 5*time.Second).Should(MatchError(ErrNoRelease))
	_, ok := h.f.Current()
	g.Expect(ok).To(BeFalse())
}

// The platform is restored to an earlier state, so its versions are below what
// the watches have seen. Hosts keep what is in force, say that the platform is behind, and the floor that they raise makes the
// publisher refuse. After Recover all hosts follow again, upwards only.
func TestRestoredPlatformIsSaidAndMended(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 3)
	fl.inForce(fl.publish("pools/a", "0"))
	early := fl.objects.Backup()
	newest := fl.publish("pools/a", "1")
	fl.inForce(newest)
	fl.objects.Restore(early)

	watcher := fl.hosts[fl.hosts["d0-0"].s.ranked(member.Alive)[0]]
	g.Eventually(watcher.f.Err, 5*time.Second).Should(MatchError(ErrPlatformBehind))
	p := publisher(fl.objects, 1)
	g.Eventually(func() error {
		_, err := p.Apply(context.Background(), put("bo", "pools/b", "1", 0))
		return err
	}, 5*time.Second).Should(MatchError(ErrPlatformBehind))
	kept, _ := watcher.f.Current()
	g.Expect(kept.Hash).To(Equal(newest.Hash))
	rel := must(g)(p.Recover(context.Background(), kept, "bo"))
	fl.inForce(rel)
	g.Expect(watcher.f.Err()).NotTo(HaveOccurred())
}

// A peer offers another content under the number in force, which a restored
// platform can have accepted. The host keeps its own and says so; the next
// number ends the disagreement.
func TestOneNumberWithTwoContentsIsSaid(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(g)
	fl.start(t, 1, 2)
	first := fl.publish("pools/a", "0")
	fl.inForce(first)
	h := fl.hosts["d0-0"]
	h.s.ObservePeerRelease(peer.Identity{Host: "x"}, first.Number, "other")
	g.Expect(h.f.Err()).To(MatchError(ContainSubstring("with hash other")))
	cur, _ := h.f.Current()
	g.Expect(cur.Hash).To(Equal(first.Hash))
	fl.inForce(fl.publish("pools/a", "1"))
	g.Expect(h.f.Err()).NotTo(HaveOccurred())
}

// A change of one row in large tables costs a peer the row, not the tables; a
// peer without the base gets all rows, and a wrong base is found by the hash.
func TestTransferCarriesRowsChanged(t *testing.T) {
	g := NewWithT(t)
	base := tables(200, 1)
	next := Release{Number: 2, Rows: append([]Row(nil), base.Rows...)}
	next.Rows[7].Data, next.Rows[7].Version = []byte(`"changed"`), 2
	next.Hash = HashRows(next.Rows)
	delta, err := newTransfer(&PreparedRelease{Release: next}, &PreparedRelease{Release: base})
	g.Expect(err).NotTo(HaveOccurred())
	whole, err := newTransfer(&PreparedRelease{Release: next}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(delta.Rows)).To(BeNumerically("<", len(whole.Rows)/20))
	for _, tr := range []transfer{delta, whole} {
		rel, err := tr.release(&PreparedRelease{Release: base})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rel.Verify()).To(Succeed())
	}
	other := tables(199, 1)
	rel, err := delta.release(&PreparedRelease{Release: other})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rel.Verify()).To(MatchError(ErrCorrupt))
}

func tables(n int, number uint64) Release {
	rel := Release{Number: number}
	for i := range n {
		data := fmt.Sprintf(`"%s-%d"`, strings.Repeat(fmt.Sprint(i*7919), 40), i)
		rel.Rows = append(rel.Rows, Row{Key: fmt.Sprintf("pools/%04d", i), Data: []byte(data), Version: number})
	}
	rel.Hash = HashRows(rel.Rows)
	return rel
}
