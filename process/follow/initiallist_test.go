package follow

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// Guards against a fleet that starts together and has each host list thousands of
// servers at the platform, beyond its rate: they wait at their reader, which is about to
// list them.
func TestStartingFleetListsOnce(t *testing.T) {
	const hosts = 100
	r := newPeerFixture(t)
	answers := make(chan Response[string], hosts)
	for range hosts {
		relay := *r.source
		go func() {
			a, err := relay.List(context.Background(), "")
			if err != nil {
				t.Errorf("list by way of the reader: %v", err)
			}
			answers <- a
		}()
	}
	r.g.Expect(r.step(r.reader)).To(Succeed())
	for range hosts {
		r.g.Expect((<-answers).Objects).To(Equal([]Object[string]{object("a", 5, "1")}))
	}
	r.g.Expect(r.api.count()).To(Equal(1))
}

// Guards against hosts that hold a list or a change for too old and ask the platform
// themselves, as they were told of it before they were told how new it is.
func TestChangesArriveWithConfirmationTime(t *testing.T) {
	r := newPeerFixture(t)
	asked, seen := 0, []string{}
	r.reader.opts.OnChange = func(map[string]Object[string], string) {
		a, err := r.source.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(a.Age).To(BeZero())
		asked, seen = r.api.count(), append(seen, a.Objects[0].Value)
	}
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Expect(asked).To(Equal(1), "the reader's own list")
	r.api.value, r.api.rev = "2", 6
	r.now.Advance(maxAge + time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Expect(asked).To(Equal(2), "and its watch")
	r.g.Expect(seen).To(Equal([]string{"1", "2"}))
}

// Guards against a process that begins at the full price of a list, and against taking
// later lists, which have to be exact, from some seconds ago.
func TestOnlyInitialListMayBeStale(t *testing.T) {
	g := NewWithT(t)
	old, exact := &api{value: "old", rev: 3}, &api{value: "new", rev: 9}
	source := WithInitialList[string](old, exact)
	f := newFollower(source, clock.NewManual(time.Unix(1000, 0)))
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("old"))
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("new"))

	f.listed = false // as after lost history
	g.Expect(f.step(t.Context())).To(Succeed())
	g.Expect(f.objects["a"].Value).To(Equal("new"))
	g.Expect(old.count()).To(Equal(1))
	g.Expect(exact.count()).To(Equal(2))
}

// Guards against missing the changes between two pages that came from copies of the
// store which were not equally far.
func TestListIsAsOldAsItsOldestPage(t *testing.T) {
	g := NewWithT(t)
	_, _, _, lost := follow(t,
		step{objects: []Object[string]{object("a", 3, "1")}, asOf: 10, next: "a"},
		step{objects: []Object[string]{object("b", 4, "1")}, asOf: 8},
		expectWatchFrom(8),
	)
	g.Expect(lost).To(BeEmpty())
}

// Guards against an answer of the platform for each of dozens of servers that are
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
