package follow

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

// wire is a link between one reader and one asking host in memory.
type memoryLink struct {
	handlers      map[peer.Method]peer.Handler
	err           error
	onCall        func()       // runs with each call
	responseBytes atomic.Int64 // bytes of the last answer
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
	answer, err := w.handlers[m](ctx, peer.Identity{}, payload)
	if err != nil {
		return err
	}
	w.responseBytes.Store(int64(len(answer)))
	return peer.Unmarshal(answer, out)
}

// api is a Source that holds one value and counts its calls.
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

func TestReaderServesOtherHosts(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	calls := r.api.count()
	a, err := r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Objects).To(Equal([]Object[string]{object("a", 5, "1")}))
	r.g.Expect(a.AsOf).To(BeEquivalentTo(5))

	r.api.value, r.api.rev = "2", 6
	r.now.Advance(300 * time.Millisecond)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(200 * time.Millisecond)
	a, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Objects[0].Value).To(Equal("2"))
	r.g.Expect(a.Age).To(Equal(200*time.Millisecond), "as old as the reader's own knowledge")
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the reader's own")
}

// The reader has lost the platform, or itself been stopped for a while. What it
// says is too old: the asking host turns to the platform.
func TestStaleReaderIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	calls := r.api.count()
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+2), "asked itself, at once and again")
	r.now.Advance(skipTime)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+3), "the reader is asked again")
}

func TestUnreachableReaderIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	r.link.err = errors.New("down")
	a, err := r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(a.Objects).To(HaveLen(1))
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The reader does not answer in the time for a question. What is left of it is
// used to ask the platform: at once the first time, since what is known has grown old,
// and later with a watch that is shorter by what was spent.
func TestUnresponsiveReaderLeavesTimeForObjectAPI(t *testing.T) {
	r := newPeerFixture(t)
	r.link.err = errors.New("no answer")
	r.link.onCall = func() { r.now.Advance(700 * time.Millisecond) }
	for range 2 {
		_, err := r.source.Watch(t.Context(), 5, time.Second)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.now.Advance(skipTime)
	}
	r.g.Expect(r.api.waits).To(Equal([]time.Duration{0, 300 * time.Millisecond}))
}

// The reader answers only after all the time for the question, or never. The
// next question goes to the platform.
func TestReaderThatExceedsDeadlineIsSkipped(t *testing.T) {
	r := newPeerFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	r.link.err, r.link.onCall = errors.New("no answer"), cancel
	_, err := r.source.List(ctx, "")
	r.g.Expect(err).To(MatchError(errPeer))
	_, err = r.source.List(t.Context(), "")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(1))
}

// The reader loses the platform while a watch of another host waits at it. A
// server that leaves now is learned of only when that host turns elsewhere, so
// the reader answers as soon as its knowledge is too old, not when the wait ends.
func TestWaitAtReaderEndsWhenItsCopyIsStale(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge - 100*time.Millisecond)
	r.api.value, r.api.rev = "2", 6 // which the reader does not see
	got := make(chan Response[string], 1)
	go func() {
		a, _ := r.source.Watch(context.Background(), 5, time.Hour)
		got <- a
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(1))
	r.now.Advance(101 * time.Millisecond)
	var a Response[string]
	r.g.Eventually(got, "10s").Should(Receive(&a))
	r.g.Expect(a.Objects).To(HaveLen(1), "from the platform")
}

// The reader has lost the platform. The other hosts turn to the next one in
// order, which asks the platform for them: a third of a fleet that is cut off
// would otherwise bring all of the rest to the store. The substitute finds out at
// the same time as they do and is given a moment.
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
	r.g.Expect(err).To(MatchError(errStale), "both are asked, the second is waited for")
	r.now.Advance(substituteWait / 2)
	r.g.Expect(r.step(second)).To(Succeed())
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+1), "the second host's own")

	r.now.Advance(maxAge + time.Millisecond)
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(MatchError(errStale))
	r.now.Advance(substituteWait)
	_, err = r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.api.count()).To(Equal(calls+2), "asked itself: the second cannot tell, either")
}

// byHost is a link to several hosts.
type linksByHost map[string]*memoryLink

func (b linksByHost) Self() peer.Identity              { return peer.Identity{Host: "asking"} }
func (b linksByHost) Peers() []peer.Identity           { return nil }
func (b linksByHost) Handle(peer.Method, peer.Handler) {}
func (b linksByHost) Call(ctx context.Context, host string, m peer.Method, in, out any) error {
	return b[host].Call(ctx, host, m, in, out)
}

// The reader has just started, as all others have, and knows nothing yet. It is
// waited for; the platform is asked only when that takes long.
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

// A host lists by way of a reader that has not heard from the platform for a while.
// What the list proves is as old as the reader's knowledge: a key that was taken
// away since would be honoured for too long otherwise.
func TestListIsConfirmedAsOfCopyOfReader(t *testing.T) {
	r := newPeerFixture(t)
	known := r.now.Now()
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(1500 * time.Millisecond)
	var proved []time.Time
	f := newFollower(r.source, r.now)
	f.opts.OnConfirmed = func(at time.Time) { proved = append(proved, at) }
	r.g.Expect(r.step(f)).To(Succeed())
	r.g.Expect(proved).To(HaveLen(1))
	r.g.Expect(proved[0]).To(BeTemporally("~", known, time.Millisecond))
}

// A watch by way of a reader brings a change. It proves what the reader knew when
// it answered, which is older than the question.
func TestWatchIsConfirmedAsOfCopyOfReader(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	f := newFollower(r.source, r.now)
	r.g.Expect(r.step(f)).To(Succeed())
	r.api.value, r.api.rev = "2", 6
	known := r.now.Now()
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(1500 * time.Millisecond)
	var proved []time.Time
	f.opts.OnConfirmed = func(at time.Time) { proved = append(proved, at) }
	r.g.Expect(r.step(f)).To(Succeed())
	r.g.Expect(f.objects["a"].Value).To(Equal("2"))
	r.g.Expect(proved).To(HaveLen(1))
	r.g.Expect(proved[0]).To(BeTemporally("~", known, time.Millisecond))
}

// The asking host has seen a newer state than the reader has. A list of the
// reader would bring back what has gone.
func TestOlderListIsRejected(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	f := newFollower(r.source, r.now)
	f.revision = 9
	r.g.Expect(r.step(f)).To(MatchError(errOlderList))
}

// More changes came than the reader keeps. The asking host lists again.
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

// The platform is down, for the reader as well. The asking host tries it itself
// once and then leaves it to the reader, which tells when it is back.
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

// The pattern: the platform is away for the reader as for all, and back after some
// seconds in which nothing changed. A host that waits at the reader is told by the
// reader's first proof, and not when its wait is over.
func TestReaderReportsRecoveryAtOnce(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.now.Advance(maxAge + time.Millisecond)
	r.source.Direct = failingWatchSource{r.api, errors.New("down")}
	_, err := r.source.Watch(t.Context(), 5, 0)
	r.g.Expect(err).To(HaveOccurred())
	type result struct {
		a   Response[string]
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := r.source.Watch(t.Context(), 5, time.Hour)
		done <- result{a, err}
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(1))
	r.g.Expect(r.step(r.reader)).To(Succeed())
	var got result
	r.g.Eventually(done, "10s").Should(Receive(&got))
	r.g.Expect(got.err).NotTo(HaveOccurred())
	r.g.Expect(got.a.Age).To(BeZero())
	// From then on it waits for changes again: answers without news at each question
	// would keep both hosts busy with each other.
	go func() {
		a, err := r.source.Watch(t.Context(), 5, time.Hour)
		done <- result{a, err}
	}()
	r.g.Eventually(r.now.Waiters, "10s").Should(Equal(2), "beside the wait that was ended by the proof")
	r.g.Expect(done).NotTo(Receive())
}

// The platform is silent for all hosts. One that has a reader sends nothing into the
// silence: it stays with the reader, and a fleet does not ask at once on its return.
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
