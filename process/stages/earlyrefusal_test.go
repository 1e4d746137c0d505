package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
)

// Twice what a service can do before all deadlines arrives at once. Guards against requests that wait
// until their own stages no longer fit, though the line before them shows from the start that they will
// not be reached, and against refusals of requests that would have been served.
func TestRequestsBehindALongLineAreRefusedAtOnce(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 400 { // 1600 items, 10.7 s of work
		l.enqueue(fmt.Sprint(i), 1, 4, 1500*time.Millisecond, 5*time.Second)
	}
	l.a.Schedule(l.now)
	atOnce := len(l.rejected)
	l.advance(6 * time.Second)
	l.g.Expect(atOnce).To(BeNumerically(">", 150))
	l.g.Expect(len(l.started)).To(BeNumerically(">=", 130), "4 s of work can start")

	without := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 400 {
		without.enqueue(fmt.Sprint(i), 1, 4, 1500*time.Millisecond, 5*time.Second)
	}
	without.a.lineCheckedAt = without.now.Add(time.Hour)
	without.advance(6 * time.Second)
	l.g.Expect(len(l.started)).To(BeNumerically(">=", len(without.started)))
}

// A long line of urgent requests arrives before less urgent ones that wait. Guards against refusals at
// the latest start only: that they will not be reached becomes known while they wait.
func TestWaitingRequestIsRefusedOnceTheLineBeforeItIsTooLong(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.enqueueFor("", "full", 0, 200, 1500*time.Millisecond, 5*time.Second)
	l.enqueueFor("", "waits", 3, 4, 1500*time.Millisecond, 5*time.Second)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(BeEmpty())
	for i := range 300 {
		l.enqueueFor("", fmt.Sprint(i), 0, 4, 4*time.Second, 5*time.Second)
	}
	l.now = l.now.Add(lineInterval)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(HaveKeyWithValue("waits", reasonLine))
}

// Three of four servers are away for a moment, and a client takes up a stream behind a long line. Guards
// against refusals by a rate that will not last, and of requests of which the client has a part.
func TestLineRefusesNoRequestForAMomentOrOnceBegun(t *testing.T) {
	s := newTestService()
	services := map[string]Service{"s": s}
	l := newAdmissionSim(t, services)
	for i := range 100 {
		l.enqueue(fmt.Sprint(i), 1, 4, 1500*time.Millisecond, 5*time.Second)
	}
	l.a.Schedule(l.now)
	s.ItemsPerSecond /= 4
	services["s"] = s
	for range 5 {
		l.now = l.now.Add(lineInterval)
		l.a.Schedule(l.now)
	}
	l.g.Expect(l.rejected).To(BeEmpty())

	l = newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 400 {
		l.enqueue(fmt.Sprint(i), 1, 4, 1500*time.Millisecond, 5*time.Second)
	}
	taken := l.enqueueFor("", "continued", 3, 4, 1500*time.Millisecond, 5*time.Second)
	taken.Request.Continues = true
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).NotTo(BeEmpty())
	l.g.Expect(l.rejected).NotTo(HaveKey("continued"))
}

// Many requests are refused at once. Guards against callers who are told to return all at the same
// time, or before those that wait have started.
func TestRefusedRequestsReturnSpreadOverTime(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	var tickets []*Ticket
	for i := range 400 {
		tickets = append(tickets, l.enqueueFor("", fmt.Sprint(i), 0, 4, 1500*time.Millisecond, 5*time.Second))
	}
	l.a.Schedule(l.now)
	returns := map[time.Duration]int{} // by second
	for _, ticket := range tickets {
		if l.rejected[ticket.Request.ID] == reasonLine {
			l.g.Expect(ticket.retryAfter).To(BeNumerically(">", 2*time.Second))
			l.g.Expect(ticket.retryAfter).To(BeNumerically("<=", maxLineRetryAfter))
			returns[ticket.retryAfter.Truncate(time.Second)]++
		}
	}
	l.g.Expect(len(returns)).To(BeNumerically(">=", 4))
	for second, n := range returns {
		l.g.Expect(n*4).To(BeNumerically("<=", 1.1*155), "items that return after %v", second)
	}
}

// A request waits behind a line for longer than its deadline allows. Guards against callers who return
// before those that were refused earlier.
func TestRequestThatIsTooLateReturnsBehindThoseRefused(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"] = workAmount{items: 10_000}
	l.enqueueFor("", "line", 0, 310, 10*time.Second, 20*time.Second) // 2 s of work
	late := l.enqueueFor("", "late", 3, 4, time.Second, 3*time.Second)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(BeEmpty())
	l.a.lineCheckedAt = l.now.Add(time.Hour)
	l.now = l.now.Add(2900 * time.Millisecond)
	l.a.shares.markShort(&reservations{services: map[string]bool{"s": true}}, l.now)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(HaveKeyWithValue("late", batcher.TooLate))
	l.g.Expect(late.retryAfter).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
}

// A client takes up a long stream that can no longer be reached. Guards against requests that are refused
// behind it though it will be rejected, and start in its place.
func TestUnreachableStreamDelaysNoRequest(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"], l.a.lateInFlight["s"] = workAmount{items: 10_000}, workAmount{items: 10_000}
	l.enqueueFor("", "line", 0, 300, 10*time.Second, 20*time.Second) // 1.9 s of work
	l.enqueueFor("", "late", 0, 100, 100*time.Millisecond, 1200*time.Millisecond)
	taken := l.enqueueFor("", "continued", 0, 900, time.Second, 1500*time.Millisecond)
	taken.Request.Continues = true
	l.enqueueFor("", "behind", 1, 4, time.Second, 4*time.Second)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(BeEmpty())
}

// Requests of priority 3 have deadlines after those of many of priority 9. Guards against urgent requests
// that are refused behind less urgent late ones.
func TestLessUrgentLateWorkDoesNotRefuseUrgentWork(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"] = workAmount{items: 10_000}
	for i := range 150 {
		l.enqueueFor("", fmt.Sprint(i), 9, 20, time.Second, 4*time.Second)
	}
	l.enqueueFor("", "urgent", 3, 4, 100*time.Millisecond, 4001*time.Millisecond)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).NotTo(HaveKey("urgent"))
}

// enqueueFor adds a request of an account and returns its ticket.
func (l *admissionSim) enqueueFor(account, id string, priority, items int, targetLatency, timeout time.Duration) *Ticket {
	r := &Request{
		ID: id, Account: account, Priority: priority, Worth: 1, Stages: []Stage{{Service: "s", Items: items}},
		TargetTime: l.now.Add(targetLatency), Deadline: l.now.Add(timeout),
	}
	t := &Ticket{Request: r, Start: func() { l.started = append(l.started, id) }}
	t.Reject = func(reason batcher.Reason) { l.rejected[id] = reason }
	l.a.Enqueue(t, l.now)
	return t
}
