package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// draftPrompt shares a long prefix with other prompts.
var draftPrompt = Prompt{LongPrefix: "part", CacheGain: 240 * time.Millisecond, SharedPrefill: 200 * time.Millisecond, OwnPrefill: 100 * time.Millisecond}

var homeAndNext = []Target{{ID: "home", Home: true}, {ID: "next"}}

// tightSlack leaves no time to wait without being late.
const tightSlack = time.Millisecond

// choose returns the server chosen for a request.
func choose(r *promptTracker, now time.Time, i int, slack time.Duration, p Prompt, list []Target) string {
	return r.choose(now, testKey(i), slack, p, list).serverID
}

func testKey(i int) workKey { return workKey{id: fmt.Sprint(i)} }

// Many requests with one shared prefix arrive within a moment from many hosts, none of which
// sees the requests of the others. The home server gets as many as take less time there than
// prefilling the prefix elsewhere. From then on two servers have it and share the requests.
func TestHotPrefixSpreadsOnceHomeServerIsBusy(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	var chosen []string
	for i := range 8 {
		chosen = append(chosen, choose(&r, now, i, tightSlack, draftPrompt, homeAndNext))
	}
	g.Expect(chosen).To(Equal([]string{"home", "home", "home", "next", "home", "next", "home", "next"}))
	for i := range chosen {
		r.promptDone(chosen[i], testKey(i))
	}
	g.Expect(choose(&r, now, 8, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"), "it has no pending prompts")
}

// The home server of a prefix has three pending prompts. A request with enough slack waits for
// it, since prefilling the prefix elsewhere takes another server's time. A request close to
// its target time does not wait. A request that is late already does not take the other
// server's time either.
func TestRequestsWaitForHomeServerWhileSlackAllows(t *testing.T) {
	for slack, want := range map[time.Duration]string{
		2 * time.Second: "home", 100 * time.Millisecond: "next", -time.Second: "home",
	} {
		now := time.Unix(1000, 0)
		var r promptTracker
		for i := range 3 {
			choose(&r, now, i, time.Second, draftPrompt, homeAndNext)
		}
		NewWithT(t).Expect(choose(&r, now, 4, slack, draftPrompt, homeAndNext)).To(Equal(want), "%s", slack)
	}
}

// A server that cached a prefix some time ago may have evicted it. The home server is chosen
// again.
func TestPrefixHoldersExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	choose(&r, now, 1, tightSlack, draftPrompt, []Target{{ID: "next"}})
	r.promptDone("next", testKey(1))
	g.Expect(choose(&r, now, 2, tightSlack, draftPrompt, homeAndNext)).To(Equal("next"))
	r.promptDone("next", testKey(2))
	g.Expect(choose(&r, now.Add(prefixTTL), 3, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"))
}

// One server prefills more slowly than the others. Its prompts count as pending until they are
// done, whatever the estimate was, so other servers get the requests.
func TestSlowServerGetsFewerPrompts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	chat, list := Prompt{OwnPrefill: 50 * time.Millisecond}, []Target{{ID: "slow"}, {ID: "next", Cost: 40 * time.Millisecond}}
	g.Expect(choose(&r, now, 1, tightSlack, chat, list)).To(Equal("slow"))
	now = now.Add(time.Second)
	g.Expect(choose(&r, now, 2, tightSlack, chat, list)).To(Equal("next"))
	r.promptDone("next", testKey(2))
	r.promptDone("slow", testKey(1))
	g.Expect(choose(&r, now, 3, tightSlack, chat, list)).To(Equal("slow"))
}

// The host that would report a prefill has failed. Its prompts don't keep requests away from the
// server for good, and their entries are removed.
func TestPendingPromptsOfFailedHostExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	for i := range 9 {
		choose(&r, now, i, tightSlack, draftPrompt, homeAndNext)
	}
	now = now.Add(pendingTimeout)
	g.Expect(choose(&r, now, 10, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"))
	r.promptDone("home", testKey(10))
	r.pendingTime(now, "next")
	g.Expect(r.pendingByServer).To(BeEmpty())
}

func TestChoiceWithoutTargets(t *testing.T) {
	var r promptTracker
	NewWithT(t).Expect(choose(&r, time.Unix(1000, 0), 1, tightSlack, draftPrompt, nil)).To(BeEmpty())
}

// Results of 3 MB are stored in one failure domain. The transfer cost of other servers is known
// only once the results exist.
func TestLargeResultsAddTransferCost(t *testing.T) {
	g := NewWithT(t)
	inputs := []Input{{Bytes: 3_000_000, Domain: "x"}, {Bytes: 6_000, Domain: "y"}}
	list := withTransferCost([]Target{{ID: "a", Domain: "x", Cost: time.Millisecond}, {ID: "b", Domain: "y"}}, inputs)
	g.Expect(list[0].Cost).To(BeNumerically("<", 2*time.Millisecond))
	g.Expect(list[1].Cost).To(Equal(60 * time.Millisecond))
}

// fetchablePrompt is a draftPrompt whose long prefix can be transferred from another server.
var fetchablePrompt = func() Prompt {
	p := draftPrompt
	p.ShortPrefix, p.FetchTime = "prefix", 10*time.Millisecond
	return p
}()

var threeDomains = []Target{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}}

// chooseAt assigns a request to the named server.
func chooseAt(r *promptTracker, now time.Time, i int, p Prompt, server string) choice {
	for _, t := range threeDomains {
		if t.ID == server {
			return r.choose(now, testKey(i), time.Second, p, []Target{t})
		}
	}
	return choice{}
}

// Guards against prefilling a long prefix on each server that gets its requests although another
// server has it, and against a transfer from a server that is still prefilling it.
func TestPrefixIsFetchedFromHolder(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	g.Expect(chooseAt(&r, now, 0, fetchablePrompt, "b1").fetchFrom).To(BeEmpty(), "no server has it")
	g.Expect(chooseAt(&r, now, 1, fetchablePrompt, "a1").fetchFrom).To(BeEmpty(), "it is still being prefilled")
	now = now.Add(time.Second)
	g.Expect(chooseAt(&r, now, 2, fetchablePrompt, "b1").fetchFrom).To(Equal("a1"), "its own copy may be evicted by now")
	g.Expect(chooseAt(&r, now, 3, fetchablePrompt, "a2").fetchFrom).To(Equal("a1"), "the holder in its own failure domain")
	g.Expect(chooseAt(&r, now.Add(prefixTTL+time.Second), 5, fetchablePrompt, "a2").fetchFrom).To(BeEmpty(), "the holders have expired")
}

// Guards against a transfer between servers that don't support it.
func TestPrefixIsPrefilledIfFetchIsUnsupported(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	chooseAt(&r, now, 0, draftPrompt, "b1")
	g.Expect(chooseAt(&r, now.Add(time.Second), 1, draftPrompt, "a1").fetchFrom).To(BeEmpty())
}

// Many prompts share a short prefix, and each has a long prefix of its own. Guards against
// prefilling the short prefix for each new long prefix, also on the server that is only
// presumed to have the long prefix.
func TestShortPrefixIsFetchedForNewLongPrefix(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	chooseAt(&r, now, 0, fetchablePrompt, "b1")
	now = now.Add(time.Second)
	other := fetchablePrompt
	other.LongPrefix = "another part"
	g.Expect(chooseAt(&r, now, 1, other, "a1").fetchFrom).To(Equal("b1"))
	other.LongPrefix = "one more"
	home := []Target{{ID: "a2", Domain: "a", Home: true}}
	g.Expect(r.choose(now, testKey(2), time.Second, other, home).fetchFrom).NotTo(BeEmpty())
}

// Guards against a region that drops the holder of a prefix after a single notice, and prefills
// a prefix that is in use elsewhere.
func TestPrefixesInUseAreAnnouncedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	g.Expect(chooseAt(&r, now, 0, fetchablePrompt, "a1").announce).To(BeTrue())
	g.Expect(chooseAt(&r, now.Add(time.Second), 1, fetchablePrompt, "a1").announce).To(BeFalse())
	g.Expect(chooseAt(&r, now.Add(announceInterval), 2, fetchablePrompt, "a1").announce).To(BeTrue())
	g.Expect(announceInterval).To(BeNumerically("<", prefixTTL))
}
