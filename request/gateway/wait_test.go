package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/residency"
	"bilberrydale/process/waitline"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// sendFunc is a ServerClient that calls a function for each request and then fails.
type sendFunc struct {
	ServerClient
	do func()
}

func (f sendFunc) Do(context.Context, string, *upstream.Request) (*upstream.Response, error) {
	f.do()
	return nil, &upstream.Error{DialFailed: true, Cause: errors.New("no path")}
}

func (sendFunc) CloseIdle(string) {}

// plainHeaders are Headers that send none to servers.
type plainHeaders struct{ wire.Headers }

func (plainHeaders) EncodeServerRequest(http.Header, wire.ServerRequest) http.Header {
	return http.Header{}
}

// newWaitingExchange returns a request for the only server of a service, of which a deadline and a route
// with a target latency are set.
func newWaitingExchange(now time.Time) (*exchange, *directory.Server) {
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s", Slots: 1}}, now)
	x := newExchange(dir, now, residency.Set{})
	x.r, x.route.TargetLatency = httptest.NewRequest("GET", "/", nil), time.Second
	x.opts.Headers = plainHeaders{}
	x.targetTime, x.deadline = now.Add(time.Second), now.Add(4*time.Second)
	return x, dir.View().Server("a")
}

// holdTurn has the request leave a line with its turn, which is now.
func (x *exchange) holdTurn(now time.Time) *waitingLine {
	line := x.lines.of(x.service)
	x.turn, _, _ = line.Join(waitline.Request{Deadline: x.deadline, Target: x.deadline, Room: func(time.Time) waitline.Belief { return waitline.Belief{Room: true} }}, now)
	line.Advance(now)
	return line
}

// Guards against two requests that take the same slot: the next request of the line has its turn while the
// one before it is about to be sent and does not count at the server yet.
func TestTurnEndsWhenTheRequestCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, s := newWaitingExchange(now)
	line := x.holdTurn(now)
	var inFlight []int64
	_, _, _ = line.Join(waitline.Request{Deadline: x.deadline, Target: x.deadline, MaxWait: time.Hour, Room: func(time.Time) waitline.Belief {
		inFlight = append(inFlight, int64(s.InFlight.Load()))
		return waitline.Belief{}
	}}, now)
	x.opts.Servers = sendFunc{do: func() { line.Advance(now) }}
	x.attemptBegins(s)
	line.Advance(now)
	_, err := x.send(t.Context(), s, "", nil)
	g.Expect(err).To(MatchError(errNotSent))
	g.Expect(inFlight).To(Equal([]int64{1}))
}

// countedRetries is a RetryLimiter with a budget.
type countedRetries struct {
	unlimitedRetries
	left *int
}

func (c countedRetries) AllowRetry(string) bool { *c.left--; return *c.left >= 0 }
func (c countedRetries) ReturnRetry(string)     { *c.left++ }

// Guards against a retry budget that is used up by requests which the line refuses: others that could be
// sent again are refused then.
func TestRetryOfARefusedRequestIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, s := newWaitingExchange(now)
	left := 1
	x.opts.RetryLimiter, x.reachedServer = countedRetries{left: &left}, true
	s.InFlight.Store(9)
	x.lines.of(x.service).ObserveServerTime(time.Minute, true, now)
	hist := newAttemptHistory()
	hist.record(errNotRun)
	g.Expect(x.nextServer(t.Context(), hist)).To(BeNil())
	g.Expect(hist.refusedInLine).To(Equal(waitline.Hopeless))
	g.Expect(x.finish(hist)).To(HaveOccurred())
	g.Expect(left).To(Equal(1))
}

// watchedClock calls a function for each wait, which does not end.
type watchedClock struct {
	clock.Clock
	wait func()
}

func (c watchedClock) After(time.Duration) <-chan time.Time {
	c.wait()
	return nil
}

// Guards against a line that stands still: the request that has its turn waits for the end of a pause, while
// others have servers.
func TestTurnEndsBeforeAnotherWait(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, s := newWaitingExchange(now)
	s.Pauses.Observe(time.Second, "", now, 1, 0)
	x.holdTurn(now)
	g.Expect(x.turn).NotTo(BeNil())
	ctx, cancel := context.WithCancel(t.Context())
	waits := 0
	x.opts.Clock = watchedClock{x.opts.Clock, func() {
		waits++
		g.Expect(x.turn).To(BeNil())
		cancel()
	}}
	g.Expect(x.nextServer(ctx, newAttemptHistory())).To(BeNil())
	g.Expect(waits).To(Equal(1))
}

// laterGuard is a Guard that refuses a request from its second check on.
type laterGuard struct {
	quarantine.AllowAll
	checks *int
}

func (l laterGuard) Check(quarantine.Subjects) quarantine.Decision {
	*l.checks++
	if *l.checks > 1 {
		return quarantine.Decision{Verdict: quarantine.Refused}
	}
	return quarantine.Decision{}
}

// Guards against servers that crash one after the other: requests that wait in a line go on to them, although
// their input has been quarantined in the meantime.
func TestQuarantineHoldsForRequestsThatWait(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, s := newWaitingExchange(now)
	checks := 0
	x.opts.Guard = laterGuard{checks: &checks}
	s.InFlight.Store(9)
	x.logEntry.Waited = time.Minute // its trial is due at once
	hist := newAttemptHistory()
	g.Expect(x.nextServer(t.Context(), hist)).To(BeNil())
	g.Expect(x.logEntry.WaitOutcome).To(Equal(waitline.Trial))
	g.Expect(hist.quarantined).To(HaveOccurred())
	g.Expect(checks).To(Equal(2))
}

// Guards against a host that grows with each service and route that a plan has ever had.
func TestLinesOfRemovedServicesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, _ := newWaitingExchange(now)
	use := func(version int64, services ...string) {
		c := plan.Config{Version: version}
		for _, s := range services {
			c.Routes = append(c.Routes, plan.Route{Name: "to " + s, PathPrefix: "/" + s, Targets: []plan.Target{{Service: s}}})
		}
		x.sweepLines(plan.Compile(c))
	}
	lines := func() (names []string) {
		x.lines.byService.Range(func(service, _ any) bool { names = append(names, service.(string)); return true })
		return names
	}
	use(1, "kept", "idle", "busy")
	for _, s := range []string{"kept", "idle", "busy"} {
		x.lines.of(s).timeoutOf("to " + s)
	}
	x.lines.of("kept").timeoutOf("to idle")
	_, _, _ = x.lines.of("busy").Join(waitline.Request{Deadline: x.deadline, Room: func(time.Time) waitline.Belief { return waitline.Belief{} }}, now)
	use(2, "kept")
	g.Expect(lines()).To(ConsistOf("kept", "busy"))
	_, known := x.lines.of("kept").timeouts.Load("to idle")
	g.Expect(known).To(BeFalse())
	_, known = x.lines.of("kept").timeouts.Load("to kept")
	g.Expect(known).To(BeTrue())
	use(1)
	g.Expect(lines()).To(ConsistOf("kept", "busy"), "a request of the plan before")
	g.Expect(x.Waiting("unknown")).To(BeZero())
	g.Expect(lines()).NotTo(ContainElement("unknown"))
}
