package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// Guards against a wait for each of the readers of a fleet that has just begun: the
// platform is asked once the first of them had its time.
func TestOnlyOneUnlistedReaderIsWaitedFor(t *testing.T) {
	r := newPeerFixture(t)
	r.source.Link = linksByHost{"first": r.link, "second": r.link, "third": r.link}
	r.source.Readers = func() []string { return []string{"first", "second", "third"} }
	listed := make(chan error, 1)
	go func() {
		_, err := r.source.List(context.Background(), "")
		listed <- err
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1), "at the reader")
	r.now.Advance(firstListWait)
	r.g.Eventually(listed, "30s").Should(Receive(BeNil()))
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The pattern: the platform turns a third of the hosts away, among them the first readers
// of a region. Guards against all other hosts bringing their questions to it: the third
// reader asks for them while they still wait.
func TestThirdReaderReplacesFirstTwo(t *testing.T) {
	r := newPeerFixture(t)
	third := newFollower(r.api, r.now)
	link := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	third.Serve(link, "k")
	second := newFollower(r.api, r.now)
	away := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	second.Serve(away, "k")
	r.source.Link = linksByHost{"reader": r.link, "second": away, "third": link}
	r.source.Readers = func() []string { return []string{"reader", "second", "third"} }
	for _, f := range []*Follower[string]{r.reader, second, third} {
		r.g.Expect(r.step(f)).To(Succeed())
	}
	r.now.Advance(maxAge + time.Millisecond)
	calls := r.api.count()
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errStale))
	r.now.Advance(2*substituteWait - time.Millisecond)
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errStale), "the third still has its moment")
	r.g.Expect(r.api.count()).To(Equal(calls))
	r.g.Expect(r.step(third)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the third host's own")
}

// Guards against a host that is cut off from its region finding that out from each of four
// readers, one second after the other, while its keys grow too old.
func TestIsolatedHostUsesObjectAPI(t *testing.T) {
	r := newPeerFixture(t)
	asked := 0
	r.link.err, r.link.onCall = errors.New("cut"), func() { asked++ }
	r.source.Readers = func() []string { return []string{"reader", "second", "third", "fourth"} }
	r.source.Link = linksByHost{"reader": r.link, "second": r.link, "third": r.link, "fourth": r.link}
	for range 2 {
		_, err := r.source.Watch(t.Context(), 5, 0)
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	r.g.Expect(asked).To(Equal(maxUnresponsive))
	r.g.Expect(r.api.count()).To(Equal(2))
}

// The pattern: the reader of a region is cut off, and the next host takes its place for a
// hundred others. Guards against its first question waiting a second or two for a change,
// while all of them find its knowledge too old and turn to the platform.
func TestFirstDirectWatchReturnsAtOnce(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	for range 2 {
		_, err := r.source.Watch(t.Context(), 5, time.Second)
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	r.g.Expect(r.api.waits).To(Equal([]time.Duration{0, time.Second}))
}
