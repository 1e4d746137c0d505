package stages

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
)

// fixture is a coordinator with real batchers and in-memory servers.
type fixture struct {
	g        *WithT
	k        *Coordinator
	batchers map[string]*batcher.Batcher

	mu         sync.Mutex
	calls      []string // "service key inputs" of each executed item
	freed      []string
	fail       func(service string, item batcher.Item) batcher.Reason
	blockCalls chan struct{} // if set, calls block until it is closed
}

// backend is the batcher.Backend of one service of a fixture.
type backend struct {
	fixture *fixture
	service string
}

func (b backend) Run(ctx context.Context, c *batcher.Call) batcher.Response {
	b.fixture.mu.Lock()
	blocked := b.fixture.blockCalls
	b.fixture.mu.Unlock()
	if blocked != nil {
		select {
		case <-blocked:
		case <-ctx.Done():
			return batcher.Response{Err: ctx.Err()}
		}
	}
	b.fixture.mu.Lock()
	defer b.fixture.mu.Unlock()
	var a batcher.Response
	for _, part := range c.Items {
		item := part.Job.Items[part.Index]
		r := batcher.Result{Handle: fmt.Sprintf("%s-%s-%d-%d", b.service, item.RequestID, item.Stage, item.Piece), ServerID: c.Server.ID}
		if b.fixture.fail != nil {
			if reason := b.fixture.fail(b.service, item); reason != "" {
				r = batcher.Result{Reason: reason}
			}
		}
		b.fixture.calls = append(b.fixture.calls, fmt.Sprintf("%s %s %v", b.service, item.Key, item.Inputs))
		a.Results = append(a.Results, r)
	}
	return a
}

func (b backend) ReleaseResults(_ context.Context, _ *directory.Server, handles []string) error {
	b.fixture.mu.Lock()
	defer b.fixture.mu.Unlock()
	b.fixture.freed = append(b.fixture.freed, handles...)
	return nil
}

func (backend) FreeResultMemory(context.Context, *directory.Server) (int64, error) { return 0, nil }

// discardLog implements all log interfaces of the package and discards the entries.
type discardLog struct{}

func (discardLog) CallSent(string, *batcher.Call, int)                              {}
func (discardLog) CallEnded(string, *batcher.Call, time.Duration, batcher.Response) {}
func (discardLog) StageWorkEnded(*Ticket, time.Duration, time.Duration, error, int, int) {
}
func (discardLog) OwnerChanged(string, string, uint64)      {}
func (discardLog) OwnerFailed(string, time.Duration, error) {}

func newFixture(t *testing.T) *fixture {
	w := &fixture{g: NewWithT(t), batchers: map[string]*batcher.Batcher{}}
	opts := batcher.Options{MaxItems: 8, CallTime: 10 * time.Millisecond, ItemTime: time.Millisecond, ResultTTL: time.Second}
	for _, service := range []string{"floor", "portal"} {
		b := batcher.New(service, opts, backend{w, service}, clock.System{}, discardLog{})
		d := directory.New()
		d.Replace([]directory.Entry{{ID: service + "-1", Service: service, Address: "a:1", Domain: "x"}}, time.Now())
		b.Configure(opts, d.View().Servers(service), func(*directory.Server) time.Duration { return 0 })
		go func() { _ = b.Run(t.Context()) }()
		w.batchers[service] = b
	}
	w.k = NewCoordinator(func(s string) *batcher.Batcher { return w.batchers[s] }, noServers, clock.System{}, discardLog{})
	return w
}

func (w *fixture) freedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.freed)
}

// chainRequest returns a request of two stages: two items of service "floor", and three items of
// service "portal" that need their results.
func chainRequest(id string) *Request {
	now := time.Now()
	return &Request{
		ID: id, InputKey: "key", RunDomain: "x", Worth: 1, TargetTime: now.Add(20 * time.Second), Deadline: now.Add(30 * time.Second),
		Stages: []Stage{{Service: "floor", Items: 2, ResultBytes: 10}, {Service: "portal", DependsOn: []int{0}, Items: 3, ResultBytes: 10}},
	}
}

func TestStageGetsAllResultsOfItsDependencies(t *testing.T) {
	w := newFixture(t)
	results, err := w.k.Run(t.Context(), chainRequest("r"))
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(results.Inputs).To(HaveLen(3))
	w.g.Expect(results.Inputs[2].Handle).To(Equal("portal-r-1-2"))
	w.g.Expect(w.calls).To(Equal([]string{
		"floor key []", "floor key []",
		"portal  [floor-r-0-0 floor-r-0-1]", "portal  [floor-r-0-0 floor-r-0-1]", "portal  [floor-r-0-0 floor-r-0-1]",
	}))
	w.g.Eventually(w.freedCount, "10s").Should(Equal(2), "results that the portal has consumed")
}

func TestSkippedStagesMakeNoCalls(t *testing.T) {
	w := newFixture(t)
	r := chainRequest("r")
	r.Stages[0].Items = 0
	r.Stages[1].Items = 0
	results, err := w.k.Run(t.Context(), r)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(results.Inputs).To(BeEmpty())
	w.g.Expect(w.calls).To(BeEmpty())
}

// The server that stores the first stage's results crashes before the second stage has used
// them. The work is repeated once.
func TestWorkIsRepeatedOnceAfterLostInputs(t *testing.T) {
	w := newFixture(t)
	lost := true
	w.fail = func(service string, _ batcher.Item) batcher.Reason {
		if service == "portal" && lost {
			lost = false
			return batcher.InputLost
		}
		return ""
	}
	results, err := w.k.Run(t.Context(), chainRequest("r"))
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(results.Inputs).To(HaveLen(3))

	w.fail = func(service string, _ batcher.Item) batcher.Reason {
		if service == "portal" {
			return batcher.InputLost
		}
		return ""
	}
	_, err = w.k.Run(t.Context(), chainRequest("again"))
	var failed *Error
	w.g.Expect(errors.As(err, &failed)).To(BeTrue())
	w.g.Expect(failed.Reason).To(Equal(batcher.InputLost))
}

// An item fails on every server. The request gets an error, the results made so far are
// freed, and its share of the in-flight limit is available to others.
func TestFailedWorkReleasesResultsAndLimits(t *testing.T) {
	w := newFixture(t)
	w.fail = func(service string, item batcher.Item) batcher.Reason {
		if service == "portal" && item.Piece == 1 {
			return batcher.Failed
		}
		return ""
	}
	for i := range 20 {
		_, err := w.k.Run(t.Context(), chainRequest(fmt.Sprint(i)))
		w.g.Expect(err).To(HaveOccurred())
	}
	w.g.Eventually(func() int {
		w.k.mu.Lock()
		defer w.k.mu.Unlock()
		return w.k.admission.inFlight["floor"].items + w.k.admission.inFlight["portal"].items
	}, "10s").Should(BeZero())
	w.g.Eventually(w.freedCount, "10s").Should(BeNumerically(">=", 40), "two results of the floor per request")
}

// The client cancels while items are in progress. Their results are freed when they arrive, and
// no further items start for the request.
func TestCancelledWorkStartsNoFurtherItems(t *testing.T) {
	w := newFixture(t)
	w.blockCalls = make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := w.k.Run(ctx, chainRequest("r"))
		done <- err
	}()
	w.g.Eventually(func() int {
		w.k.mu.Lock()
		defer w.k.mu.Unlock()
		return w.k.admission.inFlight["floor"].items
	}, "10s").Should(Equal(2))
	cancel()
	w.g.Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
	close(w.blockCalls)
	w.g.Consistently(func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.calls)
	}, "200ms").Should(BeNumerically("<=", 2))
	w.g.Expect(w.k.admission.inFlight["floor"].items).To(BeZero())
}

// Guards against freeing inputs early, which risks a repetition, when memory is not scarce or
// when results take next to none of it.
func TestMemoryIsScarceForLargeResultsOnly(t *testing.T) {
	g := NewWithT(t)
	opts := batcher.Options{MaxItems: 10, CallTime: time.Second, ResultMemoryBytes: 2_700_000}
	b := batcher.New("s", opts, nil, clock.System{}, discardLog{})
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s"}}, time.Now())
	b.Configure(opts, dir.View().Servers("s"), func(*directory.Server) time.Duration { return 0 })
	k := NewCoordinator(func(string) *batcher.Batcher { return b }, noServers, clock.System{}, discardLog{})
	large, small := Stage{Service: "s", ResultBytes: 60_000}, Stage{Service: "s", ResultBytes: 8_000}
	g.Expect(k.resultMemoryScarce(large)).To(BeFalse(), "all memory is free")
	b.Submit(&batcher.Job{Items: make([]batcher.Item, 30), ResultBytes: 60_000, OnResult: func(int, batcher.Result) {}})
	g.Expect(k.resultMemoryScarce(large)).To(BeTrue())
	g.Expect(k.resultMemoryScarce(small)).To(BeFalse(), "it would free next to nothing")
}

// Work of an account starts, completes one of two stages and ends in the queue of the other. Guards against
// an account that loses its share by requests whose items were never sent, and against one that gets back
// what servers did for it.
func TestUnsentItemsDoNotCountAsUsed(t *testing.T) {
	for reason, used := range map[batcher.Reason]bool{batcher.TooLate: false, batcher.NoServer: false, batcher.Failed: true} {
		w := newFixture(t)
		w.fail = func(service string, _ batcher.Item) batcher.Reason {
			if service == "portal" {
				return reason
			}
			return ""
		}
		r := chainRequest("r")
		r.Account = "a"
		_, err := w.k.Run(t.Context(), r)
		w.g.Expect(err).To(HaveOccurred())
		use := func(service string) float64 {
			w.k.mu.Lock()
			defer w.k.mu.Unlock()
			return w.k.admission.shares.share(service, "a").used
		}
		w.g.Expect(use("floor")).To(BeNumerically(">", 0), "%s", reason)
		if used {
			w.g.Consistently(func() float64 { return use("portal") }, "50ms").Should(BeNumerically(">", 0), "%s", reason)
			continue
		}
		w.g.Eventually(func() float64 { return use("portal") }, "10s").Should(BeZero(), "%s", reason)
	}
}
