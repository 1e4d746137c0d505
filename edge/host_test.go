package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform"
	"bilberrydale/platform/platformtest"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/peer"
	"bilberrydale/version/plan"
)

// Guards against accepting keys that may have been revoked while the platform is
// unreachable. Shortly before the limit for revoked keys, requests with keys are refused
// as not run; requests to public routes are still served.
func TestKeysAreRefusedWhenTheyCannotBeConfirmed(t *testing.T) {
	g, p, h := newTestHost(t)
	p.store.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	var r clientResponse
	g.Eventually(func() int { r = p.send(h, "GET", "/status/1", ""); return r.status }, "20s").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(r.body).To(ContainSubstring("keys_not_fresh"))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	_, ready, _ := h.Addresses()
	g.Expect(statusOf("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(p.send(h, "GET", "/open/1", "").status).To(Equal(http.StatusOK))

	p.store.SetInterceptor(nil)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusOK))
}

// Guards against activating an older configuration: a new version removes a key, and an
// older version that still contains it is written afterwards.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	g, p, h := newTestHost(t)
	p.config.Version = 9
	p.config.Accounts[0].Keys = []string{"another"}
	p.store.PutConfig(p.config)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusUnauthorized))
	p.config.Version = 7
	p.config.Accounts[0].Keys = []string{testKey}
	p.store.PutConfig(p.config)
	p.store.PutUnrelatedConfig()
	g.Consistently(func() int { return p.send(h, "GET", "/status/1", "").status }, "1s").Should(Equal(http.StatusUnauthorized))
}

// Guards against ignoring the whole list of backend servers because other writers have
// added entries that cannot be decoded.
func TestMalformedServerEntriesAreSkipped(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	for i, spec := range []string{`7`, `{"service":"ledger"}`, `{"service":"ledger","address":5}`, `null`, `"x"`} {
		p.store.PutRawServer(fmt.Sprintf("foreign-%d", i), spec)
	}
	h := p.startHost("front-1")
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	g.Expect(h.directory.View().Count()).To(Equal(4))
}

// Guards against sending work to a server that is draining, and to one whose removal
// was missed because the platform dropped its history while watches delivered nothing.
func TestDrainingAndDeletedServersGetNoWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.addServer("ledger-2", "ledger")
	p.addServer("ledger-3", "ledger")
	h := p.startHost("front-1")
	p.store.PutServer(p.servers["ledger-1"], "a", true)
	usable := func() int { return len(h.directory.View().Servers("ledger")) }
	g.Eventually(usable, "10s").Should(Equal(2))
	p.store.SuppressEvents(true)
	p.store.DeleteServer("ledger-2")
	p.store.DropHistory()
	p.store.SuppressEvents(false)
	g.Eventually(usable, "10s").Should(Equal(1))
	for range 5 {
		g.Expect(p.send(h, "GET", "/status/1", "").body).To(Equal("answer of ledger-3"))
	}
}

// Guards against aborting requests in a shutdown: an open stream gets its complete
// response, and short requests that still arrive are served.
func TestShutdownCompletesOpenRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.stopBound = 20 * time.Second // much longer than needed on a busy machine
	h := p.startHost("front-1")
	release := p.holdStreams(t, "model-1")
	got := make(chan clientResponse, 1)
	go func() { got <- p.send(h, "POST", "/stream/stream/1", "x") }()
	g.Eventually(func() int { return len(p.runs("model")) }, "10s").Should(Equal(1))
	p.stopHosts[0]()
	g.Eventually(h.stopping.Load, "10s").Should(BeTrue())
	_, ready, _ := h.Addresses()
	g.Expect(statusOf("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	r := p.send(h, "GET", "/status/1", "")
	g.Expect(r.status).To(Equal(http.StatusOK))
	// Requests that the balancer sends after its removal delay are still served.
	g.Eventually(h.balancerLeft.Load, "10s").Should(BeTrue())
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	g.Expect(p.send(h, "POST", "/stream/stream/1", "x").body).To(ContainSubstring(`"kind":"draining","ran":"no"`))
	release()
	var s clientResponse
	g.Eventually(got, "10s").Should(Receive(&s))
	g.Expect(s.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(s.body, "data: piece")).To(Equal(5))
	g.Eventually(p.store.Hosts, "10s").Should(BeEmpty())
}

func TestMetricsAreServedAsText(t *testing.T) {
	g, p, h := newTestHost(t)
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	_, _, metrics := h.Addresses()
	var text string
	g.Eventually(func() string {
		resp, err := http.Get("http://" + metrics + "/metrics")
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		text = string(data)
		return text
	}, "10s").Should(ContainSubstring("requests_answered_2xx 1"))
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		g.Expect(line).To(MatchRegexp(`^[A-Za-z0-9_.-]+ -?[0-9.e+-]+$`))
	}
	g.Expect(text).To(ContainSubstring("request_status_p99_ms"))
	g.Expect(text).To(MatchRegexp(`platform_calls_[a-z]+_get_stale 1\n`), "peer secret, own entry and first list of entry hosts")
	g.Expect(text).To(MatchRegexp(`platform_calls_[a-z]+_post 1\n`), "own entry")
}

// Guards against entries of lost hosts that stay in the platform's list: the first
// reachable host removes an entry after lostHostTimeout. A running host whose entry was
// removed registers itself again.
func TestEntriesOfLostHostsAreRemoved(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.store.PutHost(peer.Identity{Host: "lost", Address: "127.0.0.1:1", Incarnation: 1, Domain: "a", Region: "r"})
	h := p.startHost("front-1")
	g.Eventually(func() bool { return h.listedHosts.Load() != nil && len(*h.listedHosts.Load()) == 2 }, "10s").Should(BeTrue())
	unreachableSince := map[string]time.Time{}
	h.removeLostHosts(t.Context(), unreachableSince)
	g.Expect(p.store.Hosts()).To(ContainElement("lost"))
	unreachableSince["lost"] = unreachableSince["lost"].Add(-lostHostTimeout)
	h.removeLostHosts(t.Context(), unreachableSince)
	g.Expect(p.store.Hosts()).To(Equal([]string{"front-1"}))
	p.store.DeleteHost("front-1")
	g.Eventually(p.store.Hosts, "20s").Should(Equal([]string{"front-1"}))
}

// Guards against aborting a stream that cannot finish before the shutdown deadline: its
// request still waits for its stages when the shutdown starts, and is refused as not run
// while another host can still take it.
func TestShutdownRefusesStreamsThatCannotFinish(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.route("staged").Timeout, p.route("staged").TargetLatency = 20*time.Second, 5*time.Second
	p.config.Services[3].Batch.TimePerCall = 4 * time.Second // long enough that the request waits for the call
	p.store.PutConfig(p.config)
	h := p.startHost("front-1")
	hold := make(chan struct{})
	defer close(hold)
	arrived := make(chan struct{}, 10)
	p.servers["portal-1"].SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
		arrived <- struct{}{}
		<-hold
		return false
	})
	got := make(chan clientResponse, 1)
	go func() {
		got <- p.send(h, "POST", "/stream/staged/1", "x", func(q *platformtest.Request) {
			q.StageItems, q.Timeout = []int{1, 1}, 20*time.Second
		})
	}()
	g.Eventually(arrived, "10s").Should(Receive(), func() string {
		select {
		case r := <-got:
			return fmt.Sprintf("response: %+v", r)
		default:
			return "no response"
		}
	})
	p.stopHosts[0]()
	var r clientResponse
	g.Eventually(got, "10s").Should(Receive(&r))
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.body).To(ContainSubstring(`"kind":"draining","ran":"no"`))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(p.runs("model")).To(BeEmpty())
}

// Guards against a host that is ready while its configuration is active but not yet
// confirmed: it would refuse the keys of its first requests.
func TestHostIsNotReadyBeforeItsConfigurationIsConfirmed(t *testing.T) {
	g, _, h := newTestHost(t)
	g.Expect(h.isReady()).To(BeTrue())
	unconfirmed := &Host{settings: h.settings, bootClock: h.bootClock, clock: h.clock, directory: h.directory, batchers: h.batchers, serverClient: h.serverClient}
	unconfirmed.plan.Store(h.plan.Load())
	g.Expect(unconfirmed.isReady()).To(BeFalse())
}

// Guards against a host that is ready after it has listed the servers but before the
// batchers have them: it would refuse its first requests with stages as if there were no
// servers.
func TestHostIsNotReadyBeforeItsStagesHaveServers(t *testing.T) {
	g, _, h := newTestHost(t)
	early := &Host{settings: h.settings, bootClock: h.bootClock, clock: h.clock, directory: h.directory, batchers: newBatchers(h), serverClient: h.serverClient}
	early.plan.Store(h.plan.Load())
	early.configConfirmedAt.Store(early.bootClock.Now().UnixNano())
	g.Expect(early.isReady()).To(BeFalse())
}

// Guards against activating a plan with a new stage service before the service's batcher
// exists: requests would be refused as if the service had no servers.
func TestBatchersAreConfiguredBeforePlanIsActive(t *testing.T) {
	g, _, h := newTestHost(t)
	c := plan.Config{Version: 100, Services: []plan.Service{{Name: "new", Batch: &plan.Batch{ConcurrentCalls: 1, MaxItemsPerCall: 1}}}}
	done := make(chan struct{})
	h.batchers.mu.Lock() // blocks the configuration of the batchers
	go func() {
		defer close(done)
		h.configChanged(map[string]objectwatch.Object[plan.Config]{platform.ConfigObjectName: {Value: c}}, "test")
	}()
	g.Consistently(func() int64 { return h.plan.Load().Version }, "200ms").Should(BeEquivalentTo(5))
	h.batchers.mu.Unlock()
	g.Eventually(done, "10s").Should(BeClosed())
	g.Expect(h.plan.Load().Version).To(BeEquivalentTo(100))
	g.Expect(h.batchers.get("new")).NotTo(BeNil())
}

// Guards against confirming the active configuration while the newest one cannot be
// decoded. The newest may have revoked keys, so the active keys expire at the limit.
func TestUnreadableConfigurationDoesNotConfirmKeys(t *testing.T) {
	g, p, h := newTestHost(t)
	p.store.PutInvalidConfig()
	g.Eventually(h.configUnreadable.Load, "10s").Should(BeTrue())
	g.Eventually(func() string { return p.send(h, "GET", "/status/1", "").body }, "20s").Should(ContainSubstring("keys_not_fresh"))
	p.config.Version = 12
	p.store.PutConfig(p.config)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusOK))
}

// Guards against watch waits that are too long to apply changes within the platform's
// limits when the reader is disconnected, or so short that the platform gets more calls
// than its limits require.
func TestWatchWaitsFollowPlatformBounds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ config, drain, revoke, wantConfig, wantServers time.Duration }{
		{2500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond, 600 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 5 * time.Second, 720 * time.Millisecond, 960 * time.Millisecond},
		{0, 0, 5 * time.Second, 500 * time.Millisecond, 600 * time.Millisecond},
		{time.Minute, time.Minute, time.Minute, maxWatchWait, maxWatchWait},
		{100 * time.Millisecond, 100 * time.Millisecond, 5 * time.Second, minWatchWait, minWatchWait},
	} {
		g := NewWithT(t)
		h := &Host{settings: platform.Settings{MaxConfigDelay: c.config, MaxDrainDelay: c.drain, MaxKeyRevocationDelay: c.revoke, StrictKeyRevocation: true}}
		g.Expect(h.configWatchWait()).To(Equal(c.wantConfig))
		g.Expect(h.serversWatchWait()).To(Equal(c.wantServers))
	}
}
