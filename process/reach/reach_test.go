package reach

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// fakeServers accept or fail connections.
type fakeServers struct {
	mu      sync.Mutex
	failing map[string]bool
	delay   time.Duration // until a connection fails
	dials   atomic.Int64
	changes []Change
}

var addresses = []string{"a", "b", "c", "d", "e"}

func (f *fakeServers) dial(ctx context.Context, address string) error {
	f.dials.Add(1)
	f.mu.Lock()
	failing, delay := f.failing[address], f.delay
	f.mu.Unlock()
	if !failing {
		return nil
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	return errors.New("no connection")
}

func (f *fakeServers) fail(delay time.Duration, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing, f.delay = map[string]bool{}, delay
	for _, a := range addresses {
		f.failing[a] = true
	}
}

func (f *fakeServers) seen() []bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []bool
	for _, c := range f.changes {
		out = append(out, c.CutOff)
	}
	return out
}

// run calls f with a tracker of fake servers in virtual time.
func run(t *testing.T, f func(g *WithT, tracker *Tracker, servers *fakeServers)) {
	synctest.Test(t, func(t *testing.T) {
		servers := &fakeServers{}
		tracker := New(Options{
			Clock: clock.System{}, Sample: func(n int) []string { return addresses[:n] }, Dial: servers.dial,
			OnChange: func(c Change) {
				servers.mu.Lock()
				defer servers.mu.Unlock()
				servers.changes = append(servers.changes, c)
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- tracker.Run(ctx) }()
		f(NewWithT(t), tracker, servers)
		stop()
		<-done
		time.Sleep(time.Second) // lets the last connections fail
	})
}

// Guards against a host that takes servers which crash for a cut of its own.
func TestSomeFailingServersAreNoCut(t *testing.T) {
	run(t, func(g *WithT, tracker *Tracker, servers *fakeServers) {
		servers.fail(300*time.Millisecond, "a", "b", "c")
		g.Expect(tracker.Check(context.Background())).To(BeFalse())
		g.Expect(servers.seen()).To(BeEmpty())
	})
}

// Guards against a host that goes on by itself although it reaches no server, whether
// connections are refused or hang, and against one that does not notice the end of the cut.
func TestCutIsNoticedAndItsEnd(t *testing.T) {
	for name, delay := range map[string]time.Duration{"refused": 0, "hang": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, func(g *WithT, tracker *Tracker, servers *fakeServers) {
				servers.fail(delay, addresses...)
				begin := time.Now()
				g.Expect(tracker.Check(context.Background())).To(BeTrue())
				g.Expect(time.Since(begin)).To(Equal(delay))
				time.Sleep(5 * time.Second)
				g.Expect(tracker.CutOff()).To(BeTrue())
				servers.fail(0)
				time.Sleep(recheckInterval + delay)
				g.Expect(tracker.CutOff()).To(BeFalse())
				g.Expect(servers.seen()).To(Equal([]bool{true, false}))
			})
		})
	}
}

// Guards against a storm of new connections while many requests fail at a few servers.
func TestChecksAreSharedAndSpaced(t *testing.T) {
	run(t, func(g *WithT, tracker *Tracker, servers *fakeServers) {
		servers.fail(100*time.Millisecond, "a")
		for range 100 {
			tracker.Suspect()
		}
		synctest.Wait()
		g.Expect(servers.dials.Load()).To(BeEquivalentTo(sampleSize))
		for range 100 {
			tracker.Suspect()
		}
		synctest.Wait()
		g.Expect(servers.dials.Load()).To(BeEquivalentTo(sampleSize), "a server has just accepted a connection")
		time.Sleep(minCheckInterval)
		tracker.Suspect()
		synctest.Wait()
		g.Expect(servers.dials.Load()).To(BeEquivalentTo(2 * sampleSize))
	})
}

// Guards against a host that stays ready while it reaches no server: its connections failed a moment after the
// last one was accepted, and nothing fails later.
func TestSuspicionSoonAfterAnAcceptedConnectionIsFollowedUp(t *testing.T) {
	run(t, func(g *WithT, tracker *Tracker, servers *fakeServers) {
		tracker.Accepted()
		servers.fail(time.Millisecond, addresses...)
		tracker.Suspect()
		tracker.Suspect()
		synctest.Wait()
		g.Expect(servers.dials.Load()).To(BeZero())
		time.Sleep(2 * minCheckInterval)
		g.Expect(tracker.CutOff()).To(BeTrue())
	})
}

// Guards against a host that takes itself for cut off right after the end of a cut: a check that
// began before the end fails after a server has accepted a connection.
func TestCheckThatBeganBeforeAnAcceptedConnectionIsOutdated(t *testing.T) {
	run(t, func(g *WithT, tracker *Tracker, servers *fakeServers) {
		servers.fail(300*time.Millisecond, addresses...)
		tracker.Suspect()
		time.Sleep(100 * time.Millisecond)
		tracker.Accepted()
		time.Sleep(300 * time.Millisecond)
		g.Expect(tracker.CutOff()).To(BeFalse())
		g.Expect(servers.seen()).To(BeEmpty())
	})
}

// Guards against a host that takes the end of the only server for a cut, and so never blames the
// request that ends it.
func TestNothingIsConcludedFromOneServer(t *testing.T) {
	for _, known := range [][]string{nil, {"a"}} {
		g := NewWithT(t)
		tracker := New(Options{
			Clock: clock.System{}, Sample: func(int) []string { return known },
			Dial: func(context.Context, string) error { return errors.New("refused") },
		})
		g.Expect(tracker.Check(t.Context())).To(BeFalse())
	}
}
