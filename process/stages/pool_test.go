package stages

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// net is a network of hosts in memory.
type network struct {
	mu    sync.Mutex
	hosts map[string]*node
}

type node struct {
	network  *network
	self     peer.Identity
	handlers map[peer.Method]peer.Handler
	// breaks is how many of the next calls to this node are carried out and
	// lose their answers.
	lostResponses int
	down          bool
	calls         int
	// listed are hosts as an old list tells of them; a call to one corrects it.
	staleList map[string]peer.Identity
	fixture   *fixture
	pool      *Pool
}

func (n *node) Self() peer.Identity { return n.self }

func (n *node) Peers() []peer.Identity {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var out []peer.Identity
	for _, other := range n.network.hosts {
		if old, ok := n.staleList[other.self.Host]; ok {
			out = append(out, old)
		} else if other != n {
			out = append(out, other.self)
		}
	}
	return out
}

func (n *node) Connected() []string {
	var out []string
	for _, id := range n.Peers() {
		out = append(out, id.Host)
	}
	return out
}

func (n *node) Handle(m peer.Method, h peer.Handler) { n.handlers[m] = h }

func (n *node) Call(ctx context.Context, host string, m peer.Method, in, out any) error {
	n.network.mu.Lock()
	to := n.network.hosts[host]
	down := to == nil || to.down
	if !down {
		delete(n.staleList, host)
	}
	lose := false
	if to != nil && m == methodRun {
		to.calls++
		lose = to.lostResponses > 0
		to.lostResponses = max(to.lostResponses-1, 0)
	}
	n.network.mu.Unlock()
	if down {
		return peer.ErrUnreachable
	}
	payload, err := peer.Marshal(in)
	if err != nil {
		return err
	}
	if lose {
		go func() { _, _ = to.handlers[m](context.Background(), n.self, payload) }()
		return peer.ErrNoAnswer
	}
	answer, err := to.handlers[m](ctx, n.self, payload)
	if err != nil {
		return errors.Join(peer.ErrRefused, err)
	}
	if out == nil {
		return nil
	}
	return peer.Unmarshal(answer, out)
}

func (x *network) add(t *testing.T, id peer.Identity) *node {
	n := x.start(t, id)
	n.pool.MarkPeersKnown()
	return n
}

// start adds a host that does not know the others yet.
func (x *network) start(t *testing.T, id peer.Identity) *node {
	n := &node{network: x, self: id, handlers: map[peer.Method]peer.Handler{}, fixture: newFixture(t)}
	n.pool = NewPool(n, clock.System{}, n.fixture.k, func(domain string) string { return domain }, discardLog{})
	x.mu.Lock()
	x.hosts[id.Host] = n
	x.mu.Unlock()
	return n
}

// madeAt returns how many items a host had made.
func (n *node) itemsMade() int {
	n.fixture.mu.Lock()
	defer n.fixture.mu.Unlock()
	return len(n.fixture.calls)
}

func newThreeHosts(t *testing.T) (*WithT, *node, *node, *node) {
	x := &network{hosts: map[string]*node{}}
	first := x.add(t, peer.Identity{Host: "first", Incarnation: 1, Region: "x"})
	second := x.add(t, peer.Identity{Host: "second", Incarnation: 2, Region: "x"})
	third := x.add(t, peer.Identity{Host: "third", Incarnation: 3, Region: "x"})
	return NewWithT(t), first, second, third
}

func (n *node) run(id string) (Results, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return n.pool.Run(ctx, chain(id))
}

func TestAllHostsGiveTheirWorkToTheFirst(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	for _, n := range []*node{first, second, third} {
		made, err := n.run(n.self.Host)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(made.Inputs).To(HaveLen(3))
	}
	g.Expect(first.itemsMade()).To(Equal(15))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

func TestStrongHostsOfTheRegionComeFirst(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	weak := x.add(t, peer.Identity{Host: "weak", Incarnation: 1, Region: "x", Share: 0.2})
	strong := x.add(t, peer.Identity{Host: "strong", Incarnation: 9, Region: "x", Share: 0.8})
	x.add(t, peer.Identity{Host: "far", Incarnation: 2, Region: "y", Share: 0.8})
	_, err := weak.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strong.itemsMade()).To(Equal(5))
}

// The connection to the first host breaks after it took the work. It is asked
// again and the work is joined: nothing is made twice, and no other host begins
// to do stage work.
func TestBrokenConnectionJoinsTheWork(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.lostResponses = 2
	made, err := third.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(made.Owner).To(Equal("first"))
	g.Expect(first.calls).To(Equal(3))
	g.Expect(first.itemsMade()).To(Equal(5))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

// A host has just started and does not know the others. A request that came now
// would have its stages run here, as at all hosts of a fleet that starts at once;
// it waits until the others are known.
func TestStageWorkWaitsForTheOtherHosts(t *testing.T) {
	x := &network{hosts: map[string]*node{}}
	last := x.start(t, peer.Identity{Host: "last", Incarnation: 2, Region: "x"})
	g := NewWithT(t)
	done := make(chan Results, 1)
	go func() {
		made, _ := last.run("r")
		done <- made
	}()
	g.Consistently(last.itemsMade, "100ms").Should(BeZero())
	first := x.add(t, peer.Identity{Host: "first", Incarnation: 1, Region: "x"})
	last.pool.MarkPeersKnown()
	var made Results
	g.Eventually(done, "10s").Should(Receive(&made))
	g.Expect(made.Owner).To(Equal("first"))
	g.Expect(first.itemsMade()).To(Equal(5))
	g.Expect(last.itemsMade()).To(BeZero())
}

// All hosts lost power and start again, in another order than before. The list
// that each has read still tells of some processes before that, of others for each
// host. By these the hosts would name three different owners, which fill the same
// servers; the first answer of each host shows what runs there now.
func TestFleetThatLostPowerFindsOneOwner(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	before := func(host string, incarnation uint64) peer.Identity {
		return peer.Identity{Host: host, Incarnation: incarnation, Region: "x"}
	}
	first.self.Incarnation, second.self.Incarnation, third.self.Incarnation = 11, 12, 13
	first.staleList = map[string]peer.Identity{"second": before("second", 1), "third": before("third", 2)}
	second.staleList = map[string]peer.Identity{"third": before("third", 2)}
	third.staleList = map[string]peer.Identity{"second": before("second", 1)}
	for i, host := range []*node{first, second, third} {
		_, err := host.run(fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(first.itemsMade()).To(Equal(15))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

// Requests wait at the host that does the stage work of a region. A host that
// gives it work learns of the wait with each answer; the news fades, so that a
// region that is left alone for its waits is tried again.
func TestHostsLearnWhereStageWorkWaits(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	g.Expect(third.pool.ExpectedWait("x")).To(BeZero())
	for range 100 {
		first.fixture.k.recordWait(time.Second)
	}
	_, err := third.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(third.pool.ExpectedWait("x")).To(BeNumerically(">", 500*time.Millisecond))
	g.Expect(third.pool.ExpectedWait("y")).To(BeZero())
	old := (*third.pool.reportedWaits.Load())["x"]
	old.at = old.at.Add(-5 * waitHalfLife)
	third.pool.reportedWaits.Store(&map[string]reportedWait{"x": old})
	g.Expect(third.pool.ExpectedWait("x")).To(BeNumerically("<", 50*time.Millisecond))
}

// The first host is lost. The next one takes the work, and the first is asked
// again only after a while.
func TestLostHostIsReplacedByTheNext(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.down = true
	_, err := third.run("1")
	g.Expect(err).NotTo(HaveOccurred())
	calls := first.calls
	_, err = third.run("2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.itemsMade()).To(Equal(10))
	g.Expect(first.calls).To(Equal(calls))
	second.down = true
	_, err = third.run("3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(third.itemsMade()).To(Equal(5), "nobody else is left")
}

// The first host is told to stop. Work that it has begun ends there; new work
// goes to the next host, also that of a host which missed the notice.
func TestStoppingHostFinishesWhatItHasBegun(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	begun := make(chan error)
	go func() {
		_, err := second.run("begun")
		begun <- err
	}()
	g.Eventually(func() int {
		first.fixture.k.mu.Lock()
		defer first.fixture.k.mu.Unlock()
		return first.fixture.k.admission.inFlight["floor"].items
	}, "10s").Should(Equal(2))
	first.pool.Leave()
	third.pool.mu.Lock()
	third.pool.leftIncarnations = map[string]uint64{}
	third.pool.mu.Unlock()
	_, err := third.run("new")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = first.run("own")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.itemsMade()).To(Equal(10))
	close(first.fixture.blockCalls)
	g.Eventually(begun, "10s").Should(Receive(BeNil()))
}

// The client of another host leaves. The work is given up where it is done.
func TestCancelReachesTheHostThatDoesTheWork(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	defer close(first.fixture.blockCalls)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := third.pool.Run(ctx, chain("r"))
		done <- err
	}()
	under := func() int {
		first.fixture.k.mu.Lock()
		defer first.fixture.k.mu.Unlock()
		return first.fixture.k.admission.inFlight["floor"].items
	}
	g.Eventually(under, "10s").Should(Equal(2))
	cancel()
	g.Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
	g.Eventually(under, "10s").Should(BeZero())
}

// The first host is told to stop while requests of others wait there to be begun.
// It gives them back at once, and the next host has their work done: they would
// wait for its end in vain otherwise.
func TestStoppingHostGivesBackWhatWaits(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	const requests = 200
	ended := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := third.run(fmt.Sprint(i))
			ended <- err
		}()
	}
	waiting := func() int {
		onTime, late := first.pool.Waiting()
		return onTime + late
	}
	g.Eventually(func() int {
		first.pool.mu.Lock()
		defer first.pool.mu.Unlock()
		return len(first.pool.remoteWork)
	}, "10s").Should(Equal(requests))
	g.Eventually(waiting, "10s").Should(BeNumerically(">", 0))
	left := waiting()
	first.pool.Leave()
	for range left {
		g.Eventually(ended, "10s").Should(Receive(BeNil()))
	}
	g.Expect(second.itemsMade()).To(BeNumerically(">=", 5*left))
	close(first.fixture.blockCalls)
	for range requests - left {
		g.Eventually(ended, "10s").Should(Receive(BeNil()))
	}
}

func TestWorkWithACycleIsRefused(t *testing.T) {
	g, _, _, third := newThreeHosts(t)
	r := chain("r")
	r.Stages[0].DependsOn = []int{1}
	g.Expect(validateStages(r.Stages)).To(MatchError(errStageOrder))
	g.Expect(third.pool.findOwner(t.Context(), "x", residency.Set{})).To(Equal("first"))
}

// Two hosts send requests that share a part. The host that does their stage work
// chooses their servers: the second goes elsewhere while the first one's prompt is
// being read, though neither host knows of the other's.
func TestOwnerChoosesWhereTheRequestsOfAllHostsRun(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	run := func(n *node, id string) Results {
		r := chain(id)
		r.Prompt, r.Targets = Prompt{OwnPrefill: time.Second}, []Target{{ID: "a"}, {ID: "b", Cost: 100 * time.Millisecond}}
		made, err := n.pool.Run(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(made.Owner).To(Equal("first"))
		return made
	}
	one, two := run(second, "one"), run(third, "two")
	g.Expect([]string{one.TargetID, two.TargetID}).To(Equal([]string{"a", "b"}))
	second.pool.Free(one)
	third.pool.Free(two)
	g.Eventually(func() int {
		first.fixture.k.prompts.mu.Lock()
		defer first.fixture.k.prompts.mu.Unlock()
		return len(first.fixture.k.prompts.pendingByServer)
	}, "10s").Should(BeZero())
}
