package objectwatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// memoryLink is an in-memory link between one requesting host and one reader.
type memoryLink struct {
	handlers      map[peer.Method]peer.Handler
	err           error
	onCall        func()       // called with each request
	responseBytes atomic.Int64 // size of the last response
}

func (w *memoryLink) Self() peer.Identity                  { return peer.Identity{Host: "asking"} }
func (w *memoryLink) Peers() []peer.Identity               { return []peer.Identity{{Host: "reader"}} }
func (w *memoryLink) Handle(m peer.Method, h peer.Handler) { w.handlers[m] = h }
func (w *memoryLink) Call(ctx context.Context, _ string, m peer.Method, in, out any) error {
	if w.onCall != nil {
		w.onCall()
	}
	if w.err != nil {
		return w.err
	}
	payload, err := peer.Marshal(in)
	if err != nil {
		return err
	}
	response, err := w.handlers[m](ctx, peer.Identity{}, payload)
	if err != nil {
		return err
	}
	w.responseBytes.Store(int64(len(response)))
	return peer.Unmarshal(response, out)
}

// api is a Source that holds one object and counts the requests to it.
type api struct {
	mu    sync.Mutex
	value string
	rev   Revision
	calls int
	waits []time.Duration // of the watches
}

func (a *api) List(context.Context, string) (Response[string], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	return Response[string]{Objects: []Object[string]{object("a", a.rev, a.value)}, AsOf: a.rev}, nil
}

func (a *api) Watch(_ context.Context, from Revision, wait time.Duration) (Response[string], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	a.waits = append(a.waits, wait)
	if a.rev > from {
		return Response[string]{Objects: []Object[string]{object("a", a.rev, a.value)}, AsOf: a.rev}, nil
	}
	return Response[string]{AsOf: a.rev}, nil
}

func (a *api) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func newFollower(source Source[string], now clock.Clock) *Follower[string] {
	return New(Options[string]{
		Source: source, Clock: now, Rand: clock.NewSeeded(1), WatchWait: time.Second, ResponseTimeout: time.Second,
		OnChange: func(map[string]Object[string], string) {}, OnConfirmed: func(time.Time) {},
		OnLost: func(error) {}, OnRegained: func(time.Duration) {},
	})
}

const maxAge = 2 * time.Second

type peerFixture struct {
	g      *WithT
	now    *clock.Manual
	api    *api
	link   *memoryLink
	reader *Follower[string]
	source *PeerSource[string]
}

func newPeerFixture(t *testing.T) *peerFixture {
	r := &peerFixture{
		g: NewWithT(t), now: clock.NewManual(time.Unix(1000, 0)), api: &api{value: "1", rev: 5},
		link: &memoryLink{handlers: map[peer.Method]peer.Handler{}},
	}
	r.reader = newFollower(r.api, r.now)
	r.reader.Serve(r.link, "k")
	r.source = &PeerSource[string]{Kind: "k", Link: r.link, Direct: r.api, Clock: r.now, MaxAge: maxAge, APIUnresponsive: func() bool { return false }, Readers: func() []string { return []string{"reader"} }}
	return r
}

func (r *peerFixture) step(f *Follower[string]) error { return f.step(context.Background()) }

// Guards against requests to the platform by hosts whose reader has a recent copy, and
// against an age other than that of the reader's copy.
func TestReaderServesOtherHosts(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	calls := r.api.count()
	resp, err := r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Objects).To(Equal([]Object[string]{object("a", 5, "1")}))
	r.g.Expect(resp.AsOf).To(BeEquivalentTo(5))

	r.api.value, r.api.rev = "2", 6
	r.now.Advance(300 * time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(200 * time.Millisecond)
	resp, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Objects[0].Value).To(Equal("2"))
	r.g.Expect(resp.Age).To(Equal(200*time.Millisecond), "as old as the reader's copy")
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the reader's own request")
}

// The reader has lost the platform, or was suspended for a while. Its copy is too old: the
// requesting host turns to the platform, and to the reader again after skipTime.
func TestStaleReaderIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	calls := r.api.count()
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+2), "two requests of this host, without delay")
	r.now.Advance(skipTime)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+3), "the reader gets the request")
}

// Guards against a list that fails because the reader cannot be reached: the platform gets
// the request.
func TestUnreachableReaderIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	r.link.err = errors.New("down")
	resp, err := r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(resp.Objects).To(HaveLen(1))
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The reader does not respond within the time for a request. The rest of that time is used
// for a request to the platform: the first one without a wait, because the copy has become
// old, and later ones with a watch that is shorter by the time spent.
func TestUnresponsiveReaderLeavesTimeForObjectAPI(t *testing.T) {
	r := newPeerFixture(t)
	r.link.err = errors.New("no response")
	r.link.onCall = func() { r.now.Advance(700 * time.Millisecond) }
	for range 2 {
		_, err := r.source.Watch(t.Context(), 5, time.Second)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.now.Advance(skipTime)
	}
	r.g.Expect(r.api.waits).To(Equal([]time.Duration{0, 300 * time.Millisecond}))
}

// The reader uses up the whole time for the request or never responds. The next request
// goes to the platform.
func TestReaderThatExceedsDeadlineIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	r.link.err, r.link.onCall = errors.New("no response"), cancel
	_, err := r.source.List(ctx, "")
	r.g.Expect(err).To(MatchError(errPeer))
	_, err = r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The reader loses the platform while another host's watch waits there. That host learns
// of a server that leaves only after it turns to another source, so the reader responds as
// soon as its copy is too old, not when the wait ends.
func TestWaitAtReaderEndsWhenItsCopyIsStale(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge - 100*time.Millisecond)
	r.api.value, r.api.rev = "2", 6 // not seen by the reader
	got := make(chan Response[string], 1)
	go func() {
		resp, _ := r.source.Watch(context.Background(), 5, time.Hour)
		got <- resp
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(1))
	r.now.Advance(101 * time.Millisecond)
	var resp Response[string]
	r.g.Eventually(got, "10s").Should(Receive(&resp))
	r.g.Expect(resp.Objects).To(HaveLen(1), "from the platform")
}

// The reader has lost the platform. The other hosts turn to the next one in order, which
// reads from the platform on their behalf: if a third of a fleet is disconnected, all the
// rest would otherwise send requests to the store. The substitute detects the failure at
// the same time as they do, and they wait for it briefly.
func TestNextReaderReplacesStaleReader(t *testing.T) {
	r := newPeerFixture(t)
	second := newFollower(r.api, r.now)
	substitute := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	second.Serve(substitute, "k")
	r.source.Link = linksByHost{"reader": r.link, "second": substitute}
	r.source.Readers = func() []string { return []string{"reader", "second"} }
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.g.Expect(r.step(second)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	calls := r.api.count()

	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errStale), "both are stale, the second is waited for")
	r.now.Advance(substituteWait / 2)
	r.g.Expect(r.step(second)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the second host's own request")

	r.now.Advance(maxAge + time.Millisecond)
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errStale))
	r.now.Advance(substituteWait)
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+2), "this host's own request: the second is stale, too")
}

// linksByHost is a link to several hosts.
type linksByHost map[string]*memoryLink

func (b linksByHost) Self() peer.Identity              { return peer.Identity{Host: "asking"} }
func (b linksByHost) Peers() []peer.Identity           { return nil }
func (b linksByHost) Handle(peer.Method, peer.Handler) {}
func (b linksByHost) Call(ctx context.Context, host string, m peer.Method, in, out any) error {
	return b[host].Call(ctx, host, m, in, out)
}

// The reader has just started, as all other hosts have, and has no list yet. The host
// waits for it and turns to the platform only after firstListWait.
func TestUnlistedReaderIsWaitedFor(t *testing.T) {
	r := newPeerFixture(t)
	listed := make(chan error, 1)
	go func() {
		_, err := r.source.List(context.Background(), "")
		listed <- err
	}()
	r.g.Eventually(r.now.Waiters, "30s", "1ms").Should(Equal(1), "at the reader")
	r.now.Advance(firstListWait - time.Millisecond)
	r.g.Expect(r.api.count()).To(BeZero())
	r.g.Expect(r.now.Waiters()).To(Equal(1))
	r.now.Advance(time.Millisecond)
	r.g.Expect(<-listed).To(Succeed())
	r.g.Expect(r.api.count()).To(Equal(1))
	r.now.Advance(skipTime)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, err := r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(2), "the reader's own list")
}

// A host lists through a reader that has had no response from the platform for a while.
// The list is confirmed as of the reader's copy: a key that was revoked since would
// otherwise be accepted for too long.
func TestListIsConfirmedAsOfCopyOfReader(t *testing.T) {
	r := newPeerFixture(t)
	confirmedAt := r.now.Now()
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(1500 * time.Millisecond)
	var confirmed []time.Time
	f := newFollower(r.source, r.now)
	f.opts.OnConfirmed = func(at time.Time) { confirmed = append(confirmed, at) }
	r.g.Expect(r.step(f)).To(Succeed())
	r.g.Expect(confirmed).To(HaveLen(1))
	r.g.Expect(confirmed[0]).To(BeTemporally("~", confirmedAt, time.Millisecond))
}

// A watch through a reader returns a change. It is confirmed as of the reader's copy at
// the time of the response, which is older than the request.
func TestWatchIsConfirmedAsOfCopyOfReader(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	f := newFollower(r.source, r.now)
	r.g.Expect(r.step(f)).To(Succeed())
	r.api.value, r.api.rev = "2", 6
	confirmedAt := r.now.Now()
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(1500 * time.Millisecond)
	var confirmed []time.Time
	f.opts.OnConfirmed = func(at time.Time) { confirmed = append(confirmed, at) }
	r.g.Expect(r.step(f)).To(Succeed())
	r.g.Expect(f.objects["a"].Value).To(Equal("2"))
	r.g.Expect(confirmed).To(HaveLen(1))
	r.g.Expect(confirmed[0]).To(BeTemporally("~", confirmedAt, time.Millisecond))
}

// The requesting host has a newer state than the reader. A list of the reader would
// restore deleted objects.
func TestOlderListIsRejected(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	f := newFollower(r.source, r.now)
	f.revision = 9
	r.g.Expect(r.step(f)).To(MatchError(errOlderList))
}

// There were more changes than the reader keeps. The requesting host has to list again.
func TestTrimmedChangesCauseRelist(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	for range maxBatches + 2 {
		r.api.rev++
		r.g.Expect(r.step(r.reader)).To(Succeed())
	}
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(ErrHistoryGone))
}

// The platform is unavailable to the reader as well. The requesting host tries it once and
// then leaves it to the reader, which responds when the platform has recovered.
func TestUnavailableObjectAPIIsLeftToReader(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	down := errors.New("down")
	r.source.Direct = failingWatchSource{r.api, down}
	r.now.Advance(maxAge + time.Millisecond)
	direct := 0
	for range 10 { // two seconds
		_, err := r.source.Watch(t.Context(), 5, 0)
		if errors.Is(err, down) {
			direct++
		}
		r.now.Advance(180 * time.Millisecond)
	}
	r.g.Expect(direct).To(Equal(1))
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
}

type failingWatchSource struct {
	*api
	err error
}

func (f failingWatchSource) Watch(context.Context, Revision, time.Duration) (Response[string], error) {
	return Response[string]{}, f.err
}

// The platform is unavailable to all hosts and recovers after some seconds without
// changes. A host that waits at the reader gets a response with the reader's first
// confirmation, not when its wait ends.
func TestReaderReportsRecoveryAtOnce(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	r.source.Direct = failingWatchSource{r.api, errors.New("down")}
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(HaveOccurred())
	type result struct {
		resp Response[string]
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := r.source.Watch(t.Context(), 5, time.Hour)
		done <- result{resp, err}
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(1))
	r.g.Expect(r.step(r.reader)).To(Succeed())
	var got result
	r.g.Eventually(done, "10s").Should(Receive(&got))
	r.g.Expect(got.err).NotTo(HaveOccurred())
	r.g.Expect(got.resp.Age).To(BeZero())
	// From then on a watch waits for changes again: immediate responses without changes
	// would keep both hosts busy.
	go func() {
		resp, err := r.source.Watch(t.Context(), 5, time.Hour)
		done <- result{resp, err}
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(2), "besides the wait that the confirmation ended")
	r.g.Expect(done).NotTo(Receive())
}

// The platform is unresponsive for all hosts. A host with a reader sends no request to it:
// it stays with the reader, so that a fleet does not send requests all at once on
// recovery.
func TestUnresponsiveObjectAPIIsLeftToReader(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	r.source.APIUnresponsive = func() bool { return true }
	calls := r.api.count()
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errNoSource))
	r.g.Expect(r.api.count()).To(Equal(calls))
}
