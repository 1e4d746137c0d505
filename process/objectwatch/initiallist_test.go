package objectwatch

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// Guards against a fleet that starts at once and in which each host lists thousands of
// servers at the platform, beyond its rate limit: the hosts wait at their reader, which is
// about to list.
func TestStartingFleetListsOnce(t *testing.T) {
	const hosts = 100
	r := newPeerFixture(t)
	responses := make(chan Response[string], hosts)
	for range hosts {
		source := *r.source
		go func() {
			resp, err := source.List(context.Background(), "")
			if err != nil {
				t.Errorf("list through the reader: %v", err)
			}
			responses <- resp
		}()
	}
	r.g.Expect(r.step(r.reader)).To(Succeed())
	for range hosts {
		r.g.Expect((<-responses).Objects).To(Equal([]Object[string]{object("a", 5, "1")}))
	}
	r.g.Expect(r.api.count()).To(Equal(1))
}

// Guards against hosts that receive a list or change before the time of its confirmation,
// consider it too old, and send requests to the platform themselves.
func TestChangesArriveWithConfirmationTime(t *testing.T) {
	r := newPeerFixture(t)
	requests, seen := 0, []string{}
	r.reader.opts.OnChange = func(map[string]Object[string], string) {
		resp, err := r.source.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(resp.Age).To(BeZero())
		requests, seen = r.api.count(), append(seen, resp.Objects[0].Value)
	}
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Expect(requests).To(Equal(1), "the reader's own list")
	r.api.value, r.api.rev = "2", 6
	r.now.Advance(maxAge + time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Expect(requests).To(Equal(2), "the reader's own watch")
	r.g.Expect(seen).To(Equal([]string{"1", "2"}))
}

// Guards against the cost of a consistent list at each start of a process, and against
// using a list that is some seconds old later, when it has to be exact.
func TestOnlyInitialListMayBeStale(t *testing.T) {
	g := NewWithT(t)
	old, exact := &api{value: "old", rev: 3}, &api{value: "new", rev: 9}
	source := WithInitialList[string](old, exact)
	f := newFollower(source, clock.NewManual(time.Unix(1000, 0)))
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("old"))
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("new"))

	f.listed = false // as after ErrHistoryGone
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("new"))
	g.Expect(old.count()).To(Equal(1))
	g.Expect(exact.count()).To(Equal(2))
}

// Guards against missing the changes between two pages from replicas of the store with
// different revisions.
func TestListIsAsOldAsItsOldestPage(t *testing.T) {
	g := NewWithT(t)
	_, _, _, lost := follow(t,
		step{objects: []Object[string]{object("a", 3, "1")}, asOf: 10, next: "a"},
		step{objects: []Object[string]{object("b", 4, "1")}, asOf: 8},
		expectWatchFrom(8),
	)
	g.Expect(lost).To(BeEmpty())
}

// Guards against a response of the platform for each of dozens of servers that are
// replaced one after the other.
func TestChangesWithinCoalesceDelayShareOneResponse(t *testing.T) {
	g := NewWithT(t)
	now := clock.NewManual(time.Unix(1000, 0))
	source := &api{value: "1", rev: 5}
	f := newFollower(source, now)
	f.opts.CoalesceDelay = 200 * time.Millisecond
	g.Expect(f.step(t.Context())).To(Succeed())
	source.value, source.rev = "2", 6
	watched := make(chan error, 1)
	go func() { watched <- f.step(t.Context()) }()
	g.Eventually(source.count, "30s", "1ms").Should(Equal(2))
	g.Consistently(watched, "20ms").ShouldNot(Receive())
	g.Eventually(func() bool {
		now.Advance(f.opts.CoalesceDelay)
		return len(watched) > 0
	}, "30s", "1ms").Should(BeTrue())
	g.Expect(<-watched).To(Succeed())
}
