package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// draft is a prompt that shares a long part with others.
var draftPrompt = Prompt{LongPrefix: "part", CacheGain: 240 * time.Millisecond, SharedPrefill: 200 * time.Millisecond, OwnPrefill: 100 * time.Millisecond}

var homeAndNext = []Target{{ID: "home", Home: true}, {ID: "next"}}

// tight leaves no time to wait without being late.
const tightSlack = time.Millisecond

// choose has a request placed and returns where.
func choose(r *promptTracker, now time.Time, i int, slack time.Duration, p Prompt, list []Target) string {
	return r.choose(now, key(i), slack, p, list).serverID
}

func key(i int) workKey { return workKey{id: fmt.Sprint(i)} }

// The pattern: a shared part is asked for many times within a moment, by clients of
// many hosts, none of which sees the others' requests. Its home gets as many as take
// less time than reading the part anew elsewhere. From then on two servers have it,
// and share its requests.
func TestHotPartSpreadsOnceItsHomeIsBehind(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	var chosen []string
	for i := range 8 {
		chosen = append(chosen, choose(&r, now, i, tightSlack, draftPrompt, homeAndNext))
	}
	g.Expect(chosen).To(Equal([]string{"home", "home", "home", "next", "home", "next", "home", "next"}))
	for i := range chosen {
		r.promptDone(chosen[i], key(i))
	}
	g.Expect(choose(&r, now, 8, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"), "it has caught up")
}

// The home of a part has three prompts to read. A request that has time enough waits
// for it, since reading the part anew would take another server's time; one whose aim
// is near does not, and one that is late already does not take that time either.
func TestRequestsWaitForTheHomeWhileTheirAimAllows(t *testing.T) {
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

// A server that read a part some time ago may have given it up. The part's home is
// the one to ask again.
func TestPartsAreForgottenAfterAWhile(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	choose(&r, now, 1, tightSlack, draftPrompt, []Target{{ID: "next"}})
	r.promptDone("next", key(1))
	g.Expect(choose(&r, now, 2, tightSlack, draftPrompt, homeAndNext)).To(Equal("next"))
	r.promptDone("next", key(2))
	g.Expect(choose(&r, now.Add(prefixTTL), 3, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"))
}

// The pattern: one server reads more slowly than the others. Its prompts count until
// they are read, however long it was thought to take: what can go elsewhere does.
func TestSlowReaderGetsLess(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	chat, list := Prompt{OwnPrefill: 50 * time.Millisecond}, []Target{{ID: "slow"}, {ID: "next", Cost: 40 * time.Millisecond}}
	g.Expect(choose(&r, now, 1, tightSlack, chat, list)).To(Equal("slow"))
	now = now.Add(time.Second)
	g.Expect(choose(&r, now, 2, tightSlack, chat, list)).To(Equal("next"))
	r.promptDone("next", key(2))
	r.promptDone("slow", key(1))
	g.Expect(choose(&r, now, 3, tightSlack, chat, list)).To(Equal("slow"))
}

// The host that would tell that a prompt was read has lost power. Its prompts do not
// keep requests away for good, and nothing of them is kept.
func TestPromptsOfALostHostAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	for i := range 9 {
		choose(&r, now, i, tightSlack, draftPrompt, homeAndNext)
	}
	now = now.Add(pendingTimeout)
	g.Expect(choose(&r, now, 10, tightSlack, draftPrompt, homeAndNext)).To(Equal("home"))
	r.promptDone("home", key(10))
	r.pendingTime(now, "next")
	g.Expect(r.pendingByServer).To(BeEmpty())
}

func TestChoiceWithoutTargets(t *testing.T) {
	var r promptTracker
	NewWithT(t).Expect(choose(&r, time.Unix(1000, 0), 1, tightSlack, draftPrompt, nil)).To(BeEmpty())
}

// Results of 3 MB lie in one failure domain. What a server elsewhere costs for them is
// known only once they are made, wherever that was.
func TestLargeResultsDrawTheRequest(t *testing.T) {
	g := NewWithT(t)
	inputs := []Input{{Bytes: 3_000_000, Domain: "x"}, {Bytes: 6_000, Domain: "y"}}
	list := withTransferCost([]Target{{ID: "a", Domain: "x", Cost: time.Millisecond}, {ID: "b", Domain: "y"}}, inputs)
	g.Expect(list[0].Cost).To(BeNumerically("<", 2*time.Millisecond))
	g.Expect(list[1].Cost).To(Equal(60 * time.Millisecond))
}

// fetched is a draft whose shared part can be had from another server.
var fetchablePrompt = func() Prompt {
	p := draftPrompt
	p.ShortPrefix, p.FetchTime = "prefix", 10*time.Millisecond
	return p
}()

var threeDomains = []Target{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}}

// place has a request placed on one server only.
func chooseAt(r *promptTracker, now time.Time, i int, p Prompt, server string) choice {
	for _, t := range threeDomains {
		if t.ID == server {
			return r.choose(now, key(i), time.Second, p, []Target{t})
		}
	}
	return choice{}
}

// Guards against a long part that is read once more by each server that its requests come
// to, though another one has it; and against a transfer from one that is still reading.
func TestPartIsFetchedFromAServerThatHasReadIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	g.Expect(chooseAt(&r, now, 0, fetchablePrompt, "b1").fetchFrom).To(BeEmpty(), "nobody has it")
	g.Expect(chooseAt(&r, now, 1, fetchablePrompt, "a1").fetchFrom).To(BeEmpty(), "it is still being read")
	now = now.Add(time.Second)
	g.Expect(chooseAt(&r, now, 2, fetchablePrompt, "b1").fetchFrom).To(Equal("a1"), "its own may be dropped by now")
	g.Expect(chooseAt(&r, now, 3, fetchablePrompt, "a2").fetchFrom).To(Equal("a1"), "the one in its own failure domain")
	g.Expect(chooseAt(&r, now.Add(prefixTTL+time.Second), 5, fetchablePrompt, "a2").fetchFrom).To(BeEmpty(), "they have dropped it")
}

// Guards against a transfer between servers that cannot make one.
func TestPartIsReadWhereItCannotBeFetched(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	chooseAt(&r, now, 0, draftPrompt, "b1")
	g.Expect(chooseAt(&r, now.Add(time.Second), 1, draftPrompt, "a1").fetchFrom).To(BeEmpty())
}

// The pattern: many things share the first part of their prompts, and each has a second
// one of its own. Guards against reading the first part anew for each new thing, also at
// the server where the second part is only presumed to be.
func TestPrefixOfANewPartIsFetched(t *testing.T) {
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
	g.Expect(r.choose(now, key(2), time.Second, other, home).fetchFrom).NotTo(BeEmpty())
}

// Guards against a region that takes a part's holder for gone, since it heard of it once,
// and reads what is in use elsewhere.
func TestOtherRegionsHearAgainOfPartsInUse(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var r promptTracker
	g.Expect(chooseAt(&r, now, 0, fetchablePrompt, "a1").announce).To(BeTrue())
	g.Expect(chooseAt(&r, now.Add(time.Second), 1, fetchablePrompt, "a1").announce).To(BeFalse())
	g.Expect(chooseAt(&r, now.Add(announceInterval), 2, fetchablePrompt, "a1").announce).To(BeTrue())
	g.Expect(announceInterval).To(BeNumerically("<", prefixTTL))
}
