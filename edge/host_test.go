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
	"bilberrydale/process/follow"
	"bilberrydale/process/peer"
	"bilberrydale/version/plan"
)

// The platform can no longer be reached. Once the bound for revoked keys comes
// near, requests with keys are refused as not run; public ones go on.
func TestKeysAreNotHonouredWhenTheyCannotBeConfirmed(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.store.SetBefore(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	var r response
	g.Eventually(func() int { r = p.send(h, "GET", "/status/1", ""); return r.status }, "20s").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(r.body).To(ContainSubstring("keys_not_fresh"))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	_, ready, _ := h.Addresses()
	g.Expect(statusOf("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(p.send(h, "GET", "/open/1", "").status).To(Equal(http.StatusOK))

	p.store.SetBefore(nil)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusOK))
}

// A new configuration takes a key and a route away and an older one is written
// over it afterwards. The process never goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.config.Version = 9
	p.config.Accounts[0].Keys = []string{"another"}
	p.store.PutConfig(p.config)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusUnauthorized))
	p.config.Version = 7
	p.config.Accounts[0].Keys = []string{testKey}
	p.store.PutConfig(p.config)
	p.store.PutForeignConfig()
	g.Consistently(func() int { return p.send(h, "GET", "/status/1", "").status }, "1s").Should(Equal(http.StatusUnauthorized))
}

// Other writers leave entries that cannot be read beside those of servers. They
// name no server; the others are used.
func TestForeignEntriesDoNotHideServers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	for i, spec := range []string{`7`, `{"service":"ledger"}`, `{"service":"ledger","address":5}`, `null`, `"x"`} {
		p.store.PutForeignServer(fmt.Sprintf("foreign-%d", i), spec)
	}
	h := p.startHost("front-1")
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	g.Expect(h.directory.View().Count()).To(Equal(4))
}

// A server says that it leaves; then all history is dropped while watches deliver
// nothing, and another server leaves meanwhile. Neither gets work afterwards.
func TestLeavingServersGetNoWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.addServer("ledger-2", "ledger")
	p.addServer("ledger-3", "ledger")
	h := p.startHost("front-1")
	p.store.PutServer(p.servers["ledger-1"], "a", true)
	usable := func() int { return len(h.directory.View().Servers("ledger")) }
	g.Eventually(usable, "10s").Should(Equal(2))
	p.store.SetSilent(true)
	p.store.DeleteServer("ledger-2")
	p.store.Forget()
	p.store.SetSilent(false)
	g.Eventually(usable, "10s").Should(Equal(1))
	for range 5 {
		g.Expect(p.send(h, "GET", "/status/1", "").body).To(Equal("answer of ledger-3"))
	}
}

// The process is told to stop while a stream runs and a client still sends on
// its connection. Both get their whole answers; the second is told to close.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.stopBound = 20 * time.Second // long over what a busy machine takes
	h := p.startHost("front-1")
	release := make(chan struct{})
	p.servers["model-1"].SetHandle(func(w http.ResponseWriter, r *http.Request) bool {
		s := p.servers["model-1"]
		s.Note(r)
		platformtest.Sign(w.Header(), "s")
		s.Events(w, 1, 2)
		<-release
		s.Events(w, 3, 5)
		return true
	})
	got := make(chan response, 1)
	go func() { got <- p.send(h, "POST", "/stream/stream/1", "x") }()
	g.Eventually(func() int { return len(p.runs("model")) }, "10s").Should(Equal(1))
	p.stopHost[0]()
	g.Eventually(h.stopping.Load, "10s").Should(BeTrue())
	_, ready, _ := h.Addresses()
	g.Expect(statusOf("http://" + ready + "/ready")).To(Equal(http.StatusServiceUnavailable))
	r := p.send(h, "GET", "/status/1", "")
	g.Expect(r.status).To(Equal(http.StatusOK))
	// The balancer has had its time; a client that it still sends is served.
	g.Eventually(h.refuseStreams.Load, "10s").Should(BeTrue())
	g.Expect(p.send(h, "GET", "/status/1", "").status).To(Equal(http.StatusOK))
	g.Expect(p.send(h, "POST", "/stream/stream/1", "x").body).To(ContainSubstring(`"kind":"draining","ran":"no"`))
	close(release)
	var s response
	g.Eventually(got, "10s").Should(Receive(&s))
	g.Expect(s.err).NotTo(HaveOccurred())
	g.Expect(strings.Count(s.body, "data: piece")).To(Equal(5))
	g.Eventually(p.store.Hosts, "10s").Should(BeEmpty())
}

func TestMetricsAreServedAsText(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
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
	g.Expect(text).To(MatchRegexp(`platform_calls_[a-z]+_get_stale 1\n`), "the secret, the entry and the hosts of before")
	g.Expect(text).To(MatchRegexp(`platform_calls_[a-z]+_post 1\n`), "its own entry")
}

// A host was lost for good and its entry stays behind. The host that looks after
// them removes it once it has been silent for long; a host that was taken for
// lost and lives registers itself again.
func TestEntriesOfLostHostsAreRemoved(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.store.PutHost(peer.Identity{Host: "lost", Address: "127.0.0.1:1", Incarnation: 1, Domain: "a", Region: "r"})
	h := p.startHost("front-1")
	g.Eventually(func() bool { return h.listedHosts.Load() != nil && len(*h.listedHosts.Load()) == 2 }, "10s").Should(BeTrue())
	silent := map[string]time.Time{}
	h.removeLostHosts(t.Context(), silent)
	g.Expect(p.store.Hosts()).To(ContainElement("lost"))
	silent["lost"] = silent["lost"].Add(-lostHostTimeout)
	h.removeLostHosts(t.Context(), silent)
	g.Expect(p.store.Hosts()).To(Equal([]string{"front-1"}))
	p.store.DeleteHost("front-1")
	g.Eventually(p.store.Hosts, "20s").Should(Equal([]string{"front-1"}))
}

// A request waits for its stages while the process is told to stop. Its stream
// could not end before the process does: it is refused as not run while another
// host can still take it, instead of being cut.
func TestStopRefusesWhatItCouldNotFinish(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newTestPlatform(t)
	p.route("staged").Timeout, p.route("staged").TargetLatency = 20*time.Second, 5*time.Second
	p.config.Services[3].Batch.TimePerCall = 4 * time.Second // so that the call is awaited
	p.store.PutConfig(p.config)
	h := p.startHost("front-1")
	hold := make(chan struct{})
	defer close(hold)
	arrived := make(chan struct{}, 10)
	p.servers["portal-1"].SetHandle(func(http.ResponseWriter, *http.Request) bool {
		arrived <- struct{}{}
		<-hold
		return false
	})
	got := make(chan response, 1)
	go func() {
		got <- p.send(h, "POST", "/stream/staged/1", "x", func(q *platformtest.Request) {
			q.Items, q.Deadline = []int{1, 1}, 20*time.Second
		})
	}()
	g.Eventually(arrived, "10s").Should(Receive(), func() string {
		select {
		case r := <-got:
			return fmt.Sprintf("answered: %+v", r)
		default:
			return "no answer"
		}
	})
	p.stopHost[0]()
	var r response
	g.Eventually(got, "10s").Should(Receive(&r))
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.body).To(ContainSubstring(`"kind":"draining","ran":"no"`))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(p.runs("model")).To(BeEmpty())
}

// The configuration has just come into force and is not yet confirmed. The host
// is not ready: it would refuse the keys of the requests that it asked for.
func TestHostIsNotReadyBeforeItsConfigurationIsConfirmed(t *testing.T) {
	g, _, h := newPlatformWithHost(t)
	g.Expect(h.isReady()).To(BeTrue())
	never := &Host{settings: h.settings, bootClock: h.bootClock, clock: h.clock, directory: h.directory, batchers: h.batchers}
	never.plan.Store(h.plan.Load())
	g.Expect(never.isReady()).To(BeFalse())
}

// The list of servers has just come into force and the batchers of the stages do
// not have it yet. The host is not ready: it would refuse the first requests with
// stages, as if no server could do them.
func TestHostIsNotReadyBeforeItsStagesHaveServers(t *testing.T) {
	g, _, h := newPlatformWithHost(t)
	early := &Host{settings: h.settings, bootClock: h.bootClock, clock: h.clock, directory: h.directory, batchers: newBatchers(h)}
	early.plan.Store(h.plan.Load())
	early.configConfirmedAt.Store(early.bootClock.Now().UnixNano())
	g.Expect(early.isReady()).To(BeFalse())
}

// A configuration adds a stage's service while requests come. The first request
// that gets the new plan finds the service's batcher, or it would be refused as
// if the service had no server.
func TestBatchersAreThereBeforeThePlanThatNeedsThem(t *testing.T) {
	g, _, h := newPlatformWithHost(t)
	c := plan.Config{Version: 100, Services: []plan.Service{{Name: "new", Batch: &plan.Batch{ConcurrentCalls: 1, MaxItemsPerCall: 1}}}}
	done := make(chan struct{})
	h.batchers.mu.Lock() // the batchers cannot be changed yet
	go func() {
		defer close(done)
		h.configChanged(map[string]follow.Object[plan.Config]{platform.NewestConfig: {Value: c}}, "test")
	}()
	g.Consistently(func() int64 { return h.plan.Load().Version }, "200ms").Should(BeEquivalentTo(5))
	h.batchers.mu.Unlock()
	g.Eventually(done, "10s").Should(BeClosed())
	g.Expect(h.plan.Load().Version).To(BeEquivalentTo(100))
	g.Expect(h.batchers.get("new")).NotTo(BeNil())
}

// The newest configuration cannot be read. It may have taken keys away: those of
// the one in force are no longer confirmed, and honoured for the bound only.
func TestUnreadableConfigurationConfirmsNothing(t *testing.T) {
	g, p, h := newPlatformWithHost(t)
	p.store.PutUnreadableConfig()
	g.Eventually(h.configUnreadable.Load, "10s").Should(BeTrue())
	g.Eventually(func() string { return p.send(h, "GET", "/status/1", "").body }, "20s").Should(ContainSubstring("keys_not_fresh"))
	p.config.Version = 12
	p.store.PutConfig(p.config)
	g.Eventually(func() int { return p.send(h, "GET", "/status/1", "").status }, "20s").Should(Equal(http.StatusOK))
}

// The waits of watches follow the platform's bounds, so that what a host believes
// is in time even when the host that asks for it is cut off, and so that the
// platform is not asked more often than its bounds call for.
func TestWaitsFollowTheBoundsOfThePlatform(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ config, drain, revoke, wantConfig, wantServers time.Duration }{
		{2500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond, 600 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 5 * time.Second, 720 * time.Millisecond, 960 * time.Millisecond},
		{0, 0, 5 * time.Second, 500 * time.Millisecond, 600 * time.Millisecond},
		{time.Minute, time.Minute, time.Minute, maxWatchWait, maxWatchWait},
		{100 * time.Millisecond, 100 * time.Millisecond, 5 * time.Second, minWatchWait, minWatchWait},
	} {
		g := NewWithT(t)
		h := &Host{settings: platform.Settings{ConfigBound: c.config, DrainBound: c.drain, RevokeBound: c.revoke, StrictRevoke: true}}
		g.Expect(h.configWatchWait()).To(Equal(c.wantConfig))
		g.Expect(h.serversWatchWait()).To(Equal(c.wantServers))
	}
}
