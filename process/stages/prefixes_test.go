package stages

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/peer"
)

// noServers is a TargetLookup without backend servers.
func noServers(string, *Request) (Target, bool) { return Target{}, false }

// The home server of a prefix was busy, and a server far from most hosts has cached the prefix.
// Guards against prefilling it once more for each failure domain whose hosts list other
// servers near themselves.
func TestServerWithCachedPrefixIsTargetOfAllRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := newFixture(t)
	w.k.lookupTarget = func(id string, r *Request) (Target, bool) {
		return Target{ID: id, Cost: 40 * time.Millisecond}, r.HostDomain == "x" && id == "far"
	}
	w.k.prompts.recordRemoteHolder(now, cachedPrefix{"part", "far"})
	w.k.prompts.recordRemoteHolder(now, cachedPrefix{"part", "lost"})
	choose := func(prefix string) string {
		ticket := &Ticket{Request: &Request{ID: prefix, HostDomain: "x", TargetTime: now.Add(time.Second), Targets: homeAndNext, Prompt: draftPrompt}}
		ticket.Request.Prompt.LongPrefix = prefix
		w.k.chooseTarget(ticket, now, nil)
		return ticket.TargetID
	}
	g.Expect(choose("part")).To(Equal("far"))
	g.Expect(choose("another")).To(Equal("home"))
	g.Expect(homeAndNext).To(HaveLen(2))
}

// Two regions get requests with the same prefix, and in the first the home server is busy.
// Guards against the second region choosing the home server, which would prefill what another
// server has cached.
func TestRegionsAnnounceUnexpectedHolders(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	here := x.add(t, peer.Identity{Host: "here", Region: "r1", Domain: "r1", Cores: 1, Incarnation: 1})
	there := x.add(t, peer.Identity{Host: "there", Region: "r2", Domain: "r2", Cores: 1, Incarnation: 1})
	x.add(t, peer.Identity{Host: "beside", Region: "r2", Domain: "r2", Cores: 0.5, Incarnation: 2})
	now := time.Now()
	for i, target := range []Target{{ID: "next"}, {ID: "home", Home: true}} {
		ticket := &Ticket{Request: &Request{ID: target.ID, TargetTime: now.Add(time.Second), Targets: []Target{target}, Prompt: draftPrompt}}
		ticket.Request.Prompt.LongPrefix = []string{"moved", "at home"}[i]
		here.fixture.k.chooseTarget(ticket, now, nil)
	}
	g.Eventually(func() []string { return there.fixture.k.prompts.holderIDs(time.Now(), "moved") }, "30s").Should(Equal([]string{"next"}))
	g.Expect(there.fixture.k.prompts.holderIDs(time.Now(), "at home")).To(BeEmpty(), "the home server is expected")
}

// Guards against messages whose size grows with the load of a region.
func TestPrefixNoticesAreBounded(t *testing.T) {
	g := NewWithT(t)
	x := &network{hosts: map[string]*node{}}
	n := x.add(t, peer.Identity{Host: "here", Region: "r1", Domain: "r1", Cores: 1, Incarnation: 1})
	for range maxPrefixNotices + 10 {
		n.pool.queuePrefixNotice(cachedPrefix{"part", "s"})
	}
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	g.Expect(len(n.pool.pendingNotices)).To(BeNumerically("<=", maxPrefixNotices))
}

func TestMalformedPrefixNoticeIsRefused(t *testing.T) {
	n := (&network{hosts: map[string]*node{}}).add(t, peer.Identity{Host: "here"})
	_, err := n.pool.serveCachedPrefixes(context.Background(), peer.Identity{}, []byte("x"))
	NewWithT(t).Expect(err).To(HaveOccurred())
}
