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
func TestOnlyOneUnreadyReaderIsWaitedFor(t *testing.T) {
	r := newRelayed(t)
	r.relay.Link = byHost{"first": r.wire, "second": r.wire, "third": r.wire}
	r.relay.Readers = func() []string { return []string{"first", "second", "third"} }
	listed := make(chan error, 1)
	go func() {
		_, err := r.relay.List(context.Background(), "")
		listed <- err
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1), "at the reader")
	r.now.Advance(unreadyWait)
	r.g.Eventually(listed, "30s").Should(Receive(BeNil()))
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The pattern: the platform turns a third of the hosts away, among them the first readers
// of a region. Guards against all other hosts bringing their questions to it: the third
// reader asks for them while they still wait.
func TestThirdReaderStandsInForTwo(t *testing.T) {
	r := newRelayed(t)
	third := newFollower(r.api, r.now)
	link := &wire{handlers: map[peer.Method]peer.Handler{}}
	third.Serve(link, "k")
	second := newFollower(r.api, r.now)
	away := &wire{handlers: map[peer.Method]peer.Handler{}}
	second.Serve(away, "k")
	r.relay.Link = byHost{"reader": r.wire, "second": away, "third": link}
	r.relay.Readers = func() []string { return []string{"reader", "second", "third"} }
	for _, f := range []*Follower[string]{r.reader, second, third} {
		r.g.Expect(r.step(f)).To(Succeed())
	}
	r.now.Advance(maxAge + time.Millisecond)
	calls := r.api.count()
	_, err := r.relay.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errTooOld))
	r.now.Advance(2*substituteWait - time.Millisecond)
	_, err = r.relay.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errTooOld), "the third still has its moment")
	r.g.Expect(r.api.count()).To(Equal(calls))
	r.g.Expect(r.step(third)).To(Succeed())
	_, err = r.relay.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the third host's own")
}

// Guards against a host that is cut off from its region finding that out from each of four
// readers, one second after the other, while its keys grow too old.
func TestHostThatIsCutOffAsksThePlatform(t *testing.T) {
	r := newRelayed(t)
	asked := 0
	r.wire.down, r.wire.slow = errors.New("cut"), func() { asked++ }
	r.relay.Readers = func() []string { return []string{"reader", "second", "third", "fourth"} }
	r.relay.Link = byHost{"reader": r.wire, "second": r.wire, "third": r.wire, "fourth": r.wire}
	for range 2 {
		_, err := r.relay.Watch(t.Context(), 5, 0)
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	r.g.Expect(asked).To(Equal(maxUnheard))
	r.g.Expect(r.api.count()).To(Equal(2))
}

// The pattern: the reader of a region is cut off, and the next host takes its place for a
// hundred others. Guards against its first question waiting a second or two for a change,
// while all of them find its knowledge too old and turn to the platform.
func TestHostThatStandsInProvesAtOnce(t *testing.T) {
	r := newRelayed(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	for range 2 {
		_, err := r.relay.Watch(t.Context(), 5, time.Second)
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	r.g.Expect(r.api.waits).To(Equal([]time.Duration{0, time.Second}))
}
