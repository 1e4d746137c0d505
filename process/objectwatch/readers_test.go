package objectwatch

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// Guards against waiting for each reader of a fleet that has just started: the platform
// gets the request once the first reader's time is over.
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

// The platform rejects a third of the hosts, among them the first readers of a region.
// Guards against requests of all other hosts to the platform: the third reader sends them
// on behalf of the others, which still wait for it.
func TestThirdReaderReplacesFirstTwo(t *testing.T) {
	r := newPeerFixture(t)
	third := newFollower(r.api, r.now)
	thirdLink := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	third.Serve(thirdLink, "k")
	second := newFollower(r.api, r.now)
	secondLink := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	second.Serve(secondLink, "k")
	r.source.Link = linksByHost{"reader": r.link, "second": secondLink, "third": thirdLink}
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
	r.g.Expect(err).To(MatchError(errStale), "the third reader is still waited for")
	r.g.Expect(r.api.count()).To(Equal(calls))
	r.g.Expect(r.step(third)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the third host's own")
}

// Guards against a host that is disconnected from its region and waits for the timeout of
// each of four readers, one second each, while its keys become too old.
func TestIsolatedHostUsesObjectAPI(t *testing.T) {
	r := newPeerFixture(t)
	requests := 0
	r.link.err, r.link.onCall = errors.New("cut"), func() { requests++ }
	r.source.Readers = func() []string { return []string{"reader", "second", "third", "fourth"} }
	r.source.Link = linksByHost{"reader": r.link, "second": r.link, "third": r.link, "fourth": r.link}
	for range 2 {
		_, err := r.source.Watch(t.Context(), 5, 0)
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	r.g.Expect(requests).To(Equal(maxUnresponsive))
	r.g.Expect(r.api.count()).To(Equal(2))
}

// The reader of a region is disconnected, and the next host replaces it for a hundred
// others. Guards against a first watch that waits one or two seconds for a change, while
// all the others find its copy too old and turn to the platform.
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
