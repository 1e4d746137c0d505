package lease

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	objects "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

const (
	ttl              = 15 * time.Second
	margin           = 5 * time.Second
	maxOrderDuration = 3 * time.Second
)

// testCluster is a set of entry hosts, each with a clock of its own, that share
// a platform.
type testCluster struct {
	store *objects.Objects
	hosts []*testHost
}

type testHost struct {
	*Elector
	clock     *clock.Manual
	store     *pausingStore
	candidate bool
}

// pausingStore suspends a host during its next write: onPut runs after the
// platform has stored the object and before the host gets the response.
type pausingStore struct {
	objectapi.Store
	onPut func()
}

func (p *pausingStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	v, err := p.Store.Put(ctx, key, value, expect)
	if pause := p.onPut; pause != nil {
		p.onPut = nil
		pause()
	}
	return v, err
}

func newTestCluster(n int) *testCluster {
	s := &testCluster{store: objects.New()}
	for i := range n {
		s.start(i)
	}
	return s
}

func (s *testCluster) start(i int) {
	h := &testHost{clock: clock.NewManual(time.Unix(int64(1000*(i+1)), 0)), store: &pausingStore{Store: s.store}, candidate: true}
	h.Elector = NewElector(Options{
		Store: h.store, Clock: h.clock, Rand: clock.NewSeeded(1), Key: KeyPrefix + "d1", Host: fmt.Sprint("h", i),
		IsCandidate: func() bool { return h.candidate }, TTL: ttl, Margin: margin, MaxOrderDuration: maxOrderDuration,
	})
	if i < len(s.hosts) {
		s.hosts[i] = h
	} else {
		s.hosts = append(s.hosts, h)
	}
}

func (s *testCluster) advance(d time.Duration) {
	for _, h := range s.hosts {
		h.clock.Advance(d)
	}
}

func (h *testHost) held() (uint64, bool) { return h.Held(h.clock.Now()) }

// acquire steps host i until it has acquired the lease of an empty platform.
func (s *testCluster) acquire(g Gomega, i int) uint64 {
	for range 3 {
		s.hosts[i].Step(context.Background())
		s.advance(ttl + maxOrderDuration)
	}
	s.hosts[i].Step(context.Background())
	fence, ok := s.hosts[i].held()
	g.Expect(ok).To(BeTrue())
	return fence
}

// The holder's process is suspended past the end of its lease, as by SIGSTOP,
// and another host acquires it. When the process resumes, Held has to be false
// at once, before any request to the platform.
func TestHolderSuspendedPastItsLeaseDoesNotHoldItOnResume(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := newTestCluster(2)
	first := s.acquire(g, 0)
	s.hosts[1].Step(ctx)
	s.advance(ttl - margin)
	_, ok := s.hosts[0].held()
	g.Expect(ok).To(BeFalse(), "the holder stops acting a margin before its lease ends")
	s.hosts[1].Step(ctx)
	_, ok = s.hosts[1].held()
	g.Expect(ok).To(BeFalse(), "too early for the next holder")
	s.advance(margin + maxOrderDuration)
	s.hosts[1].Step(ctx)
	second, ok := s.hosts[1].held()
	g.Expect(ok).To(BeTrue())
	g.Expect(second).To(BeNumerically(">", first))
	s.hosts[0].Step(ctx)
	_, ok = s.hosts[0].held()
	g.Expect(ok).To(BeFalse())
}

// The response to the first acquisition and to renewals is lost after the write
// took effect. A host that treated the error as a failure would conflict with
// its own write.
func TestLostResponsesAreResolvedByReading(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := newTestCluster(1)
	h := s.hosts[0]
	h.Step(ctx)
	h.Step(ctx)
	s.advance(ttl + maxOrderDuration)
	s.store.SetFaults(objects.Faults{LoseWrites: 1})
	h.Step(ctx)
	_, ok := h.held()
	g.Expect(ok).To(BeFalse(), "the outcome of the write is not known yet")
	h.Step(ctx)
	fence, ok := h.held()
	g.Expect(ok).To(BeTrue())
	for range 5 {
		s.store.SetFaults(objects.Faults{LoseWrites: 1})
		s.advance(ttl / 3)
		h.Step(ctx)
		again, ok := h.held()
		g.Expect(ok).To(BeTrue())
		g.Expect(again).To(Equal(fence))
	}
}

// While the platform is down, no host acquires the lease and the holder stops
// by its own clock. When the platform is back, the old holder continues under
// the same fencing token if no other host has acquired the lease.
func TestPlatformDownMeansNoNewHolder(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := newTestCluster(2)
	fence := s.acquire(g, 0)
	s.hosts[1].Step(ctx)
	s.store.SetFaults(objects.Faults{Down: true})
	for range 20 {
		s.advance(ttl / 3)
		s.hosts[0].Step(ctx)
		s.hosts[1].Step(ctx)
		_, ok := s.hosts[1].held()
		g.Expect(ok).To(BeFalse())
	}
	_, ok := s.hosts[0].held()
	g.Expect(ok).To(BeFalse())
	s.store.SetFaults(objects.Faults{})
	s.hosts[0].Step(ctx)
	again, ok := s.hosts[0].held()
	g.Expect(ok).To(BeTrue())
	g.Expect(again).To(Equal(fence))
}

// The lease object is deleted, or replaced by an older copy, while a holder
// acts. Fencing tokens must not start again from 1: engines would refuse the
// new holder, or accept orders of both.
func TestFencingTokenRisesAcrossDeletionAndRestore(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := newTestCluster(2)
	first := s.acquire(g, 0)
	old, err := s.store.Get(ctx, KeyPrefix+"d1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.store.Delete(ctx, KeyPrefix+"d1", old.Version)).To(Succeed())
	s.hosts[1].Step(ctx)
	s.hosts[1].Step(ctx)
	_, ok := s.hosts[1].held()
	g.Expect(ok).To(BeFalse(), "the old holder may still act")
	second := s.acquire(g, 1)
	g.Expect(second).To(BeNumerically(">", first))
	cur, _ := s.store.Get(ctx, KeyPrefix+"d1")
	_, err = s.store.Put(ctx, KeyPrefix+"d1", old.Value, cur.Version)
	g.Expect(err).NotTo(HaveOccurred())
	s.hosts[0].clearHeld()
	third := s.acquire(g, 0)
	g.Expect(third).To(BeNumerically(">", second))
}

func TestReleasedLeaseIsAcquiredWithoutWaiting(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	s := newTestCluster(2)
	first := s.acquire(g, 0)
	s.hosts[0].Release(ctx)
	_, ok := s.hosts[0].held()
	g.Expect(ok).To(BeFalse())
	s.hosts[1].Step(ctx)
	second, ok := s.hosts[1].held()
	g.Expect(ok).To(BeTrue())
	g.Expect(second).To(BeNumerically(">", first))
}

// Hosts that are not candidates must not send requests to the platform.
func TestOnlyCandidatesCallThePlatform(t *testing.T) {
	g := NewWithT(t)
	s := newTestCluster(1)
	s.hosts[0].candidate = false
	s.hosts[0].Step(context.Background())
	g.Expect(s.store.Counts()).To(Equal(objects.Counts{}))
}

// Random interleavings of steps, time, suspensions of one process between and
// inside calls, lost responses, outages, deletions, restarts and releases. At
// most one host may hold the lease at any time, no fencing token may have two
// holders, and tokens only increase. Time passes at the same rate on all hosts;
// their clocks show different times.
func TestAtMostOneHolder(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		NewWithT(t).Expect(flag.Set(name, value)).To(Succeed())
	}
	holders := 0
	rapid.Check(t, func(rt *rapid.T) {
		g, ctx := NewWithT(rt), context.Background()
		s := newTestCluster(rapid.IntRange(2, 4).Draw(rt, "hosts"))
		owners, last := map[uint64]*testHost{}, uint64(0)
		steps := rapid.IntRange(20, 120).Draw(rt, "steps")
		for range steps {
			i := rapid.IntRange(0, len(s.hosts)-1).Draw(rt, "host")
			h := s.hosts[i]
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "pass", "pass", "pass", "lose", "down", "up", "delete", "restart", "release", "pause"}).Draw(rt, "what") {
			case "step":
				h.Step(ctx)
			case "pass":
				s.advance(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds")) * time.Second)
			case "lose":
				s.store.SetFaults(objects.Faults{LoseWrites: rapid.IntRange(1, 3).Draw(rt, "writes")})
			case "down":
				s.store.SetFaults(objects.Faults{Down: true})
			case "up":
				s.store.SetFaults(objects.Faults{})
			case "delete":
				if o, err := s.store.Get(ctx, KeyPrefix+"d1"); err == nil {
					_ = s.store.Delete(ctx, KeyPrefix+"d1", o.Version)
				}
			case "restart":
				s.start(i)
			case "release":
				h.Release(ctx)
			case "pause":
				d := time.Duration(rapid.IntRange(1, 60).Draw(rt, "pause")) * time.Second
				other := s.hosts[(i+1)%len(s.hosts)]
				h.store.onPut = func() {
					other.store.onPut = nil // one process is suspended at a time
					s.advance(d / 2)
					other.Step(ctx)
					s.advance(d / 2)
					other.Step(ctx)
				}
			}
			acting := 0
			for _, h := range s.hosts {
				fence, ok := h.held()
				if !ok {
					continue
				}
				acting++
				if owners[fence] == nil {
					g.Expect(fence).To(BeNumerically(">", last), "fencing tokens only increase")
					owners[fence], last = h, fence
				}
				g.Expect(owners[fence] == h).To(BeTrue(), "a fencing token has two holders")
			}
			g.Expect(acting).To(BeNumerically("<=", 1), "two hosts hold the lease")
		}
		holders += len(owners)
	})
	NewWithT(t).Expect(holders).To(BeNumerically(">", 700), "the random runs must reach enough holders to be a test")
}
