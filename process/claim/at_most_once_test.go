package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

// cluster is a platform and the claims of a few entry hosts.
type cluster struct {
	objects *standin.Objects
	net     *peertest.Network
	clock   *clock.Manual
	opts    Options
}

func newCluster() *cluster {
	opts := DefaultOptions()
	opts.Shards, opts.WriteInterval, opts.SealThreshold, opts.WritesPerSecond, opts.WriteBurst = 2, 0, 3, 1e6, 1e6
	return &cluster{standin.New(), peertest.NewNetwork(), clock.NewManual(time.Unix(1e9, 0)), opts}
}

func (c *cluster) start(name string, incarnation uint64) *Manager {
	return c.over(c.objects, name, incarnation)
}

func (c *cluster) over(store objectapi.Store, name string, incarnation uint64) *Manager {
	link := c.net.Join(peer.Identity{Host: name, Incarnation: incarnation})
	return New(Config{Host: name, Incarnation: incarnation, Store: store, Clock: c.clock, Link: link, Options: c.opts})
}

func key(text string) Key { return Key{Account: "depot", Key: text, Body: 7} }

var background = context.Background()

// The caller sends one key to two entry hosts at the same moment. Each knows
// only itself until the platform or the other says more. With claims in memory
// alone both run it, and the transfer is booked twice.
func TestTwoHostsNeverRunOneKey(t *testing.T) {
	run := func(a, b Claims) (doubled int) {
		for i := range 200 {
			var n atomic.Int32
			var wg sync.WaitGroup
			for _, h := range []Claims{a, b} {
				wg.Go(func() {
					k := key(fmt.Sprint("k", i))
					if h.Begin(background, k).State == Granted {
						n.Add(1)
						h.Finish(background, k, Response{Status: 200})
					}
				})
			}
			wg.Wait()
			if n.Load() != 1 {
				doubled++
			}
		}
		return doubled
	}
	g := NewWithT(t)
	g.Expect(run(NewMemory(), NewMemory())).To(Equal(200), "the naive variant")
	c := newCluster()
	c.opts.PollInterval = 0 // the manual clock wakes at once
	g.Expect(run(c.start("a", 1), c.start("b", 1))).To(Equal(0))
}

// The platform applies the write of a claim and its answer is lost. Taken for
// a failure, the key would be blocked by a claim nobody runs; taken for a
// success, a write that did not happen would let two hosts run the key.
func TestLostAnswerOfAClaimIsReadNotGuessed(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	c.objects.SetFaults(standin.Faults{LoseWrites: 1})
	g.Expect(a.Begin(background, key("k")).State).To(Equal(Granted))
	g.Expect(a.Counters.LostResponses.Load()).To(BeEquivalentTo(1))
	a.MarkUnknown(background, key("k"))
	g.Expect(b.Begin(background, key("k")).State).To(Equal(Unknown))
}

// flaky loses the answer of a write and then is down.
type flaky struct {
	*standin.Objects
	lose atomic.Bool
}

func (f *flaky) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	v, err := f.Objects.Put(ctx, key, value, expect)
	if err == nil && f.lose.Swap(false) {
		f.SetFaults(standin.Faults{Down: true})
		return 0, objectapi.ErrUnknownOutcome
	}
	return v, err
}

// Two faults together: the claim's answer is lost and the platform goes down
// before it can be read. The caller is refused; its resend, to the same or to
// another host, runs once, because nothing was dispatched under the first.
func TestUndecidedClaimIsTakenUpByTheResend(t *testing.T) {
	for _, other := range []bool{false, true} {
		g := NewWithT(t)
		c := newCluster()
		store := &flaky{Objects: c.objects}
		a, b := c.over(store, "a", 1), c.start("b", 1)
		store.lose.Store(true)
		g.Expect(a.Begin(background, key("k")).State).To(Equal(Unavailable))
		c.objects.SetFaults(standin.Faults{})
		c.clock.Advance(c.opts.StoreBackoff)
		if !other {
			g.Expect(a.Begin(background, key("k")).State).To(Equal(Granted))
			continue
		}
		g.Eventually(func() State {
			ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
			defer cancel()
			return b.Begin(ctx, key("k")).State
		}).Should(Equal(Granted))
		ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
		defer cancel()
		g.Expect(a.Begin(ctx, key("k")).State).To(Equal(Running))
	}
}

// A host claims a key and dies. Nobody can tell whether the request ran, so a
// resend elsewhere is told so and never runs it. If the host could still write
// down the outcome, the resend learns that it ran.
func TestKeyOfADeadHostIsUnknownNotRerun(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	g.Expect(a.Begin(background, key("open")).State).To(Equal(Granted))
	g.Expect(a.Begin(background, key("done")).State).To(Equal(Granted))
	a.Finish(background, key("done"), Response{Status: 200})
	g.Expect(a.Flush(background)).To(Succeed())
	c.net.Leave("a")
	g.Expect(b.Begin(background, key("open")).State).To(Equal(Unknown))
	g.Expect(b.Begin(background, key("done"))).To(Equal(Result{State: Done}))
	restarted := c.start("a", 2)
	g.Expect(restarted.Begin(background, key("open")).State).To(Equal(Unknown))
}

// A resend to another host while the first still runs waits for its answer; one
// after the end gets the kept answer; one with another body is an error.
func TestResendElsewhereGetsTheOwnersAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	g.Expect(a.Begin(background, key("k")).State).To(Equal(Granted))
	got := make(chan Result)
	go func() { got <- b.Begin(background, key("k")) }()
	g.Eventually(c.clock.Waiters).Should(Equal(1))
	a.Finish(background, key("k"), Response{Status: 200, Body: []byte("booked")})
	c.clock.Advance(c.opts.PollInterval)
	var res Result
	g.Eventually(got).Should(Receive(&res))
	g.Expect(res.State).To(Equal(Done))
	g.Expect(res.Response.Body).To(BeEquivalentTo("booked"))
	for _, h := range []*Manager{a, b} {
		g.Expect(h.Begin(background, Key{Account: "depot", Key: "k", Body: 8}).State).To(Equal(BodyMismatch))
	}
}

// A claim is given up before anything was dispatched: any host may run the key
// then, but never two.
func TestReleasedKeyRunsElsewhere(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a, b := c.start("a", 1), c.start("b", 1)
	g.Expect(a.Begin(background, key("k")).State).To(Equal(Granted))
	a.Release(background, key("k"))
	g.Eventually(func() bool { _, ok := a.table.peek(key("k").ID()); return ok }).Should(BeFalse())
	g.Expect(b.Begin(background, key("k")).State).To(Equal(Granted))
	b.MarkUnknown(background, key("k"))
	g.Expect(a.Begin(background, key("k")).State).To(Equal(Unknown))
}

// During an outage a key cannot be claimed and is refused at once; what this
// host ran itself is still answered, and tickets still run.
func TestOutageRefusesKeysAndServesTickets(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	a := c.start("a", 1)
	g.Expect(a.Begin(background, key("old")).State).To(Equal(Granted))
	a.Finish(background, key("old"), Response{Status: 200})
	c.objects.SetFaults(standin.Faults{Down: true})
	for range 100 {
		g.Expect(a.Begin(background, key("new")).State).To(Equal(Unavailable))
	}
	g.Expect(c.objects.Counts().Writes+c.objects.Counts().Reads).To(BeNumerically("<", 10), "calls during the outage")
	g.Expect(a.Begin(background, key("old")).State).To(Equal(Done))
	ticket, err := a.MintTicket(background, "depot")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Begin(background, key(ticket)).State).To(Equal(Granted))
	g.Expect(a.Begin(background, key(ticket)).State).To(Equal(Running))
}

// Many claims at once cost few writes, whichever hosts make them: they travel
// together. The platform takes only several hundred writes a second for
// everything. Hosts that are cut off from each other claim all the same.
func TestClaimsAtOnceShareWrites(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.objects.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
	hosts := []*Manager{c.start("a", 1), c.start("b", 1), c.start("c", 1)}
	run := func(from int) {
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				g.Expect(hosts[i%3].Begin(background, key(fmt.Sprint(from+i))).State).To(Equal(Granted))
			})
		}
		wg.Wait()
	}
	run(0)
	g.Expect(c.objects.Counts().Writes).To(BeNumerically("<", 100))
	// The hosts lose each other: each writes for itself, and all are claimed.
	c.net.Partition("a", "b")
	c.net.Partition("a", "c")
	c.net.Partition("b", "c")
	run(1000)
}

// A shard has to remember far more claims than one update may carry. Older ones
// are in objects that are not written again; they still stand on a host that
// has never seen them, can be given up, and are removed when their time is over.
func TestSealedClaimsStandUntilTheirWindowEnds(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.Shards, c.opts.SealThreshold = 1, 20
	a := c.start("a", 1)
	const n = 500
	for i := range n {
		g.Expect(a.Begin(background, key(fmt.Sprint(i))).State).To(Equal(Granted))
	}
	head, err := c.objects.Get(background, objectKey(0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(head.Value)).To(BeNumerically("<", 3000), "bytes of an update")
	a.Release(background, key("7"))
	g.Eventually(func() bool { _, ok := a.table.peek(key("7").ID()); return ok }).Should(BeFalse())
	c.net.Leave("a")
	b := c.start("b", 1)
	for i := range n {
		want := Unknown
		if i == 7 {
			want = Granted
		}
		g.Expect(b.Begin(background, key(fmt.Sprint(i))).State).To(Equal(want), "key %d", i)
	}
	c.clock.Advance(c.opts.Retention)
	g.Expect(b.Begin(background, key("0")).State).To(Equal(Granted))
	g.Eventually(func() int {
		parts, _ := c.objects.List(background, ObjectPrefix)
		return len(parts)
	}).Should(Equal(1), "the shard's object alone")
}

// A key is given up, sealed, claimed again by another host and sealed again.
// The younger part says that it is taken, the older that it is free: read in
// the wrong order a third host would run what the second has run.
func TestYoungerSealedPartHidesTheOlder(t *testing.T) {
	g := NewWithT(t)
	c := newCluster()
	c.opts.Shards, c.opts.SealThreshold = 1, 2
	a, b := c.start("a", 1), c.start("b", 1)
	fill := func(from int) {
		for i := range 6 {
			a.Begin(background, key(fmt.Sprint("other", from+i)))
		}
	}
	g.Expect(a.Begin(background, key("k")).State).To(Equal(Granted))
	a.ReleasePartial(background, key("k"))
	g.Eventually(func() bool { _, ok := a.table.peek(key("k").ID()); return ok }).Should(BeFalse())
	fill(0)
	g.Expect(b.Begin(background, key("k"))).To(Equal(Result{State: Granted, PartiallyRan: true}))
	b.MarkUnknown(background, key("k"))
	fill(100)
	c.net.Leave("a")
	c.net.Leave("b")
	g.Expect(c.start("d", 1).Begin(background, key("k")).State).To(Equal(Unknown))
}
