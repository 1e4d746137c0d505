package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an expected wait that counts the requests behind, or work of other services.
func TestExpectedWaitCountsTheWorkBefore(t *testing.T) {
	other := newTestService()
	other.ItemsPerSecond = 10
	l := newAdmissionSim(t, map[string]Service{"s": newTestService(), "other": other})
	for i := range 31 {
		l.enqueue(fmt.Sprint("first ", i), 1, 10, 10*time.Second, 20*time.Second)
	}
	middle := &Ticket{Request: &Request{
		Worth: 0.5, Stages: []Stage{{Service: "s", Items: 10}, {Service: "other", Items: 1}},
		TargetTime: l.now.Add(10 * time.Second), Deadline: l.now.Add(20 * time.Second),
	}}
	l.a.Enqueue(middle, l.now)
	for i := range 10 {
		l.enqueue(fmt.Sprint("last ", i), 0.1, 10, 10*time.Second, 20*time.Second)
	}
	l.g.Expect(l.a.lineWait(middle, l.now)).To(Equal(2 * time.Second))
	l.a.Remove(middle)
	l.g.Expect(l.a.lineWait(middle, l.now)).To(BeZero(), "it does not wait")
}

// A service is in heavy overload. Guards against a wait that is too low there, so that other regions send
// more: requests wait for more urgent late ones, and those that are late on arrival, or refused, would have
// waited for the whole line.
func TestExpectedWaitCountsLateWork(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"], l.a.lateInFlight["s"] = workAmount{items: 10_000}, workAmount{items: 10_000}
	l.enqueueFor("", "late and urgent", 1, 155, 100*time.Millisecond, 4*time.Second)
	l.enqueueFor("", "late", 3, 155, 100*time.Millisecond, 4*time.Second)
	l.enqueueFor("", "on time", 3, 310, 30*time.Second, time.Minute)
	l.enqueueFor("", "less urgent", 9, 310, 30*time.Second, time.Minute)
	l.a.Schedule(l.now)
	wait := func(id string, priority int, targetLatency, timeout time.Duration) time.Duration {
		l.now = l.now.Add(lineInterval)
		ticket := l.enqueueFor("", id, priority, 1, targetLatency, timeout)
		l.a.Schedule(l.now)
		defer l.a.Remove(ticket)
		return l.a.lineWait(ticket, l.now)
	}
	l.g.Expect(wait("first", 3, 20*time.Second, time.Minute)).To(Equal(time.Second), "its worth per second is highest")
	l.g.Expect(wait("late on arrival", 3, 100*time.Millisecond, time.Minute)).To(Equal(4 * time.Second))
	l.g.Expect(wait("unreachable", 3, 100*time.Millisecond, 4500*time.Millisecond)).To(Equal(4 * time.Second))
	l.g.Expect(l.rejected).To(HaveKeyWithValue("unreachable", reasonLine))
}

// All servers of a service are in backoff while requests wait. Guards against a wait of 0 for requests that
// arrive then.
func TestExpectedWaitWhileNoServerIsUsable(t *testing.T) {
	s := newTestService()
	services := map[string]Service{"s": s}
	l := newAdmissionSim(t, services)
	l.a.inFlight["s"] = workAmount{items: 10_000}
	l.enqueueFor("", "first", 0, 310, 30*time.Second, time.Minute)
	l.a.Schedule(l.now)
	s.ItemsPerSecond = 0
	services["s"] = s
	behind := l.enqueueFor("", "behind", 1, 1, 30*time.Second, time.Minute)
	l.a.Schedule(l.now)
	l.g.Expect(l.a.lineWait(behind, l.now)).To(Equal(2 * time.Second))
}
