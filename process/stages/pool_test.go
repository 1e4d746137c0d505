package stages

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// network connects hosts in memory.
type network struct {
	mu    sync.Mutex
	hosts map[string]*node
}

// node is a host of a network. It implements Link.
type node struct {
	network  *network
	self     peer.Identity
	handlers map[peer.Method]peer.Handler
	// lostResponses is the number of next calls to this node that are executed but lose
	// their responses.
	lostResponses int
	down          bool
	refuses       bool          // while it is down: no process listens on the host
	killed        chan struct{} // if set, calls in progress at this node end without a response once it is closed
	calls         int
	// staleList has outdated identities of hosts; a call to a host corrects its entry.
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
	if to != nil && (m == methodRun || m == methodRunFor) {
		to.calls++
		lose = to.lostResponses > 0
		to.lostResponses = max(to.lostResponses-1, 0)
	}
	n.network.mu.Unlock()
	if down && to != nil && to.refuses {
		return fmt.Errorf("%w: %w", peer.ErrUnreachable, syscall.ECONNREFUSED)
	}
	if down {
		return peer.ErrUnreachable
	}
	payload, err := peer.Marshal(in)
	if err != nil {
		return err
	}
	if lose {
		go func() { _, _ = to.handlers[m](context.Background(), n.self, payload) }()
		return peer.ErrNoResponse
	}
	handler := to.handlers[m]
	if handler == nil {
		return peer.FailureResponse("no handler for " + string(m))
	}
	answer, err := to.answer(ctx, handler, n.self, payload)
	if errors.Is(err, peer.ErrNoResponse) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", peer.ErrFailureResponse, err)
	}
	if out == nil {
		return nil
	}
	return peer.Unmarshal(answer, out)
}

// answer runs a handler of the node; the error is peer.ErrNoResponse if the node is killed meanwhile.
func (n *node) answer(ctx context.Context, handler peer.Handler, from peer.Identity, payload []byte) (answer []byte, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		answer, err = handler(ctx, from, payload)
	}()
	select {
	case <-done:
		return answer, err
	case <-n.killed:
		return nil, peer.ErrNoResponse
	}
}

func (x *network) add(t *testing.T, id peer.Identity) *node {
	n := x.start(t, id)
	n.pool.MarkPeersKnown()
	return n
}

// start adds a host that does not know the other hosts yet.
func (x *network) start(t *testing.T, id peer.Identity) *node {
	n := &node{network: x, self: id, handlers: map[peer.Method]peer.Handler{}, fixture: newFixture(t)}
	n.pool = NewPool(n, clock.System{}, n.fixture.k, func(domain string) string { return domain }, discardLog{})
	x.mu.Lock()
	x.hosts[id.Host] = n
	x.mu.Unlock()
	return n
}

// itemsMade returns the number of items executed on a host.
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
	return n.pool.Run(ctx, chainRequest(id))
}

func TestAllHostsUseTheSameOwner(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	for _, n := range []*node{first, second, third} {
		results, err := n.run(n.self.Host)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results.Inputs).To(HaveLen(3))
	}
	g.Expect(first.itemsMade()).To(Equal(15))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

func TestStrongestHostOfRegionIsOwner(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	weak := x.add(t, peer.Identity{Host: "weak", Incarnation: 1, Region: "x", Cores: 0.2})
	strong := x.add(t, peer.Identity{Host: "strong", Incarnation: 9, Region: "x", Cores: 0.8})
	x.add(t, peer.Identity{Host: "far", Incarnation: 2, Region: "y", Cores: 0.8})
	_, err := weak.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strong.itemsMade()).To(Equal(5))
}

// The connection to the owner breaks after it has received the work. The call is retried and
// joins the running work: nothing is executed twice, and no other host becomes owner.
func TestRetryJoinsRunningWork(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.lostResponses = 2
	results, err := third.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results.Owner).To(Equal("first"))
	g.Expect(first.calls).To(Equal(3))
	g.Expect(first.itemsMade()).To(Equal(5))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

// A host has just started and does not know the others. Running a request's stages right away
// would make every host of a fleet that starts at once an owner, so the request waits until the
// others are known.
func TestStageWorkWaitsForPeerDiscovery(t *testing.T) {
	x := &network{hosts: map[string]*node{}}
	last := x.start(t, peer.Identity{Host: "last", Incarnation: 2, Region: "x"})
	g := NewWithT(t)
	done := make(chan Results, 1)
	go func() {
		results, _ := last.run("r")
		done <- results
	}()
	g.Consistently(last.itemsMade, "100ms").Should(BeZero())
	first := x.add(t, peer.Identity{Host: "first", Incarnation: 1, Region: "x"})
	last.pool.MarkPeersKnown()
	var results Results
	g.Eventually(done, "10s").Should(Receive(&results))
	g.Expect(results.Owner).To(Equal("first"))
	g.Expect(first.itemsMade()).To(Equal(5))
	g.Expect(last.itemsMade()).To(BeZero())
}

// All hosts lost power and restart in a different order. The lists they have read contain old
// incarnations, different ones for each host. By these lists the hosts would choose three
// different owners, which fill the same servers. The first response of a host identifies its
// current incarnation.
func TestFleetAgreesOnOwnerAfterPowerFailure(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	oldIdentity := func(host string, incarnation uint64) peer.Identity {
		return peer.Identity{Host: host, Incarnation: incarnation, Region: "x"}
	}
	first.self.Incarnation, second.self.Incarnation, third.self.Incarnation = 11, 12, 13
	first.staleList = map[string]peer.Identity{"second": oldIdentity("second", 1), "third": oldIdentity("third", 2)}
	second.staleList = map[string]peer.Identity{"third": oldIdentity("third", 2)}
	third.staleList = map[string]peer.Identity{"second": oldIdentity("second", 1)}
	for i, host := range []*node{first, second, third} {
		_, err := host.run(fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(first.itemsMade()).To(Equal(15))
	g.Expect(second.itemsMade() + third.itemsMade()).To(BeZero())
}

// Requests wait at the owner of a region. Each response reports the expected wait to the requesting
// host. Reported waits decay, so that a region that gets no work because of its waits is tried
// again.
func TestExpectedWaitFollowsReportsAndDecays(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	manual := clock.NewManual(time.Now())
	first.fixture.k.clock, third.pool.clock = manual, manual
	g.Expect(third.pool.ExpectedWait("x", 0)).To(BeZero())
	for range 100 {
		first.fixture.k.waits.Record(0, time.Second, third.pool.clock.Now())
	}
	_, err := third.run("r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(third.pool.ExpectedWait("x", 0)).To(BeNumerically(">", 500*time.Millisecond))
	g.Expect(third.pool.ExpectedWait("y", 0)).To(BeZero())
	third.pool.waits.Record("x", 0, time.Second, third.pool.clock.Now().Add(-5*time.Second))
	g.Expect(third.pool.ExpectedWait("x", 0)).To(BeNumerically("<", 50*time.Millisecond))
}

// The owner fails. The next host becomes owner, and the failed one is retried only after a while.
func TestFailedOwnerIsReplaced(t *testing.T) {
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
	g.Expect(third.itemsMade()).To(Equal(5), "no other host is left")
}

// Guards against stage work that waits for an owner whose process has ended, as if a connection had
// only been reset: one refused connection shows it.
func TestOwnerWhoseProcessHasEndedIsReplacedAtOnce(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	_, err := third.run("1")
	g.Expect(err).NotTo(HaveOccurred())
	calls := first.calls
	first.down, first.refuses = true, true
	_, err = third.run("2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.calls).To(Equal(calls + 1))
	g.Expect(second.itemsMade()).To(Equal(5))
}

// The owner shuts down. It finishes work in progress. New work goes to the next host, also from
// a host that missed the notice.
func TestLeavingOwnerFinishesWorkInProgress(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	finished := make(chan error)
	go func() {
		_, err := second.run("begun")
		finished <- err
	}()
	g.Eventually(func() int {
		first.fixture.k.mu.Lock()
		defer first.fixture.k.mu.Unlock()
		return first.fixture.k.admission.inFlight["floor"].items
	}, "10s").Should(Equal(2))
	first.pool.Leave()
	third.pool.mu.Lock()
	third.pool.leavingIncarnations = map[string]uint64{}
	third.pool.mu.Unlock()
	_, err := third.run("new")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = first.run("own")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.itemsMade()).To(Equal(10))
	close(first.fixture.blockCalls)
	g.Eventually(finished, "10s").Should(Receive(BeNil()))
}

// The client of another host cancels. The work is cancelled on its owner.
func TestCancelReachesOwner(t *testing.T) {
	g, first, _, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	defer close(first.fixture.blockCalls)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := third.pool.Run(ctx, chainRequest("r"))
		done <- err
	}()
	inFlight := func() int {
		first.fixture.k.mu.Lock()
		defer first.fixture.k.mu.Unlock()
		return first.fixture.k.admission.inFlight["floor"].items
	}
	g.Eventually(inFlight, "10s").Should(Equal(2))
	cancel()
	g.Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
	g.Eventually(inFlight, "10s").Should(BeZero())
}

// The owner shuts down while requests of other hosts wait there for admission. It rejects them at
// once, and the next host runs them: otherwise they would wait until it has ended.
func TestLeavingOwnerRejectsWaitingRequests(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	first.fixture.blockCalls = make(chan struct{})
	const requests = 200
	finished := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := third.run(fmt.Sprint(i))
			finished <- err
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
	rejected := waiting()
	first.pool.Leave()
	for range rejected {
		g.Eventually(finished, "10s").Should(Receive(BeNil()))
	}
	g.Expect(second.itemsMade()).To(BeNumerically(">=", 5*rejected))
	close(first.fixture.blockCalls)
	for range requests - rejected {
		g.Eventually(finished, "10s").Should(Receive(BeNil()))
	}
}

func TestStageThatDependsOnLaterStageIsRefused(t *testing.T) {
	g, _, _, third := newThreeHosts(t)
	r := chainRequest("r")
	r.Stages[0].DependsOn = []int{1}
	g.Expect(validateStages(r.Stages)).To(MatchError(errStageOrder))
	g.Expect(third.pool.findOwner(t.Context(), "x", residency.Set{})).To(Equal("first"))
}

// Two hosts send requests with a shared prefix. Their owner chooses the servers: the second
// request goes to another server while the first prompt is being prefilled, although neither
// host sees the request of the other.
func TestOwnerChoosesServersForAllHosts(t *testing.T) {
	g, first, second, third := newThreeHosts(t)
	run := func(n *node, id string) Results {
		r := chainRequest(id)
		r.Prompt, r.Targets = Prompt{OwnPrefill: time.Second}, []Target{{ID: "a"}, {ID: "b", Cost: 100 * time.Millisecond}}
		results, err := n.pool.Run(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(results.Owner).To(Equal("first"))
		return results
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
