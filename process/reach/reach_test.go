package reach

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// api is an object API that falls silent: what is asked of it then gets no answer,
// also not later.
type api struct {
	mu           sync.Mutex
	unresponsive bool
	latency      time.Duration
	requests     int
	probes       int
	err          error // of its answers
	recovered    bool  // as the last question was told
}

func (a *api) setUnresponsive(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = silent
}

func (a *api) setError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *api) respond(ctx context.Context, count *int) error {
	a.mu.Lock()
	*count++
	silent, takes, err := a.unresponsive, a.latency, a.err
	a.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.Join(objectapi.ErrNoAnswer, ctx.Err())
	}
	select {
	case <-time.After(takes):
		return err
	case <-ctx.Done():
		return errors.Join(objectapi.ErrNoAnswer, ctx.Err())
	}
}

// count reads one of the counts.
func (a *api) count(of *int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return *of
}

func (a *api) request(ctx context.Context, late bool) (string, error) {
	a.mu.Lock()
	a.recovered = late
	a.mu.Unlock()
	return "yes", a.respond(ctx, &a.requests)
}

type fixture struct {
	*WithT
	api         *api
	monitor     *Monitor
	transitions []bool // what Changed told; read after synctest.Wait
	notified    bool   // another process tells of the return
}

// run calls f in a bubble of simulated time.
func run(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{WithT: NewWithT(t), api: &api{latency: 4 * time.Millisecond}}
		x.monitor = New(Options{
			Probe: func(ctx context.Context) error { return x.api.respond(ctx, &x.api.probes) },
			Clock: clock.System{}, Rand: clock.NewSeeded(1),
			FullProbeRate: func() bool { return !x.notified }, OnChange: func(silent bool, _ time.Duration) { x.transitions = append(x.transitions, silent) },
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = x.monitor.Run(ctx) }()
		f(x)
		stop()
		synctest.Wait()
	})
}

func (x *fixture) call(bound, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	_, err := Call(ctx, x.monitor, wait, x.api.request)
	return err
}

// The pattern: a host asks while the API is silent, as one does that starts then.
// The API is back after two seconds. The question itself is lost; the host knows
// all the same within 0.3 s of the return, and not when its question's time ends.
func TestRequestLostInOutageIsRepeatedAfterRecovery(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		time.AfterFunc(2*time.Second, func() { x.api.setUnresponsive(false) })
		began := time.Now()
		x.Expect(x.call(10*time.Second, 0)).To(Succeed())
		x.Expect(time.Since(began)).To(BeNumerically("~", 2150*time.Millisecond, 155*time.Millisecond))
		synctest.Wait()
		x.Expect(x.transitions).To(Equal([]bool{true, false}))
		x.Expect(x.api.count(&x.api.requests)).To(Equal(2))
		x.Expect(x.api.recovered).To(BeTrue())
		x.Expect(x.call(time.Second, 0)).To(Succeed())
		x.Expect(x.api.recovered).To(BeFalse())
	})
}

// The pattern: the API is back 0.2 s after a question was lost, before it was known
// to be silent. The first probe is answered, and the question asked again then: it
// does not wait for an answer that will not come.
func TestRequestLostJustBeforeRecoveryIsRepeated(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		time.AfterFunc(200*time.Millisecond, func() { x.api.setUnresponsive(false) })
		began := time.Now()
		x.Expect(x.call(2500*time.Millisecond, 0)).To(Succeed())
		x.Expect(time.Since(began)).To(BeNumerically("<", 450*time.Millisecond))
		synctest.Wait()
		x.Expect(x.transitions).To(BeEmpty())
	})
}

// While the API is known to be silent nothing but probes is sent to it. A question's
// own bound holds, and the next one after the return is asked at once.
func TestOnlyProbesAreSentDuringOutage(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		x.Expect(x.call(time.Second, 0)).To(MatchError(objectapi.ErrNoAnswer))
		x.Expect(x.monitor.Unresponsive()).To(BeTrue())
		asked := x.api.count(&x.api.requests)
		x.Expect(x.call(time.Second, 0)).To(MatchError(objectapi.ErrNoAnswer))
		x.Expect(x.api.count(&x.api.requests)).To(Equal(asked))
		x.Expect(x.api.count(&x.api.probes)).To(BeNumerically("<=", 8))
		x.api.setUnresponsive(false)
		began := time.Now()
		x.Expect(x.call(time.Second, 0)).To(Succeed())
		x.Expect(time.Since(began)).To(BeNumerically("<", 310*time.Millisecond))
		x.Expect(x.monitor.Unresponsive()).To(BeFalse())
	})
}

// The API answers slowly, a second each. Its questions are answered as they would
// be without probes: none is given up and asked again, and nobody is told of a loss
// that is none for longer than one answer takes.
func TestSlowResponsesAreAwaited(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.latency = time.Second
		for range 3 {
			began := time.Now()
			x.Expect(x.call(3*time.Second, 0)).To(Succeed())
			x.Expect(time.Since(began)).To(BeNumerically("<=", 1400*time.Millisecond))
		}
		x.Expect(x.api.count(&x.api.requests)).To(BeNumerically("<=", 4))
	})
}

// A watch has nothing to tell for its whole wait. That is no silence.
func TestIdleWatchTriggersNoProbe(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.latency = 2 * time.Second
		x.Expect(x.call(5*time.Second, 2*time.Second)).To(Succeed())
		x.Expect(x.api.count(&x.api.probes)).To(BeZero())
	})
}

// A refusal is an answer: the API is there, and refuses the question itself.
func TestRefusalEndsOutage(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		x.Expect(x.call(time.Second, 0)).To(HaveOccurred())
		x.api.setUnresponsive(false)
		x.api.setError(objectapi.ErrRateLimited)
		x.Expect(x.call(time.Second, 0)).To(MatchError(objectapi.ErrRateLimited))
		x.Expect(x.monitor.Unresponsive()).To(BeFalse())
	})
}

// Guards against hundreds of hosts that probe a silent API four times a second each,
// though their readers tell them of its return.
func TestNotifiedHostsProbeSlowly(t *testing.T) {
	probes := func(told bool) (n int) {
		run(t, func(x *fixture) {
			x.notified = told
			x.api.setUnresponsive(true)
			x.Expect(x.call(10*time.Second, 0)).To(MatchError(objectapi.ErrNoAnswer))
			n = x.api.count(&x.api.probes)
		})
		return n
	}
	NewWithT(t).Expect(probes(false)).To(BeNumerically(">", 30))
	NewWithT(t).Expect(probes(true)).To(BeNumerically("<", 10))
}

// Guards against a fleet that asks an API which resets its connections, or says that it is
// not available, as often as it can: the first question that fails so has it probed, and others wait.
func TestResetsAndUnavailabilityCountAsOutage(t *testing.T) {
	for _, failure := range []error{objectapi.ErrNoAnswer, objectapi.ErrUnavailable} {
		run(t, func(x *fixture) {
			x.api.setError(failure)
			x.Expect(x.call(time.Second, 0)).To(MatchError(failure))
			time.Sleep(2 * probeInterval)
			x.Expect(x.monitor.Unresponsive()).To(BeTrue())
			asked := x.api.count(&x.api.requests)
			x.Expect(x.call(time.Second, 0)).To(HaveOccurred())
			x.Expect(x.api.count(&x.api.requests)).To(Equal(asked), "it waits for the probe")
			x.api.setError(nil)
			time.Sleep(2 * probeInterval)
			x.Expect(x.monitor.Unresponsive()).To(BeFalse())
		})
	}
}
