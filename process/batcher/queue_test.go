package batcher

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
)

// A stage like the sheets of today: a call takes 240 ms and 15 ms an item, of
// at most 14; a result of 60 kB, room for 26.
var sheet = Options{MaxItems: 14, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond, ResultMemoryBytes: 1_600_000, ResultTTL: 4 * time.Second}

const resultBytes = 60_000

// bench drives a queue with simulated time and servers that take as long as
// expected, times slow.
type bench struct {
	t     *testing.T
	g     *WithT
	q     *Queue
	now   time.Time
	dir   *directory.Directory
	slow  map[string]float64
	open  []*Call
	done  map[string]Result // by request/piece
	calls []*Call
	busy  map[string]time.Time // end of a server's last call
	frees []freed
}

// freed are results that are given up at a time.
type freed struct {
	at     time.Time
	server string
	bytes  int64
}

func newBench(t *testing.T, opts Options, servers map[string]string) *bench {
	b := &bench{
		t: t, g: NewWithT(t), q: NewQueue(opts), now: time.Unix(1000, 0), dir: directory.New(),
		slow: map[string]float64{}, busy: map[string]time.Time{}, done: map[string]Result{},
	}
	var entries []directory.Entry
	for id, domain := range servers {
		entries = append(entries, directory.Entry{ID: id, Service: "s", Domain: domain, Region: "region of " + domain, Address: id + ":1"})
		b.slow[id] = 1
	}
	b.dir.Replace(entries, b.now)
	b.list()
	return b
}

func (b *bench) list() {
	b.q.SetServers(b.dir.View().Servers("s"), func(*directory.Server) time.Duration { return time.Millisecond })
}

func (b *bench) submit(id string, items int, aim time.Duration, domain string) *Job {
	j := &Job{Domain: domain, TargetTime: b.now.Add(aim), Deadline: b.now.Add(20 * time.Second), ResultBytes: resultBytes, RemoteBytes: int64(items) * resultBytes}
	for p := range items {
		j.Items = append(j.Items, Item{RequestID: id, Piece: p})
	}
	j.OnResult = func(p int, r Result) { b.done[fmt.Sprintf("%s/%d", id, p)] = r }
	b.q.Submit(j, b.now)
	return j
}

// next asks for calls and keeps them open.
func (b *bench) next() []*Call {
	calls, _ := b.q.NextCalls(b.now)
	b.open = append(b.open, calls...)
	b.calls = append(b.calls, calls...)
	return calls
}

// run lets the time pass in steps of a millisecond; calls end when their
// servers are done, and results are freed after hold.
func (b *bench) run(d, hold time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		b.next()
		kept := b.open[:0]
		for _, c := range b.open {
			start := c.sent.Add(time.Millisecond)
			if before := b.busy[c.Server.ID]; before.After(start) && c != firstOf(b.open, c.Server.ID) {
				kept = append(kept, c)
				continue
			}
			took := time.Duration(b.slow[c.Server.ID] * float64(b.q.opts.expected(len(c.Items))))
			if c.ExpectedStart.After(start) {
				start = c.ExpectedStart
			}
			if b.now.Before(start.Add(took)) {
				kept = append(kept, c)
				continue
			}
			b.busy[c.Server.ID] = b.now
			b.end(c)
			b.frees = append(b.frees, freed{b.now.Add(hold), c.Server.ID, c.bytes})
		}
		b.open = kept
		left := b.frees[:0]
		for _, f := range b.frees {
			if b.now.Before(f.at) {
				left = append(left, f)
				continue
			}
			b.q.ResultsReleased(f.server, f.bytes)
		}
		b.frees = left
	}
}

func firstOf(calls []*Call, id string) *Call {
	for _, c := range calls {
		if c.Server.ID == id {
			return c
		}
	}
	return nil
}

func (b *bench) end(c *Call) {
	a := Response{}
	for i := range c.Items {
		a.Results = append(a.Results, Result{Handle: fmt.Sprintf("h%d", i), ServerID: c.Server.ID})
	}
	b.q.CompleteCall(c, a, b.now)
}

// Items of many requests wait while all servers work. They share the next
// calls: the fixed time of a call is paid once for all of them.
func TestItemsOfManyRequestsShareCalls(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	b.submit("first", 1, time.Second, "x")
	b.next()
	for i := range 5 {
		b.submit(fmt.Sprint(i), 4, time.Second, "x")
	}
	b.now = b.now.Add(100 * time.Millisecond)
	b.g.Expect(b.next()).To(BeEmpty(), "the server still works")
	b.now = b.calls[0].ExpectedEnd
	calls := b.next()
	b.g.Expect(calls).To(HaveLen(1))
	b.g.Expect(calls[0].Items).To(HaveLen(14))
}

// The next call leaves before the present one ends, by the way there and back:
// the server finds it waiting and does not stand idle.
func TestNextCallLeavesBeforeTheServerIsFree(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	far := func(*directory.Server) time.Duration { return 20 * time.Millisecond }
	b.q.SetServers(b.dir.View().Servers("s"), far)
	b.submit("1", 1, time.Second, "x")
	c := b.next()[0]
	b.submit("2", 1, time.Second, "x")
	b.now = c.ExpectedEnd.Add(-51 * time.Millisecond)
	b.g.Expect(b.next()).To(BeEmpty())
	b.now = c.ExpectedEnd.Add(-50 * time.Millisecond)
	b.g.Expect(b.next()).To(HaveLen(1))
	b.submit("3", 1, time.Second, "x")
	b.g.Expect(b.next()).To(BeEmpty(), "one call waits at the server already")
}

// Results fill the room of a server and are not given up. No more items go
// there until they are, or until they free themselves.
func TestRoomForResultsIsNotOverfilled(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	for i := range 10 {
		b.submit(fmt.Sprint(i), 4, 10*time.Second, "x")
	}
	b.run(2*time.Second, time.Hour)
	b.g.Expect(len(b.done)).To(Equal(25), "0.96 of the room for 26")
	b.q.ResultsReleased("a", 4*resultBytes)
	b.run(time.Second, time.Hour)
	b.g.Expect(len(b.done)).To(Equal(29))
	b.run(4*time.Second, time.Hour)
	b.g.Expect(len(b.done)).To(BeNumerically(">", 29), "what nobody freed is gone after its own time")
}

// A server says that it has no room, though there should be some: another host
// gives it work, too. It is left alone for a while, and nothing fails.
func TestServerWithoutRoomIsLeftAloneForAWhile(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	b.submit("1", 4, time.Second, "x")
	c := b.next()[0]
	refused := Response{Results: make([]Result, 4)}
	for i := range refused.Results {
		refused.Results[i].Reason = NoCapacity
	}
	for range 5 {
		b.q.CompleteCall(c, refused, b.now)
		b.g.Expect(b.next()).To(BeEmpty())
		b.now = b.now.Add(fullPause)
		calls := b.next()
		b.g.Expect(calls).To(HaveLen(1))
		c = calls[0]
	}
	b.g.Expect(b.done).To(BeEmpty())
	b.q.CompleteCall(c, refused, b.now)
	b.g.Expect(b.next()).To(BeEmpty())
	b.q.ResultsReleased("a", resultBytes)
	calls := b.next()
	b.g.Expect(calls).To(HaveLen(1), "a result was freed there: asked again at once")
	b.end(calls[0])
	b.g.Expect(len(b.done)).To(Equal(4))
}

// A server breaks off a call. Its items go to another one at once; after three
// failures the request gets its final answer.
func TestItemsOfAFailedCallAreMadeElsewhere(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 2, time.Second, "x")
	seen := map[string]bool{}
	for range maxAttempts {
		calls := b.next()
		b.g.Expect(calls).To(HaveLen(1))
		seen[calls[0].Server.ID] = true
		calls[0].Server.RecordFailure(b.now)
		b.q.CompleteCall(calls[0], Response{Err: errors.New("reset")}, b.now)
		if len(seen) == 2 {
			b.now = b.now.Add(2 * time.Second)
		}
	}
	b.g.Expect(seen).To(HaveLen(2))
	b.g.Expect(len(b.done)).To(Equal(2))
	b.g.Expect(b.done["1/0"].Reason).To(Equal(Failed))
}

// A call is given up and answers later. Its items were made elsewhere
// meanwhile: the late answer changes nothing.
func TestLateAnswerOfACallThatWasGivenUp(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 1, time.Second, "x")
	first := b.next()[0]
	b.now = b.now.Add(time.Second)
	first.Server.RecordFailure(b.now)
	b.q.CompleteCall(first, Response{Err: errors.New("no answer")}, b.now)
	second := b.next()[0]
	b.g.Expect(second.Server.ID).NotTo(Equal(first.Server.ID))
	b.end(second)
	b.g.Expect(b.done["1/0"].ServerID).To(Equal(second.Server.ID))
	b.end(first)
	b.g.Expect(b.done["1/0"].ServerID).To(Equal(second.Server.ID))
}

// One of five servers takes four times as long, as on a day with a slow server.
// It gets little work, and the others' requests do not wait for it.
func TestSlowServerGetsLittleWork(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x", "c": "x", "d": "x", "e": "x"})
	b.slow["e"] = 4
	for i := range 60 { // 20 requests a second, of four items each
		b.submit(fmt.Sprint(i), 4, 2*time.Second, "x")
		b.run(50*time.Millisecond, 500*time.Millisecond)
	}
	b.run(2*time.Second, 500*time.Millisecond)
	b.g.Expect(len(b.done)).To(Equal(240))
	byServer := map[string]int{}
	for _, r := range b.done {
		byServer[r.ServerID]++
	}
	b.g.Expect(byServer["e"]).To(BeNumerically("<", 24), "%v", byServer)
}

// A server's call is given up after two seconds without an answer. How long it
// takes is not known, but that long at least: it counts as slow, and the next job
// waits for the other server, which is busy for a moment.
func TestServerThatDoesNotAnswerCountsAsSlow(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x"})
	b.submit("1", 14, 10*time.Second, "x")
	b.submit("2", 14, 10*time.Second, "x")
	calls := b.next()
	b.g.Expect(calls).To(HaveLen(2))
	b.now = b.now.Add(2 * time.Second)
	b.q.CompleteCall(calls[0], Response{Err: errors.New("no answer")}, b.now)
	b.g.Expect(b.q.servers[calls[0].Server.ID].slow).To(BeNumerically("~", 2/0.45, 0.1))
	b.g.Expect(b.q.servers[calls[1].Server.ID].slow).To(BeNumerically("==", 1))
}

// Two domains have servers of the same speed. Work is made in the domain where
// it is needed while there is a server for it, and elsewhere when there is not.
func TestWorkStaysInItsDomainWhileThatHasServers(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "y"})
	for i := range 10 {
		b.submit(fmt.Sprintf("%d-x", i), 4, 5*time.Second, "x")
		b.submit(fmt.Sprintf("%d-y", i), 4, 5*time.Second, "y")
		b.run(350*time.Millisecond, 100*time.Millisecond)
	}
	b.run(time.Second, 100*time.Millisecond)
	for i := range 10 {
		b.g.Expect(b.done[fmt.Sprintf("%d-x/0", i)].ServerID).To(Equal("a"))
		b.g.Expect(b.done[fmt.Sprintf("%d-y/0", i)].ServerID).To(Equal("b"))
	}
	b.dir.Replace([]directory.Entry{{ID: "b", Service: "s", Domain: "y", Address: "b:1"}}, b.now)
	b.list()
	b.submit("far", 1, time.Second, "x")
	b.run(time.Second, 0)
	b.g.Expect(b.done["far/0"].ServerID).To(Equal("b"))
}

// The only server of a domain works on a call that ends in 200 ms; one elsewhere
// is free. A job whose results would cross domains waits for its own server if
// its aim allows that, and goes to the free one if it would be late, if the wait
// were long, if its own server has more work waiting than it can take, or if the
// results are small: a free server is not left idle for nothing.
func TestWorkWaitsForItsDomainWhileItsAimAllows(t *testing.T) {
	for _, c := range []struct {
		name         string
		busyFor, aim time.Duration
		items, ahead int
		bytes        int64
		madeBy       string
	}{
		{name: "its own server is soon free", busyFor: 200 * time.Millisecond, aim: 2 * time.Second, items: 4, bytes: resultBytes, madeBy: "home"},
		{name: "it would be late", busyFor: 200 * time.Millisecond, aim: 480 * time.Millisecond, items: 4, bytes: resultBytes, madeBy: "away"},
		{name: "the wait is long", busyFor: 400 * time.Millisecond, aim: 2 * time.Second, items: 4, bytes: resultBytes, madeBy: "away"},
		{name: "others wait for all of the next call", busyFor: 200 * time.Millisecond, aim: 2 * time.Second, items: 4, ahead: 14, bytes: resultBytes, madeBy: "away"},
		{name: "its results are small", busyFor: 200 * time.Millisecond, aim: 2 * time.Second, items: 1, bytes: 6_000, madeBy: "away"},
	} {
		t.Run(c.name, func(t *testing.T) {
			opts := sheet
			opts.ResultMemoryBytes = 0
			b := newBench(t, opts, map[string]string{"home": "x", "away": "y"})
			b.submit("before", 1, time.Second, "x")
			b.g.Expect(b.next()).To(HaveLen(1))
			b.q.servers["home"].calls[0].ExpectedEnd = b.now.Add(c.busyFor)
			for i := range c.ahead / 2 {
				b.submit(fmt.Sprintf("ahead-%d", i), 2, 1900*time.Millisecond, "x")
			}
			j := b.submit("job", c.items, c.aim, "x")
			j.RemoteBytes = int64(c.items) * c.bytes
			calls := b.next()
			if c.madeBy == "home" {
				b.g.Expect(calls).To(BeEmpty())
				b.now = b.now.Add(c.busyFor)
				calls = b.next()
			}
			b.g.Expect(calls).To(HaveLen(1))
			b.g.Expect(calls[0].Server.ID).To(Equal(c.madeBy))
			b.g.Expect(calls[0].Items[len(calls[0].Items)-1].Job).To(BeIdenticalTo(j))
		})
	}
}

// Jobs that are of no use any more, or whose request is over, get their outcome
// and no server.
func TestHopelessAndCancelledJobsGetNoServer(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	b.submit("busy", 14, time.Second, "x")
	b.next()
	late := b.submit("late", 1, time.Second, "x")
	late.Deadline = b.now.Add(50 * time.Millisecond)
	b.submit("left", 1, time.Second, "x")
	b.q.Cancel("left")
	b.next()
	b.g.Expect(b.done["late/0"].Reason).To(Equal(TooLate))
	b.g.Expect(b.done["left/0"].Reason).To(Equal(Cancelled))
	b.g.Expect(b.q.WaitingItems()).To(BeZero())
}

// The load of a burst: 120 items a second in requests of four, results held for
// half a second, before five servers with room for 26 results. Calls of one
// request would take 15 servers; the five make it, because calls are shared.
func TestBurstIsMadeByFiveServers(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x", "c": "y", "d": "y", "e": "z"})
	for i := range 150 { // 5 s
		b.submit(fmt.Sprint(i), 4, time.Second, []string{"x", "y", "z"}[i%3])
		b.run(33*time.Millisecond, 500*time.Millisecond)
	}
	b.run(1500*time.Millisecond, 500*time.Millisecond)
	b.g.Expect(len(b.done)).To(Equal(600))
	items := 0
	for _, c := range b.calls {
		items += len(c.Items)
	}
	b.g.Expect(float64(items) / float64(len(b.calls))).To(BeNumerically(">", 6))
}

// A server fails part of its items and answers the others well, while its calls
// look sound. What failed there goes to another server.
func TestItemsThatAServerFailsGoToAnother(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "y"})
	b.submit("1", 1, time.Second, "x")
	first := b.next()[0]
	b.g.Expect(first.Server.ID).To(Equal("a"))
	b.q.CompleteCall(first, Response{Results: []Result{{Reason: Failed}}}, b.now)
	second := b.next()[0]
	b.g.Expect(second.Server.ID).To(Equal("b"))
	b.end(second)
	b.g.Expect(b.done["1/0"].ServerID).To(Equal("b"))
}

// A server has never refused an item for its room. However long it is listed,
// all of its configured room is used.
func TestRoomIsAsConfiguredUntilAServerRefuses(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	s := b.q.servers["a"]
	all := b.q.roomOf(s)
	b.q.DecayEstimates()
	b.g.Expect(b.q.roomOf(s)).To(Equal(all))
	b.submit("1", 1, time.Second, "x")
	b.q.CompleteCall(b.next()[0], Response{Results: []Result{{Reason: NoCapacity}}}, b.now)
	b.g.Expect(b.q.roomOf(s)).To(BeNumerically("<", all))
	for range 5 {
		b.q.DecayEstimates()
	}
	b.g.Expect(b.q.roomOf(s)).To(Equal(all))
}

// Servers of a stage may work on several calls at once. They get as many, and
// one that waits.
func TestServersWithSeveralSlotsGetSeveralCalls(t *testing.T) {
	opts := sheet
	opts.Slots, opts.ResultMemoryBytes = 2, 0
	b := newBench(t, opts, map[string]string{"a": "x"})
	for i := range 4 {
		b.submit(fmt.Sprint(i), 14, 10*time.Second, "x")
	}
	calls := b.next()
	b.g.Expect(calls).To(HaveLen(2))
	b.g.Expect(b.q.Capacity(b.now).ItemsPerSecond).To(BeNumerically("~", 2*14/0.45, 1))
	b.now = calls[0].ExpectedEnd.Add(-5 * time.Millisecond)
	third := b.next()
	b.g.Expect(third).To(HaveLen(1))
	b.g.Expect(b.next()).To(BeEmpty())
	b.now = calls[0].ExpectedEnd.Add(time.Millisecond)
	b.end(calls[0])
	b.g.Expect(third[0].ExpectedStart).To(Equal(b.now.Add(-time.Millisecond)))
	b.end(calls[1])
	b.g.Expect(b.next()).To(HaveLen(1))
}

// The inputs of a job count as fetched once the calls with all its items have been in
// their turn for a while. Guards against giving up inputs of a call that still waits at
// its server, which would find them gone.
func TestInputsAreFetchedOnceTheirCallsTurnHasBegun(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	fetched := 0
	b.submit("ahead", 4, 5*time.Second, "x")
	ahead := b.next()[0]
	b.submit("behind", 4, 5*time.Second, "x").OnInputsFetched = func() { fetched++ }
	b.now = ahead.ExpectedEnd.Add(-sendLead)
	behind := b.next()[0]
	b.now = b.now.Add(behind.ExpectedDuration) // the call ahead of it takes longer than expected
	b.next()
	b.g.Expect(fetched).To(BeZero())
	b.end(ahead)
	b.next()
	b.g.Expect(fetched).To(BeZero())
	b.now = behind.fetchedAt()
	b.next()
	b.g.Expect(fetched).To(Equal(1))
	b.end(behind)
	b.g.Expect(fetched).To(Equal(1))
}
