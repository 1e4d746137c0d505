package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/clock"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/peer"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/residency"
	"bilberrydale/process/stages"
	"bilberrydale/process/streamwriter"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// unlimitedRetries is a RetryLimiter that allows every retry.
type unlimitedRetries struct{}

func (unlimitedRetries) RecordRequest(string)   {}
func (unlimitedRetries) AllowRetry(string) bool { return true }
func (unlimitedRetries) ReturnRetry(string)     {}

// noPeers is the peer link of a host without peers.
type noPeers struct{ stages.Link }

func (noPeers) Handle(peer.Method, peer.Handler) {}

// newExchange returns a request for service "s", to be served by the servers in dir.
func newExchange(dir *directory.Directory, now time.Time, allowed residency.Set) *exchange {
	gw := New(Options{
		Domain: "r0-a", Directory: dir, Clock: clock.NewManual(now), Rand: clock.NewSeeded(1), RetryLimiter: unlimitedRetries{}, Guard: quarantine.AllowAll{},
		OneWayLatency: func(string) time.Duration { return time.Millisecond }, ColdStart: coldstart.New(coldstart.Options{Self: "h", Hosts: func() []string { return []string{"h"} }, Clock: clock.NewManual(now)}),
		Pool: stages.NewPool(noPeers{}, clock.NewManual(now), stages.NewCoordinator(nil, nil, nil, nil), func(string) string { return "" }, nil),
	})
	p := plan.Compile(plan.Config{Services: []plan.Service{{Name: "s", ColdStart: coldstart.Limit{RequestsPerSecond: 2, ColdDuration: time.Second}}}})
	return &exchange{Gateway: gw, services: p.Services(), route: &plan.Route{Kind: plan.Safe, MaxAttempts: 9, PrefixAffinity: true}, service: "s", allowed: allowed, arrivedAt: now}
}

// Guards against a request served in a region that its route or client account does not
// allow, or in an evacuated failure domain, while servers fail, drain or are cold, some have
// been tried, and any of them may be the preferred server.
func TestServersAreChosenInAllowedRegions(t *testing.T) {
	regions := []string{"r0", "r1", "r2"}
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		dir := directory.New()
		var entries []directory.Entry
		for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
			region := rapid.SampledFrom(regions).Draw(t, "region")
			domain := region + rapid.SampledFrom([]string{"-a", "-b"}).Draw(t, "domain")
			entries = append(entries, directory.Entry{
				ID: fmt.Sprint("e", i), Service: "s", Domain: domain, Region: region, Slots: 2,
				Draining:      rapid.IntRange(0, 4).Draw(t, "draining") == 0,
				ColdRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
			})
		}
		dir.Replace(entries, now)
		evacuated := rapid.SampledFrom([]string{"", "r0-a", "r1-b"}).Draw(t, "evacuated")
		dir.SetEvacuated([]string{evacuated}, now)
		for _, s := range dir.View().All() {
			if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
				s.RecordFailure(now)
			}
		}
		regionSubset := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID)
		x := newExchange(dir, now, residency.Set{RouteRegions: regionSubset.Draw(t, "route"), AccountRegions: regionSubset.Draw(t, "account")})
		x.clientRequest.PromptParts = []wire.PromptPart{{ID: "part", Tokens: 5000}, {ID: "own", Tokens: 10}}
		x.preferredServer = fmt.Sprint("e", rapid.IntRange(0, 8).Draw(t, "target"))
		allowed := func(s *directory.Server) bool {
			return x.allowed.Allows(s.Region) && !s.Draining && s.Domain != evacuated
		}
		hist := &attemptHistory{tried: serverSet{}}
		for s := x.nextServer(context.Background(), hist); s != nil; s = x.nextServer(context.Background(), hist) {
			if !allowed(s) {
				t.Fatalf("%+v may not run on %+v", x.allowed, s.Entry)
			}
			x.logEntry.Attempts++
		}
		r := &stages.Request{}
		x.setTargets(r)
		for _, target := range r.Targets {
			if !allowed(dir.View().Server(target.ID)) {
				t.Fatalf("%+v may not run on %s", x.allowed, target.ID)
			}
		}
		available := func(s *directory.Server) bool { return x.opts.ColdStart.WouldAllow(s, x.coldStartLimit(), now) }
		if domain := x.predictedDomain(); x.candidates().Any(available) && !x.allowed.Allows(domain[:2]) {
			t.Fatalf("stage work for %+v in %s", x.allowed, domain)
		}
	})
}

// Guards against work for a request that no server is allowed or currently able to run: it
// is refused immediately, with a Retry-After time.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "near", Service: "s", Region: "r0", Domain: "r0-a"}, {ID: "far", Service: "s", Region: "r1", Domain: "r1-a"}}, now)
	refused := func(allowed residency.Set) errkind.Kind {
		err := newExchange(dir, now, allowed).checkServable()
		if err == nil {
			return ""
		}
		e := errkind.From(err)
		NewWithT(t).Expect(e.RetryDelay()).To(BeNumerically(">", 0))
		NewWithT(t).Expect(e.Ran()).To(Equal(errkind.RanNo))
		return e.Kind
	}
	only := func(route, account []string) residency.Set {
		return residency.Set{RouteRegions: route, AccountRegions: account}
	}
	g := NewWithT(t)
	g.Expect(refused(only([]string{"r1"}, nil))).To(BeEmpty())
	g.Expect(refused(only([]string{"r1"}, []string{"r0"}))).To(Equal(errkind.NoRegion))
	g.Expect(refused(only(nil, []string{"r2"}))).To(Equal(errkind.NoBackend), "no server there")
	dir.View().Server("far").RecordFailure(now)
	g.Expect(refused(only([]string{"r1"}, nil))).To(Equal(errkind.NoBackend), "the servers of its region have failed")
	g.Expect(refused(only(nil, nil))).To(BeEmpty(), "another region can serve it")
	dir.SetEvacuated([]string{"r0-a", "r1-a"}, now)
	g.Expect(refused(only(nil, nil))).To(Equal(errkind.NoBackend), "all are evacuated")
}

// Guards against sending a cold server more than this host's share: the next request uses
// another server, and one that has no other is refused with a short Retry-After time.
func TestColdServersGetLimitedShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	dir := directory.New()
	dir.Replace([]directory.Entry{
		{ID: "cold", Service: "s", Region: "r0", Domain: "r0-a", Slots: 9, ColdRemaining: time.Second},
		{ID: "warm", Service: "s", Region: "r1", Domain: "r1-a", Slots: 9},
	}, now)
	x := newExchange(dir, now, residency.Set{})
	x.opts.OneWayLatency = func(domain string) time.Duration { return map[string]time.Duration{"r1-a": time.Second}[domain] }
	var got []string
	for range 4 {
		got = append(got, x.nextServer(context.Background(), &attemptHistory{tried: serverSet{}}).ID)
	}
	g.Expect(got).To(Equal([]string{"cold", "cold", "warm", "warm"}))
	x.clientRequest.PromptParts = []wire.PromptPart{{ID: "part", Tokens: 5000}}
	r := &stages.Request{}
	x.setTargets(r)
	g.Expect(r.Targets).To(HaveLen(1), "cold server at its limit is left out")
	x.allowed.RouteRegions = []string{"r0"}
	hist := &attemptHistory{tried: serverSet{}}
	g.Expect(x.nextServer(context.Background(), hist)).To(BeNil())
	e := errkind.From(x.finish(hist))
	g.Expect(e.Kind).To(Equal(errkind.NoBackend))
	g.Expect(e.Ran()).To(Equal(errkind.RanNo))
}

// Guards against stage work whose owner knows neither the client account nor the urgency, and against a
// stream that its client takes up and that waits behind new ones.
func TestStageWorkTellsAccountAndPriority(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := newExchange(directory.New(), now, residency.Set{})
	x.route, x.account, x.priority = &plan.Route{Kind: plan.Stream}, "a", 2
	r := x.stageRequest()
	g.Expect([]any{r.Account, r.Priority, r.Continues, r.WithoutShare}).To(Equal([]any{"a", 2, false, false}))
	x.clientRequest.LastEventID = "7"
	x.logEntry.WriterSource = streamwriter.SourceOnlyOne
	r = x.stageRequest()
	g.Expect([]any{r.Priority, r.Continues}).To(Equal([]any{1, true}), "only its client says that it has begun")
	for _, x.priority = range []int{0, 2} {
		x.logEntry.WriterSource = streamwriter.SourceArchive
		r = x.stageRequest()
		g.Expect([]any{r.Priority, r.Continues}).To(Equal([]any{stages.PriorityBegun, true}), "before the most urgent new ones")
	}
}
