package follow

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// The pattern: a host asks its reader, which asks its own, and each waits for changes.
// Guards against counting the wait at the reader as age of what it tells, by which all
// hosts of a region took its knowledge for too old when it was not.
func TestWaitAtReaderIsNotCountedAsAge(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	type result struct {
		a   Response[string]
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := r.source.Watch(context.Background(), 5, time.Second)
		done <- result{a, err}
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1))
	r.now.Advance(600 * time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed()) // proves what was there 600 ms after the question
	r.now.Advance(400 * time.Millisecond)
	got := <-done
	r.g.Expect(got.err).NotTo(HaveOccurred())
	r.g.Expect(got.a.Age).To(Equal(-600 * time.Millisecond))
}

// The pattern: the platform has lost its history and hundreds of servers are listed.
// Guards against sending the whole list to each host of the region again: the reader
// lists and tells what has changed.
func TestRelistOfReaderSendsOnlyChanges(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.reader.listed = false // as a watch that found its history gone leaves it
	r.api.value, r.api.rev = "2", 9
	r.g.Expect(r.step(r.reader)).To(Succeed())
	a, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Objects).To(Equal([]Object[string]{object("a", 9, "2")}))
	a, err = r.source.Watch(t.Context(), 9, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Objects).To(BeEmpty())
}

func TestDiffOfTwoLists(t *testing.T) {
	g := NewWithT(t)
	before := map[string]Object[string]{"same": object("same", 1, "x"), "other": object("other", 2, "x"), "gone": object("gone", 3, "x")}
	after := map[string]Object[string]{"same": object("same", 1, "x"), "other": object("other", 7, "y"), "new": object("new", 8, "z")}
	g.Expect(diff(before, after, 9)).To(ConsistOf(
		object("other", 7, "y"), object("new", 8, "z"), Object[string]{Name: "gone", Revision: 9, Deleted: true},
	))
}

// The pattern: a reader is suspended for seconds while it makes up its answer. Guards
// against counting the suspension as a wait for news, by which keys that were taken away
// meanwhile would be honoured for its length.
func TestSuspensionOfReaderIsNotCountedAsWait(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, _, proved, _ := r.reader.history.list()
	slow := &suspendingClock{Manual: r.now}
	r.reader.opts.Clock = slow
	r.source.MaxAge = time.Hour
	a, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Age).To(Equal(slow.readings[0].Sub(proved)), "as old as when the question arrived")
}

// suspending is the clock of a process that is suspended after each look at it.
type suspendingClock struct {
	*clock.Manual
	readings []time.Time
}

func (s *suspendingClock) Now() time.Time {
	now := s.Manual.Now()
	s.readings = append(s.readings, now)
	s.Advance(5 * time.Second)
	return now
}

// Guards against taking a reader that has just begun for one that has lost its history:
// the host would give up its newer copy for the reader's.
func TestWatchWaitsForFirstListOfReader(t *testing.T) {
	r := newPeerFixture(t)
	watched := make(chan error, 1)
	go func() {
		a, err := r.source.Watch(context.Background(), 5, time.Second)
		if len(a.Objects) > 0 {
			t.Errorf("objects before a change: %v", a.Objects)
		}
		watched <- err
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1))
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Eventually(func() bool {
		r.now.Advance(100 * time.Millisecond)
		return len(watched) > 0
	}, "30s", "1ms").Should(BeTrue())
	r.g.Expect(<-watched).To(Succeed())
}
