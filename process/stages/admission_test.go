package stages

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
)

// newTestService returns a service of five servers with calls of 240 ms plus 15 ms per item,
// of at most 14 items, which makes 155 items per second.
func newTestService() Service {
	o := batcher.Options{MaxItems: 14, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond}
	return Service{Options: o, Capacity: batcher.Capacity{ListedServers: 5, AvailableServers: 5, ItemsPerSecond: 155}}
}

// admissionSim runs an Admission in simulated time. The service finishes the items of started
// requests in order, at its rate.
type admissionSim struct {
	g           *WithT
	a           *Admission
	now         time.Time
	started     []string
	rejected    map[string]batcher.Reason
	startedLate map[string]bool
	inFlight    []bool // one entry per item in the order of their start; true if late
}

func newAdmissionSim(t *testing.T, services map[string]Service) *admissionSim {
	l := &admissionSim{g: NewWithT(t), now: time.Unix(1000, 0), rejected: map[string]batcher.Reason{}, startedLate: map[string]bool{}}
	l.a = NewAdmission(func(name string) (Service, bool) { s, ok := services[name]; return s, ok })
	return l
}

func (l *admissionSim) enqueue(id string, worth float64, items int, targetLatency, timeout time.Duration) {
	r := &Request{
		ID: id, Worth: worth, Stages: []Stage{{Service: "s", Items: items}},
		TargetTime: l.now.Add(targetLatency), Deadline: l.now.Add(timeout),
	}
	t := &Ticket{Request: r}
	t.Start = func() {
		l.started = append(l.started, id)
		l.startedLate[id] = t.late
		for range items {
			l.inFlight = append(l.inFlight, t.late)
		}
	}
	t.Reject = func(reason batcher.Reason) { l.rejected[id] = reason }
	l.a.Enqueue(t, l.now)
}

// advance lets the service finish items at its rate for d.
func (l *admissionSim) advance(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(step) {
		for range min(3, len(l.inFlight)) { // 150 per second
			l.a.StageFinished(Stage{Service: "s", Items: 1}, l.inFlight[0])
			l.inFlight = l.inFlight[1:]
		}
		l.a.Schedule(l.now)
	}
}

// Requests of more worth per unit of work arrive while the service is full. They must start
// before earlier requests of less worth.
func TestRequestsOfMoreWorthPerSecondStartFirst(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 60 {
		l.enqueue(fmt.Sprintf("low-%d", i), 1, 4, 3*time.Second, 10*time.Second)
	}
	l.a.Schedule(l.now)
	before := len(l.started)
	l.g.Expect(before).To(BeNumerically("<", 60), "capacity is limited")
	for i := range 10 {
		l.enqueue(fmt.Sprintf("high-%d", i), 5, 4, 3*time.Second, 10*time.Second)
	}
	l.advance(400 * time.Millisecond)
	for i, id := range l.started[before : before+10] {
		l.g.Expect(id).To(Equal(fmt.Sprintf("high-%d", i)))
	}
}

// Almost twice the service's capacity arrives for four seconds. Requests that start in time must
// stay in time, instead of all being slightly late. The others are served afterwards, since
// their deadline is later.
func TestOverloadMakesOnlySomeRequestsLate(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	n := 0
	for range 40 { // 70 requests of four items a second
		for range 7 {
			l.enqueue(fmt.Sprint(n), float64(1+n%3), 4, 1500*time.Millisecond, 15*time.Second)
			n++
		}
		l.advance(100 * time.Millisecond)
	}
	l.advance(14 * time.Second)
	onTime := 0
	for _, id := range l.started {
		if !l.startedLate[id] {
			onTime++
		}
	}
	l.g.Expect(onTime).To(BeNumerically(">", 130), "about half of %d", n)
	l.g.Expect(len(l.started)).To(Equal(n), "no request is rejected")
}

// A lasting overload. Requests of little worth get the late reserve shortly before their
// latest start time, so that they are not all rejected while the overload lasts.
func TestLateReserveServesRequestsOfLittleWorth(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 100 { // ten seconds
		for k := range 6 {
			l.enqueue(fmt.Sprintf("high-%d-%d", i, k), 5, 4, 1500*time.Millisecond, 15*time.Second)
		}
		l.enqueue(fmt.Sprintf("low-%d", i), 0.1, 4, 1500*time.Millisecond, 5*time.Second)
		l.advance(100 * time.Millisecond)
	}
	served := 0
	for _, id := range l.started {
		if id[0] == 'l' {
			served++
		}
	}
	l.g.Expect(served).To(BeNumerically(">=", 20), "of 100")
}

// The service is at its in-flight limit, and many late requests reach their latest start time
// at once. They may use the late reserve and no more: started all at once, none of them would
// finish in time, and requests that can be on time would wait behind them.
func TestLateRequestsStayWithinReserve(t *testing.T) {
	s := newTestService()
	l := newAdmissionSim(t, map[string]Service{"s": s})
	l.a.inFlight["s"] = s.inFlightLimit(stagePosition{})
	for i := range 200 {
		l.enqueue(fmt.Sprint("late-", i), 1, 4, 0, 1300*time.Millisecond)
	}
	l.a.Schedule(l.now)
	reserve := lateReserveShare * float64(s.inFlightLimit(stagePosition{}).items)
	l.g.Expect(float64(4 * len(l.started))).To(BeNumerically("~", reserve, 4))
}

// A request that can no longer finish in time is rejected as soon as that is certain, not at
// its deadline.
func TestRequestThatCannotFinishIsRejectedAtOnce(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.enqueue("hopeless", 1, 1, time.Second, 300*time.Millisecond)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(HaveKeyWithValue("hopeless", batcher.TooLate))
}

// The first stage lacks result memory for large results. A request with large results waits;
// a request with small results must not wait behind it.
func TestScarceMemoryDelaysOnlyLargeResults(t *testing.T) {
	s := newTestService()
	s.TotalResultBytes, s.FreeResultBytes = 48_000_000, -11_500_000
	l := newAdmissionSim(t, map[string]Service{"s": s})
	for i, bytes := range []int64{800_000, 8_000} {
		r := &Request{ID: fmt.Sprint(i), Worth: 2, Stages: []Stage{{Service: "s", Items: 2, ResultBytes: bytes}}, TargetTime: l.now.Add(time.Second), Deadline: l.now.Add(9 * time.Second)}
		l.a.Enqueue(&Ticket{Request: r, Start: func() { l.started = append(l.started, r.ID) }, Reject: func(batcher.Reason) {}}, l.now)
	}
	l.a.Schedule(l.now)
	l.g.Expect(l.started).To(Equal([]string{"1"}))
}

// A service has many items with small results in flight and free result memory for a dozen
// large results. Requests with large results must start: the server time that the small
// items take is no lack of memory.
func TestSmallResultsDoNotUseUpMemoryLimit(t *testing.T) {
	s := newTestService()
	s.TotalResultBytes, s.FreeResultBytes = 48_000_000, 48_000_000
	l := newAdmissionSim(t, map[string]Service{"s": s})
	l.a.inFlight["s"] = workAmount{items: 60, bytes: 60 * 8_000}
	for i := range 10 {
		r := &Request{ID: fmt.Sprint(i), Worth: 2, Stages: []Stage{{Service: "s", Items: 2, ResultBytes: 3_000_000}}, TargetTime: l.now.Add(time.Second), Deadline: l.now.Add(9 * time.Second)}
		l.a.Enqueue(&Ticket{Request: r, Start: func() { l.started = append(l.started, r.ID) }, Reject: func(batcher.Reason) {}}, l.now)
	}
	l.a.Schedule(l.now)
	l.g.Expect(len(l.started)).To(BeNumerically(">=", 6), "as many as the memory allows")
	l.g.Expect(len(l.started)).To(BeNumerically("<", 10), "result memory limits the started requests")
}

func TestRemovedRequestIsNotStarted(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	r := &Request{ID: "1", Stages: []Stage{{Service: "s", Items: 1}}, TargetTime: l.now.Add(time.Second), Deadline: l.now.Add(time.Second)}
	ticket := &Ticket{Request: r, Start: func() { t.Error("begun") }, Reject: func(batcher.Reason) { t.Error("rejected") }}
	l.a.Enqueue(ticket, l.now)
	l.g.Expect(l.a.Remove(ticket)).To(BeTrue())
	l.a.Schedule(l.now)
	l.g.Expect(l.a.Remove(ticket)).To(BeFalse())
}

func TestDepthIgnoresSkippedStages(t *testing.T) {
	g := NewWithT(t)
	r := &Request{Stages: []Stage{
		{Items: 1}, {Items: 0, DependsOn: []int{0}}, {Items: 2, DependsOn: []int{1}}, {Items: 1},
	}}
	stages := r.graph()
	g.Expect(stages.positions[0].depth).To(Equal(0))
	g.Expect(stages.positions[2].depth).To(Equal(1))
	g.Expect(stages.finalStages()).To(Equal([]int{2, 3}))
}

// All servers of a stage are missing from the platform's list. Requests that need the stage
// are rejected at once; requests that skip it are not.
func TestStageWithoutServersRejectsAtOnce(t *testing.T) {
	gone := newTestService()
	gone.Capacity = batcher.Capacity{}
	l := newAdmissionSim(t, map[string]Service{"s": gone})
	l.enqueue("needs it", 1, 1, time.Second, 10*time.Second)
	l.enqueue("does not", 1, 0, time.Second, 10*time.Second)
	l.a.Schedule(l.now)
	l.g.Expect(l.rejected).To(Equal(map[string]batcher.Reason{"needs it": batcher.NoServer}))
	l.g.Expect(l.started).To(Equal([]string{"does not"}))
}

// Overload with 250 waiting requests. Each completed stage makes the host reconsider all of
// them. Each decision may look up the state of a service only once: looking it up for each
// waiting request left the host no processor time for calls, and its servers were idle.
func TestDecisionLooksUpEachServiceOnce(t *testing.T) {
	lookups := 0
	l := newAdmissionSim(t, nil)
	l.a = NewAdmission(func(string) (Service, bool) { lookups++; return newTestService(), true })
	for i := range 250 {
		l.enqueue(fmt.Sprint(i), 1, 4, time.Duration(i%4)*time.Second, 10*time.Second)
	}
	for range 10 {
		lookups = 0
		l.a.Schedule(l.now)
		l.g.Expect(lookups).To(Equal(1))
		l.now = l.now.Add(20 * time.Millisecond)
	}
	onTime, late := l.a.Waiting()
	l.g.Expect(onTime + late).To(BeNumerically(">", 100))
}

// Two accounts wait for a service that is short, of which one has used more than its due. Guards against
// operators who cannot see what holds its requests.
func TestTicketTellsWhatItsShareHeld(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 80 {
		l.enqueueFor("large", fmt.Sprint("large-", i), 0, 4, 3*time.Second, 30*time.Second)
	}
	l.now = l.now.Add(shareInterval)
	l.a.Schedule(l.now)
	l.enqueueFor("small", "small", 2, 4, 3*time.Second, 30*time.Second)
	held := l.enqueueFor("large", "held", 0, 4, 3*time.Second, 30*time.Second)
	l.now = l.now.Add(shareInterval)
	l.a.Schedule(l.now)
	l.g.Expect(held.HeldByShare).To(BeTrue())
	l.g.Expect(held.BlockedBy).To(Equal("s"))
	list := l.a.shares.list(l.now)
	l.g.Expect(list).To(HaveLen(2))
	l.g.Expect(list[0]).To(And(HaveField("Account", "large"), HaveField("Service", "s"), HaveField("Waiting", BeNumerically(">", 10))))
	l.g.Expect(list[0].Used).To(BeNumerically(">=", list[0].Due))
	l.g.Expect(list[1]).To(And(HaveField("Account", "small"), HaveField("Used", 0.0)))
	l.a.Remove(held)
	l.g.Expect(held.Used).To(BeNumerically(">=", held.Due))
	l.g.Expect(l.a.shares.list(l.now.Add(2*shortageHold))).To(BeEmpty(), "no longer short")
}

// An account beyond its due gets a server that nobody else wants, or waits until no other account asks.
// Guards against operators who are told that a share held requests that started at once, or that wait for
// servers alone.
func TestOnlyWaitingRequestsOfACompetingAccountAreHeld(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 80 {
		l.enqueueFor("large", fmt.Sprint("large-", i), 0, 4, time.Hour, 2*time.Hour)
	}
	l.now = l.now.Add(shareInterval)
	l.a.Schedule(l.now)
	small := l.enqueueFor("small", "small", 2, 4, time.Hour, 2*time.Hour)
	held := l.enqueueFor("large", "held", 0, 4, time.Hour, 2*time.Hour)
	l.now = l.now.Add(shareInterval)
	l.a.Schedule(l.now)
	l.g.Expect(held.HeldByShare).To(BeTrue())
	l.a.Remove(small)
	l.now = l.now.Add(20 * shareWindow)
	l.a.Schedule(l.now)
	l.g.Expect(l.a.shares.contended).To(BeFalse())
	l.g.Expect(held.HeldByShare).To(BeFalse(), "no other account asks")

	small = l.enqueueFor("small", "small", 2, 4, time.Hour, 2*time.Hour)
	l.a.shares.share("s", "large").used = 1
	l.now = l.now.Add(shareInterval)
	l.a.Schedule(l.now)
	l.a.Remove(small)
	for _, t := range slices.Concat(l.a.onTime, l.a.late) {
		l.a.Remove(t)
	}
	delete(l.a.inFlight, "s")
	atOnce := l.enqueueFor("large", "at once", 0, 4, time.Hour, 2*time.Hour)
	l.a.Schedule(l.now)
	l.g.Expect(l.a.shares.contended).To(BeTrue())
	l.g.Expect(l.started).To(ContainElement("at once"))
	l.g.Expect(atOnce.HeldByShare).To(BeFalse())
}

// Guards against accounts that are remembered for ever: an account whose requests have ended is
// forgotten, one with a waiting request is not.
func TestIdleAccountsAreForgotten(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"] = workAmount{items: 10_000}
	l.enqueueFor("ends", "1", 0, 4, time.Hour, 2*time.Hour)
	l.enqueueFor("waits", "2", 0, 4, time.Hour, 2*time.Hour)
	l.a.Schedule(l.now)
	l.a.Remove(l.a.onTime[0])
	l.now = l.now.Add(10 * shareWindow)
	l.a.Schedule(l.now)
	l.g.Expect(l.a.shares.services["s"].accounts).To(HaveLen(1))
	l.g.Expect(l.a.shares.services["s"].accounts).To(HaveKey("waits"))
}

// Guards against the work of a stream that its client takes up and that waits for new requests, though
// there is as much in flight as its servers complete.
func TestTakenUpStreamStartsBeforeAllThatWait(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	for i := range 60 {
		l.enqueue(fmt.Sprintf("new-%d", i), 100, 4, 3*time.Second, 10*time.Second)
	}
	l.a.Schedule(l.now)
	waiting, _ := l.a.Waiting()
	l.g.Expect(waiting).To(BeNumerically(">", 0))
	r := &Request{ID: "taken up", Worth: 1, Priority: PriorityBegun, Continues: true, Stages: []Stage{{Service: "s", Items: 4}}, TargetTime: l.now, Deadline: l.now.Add(10 * time.Second)}
	started := false
	l.a.Enqueue(&Ticket{Request: r, Start: func() { started = true }}, l.now)
	l.a.Schedule(l.now)
	l.g.Expect(started).To(BeTrue())
}
