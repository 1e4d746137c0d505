package batcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The pattern: all hosts have lost power, and a server still holds nine tenths of its
// room in results of before, which nobody can name. The host that begins to do the
// stage work asks before it fills the server: the next call holds what fits, and the
// server is asked again until the old results are gone.
func TestResultsOfBeforeALossOfPowerAreAskedFor(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	b.submit("1", 1, time.Second, "x")
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1))
	b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty(), "one question at a time")
	b.q.UpdateFreeMemory("a", sheet.ResultMemoryBytes/10, true, b.now)
	for i := range 6 {
		b.submit(fmt.Sprint("more-", i), 2, 5*time.Second, "x")
	}
	calls := b.next()
	b.g.Expect(calls).To(HaveLen(1))
	b.g.Expect(len(calls[0].Items)).To(BeNumerically("<=", 2), "what fits a tenth of the room")
	b.now = b.now.Add(askEvery)
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1), "results of before go within seconds")
	b.now = calls[0].ExpectedEnd
	b.end(calls[0])
	b.q.UpdateFreeMemory("a", sheet.ResultMemoryBytes-calls[0].bytes, true, b.now)
	calls = b.next()
	b.g.Expect(len(calls[0].Items)).To(BeNumerically(">", 6))
	b.now = b.now.Add(askEvery)
	b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty())
}

// A server has no room for an item though there should be some. It is asked what it
// holds; one that does not tell, or tells what is known, gets work as before.
func TestServerWithoutRoomIsAsked(t *testing.T) {
	for name, answer := range map[string]func(*Queue, time.Time){
		"it does not tell":      func(q *Queue, now time.Time) { q.UpdateFreeMemory("a", 0, false, now) },
		"nothing that is news":  func(q *Queue, now time.Time) { q.UpdateFreeMemory("a", sheet.ResultMemoryBytes, true, now) },
		"it is no longer there": func(q *Queue, now time.Time) { q.UpdateFreeMemory("gone", 0, true, now) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, sheet, map[string]string{"a": "x"})
			b.submit("1", 1, time.Second, "x")
			b.q.ServersToProbe(b.now)
			c := b.next()[0]
			b.now = c.ExpectedEnd.Add(askEvery)
			b.q.CompleteCall(c, Response{Results: []Result{{Reason: NoCapacity}}}, b.now)
			b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(1))
			answer(b.q, b.now)
			b.now = b.now.Add(fullPause)
			b.g.Expect(b.next()).To(HaveLen(1))
		})
	}
}

// A host that has given work all the time knows what its servers hold: nobody is asked.
func TestServersAreNotAskedWhileTheirResultsAreKnown(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x"})
	for i := range 20 {
		b.submit(fmt.Sprint(i), 2, time.Second, "x")
		if i == 0 {
			b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(2))
			b.q.UpdateFreeMemory("a", sheet.ResultMemoryBytes, true, b.now)
			b.q.UpdateFreeMemory("b", sheet.ResultMemoryBytes, true, b.now)
		}
		b.run(500*time.Millisecond, 200*time.Millisecond)
		b.g.Expect(b.q.ServersToProbe(b.now)).To(BeEmpty())
	}
	b.now = b.now.Add(sheet.ResultTTL + time.Millisecond)
	b.submit("later", 1, time.Second, "x")
	b.g.Expect(b.q.ServersToProbe(b.now)).To(HaveLen(2))
}
