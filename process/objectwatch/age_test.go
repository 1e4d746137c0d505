package objectwatch

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
)

// A host watches through its reader, which watches through its own, and each waits for
// changes. Guards against counting the wait at the reader as age of its copy, by which all
// hosts of a region would reject a copy that is recent enough.
func TestWaitAtReaderIsNotCountedAsAge(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	type result struct {
		resp Response[string]
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := r.source.Watch(context.Background(), 5, time.Second)
		done <- result{resp, err}
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1))
	r.now.Advance(600 * time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed()) // confirms the copy 600 ms after the request
	r.now.Advance(400 * time.Millisecond)
	got := <-done
	r.g.Expect(got.err).NotTo(HaveOccurred())
	r.g.Expect(got.resp.Age).To(Equal(-600 * time.Millisecond))
}

// The platform has lost its history while hundreds of servers are listed. Guards against
// sending the whole list to each host of the region again: the reader lists and sends the
// changes.
func TestRelistOfReaderSendsOnlyChanges(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.reader.listed = false // as after ErrHistoryGone
	r.api.value, r.api.rev = "2", 9
	r.g.Expect(r.step(r.reader)).To(Succeed())
	resp, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Objects).To(Equal([]Object[string]{object("a", 9, "2")}))
	resp, err = r.source.Watch(t.Context(), 9, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Objects).To(BeEmpty())
}

// Guards against changes between two lists that other hosts would miss: objects that are
// new, replaced or deleted.
func TestDiffOfTwoLists(t *testing.T) {
	g := NewWithT(t)
	before := map[string]Object[string]{"same": object("same", 1, "x"), "other": object("other", 2, "x"), "gone": object("gone", 3, "x")}
	after := map[string]Object[string]{"same": object("same", 1, "x"), "other": object("other", 7, "y"), "new": object("new", 8, "z")}
	g.Expect(diff(before, after, 9)).To(ConsistOf(
		object("other", 7, "y"), object("new", 8, "z"), Object[string]{Name: "gone", Revision: 9, Deleted: true},
	))
}

// A reader is suspended for seconds while it prepares its response. Guards against
// counting the suspension as a wait for changes, by which keys that were revoked meanwhile
// would be accepted for that time.
func TestSuspensionOfReaderIsNotCountedAsWait(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, _, confirmed, _ := r.reader.history.list()
	slow := &suspendingClock{Manual: r.now}
	r.reader.opts.Clock = slow
	r.source.MaxAge = time.Hour
	resp, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Age).To(Equal(slow.readings[0].Sub(confirmed)), "the age when the request arrived")
}

// suspendingClock is the clock of a process that is suspended for 5 s after each reading.
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

// Guards against treating a reader that has just started like one that has lost its
// history: the host would replace its newer copy by the reader's.
func TestWatchWaitsForFirstListOfReader(t *testing.T) {
	r := newPeerFixture(t)
	watched := make(chan error, 1)
	go func() {
		resp, err := r.source.Watch(context.Background(), 5, time.Second)
		if len(resp.Objects) > 0 {
			t.Errorf("objects before a change: %v", resp.Objects)
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
