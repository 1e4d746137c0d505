package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

// fleet is the guards of a few entry hosts before one pool.
type fleet struct {
	net    *peertest.Network
	clock  *clock.Manual
	guards []*SharedGuard
}

func newFleet(hosts int) *fleet {
	f := &fleet{net: peertest.NewNetwork(), clock: clock.NewManual(time.Unix(1e9, 0))}
	for i := range hosts {
		link := f.net.Join(peer.Identity{Host: fmt.Sprint("h", i), Incarnation: 1})
		f.guards = append(f.guards, NewSharedGuard(f.clock, clock.NewSeeded(1), link, DefaultOptions()))
	}
	return f
}

const poison Fingerprint = 666

// send runs the poisoned request once on the host, beside others, on servers
// that it has not killed yet. It returns the servers lost to it.
func send(f *fleet, g Guard, lost int, beside ...Fingerprint) int {
	server := fmt.Sprint("s", lost)
	v, _ := g.Check(poison)
	if v == Refused {
		return 0
	}
	apart, _ := g.(Isolator)
	if v == Isolated {
		apart.Acquire(server, poison)
		defer apart.Release(server)
	}
	for _, fp := range append(beside, poison) {
		g.BeginAttempt(fp, server)
	}
	for _, fp := range append(beside, poison) {
		g.EndAttempt(fp, server, true)
	}
	f.clock.Advance(3 * time.Second)
	return 1
}

// A request kills each server that runs it. Its caller sends it again and
// again, each time to another entry host. Unguarded it takes the whole pool;
// guarded, two servers over all hosts, also with innocent requests beside it
// both times: these are not refused.
func TestCrashingRequestCostsTwoServers(t *testing.T) {
	for _, hosts := range []int{1, 6} {
		g := NewWithT(t)
		f := newFleet(hosts)
		lost, naive := 0, 0
		for i := range 30 {
			lost += send(f, f.guards[i%hosts], lost, 1, 2, 3)
			naive += send(f, AllowAll{}, naive)
		}
		g.Expect(naive).To(Equal(30), "the naive variant")
		g.Expect(lost).To(Equal(2), "%d hosts", hosts)
		for _, guard := range f.guards {
			for fp := Fingerprint(1); fp <= 3; fp++ {
				v, _ := guard.Check(fp)
				g.Expect(v).To(BeElementOf(Allowed, Isolated))
			}
			g.Expect(guard.List()).To(ContainElement(HaveField("Fingerprint", poison)))
		}
		// A lift by an operator and the end of the term both reach every host.
		f.clock.Advance(time.Second)
		g.Expect(f.guards[0].Lift(poison)).To(BeTrue())
		v, _ := f.guards[hosts-1].Check(poison)
		g.Expect(v).To(Equal(Allowed))
	}
}

// Half of the hosts are cut off from the others. Each half learns by itself,
// so the bound is two servers a half; after the cut, what one half knows
// reaches the other without a message being sent again.
func TestCrashingRequestDuringACut(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.net.Partition("h0", "h1")
	lost := 0
	for range 10 {
		lost += send(f, f.guards[0], lost)
	}
	g.Expect(lost).To(Equal(2))
	f.net.Heal("h0", "h1")
	f.guards[1].sync(t.Context())
	g.Expect(send(f, f.guards[1], lost)).To(Equal(0))
}

// A rack fails: five servers die within a second, each with other requests on
// it, and the retries of these meet servers that die in the same second.
// Nothing ties the deaths to a request, so none is refused; they run apart for
// a while and are cleared when they end well.
func TestBurstOfDeathsQuarantinesNobody(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	fp := Fingerprint(0)
	for s := range 5 {
		for range 10 {
			fp++
			f.guards[int(fp)%3].EndAttempt(fp, fmt.Sprint("s", s), true)
		}
	}
	f.clock.Advance(500 * time.Millisecond)
	for again := Fingerprint(1); again <= 10; again++ {
		guard := f.guards[again%3]
		v, _ := guard.Check(again)
		g.Expect(v).To(Equal(Isolated))
		server := fmt.Sprint("t", again)
		g.Expect(guard.Acquire(server, again)).To(BeTrue())
		guard.EndAttempt(again, server, true)
		guard.Release(server)
	}
	refused := 0
	for i := Fingerprint(1); i <= fp; i++ {
		if v, _ := f.guards[0].Check(i); v == Refused {
			refused++
		}
	}
	g.Expect(refused).To(Equal(0))
	f.clock.Advance(5 * time.Second)
	f.guards[0].ClearSuspicion(1)
	for _, guard := range f.guards {
		v, _ := guard.Check(1)
		g.Expect(v).To(Equal(Allowed))
	}
}

// A suspect that is innocent shares no server with another suspect, and what
// runs beside a suspect is not blamed for its crash.
func TestInnocentBesideASuspectIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	guard := f.guards[0]
	guard.EndAttempt(poison, "s1", true)
	f.clock.Advance(3 * time.Second)
	g.Expect(guard.Acquire("s2", poison)).To(BeTrue())
	g.Expect(guard.Acquire("s2", 9)).To(BeFalse())
	guard.EndAttempt(1, "s2", true)
	guard.EndAttempt(poison, "s2", true)
	freed := guard.Released()
	guard.Release("s2")
	g.Expect(freed).To(BeClosed())
	v, _ := guard.Check(1)
	g.Expect(v).To(Equal(Allowed))
	v, wait := guard.Check(poison)
	g.Expect(v).To(Equal(Refused))
	g.Expect(wait).To(BeNumerically(">", time.Minute))
	f.clock.Advance(wait)
	v, _ = guard.Check(poison)
	g.Expect(v).To(Equal(Allowed))
}

// A server is dead, and its address still takes connections and drops them.
// Requests that begin then fail like those that it died under; they are not to
// blame, here or on a host that was told of the death.
func TestAttemptOnADeadServerIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.guards[0].EndAttempt(poison, "s1", true)
	f.guards[0].EndAttempt(poison, "s2", true)
	for fp := Fingerprint(1); fp < 5; fp++ {
		for _, server := range []string{"s1", "s2"} {
			guard := f.guards[fp%2]
			guard.BeginAttempt(fp, server)
			guard.EndAttempt(fp, server, true)
			v, _ := guard.Check(fp)
			g.Expect(v).To(Equal(Allowed))
		}
	}
	f.guards[0].MarkAlive("s1")
	f.guards[0].BeginAttempt(9, "s1")
	f.guards[0].EndAttempt(9, "s1", true)
	v, _ := f.guards[0].Check(9)
	g.Expect(v).To(Equal(Isolated))
}
