package apihealth

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

// api is an object API with simulated outages: a request that is sent during one never
// gets a response.
type api struct {
	mu           sync.Mutex
	unresponsive bool
	latency      time.Duration
	requests     int
	probes       int
	err          error // of its responses
	recovered    bool  // argument of the last request
}

func (a *api) setUnresponsive(unresponsive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = unresponsive
}

func (a *api) setError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *api) respond(ctx context.Context, count *int) error {
	a.mu.Lock()
	*count++
	unresponsive, latency, err := a.unresponsive, a.latency, a.err
	a.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return errors.Join(objectapi.ErrNoResponse, ctx.Err())
	}
	select {
	case <-time.After(latency):
		return err
	case <-ctx.Done():
		return errors.Join(objectapi.ErrNoResponse, ctx.Err())
	}
}

// count reads one of the counters.
func (a *api) count(of *int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return *of
}

func (a *api) request(ctx context.Context, recovered bool) (string, error) {
	a.mu.Lock()
	a.recovered = recovered
	a.mu.Unlock()
	return "yes", a.respond(ctx, &a.requests)
}

type fixture struct {
	*WithT
	api         *api
	monitor     *Monitor
	transitions []bool // arguments of OnChange; read after synctest.Wait
	notified    bool   // another host notifies of the recovery
}

// run calls f in a synctest bubble with simulated time.
func run(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{WithT: NewWithT(t), api: &api{latency: 4 * time.Millisecond}}
		x.monitor = New(Options{
			Probe: func(ctx context.Context) error { return x.api.respond(ctx, &x.api.probes) },
			Clock: clock.System{}, Rand: clock.NewSeeded(1),
			FullProbeRate: func() bool { return !x.notified }, OnChange: func(unresponsive bool, _ time.Duration) { x.transitions = append(x.transitions, unresponsive) },
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = x.monitor.Run(ctx) }()
		f(x)
		stop()
		synctest.Wait()
	})
}

func (x *fixture) call(timeout, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := Call(ctx, x.monitor, wait, x.api.request)
	return err
}

// A host sends a request during an outage, as one does that starts then. The API recovers
// after two seconds. Guards against waiting until the lost request times out: it is sent
// again within 0.3 s of the recovery.
func TestRequestLostInOutageIsRepeatedAfterRecovery(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		time.AfterFunc(2*time.Second, func() { x.api.setUnresponsive(false) })
		started := time.Now()
		x.Expect(x.call(10*time.Second, 0)).To(Succeed())
		x.Expect(time.Since(started)).To(BeNumerically("~", 2150*time.Millisecond, 155*time.Millisecond))
		synctest.Wait()
		x.Expect(x.transitions).To(Equal([]bool{true, false}))
		x.Expect(x.api.count(&x.api.requests)).To(Equal(2))
		x.Expect(x.api.recovered).To(BeTrue())
		x.Expect(x.call(time.Second, 0)).To(Succeed())
		x.Expect(x.api.recovered).To(BeFalse())
	})
}

// The API recovers 0.2 s after a request was lost, before the outage is confirmed. Guards
// against waiting for a response that never comes: the first probe gets a response, and
// the request is sent again at once.
func TestRequestLostJustBeforeRecoveryIsRepeated(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		time.AfterFunc(200*time.Millisecond, func() { x.api.setUnresponsive(false) })
		started := time.Now()
		x.Expect(x.call(2500*time.Millisecond, 0)).To(Succeed())
		x.Expect(time.Since(started)).To(BeNumerically("<", 450*time.Millisecond))
		synctest.Wait()
		x.Expect(x.transitions).To(BeEmpty())
	})
}

// Guards against sending requests other than probes during a confirmed outage. A request's
// own timeout still applies, and the next one after the recovery is sent at once.
func TestOnlyProbesAreSentDuringOutage(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.setUnresponsive(true)
		x.Expect(x.call(time.Second, 0)).To(MatchError(objectapi.ErrNoResponse))
		x.Expect(x.monitor.Unresponsive()).To(BeTrue())
		sent := x.api.count(&x.api.requests)
		x.Expect(x.call(time.Second, 0)).To(MatchError(objectapi.ErrNoResponse))
		x.Expect(x.api.count(&x.api.requests)).To(Equal(sent))
		x.Expect(x.api.count(&x.api.probes)).To(BeNumerically("<=", 8))
		x.api.setUnresponsive(false)
		started := time.Now()
		x.Expect(x.call(time.Second, 0)).To(Succeed())
		x.Expect(time.Since(started)).To(BeNumerically("<", 310*time.Millisecond))
		x.Expect(x.monitor.Unresponsive()).To(BeFalse())
	})
}

// The API takes a second per response. Guards against cancelling slow requests and sending
// them again, and against reporting an outage for longer than one response takes.
func TestSlowResponsesAreAwaited(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.latency = time.Second
		for range 3 {
			started := time.Now()
			x.Expect(x.call(3*time.Second, 0)).To(Succeed())
			x.Expect(time.Since(started)).To(BeNumerically("<=", 1400*time.Millisecond))
		}
		x.Expect(x.api.count(&x.api.requests)).To(BeNumerically("<=", 4))
	})
}

// A watch without changes takes its whole wait. Guards against counting that as an outage.
func TestIdleWatchTriggersNoProbe(t *testing.T) {
	run(t, func(x *fixture) {
		x.api.latency = 2 * time.Second
		x.Expect(x.call(5*time.Second, 2*time.Second)).To(Succeed())
		x.Expect(x.api.count(&x.api.probes)).To(BeZero())
	})
}

// Guards against counting a rejection as part of an outage: the API responds and rejects
// the request itself.
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

// Guards against hundreds of hosts that each probe an unresponsive API four times per
// second, although their readers notify them of its recovery.
func TestNotifiedHostsProbeSlowly(t *testing.T) {
	probes := func(notified bool) (n int) {
		run(t, func(x *fixture) {
			x.notified = notified
			x.api.setUnresponsive(true)
			x.Expect(x.call(10*time.Second, 0)).To(MatchError(objectapi.ErrNoResponse))
			n = x.api.count(&x.api.probes)
		})
		return n
	}
	NewWithT(t).Expect(probes(false)).To(BeNumerically(">", 30))
	NewWithT(t).Expect(probes(true)).To(BeNumerically("<", 10))
}

// Guards against a fleet that sends requests as fast as it can to an API that resets
// connections or reports itself unavailable: the first request that fails in this way
// starts the probes, and the other requests wait.
func TestResetsAndUnavailabilityCountAsOutage(t *testing.T) {
	for _, failure := range []error{objectapi.ErrNoResponse, objectapi.ErrUnavailable} {
		run(t, func(x *fixture) {
			x.api.setError(failure)
			x.Expect(x.call(time.Second, 0)).To(MatchError(failure))
			time.Sleep(2 * probeInterval)
			x.Expect(x.monitor.Unresponsive()).To(BeTrue())
			sent := x.api.count(&x.api.requests)
			x.Expect(x.call(time.Second, 0)).To(HaveOccurred())
			x.Expect(x.api.count(&x.api.requests)).To(Equal(sent), "the request waits for the probe")
			x.api.setError(nil)
			time.Sleep(2 * probeInterval)
			x.Expect(x.monitor.Unresponsive()).To(BeFalse())
		})
	}
}
