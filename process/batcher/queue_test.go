package batcher

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
)

// testOptions are those of a typical stage: 240 ms a call and 15 ms an item, up to
// 14 items, and result memory for 26 results of 60 kB.
var testOptions = Options{MaxItems: 14, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond, ResultMemoryBytes: 1_600_000, ResultTTL: 4 * time.Second}

const resultBytes = 60_000

// harness runs a queue with simulated time and servers that take the expected time
// multiplied by slowdown.
type harness struct {
	t         *testing.T
	g         *WithT
	q         *Queue
	now       time.Time
	directory *directory.Directory
	slowdown  map[string]float64
	inFlight  []*Call
	results   map[string]Result // by request/piece
	calls     []*Call
	lastEnd   map[string]time.Time // by server; end of its last call
	releases  []release
}

// release is a release of results at a given time.
type release struct {
	at     time.Time
	server string
	bytes  int64
}

func newHarness(t *testing.T, opts Options, servers map[string]string) *harness {
	b := &harness{
		t: t, g: NewWithT(t), q: NewQueue(opts), now: time.Unix(1000, 0), directory: directory.New(),
		slowdown: map[string]float64{}, lastEnd: map[string]time.Time{}, results: map[string]Result{},
	}
	var entries []directory.Entry
	for id, domain := range servers {
		entries = append(entries, directory.Entry{ID: id, Service: "s", Domain: domain, Region: "region of " + domain, Address: id + ":1"})
		b.slowdown[id] = 1
	}
	b.directory.Replace(entries, b.now)
	b.refreshServers()
	return b
}

func (b *harness) refreshServers() {
	b.q.SetServers(b.directory.View().Servers("s"), func(*directory.Server) time.Duration { return time.Millisecond })
}

func (b *harness) submit(id string, items int, target time.Duration, domain string) *Job {
	j := &Job{Domain: domain, TargetTime: b.now.Add(target), Deadline: b.now.Add(20 * time.Second), ResultBytes: resultBytes, RemoteBytes: int64(items) * resultBytes}
	for p := range items {
		j.Items = append(j.Items, Item{RequestID: id, Piece: p})
	}
	j.OnResult = func(p int, r Result) { b.results[fmt.Sprintf("%s/%d", id, p)] = r }
	b.q.Submit(j, b.now)
	return j
}

// nextCalls returns the next calls and adds them to the calls in flight.
func (b *harness) nextCalls() []*Call {
	calls, _ := b.q.NextCalls(b.now)
	b.inFlight = append(b.inFlight, calls...)
	b.calls = append(b.calls, calls...)
	return calls
}

// advance moves the time on in steps of a millisecond. Calls end when their servers are
// done, and their results are released after releaseAfter.
func (b *harness) advance(d, releaseAfter time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		b.nextCalls()
		kept := b.inFlight[:0]
		for _, c := range b.inFlight {
			start := c.sentAt.Add(time.Millisecond)
			if before := b.lastEnd[c.Server.ID]; before.After(start) && c != firstCallTo(b.inFlight, c.Server.ID) {
				kept = append(kept, c)
				continue
			}
			took := time.Duration(b.slowdown[c.Server.ID] * float64(b.q.opts.expectedCallTime(len(c.Items))))
			if c.ExpectedStart.After(start) {
				start = c.ExpectedStart
			}
			if b.now.Before(start.Add(took)) {
				kept = append(kept, c)
				continue
			}
			b.lastEnd[c.Server.ID] = b.now
			b.complete(c)
			b.releases = append(b.releases, release{b.now.Add(releaseAfter), c.Server.ID, c.resultBytes})
		}
		b.inFlight = kept
		remaining := b.releases[:0]
		for _, f := range b.releases {
			if b.now.Before(f.at) {
				remaining = append(remaining, f)
				continue
			}
			b.q.ResultsReleased(f.server, f.bytes)
		}
		b.releases = remaining
	}
}

func firstCallTo(calls []*Call, id string) *Call {
	for _, c := range calls {
		if c.Server.ID == id {
			return c
		}
	}
	return nil
}

func (b *harness) complete(c *Call) {
	resp := Response{}
	for i := range c.Items {
		resp.Results = append(resp.Results, Result{Handle: fmt.Sprintf("h%d", i), ServerID: c.Server.ID})
	}
	b.q.CompleteCall(c, resp, b.now)
}

// Items of several requests that wait while all servers are busy must share the next calls,
// so that the fixed time of a call is paid once for all of them.
func TestItemsOfManyRequestsShareCalls(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	b.submit("first", 1, time.Second, "x")
	b.nextCalls()
	for i := range 5 {
		b.submit(fmt.Sprint(i), 4, time.Second, "x")
	}
	b.now = b.now.Add(100 * time.Millisecond)
	b.g.Expect(b.nextCalls()).To(BeEmpty(), "the server is busy")
	b.now = b.calls[0].ExpectedEnd
	calls := b.nextCalls()
	b.g.Expect(calls).To(HaveLen(1))
	b.g.Expect(calls[0].Items).To(HaveLen(14))
}

// The next call must be sent a round trip and sendLead before the running call ends, so that
// the server finds it in its queue and is not idle.
func TestNextCallIsSentBeforeServerIsFree(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	latency := func(*directory.Server) time.Duration { return 20 * time.Millisecond }
	b.q.SetServers(b.directory.View().Servers("s"), latency)
	b.submit("1", 1, time.Second, "x")
	c := b.nextCalls()[0]
	b.submit("2", 1, time.Second, "x")
	b.now = c.ExpectedEnd.Add(-51 * time.Millisecond)
	b.g.Expect(b.nextCalls()).To(BeEmpty())
	b.now = c.ExpectedEnd.Add(-50 * time.Millisecond)
	b.g.Expect(b.nextCalls()).To(HaveLen(1))
	b.submit("3", 1, time.Second, "x")
	b.g.Expect(b.nextCalls()).To(BeEmpty(), "one call is queued at the server already")
}

// A server's result memory is full and nothing is released. It must get no more items until
// results are released or expire.
func TestResultMemoryIsNotOverfilled(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	for i := range 10 {
		b.submit(fmt.Sprint(i), 4, 10*time.Second, "x")
	}
	b.advance(2*time.Second, time.Hour)
	b.g.Expect(len(b.results)).To(Equal(25), "0.96 of the memory for 26")
	b.q.ResultsReleased("a", 4*resultBytes)
	b.advance(time.Second, time.Hour)
	b.g.Expect(len(b.results)).To(Equal(29))
	b.advance(4*time.Second, time.Hour)
	b.g.Expect(len(b.results)).To(BeNumerically(">", 29), "unreleased results expire")
}

// A server refuses a call for lack of memory although its estimated memory suffices, because
// another entry host uses it too. It must be paused, and no item may fail.
func TestFullServerIsPaused(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	b.submit("1", 4, time.Second, "x")
	c := b.nextCalls()[0]
	refused := Response{Results: make([]Result, 4)}
	for i := range refused.Results {
		refused.Results[i].Reason = NoCapacity
	}
	for range 5 {
		b.q.CompleteCall(c, refused, b.now)
		b.g.Expect(b.nextCalls()).To(BeEmpty())
		b.now = b.now.Add(fullPause)
		calls := b.nextCalls()
		b.g.Expect(calls).To(HaveLen(1))
		c = calls[0]
	}
	b.g.Expect(b.results).To(BeEmpty())
	b.q.CompleteCall(c, refused, b.now)
	b.g.Expect(b.nextCalls()).To(BeEmpty())
	b.q.ResultsReleased("a", resultBytes)
	calls := b.nextCalls()
	b.g.Expect(calls).To(HaveLen(1), "retried at once after a release")
	b.complete(calls[0])
	b.g.Expect(len(b.results)).To(Equal(4))
}

// A call fails. Its items must go to another server at once, and fail for good after three
// failed attempts.
func TestItemsOfFailedCallAreRetriedElsewhere(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 2, time.Second, "x")
	seen := map[string]bool{}
	for range maxAttempts {
		calls := b.nextCalls()
		b.g.Expect(calls).To(HaveLen(1))
		seen[calls[0].Server.ID] = true
		calls[0].Server.RecordFailure(b.now)
		b.q.CompleteCall(calls[0], Response{Err: errors.New("reset")}, b.now)
		if len(seen) == 2 {
			b.now = b.now.Add(2 * time.Second)
		}
	}
	b.g.Expect(seen).To(HaveLen(2))
	b.g.Expect(len(b.results)).To(Equal(2))
	b.g.Expect(b.results["1/0"].Reason).To(Equal(Failed))
}

// A call times out and its response arrives after its items were completed by another
// server. The late response must be ignored.
func TestLateResponseOfTimedOutCallIsIgnored(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 1, time.Second, "x")
	first := b.nextCalls()[0]
	b.now = b.now.Add(time.Second)
	first.Server.RecordFailure(b.now)
	b.q.CompleteCall(first, Response{Err: errors.New("no answer")}, b.now)
	second := b.nextCalls()[0]
	b.g.Expect(second.Server.ID).NotTo(Equal(first.Server.ID))
	b.complete(second)
	b.g.Expect(b.results["1/0"].ServerID).To(Equal(second.Server.ID))
	b.complete(first)
	b.g.Expect(b.results["1/0"].ServerID).To(Equal(second.Server.ID))
}

// One of five servers takes four times the expected time. It must get few items, and the
// requests on the other servers must not wait for it.
func TestSlowServerGetsLittleWork(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x", "c": "x", "d": "x", "e": "x"})
	b.slowdown["e"] = 4
	for i := range 60 { // 20 requests a second, of four items each
		b.submit(fmt.Sprint(i), 4, 2*time.Second, "x")
		b.advance(50*time.Millisecond, 500*time.Millisecond)
	}
	b.advance(2*time.Second, 500*time.Millisecond)
	b.g.Expect(len(b.results)).To(Equal(240))
	byServer := map[string]int{}
	for _, r := range b.results {
		byServer[r.ServerID]++
	}
	b.g.Expect(byServer["e"]).To(BeNumerically("<", 24), "%v", byServer)
}

// A call fails after two seconds without a response. Its duration is unknown, but at least
// two seconds, so the server must count as slow by that much, and the other server must not.
func TestUnresponsiveServerCountsAsSlow(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 14, 10*time.Second, "x")
	b.submit("2", 14, 10*time.Second, "x")
	calls := b.nextCalls()
	b.g.Expect(calls).To(HaveLen(2))
	b.now = b.now.Add(2 * time.Second)
	b.q.CompleteCall(calls[0], Response{Err: errors.New("no answer")}, b.now)
	b.g.Expect(b.q.servers[calls[0].Server.ID].slowdown).To(BeNumerically("~", 2/0.45, 0.1))
	b.g.Expect(b.q.servers[calls[1].Server.ID].slowdown).To(BeNumerically("==", 1))
}

// Two domains have servers of the same speed. Items must run in the domain of their job
// while it has a server, and elsewhere otherwise.
func TestJobsRunInTheirDomainWhileItHasServers(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "y"})
	for i := range 10 {
		b.submit(fmt.Sprintf("%d-x", i), 4, 5*time.Second, "x")
		b.submit(fmt.Sprintf("%d-y", i), 4, 5*time.Second, "y")
		b.advance(350*time.Millisecond, 100*time.Millisecond)
	}
	b.advance(time.Second, 100*time.Millisecond)
	for i := range 10 {
		b.g.Expect(b.results[fmt.Sprintf("%d-x/0", i)].ServerID).To(Equal("a"))
		b.g.Expect(b.results[fmt.Sprintf("%d-y/0", i)].ServerID).To(Equal("b"))
	}
	b.directory.Replace([]directory.Entry{{ID: "b", Service: "s", Domain: "y", Address: "b:1"}}, b.now)
	b.refreshServers()
	b.submit("far", 1, time.Second, "x")
	b.advance(time.Second, 0)
	b.g.Expect(b.results["far/0"].ServerID).To(Equal("b"))
}

// The only server of a domain is busy for 200 ms more, and one in another domain is free. A
// job with large results must wait for its local server if it meets its target time, but use
// the free one if it would be late, if the wait is long, if earlier jobs fill the next call,
// or if the results are small: servers must not be idle without a benefit.
func TestJobsWaitForLocalServerWithinTargetTime(t *testing.T) {
	for _, c := range []struct {
		name            string
		busyFor, target time.Duration
		items, ahead    int
		bytes           int64
		wantServer      string
	}{
		{name: "local server is soon free", busyFor: 200 * time.Millisecond, target: 2 * time.Second, items: 4, bytes: resultBytes, wantServer: "home"},
		{name: "it would be late", busyFor: 200 * time.Millisecond, target: 480 * time.Millisecond, items: 4, bytes: resultBytes, wantServer: "away"},
		{name: "the wait is long", busyFor: 400 * time.Millisecond, target: 2 * time.Second, items: 4, bytes: resultBytes, wantServer: "away"},
		{name: "earlier jobs fill the next call", busyFor: 200 * time.Millisecond, target: 2 * time.Second, items: 4, ahead: 14, bytes: resultBytes, wantServer: "away"},
		{name: "its results are small", busyFor: 200 * time.Millisecond, target: 2 * time.Second, items: 1, bytes: 6_000, wantServer: "away"},
	} {
		t.Run(c.name, func(t *testing.T) {
			opts := testOptions
			opts.ResultMemoryBytes = 0
			b := newHarness(t, opts, map[string]string{"home": "x", "away": "y"})
			b.submit("before", 1, time.Second, "x")
			b.g.Expect(b.nextCalls()).To(HaveLen(1))
			b.q.servers["home"].calls[0].ExpectedEnd = b.now.Add(c.busyFor)
			for i := range c.ahead / 2 {
				b.submit(fmt.Sprintf("ahead-%d", i), 2, 1900*time.Millisecond, "x")
			}
			j := b.submit("job", c.items, c.target, "x")
			j.RemoteBytes = int64(c.items) * c.bytes
			calls := b.nextCalls()
			if c.wantServer == "home" {
				b.g.Expect(calls).To(BeEmpty())
				b.now = b.now.Add(c.busyFor)
				calls = b.nextCalls()
			}
			b.g.Expect(calls).To(HaveLen(1))
			b.g.Expect(calls[0].Server.ID).To(Equal(c.wantServer))
			b.g.Expect(calls[0].Items[len(calls[0].Items)-1].Job).To(BeIdenticalTo(j))
		})
	}
}

// Jobs that cannot meet their deadline or whose request is cancelled must end without a call.
func TestExpiredAndCancelledJobsAreDropped(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	b.submit("busy", 14, time.Second, "x")
	b.nextCalls()
	late := b.submit("late", 1, time.Second, "x")
	late.Deadline = b.now.Add(50 * time.Millisecond)
	b.submit("left", 1, time.Second, "x")
	b.q.Cancel("left")
	b.nextCalls()
	b.g.Expect(b.results["late/0"].Reason).To(Equal(TooLate))
	b.g.Expect(b.results["left/0"].Reason).To(Equal(Cancelled))
	b.g.Expect(b.q.WaitingItems()).To(BeZero())
}

// A burst of 120 items a second in requests of four, with results held for half a second,
// meets five servers with memory for 26 results each. Calls for one request each would need
// 15 servers; with shared calls five must suffice.
func TestFiveServersCompleteBurst(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "x", "c": "y", "d": "y", "e": "z"})
	for i := range 150 { // 5 s
		b.submit(fmt.Sprint(i), 4, time.Second, []string{"x", "y", "z"}[i%3])
		b.advance(33*time.Millisecond, 500*time.Millisecond)
	}
	b.advance(1500*time.Millisecond, 500*time.Millisecond)
	b.g.Expect(len(b.results)).To(Equal(600))
	items := 0
	for _, c := range b.calls {
		items += len(c.Items)
	}
	b.g.Expect(float64(items) / float64(len(b.calls))).To(BeNumerically(">", 6))
}

// A server fails some items in calls that otherwise succeed. Those items must be retried on
// another server.
func TestFailedItemsAreRetriedOnAnotherServer(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x", "b": "y"})
	b.submit("1", 1, time.Second, "x")
	first := b.nextCalls()[0]
	b.g.Expect(first.Server.ID).To(Equal("a"))
	b.q.CompleteCall(first, Response{Results: []Result{{Reason: Failed}}}, b.now)
	second := b.nextCalls()[0]
	b.g.Expect(second.Server.ID).To(Equal("b"))
	b.complete(second)
	b.g.Expect(b.results["1/0"].ServerID).To(Equal("b"))
}

// While a server has never refused an item for lack of memory, all its configured memory must
// be used, however long it has been listed.
func TestConfiguredMemoryIsUsedUntilRefusal(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	s := b.q.servers["a"]
	all := b.q.resultMemory(s)
	b.q.DecayEstimates()
	b.g.Expect(b.q.resultMemory(s)).To(Equal(all))
	b.submit("1", 1, time.Second, "x")
	b.q.CompleteCall(b.nextCalls()[0], Response{Results: []Result{{Reason: NoCapacity}}}, b.now)
	b.g.Expect(b.q.resultMemory(s)).To(BeNumerically("<", all))
	for range 5 {
		b.q.DecayEstimates()
	}
	b.g.Expect(b.q.resultMemory(s)).To(Equal(all))
}

// Servers may run several calls concurrently. They must get as many, and one more to queue.
func TestServersWithSeveralSlotsGetConcurrentCalls(t *testing.T) {
	opts := testOptions
	opts.Slots, opts.ResultMemoryBytes = 2, 0
	b := newHarness(t, opts, map[string]string{"a": "x"})
	for i := range 4 {
		b.submit(fmt.Sprint(i), 14, 10*time.Second, "x")
	}
	calls := b.nextCalls()
	b.g.Expect(calls).To(HaveLen(2))
	b.g.Expect(b.q.Capacity(b.now).ItemsPerSecond).To(BeNumerically("~", 2*14/0.45, 1))
	b.now = calls[0].ExpectedEnd.Add(-5 * time.Millisecond)
	third := b.nextCalls()
	b.g.Expect(third).To(HaveLen(1))
	b.g.Expect(b.nextCalls()).To(BeEmpty())
	b.now = calls[0].ExpectedEnd.Add(time.Millisecond)
	b.complete(calls[0])
	b.g.Expect(third[0].ExpectedStart).To(Equal(b.now.Add(-time.Millisecond)))
	b.complete(calls[1])
	b.g.Expect(b.nextCalls()).To(HaveLen(1))
}

// The inputs of a job count as fetched only when every call with its items has run for a
// while. Guards against the release of inputs while a call is still queued at its server.
func TestInputsAreFetchedOnlyAfterCallStarts(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"a": "x"})
	fetched := 0
	b.submit("ahead", 4, 5*time.Second, "x")
	ahead := b.nextCalls()[0]
	b.submit("behind", 4, 5*time.Second, "x").OnInputsFetched = func() { fetched++ }
	b.now = ahead.ExpectedEnd.Add(-sendLead)
	behind := b.nextCalls()[0]
	b.now = b.now.Add(behind.ExpectedDuration) // the call ahead of it takes longer than expected
	b.nextCalls()
	b.g.Expect(fetched).To(BeZero())
	b.complete(ahead)
	b.nextCalls()
	b.g.Expect(fetched).To(BeZero())
	b.now = behind.inputsFetchedAt()
	b.nextCalls()
	b.g.Expect(fetched).To(Equal(1))
	b.complete(behind)
	b.g.Expect(fetched).To(Equal(1))
}

// Guards against items that are needed at once and wait for others, or in a call that others make
// longer.
func TestUrgentItemsGoIntoTheNextCallByThemselves(t *testing.T) {
	b := newHarness(t, testOptions, map[string]string{"one": "a"})
	b.submit("first", 14, time.Second, "a")
	b.g.Expect(b.nextCalls()).To(HaveLen(1))
	b.submit("usual", 10, time.Second, "a")
	for _, id := range []string{"urgent", "urgent too"} {
		j := b.submit(id, 2, 0, "b")
		j.Urgent = true
	}
	b.advance(time.Second, 0)
	b.g.Expect(len(b.calls)).To(BeNumerically(">=", 3))
	var items []string
	for _, item := range b.calls[1].Items {
		items = append(items, item.Job.Items[0].RequestID)
	}
	b.g.Expect(items).To(Equal([]string{"urgent", "urgent", "urgent too", "urgent too"}))
}
