package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// Guards against running stage work on hosts outside the allowed regions of its request, also
// where a single host owns all work: the strongest host is elsewhere, and once the allowed
// region has lost its hosts, the work stays on the host that has the client.
func TestOwnerIsInAllowedRegions(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	client := x.add(t, peer.Identity{Host: "client's", Region: "r1", Domain: "r1", Cores: 0.1, Incarnation: 3})
	home := x.add(t, peer.Identity{Host: "home", Region: "r2", Domain: "r2", Cores: 0.2, Incarnation: 2})
	strong := x.add(t, peer.Identity{Host: "strong", Region: "r3", Domain: "r3", Cores: 1, Incarnation: 1})
	for _, n := range x.hosts {
		n.pool.regionOfDomain = func(string) string { return "" }
		n.pool.MarkPeersKnown()
	}
	restricted := func(id string) *Request {
		r := chainRequest(id)
		r.AllowedRegions = residency.Set{AccountRegions: []string{"r2"}}
		return r
	}
	unrestricted, err := client.pool.Run(t.Context(), chainRequest("free"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unrestricted.Owner).To(Equal("strong"))
	_, err = client.pool.Run(t.Context(), restricted("bound"))
	g.Expect(err).To(MatchError(&Error{Reason: batcher.NoServer}), "no server is in an allowed region")
	g.Expect(home.calls).To(Equal(1))
	home.down = true
	_, err = client.pool.Run(t.Context(), restricted("alone"))
	g.Expect(err).To(MatchError(&Error{Reason: batcher.NoServer}))
	g.Expect(strong.calls).To(Equal(1), "only the unrestricted request")
}

// ownerLog counts the logged changes of owners.
type ownerLog struct {
	discardLog
	changes int
}

func (l *ownerLog) OwnerChanged(string, string, uint64) { l.changes++ }

// Guards against a log line per request when restricted and unrestricted requests alternate.
func TestRestrictedRequestsDoNotLogOwnerChange(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	here := x.add(t, peer.Identity{Host: "here", Region: "r1", Domain: "r1", Cores: 0.1, Incarnation: 2})
	x.add(t, peer.Identity{Host: "strong", Region: "r2", Domain: "r2", Cores: 1, Incarnation: 1})
	log := &ownerLog{}
	here.pool.log = log
	for range 3 {
		g.Expect(here.pool.findOwner(t.Context(), "", residency.Set{})).To(Equal("strong"))
		g.Expect(here.pool.findOwner(t.Context(), "", residency.Set{RouteRegions: []string{"r1"}})).To(BeEmpty())
	}
	g.Expect(log.changes).To(Equal(1))
}

// Guards against results made by a nearby server in a region that the request does not allow.
func TestStagesRunInAllowedRegions(t *testing.T) {
	w := newFixture(t)
	for name, b := range w.batchers {
		d := directory.New()
		d.Replace([]directory.Entry{
			{ID: name + "-near", Service: name, Domain: "x", Region: "r1"}, {ID: name + "-far", Service: name, Domain: "y", Region: "r2"},
		}, time.Now())
		b.Configure(b.Options(), d.View().Servers(name), func(*directory.Server) time.Duration { return 0 })
	}
	for region, server := range map[string]string{"r1": "portal-near", "r2": "portal-far"} {
		r := chainRequest(region)
		r.AllowedRegions.RouteRegions = []string{region}
		results, err := w.k.Run(t.Context(), r)
		w.g.Expect(err).NotTo(HaveOccurred())
		for _, in := range results.Inputs {
			w.g.Expect(in.ServerID).To(Equal(server))
		}
	}
}

// Guards against waiting until the deadline for a stage without servers in the allowed regions.
func TestRequestWithoutServerInAllowedRegionsIsRejectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := NewAdmission(func(string) (Service, bool) {
		return Service{Capacity: batcher.Capacity{ListedServers: 2, AvailableServers: 2, ItemsPerSecond: 100, Regions: []string{"r1", "r2"}}}, true
	})
	outcome := func(set residency.Set) string {
		out := "waits"
		a.Enqueue(&Ticket{
			Request: &Request{AllowedRegions: set, Stages: []Stage{{Service: "s", Items: 1}}, TargetTime: now.Add(time.Second), Deadline: now.Add(time.Minute)},
			Start:   func() { out = "begun" },
			Reject:  func(r batcher.Reason) { out = string(r) },
		}, now)
		a.Schedule(now)
		return out
	}
	g.Expect(outcome(residency.Set{RouteRegions: []string{"r3"}})).To(Equal(string(batcher.NoServer)))
	g.Expect(outcome(residency.Set{RouteRegions: []string{"r2", "r3"}})).To(Equal("begun"))
}

// Guards against announcing prefixes of restricted requests to other regions.
func TestPrefixesOfRestrictedRequestsAreNotAnnounced(t *testing.T) {
	g := NewWithT(t)
	w := newFixture(t)
	announced := 0
	w.k.announcePrefix = func(cachedPrefix) { announced++ }
	now := time.Now()
	for i, set := range []residency.Set{{}, {RouteRegions: []string{"r1"}}} {
		r := &Request{ID: "r", TargetTime: now.Add(time.Second), AllowedRegions: set, Prompt: draftPrompt, Targets: []Target{{ID: "next"}}}
		r.Prompt.LongPrefix = fmt.Sprint("part", i)
		w.k.chooseTarget(&Ticket{Request: r}, now, nil)
	}
	g.Expect(announced).To(Equal(1))
}
