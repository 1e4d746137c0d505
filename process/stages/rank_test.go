package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
)

// shortage is a place whose second stage is asked all day for a third more than its
// servers make, before aims that leave little beyond what the stages take. The answers are
// urgent and ask for two thirds of what there is; the chats, of the same size, are not.
func shortage() load {
	l := fourStages()
	l.lasts = 3 * lastingTime
	opts := func(items int, item time.Duration, room int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 90 * time.Millisecond, ItemTime: item, RoomBytes: room, ResultTTL: 4 * time.Second}
	}
	l.services = map[string]plantService{
		"encode":   {Options: opts(8, 24*time.Millisecond, 42_000_000), servers: []string{"x", "y", "z"}},
		"retrieve": {Options: opts(20, 8*time.Millisecond, 5_600_000), servers: []string{"x", "y", "z"}},
		"rank":     {Options: opts(64, 2*time.Millisecond, 1_100_000), servers: []string{"x", "x", "y", "y", "z"}},
	}
	for i, c := range []caller{ // drafts, answers, chats
		{rank: 1, aim: 600 * time.Millisecond, die: 4 * time.Second, perSec: steady(10)},
		{rank: 0, aim: 1050 * time.Millisecond, die: 4 * time.Second, perSec: steady(19)},
		{rank: 2, aim: 1100 * time.Millisecond, die: 4 * time.Second, perSec: steady(19)},
	} {
		to := &l.callers[i]
		to.rank, to.aim, to.die, to.perSec = c.rank, c.aim, c.die, c.perSec
	}
	return l
}

// Guards against urgent requests that wait behind others until they are late, for as long
// as a shortage lasts, and against ones of little urgency that get nothing at all.
func TestShortageThatLastsIsOfTheLessUrgent(t *testing.T) {
	g := NewWithT(t)
	all := shortage()
	alone := shortage()
	alone.callers = alone.callers[:2]
	out, undisturbed := all.several(t), alone.several(t)["answer"]
	answers, chats := out["answer"], out["chat"]
	g.Expect(answers.share()).To(BeNumerically(">", 0.7*undisturbed.share()), "chats take no more than three in ten")
	g.Expect(answers.share()).To(BeNumerically(">", chats.share()))
	g.Expect(answers.served()).To(BeNumerically(">", chats.served()))
	g.Expect(chats.share()).To(BeNumerically(">", ownShare))
}

// Guards against starving the less urgent where the urgent alone ask for more than there
// is: as much as their own share is served, though most of it late.
func TestUrgentFloodLeavesTheOthersTheirShare(t *testing.T) {
	l := shortage()
	l.callers[1].perSec = steady(40) // answers ask for a third more than there is
	out := l.several(t)
	NewWithT(t).Expect(out["chat"].served()).To(BeNumerically(">", ownShare))
}

// Guards against an urgent request that waits for the servers because less urgent ones,
// which came while none was there, have all that may be under way.
func TestUrgentRequestsFindRoom(t *testing.T) {
	l := newLine(t, map[string]Service{"s": sheet()})
	n := 0
	offer := func(rank Rank, id string) { l.offerRank(rank, id, 1, 4, 1500*time.Millisecond, 9*time.Second) }
	for range 50 { // five seconds: the urgent ask for half of what there is, the others for all
		for range 2 {
			n++
			offer(0, fmt.Sprint("urgent-", n))
		}
		for range 4 {
			n++
			offer(5, fmt.Sprint("other-", n))
		}
		l.a.Next(l.now)
		onTime, _ := l.a.Waiting()
		for _, t := range l.a.onTime[:onTime] {
			l.g.Expect(t.Request.Rank).NotTo(BeZero(), "an urgent one waits")
		}
		l.pass(100 * time.Millisecond)
	}
}

// Guards against ranks that get nothing while more urgent ones ask for more than there is.
func TestEachRankHasAShareOfItsOwn(t *testing.T) {
	l := newLine(t, map[string]Service{"s": sheet()})
	n, others := 0, 0
	for range 100 { // ten seconds
		for range 8 {
			n++
			l.offerRank(0, fmt.Sprint("urgent-", n), 1, 4, 1500*time.Millisecond, 3*time.Second)
		}
		others++
		l.offerRank(5, fmt.Sprint("other-", n), 1, 4, 1500*time.Millisecond, 3*time.Second)
		l.pass(100 * time.Millisecond)
	}
	inTime := 0
	for _, id := range l.begun {
		if id[0] == 'o' && !l.lateOnes[id] {
			inTime++
		}
	}
	l.g.Expect(float64(inTime)).To(BeNumerically(">=", 0.8*ownShare*float64(others)))
	l.g.Expect(inTime).To(BeNumerically("<", others), "the rest is the urgent ones'")
}

// Guards against late requests that hold what those still in time ask for.
func TestLateRequestsTakeWhatIsLeft(t *testing.T) {
	s := sheet()
	l := newLine(t, map[string]Service{"s": s})
	for i := range 100 { // two seconds, all that the servers can make
		l.offer(fmt.Sprint("in-time-", i), 1, 3, time.Second, 9*time.Second)
		l.a.Next(l.now)
		l.pass(20 * time.Millisecond)
	}
	for i := range 200 {
		l.offer(fmt.Sprint("late-", i), 1, 4, 0, 9*time.Second)
	}
	l.a.Next(l.now)
	late := l.a.of("s").of(lateRank).used
	l.g.Expect(late.over(s.bound(0), 0.3)).To(BeFalse(), "of what may be under way: %d items", late.items)
}

// Guards against an urgent request of many items that waits for ever, as less urgent ones
// of few items take each bit of room before it.
func TestRoomIsKeptForTheUrgentRequestThatWaits(t *testing.T) {
	s := sheet()
	l := newLine(t, map[string]Service{"s": s})
	l.a.of("s").of(0).used.items = s.bound(0).items - 10
	l.offerRank(0, "many items", 1, 20, 2*time.Second, 9*time.Second)
	for i := range 5 {
		l.offerRank(5, fmt.Sprint("few-", i), 1, 2, 2*time.Second, 9*time.Second)
	}
	l.a.Next(l.now)
	l.g.Expect(l.begun).To(HaveLen(1), "the first of a rank is its own share")
	l.g.Expect(l.begun).NotTo(ContainElement("many items"))
}

// Guards against a shortage that lasts in which a third of the servers' time goes to late
// requests, and against a burst after which they are turned away.
func TestLastChancesAreFewWhileAShortageLasts(t *testing.T) {
	begun := func(lasts time.Duration) (late int) {
		l := newLine(t, map[string]Service{"s": sheet()})
		for range int(lasts / (20 * time.Millisecond)) { // twice what the servers make
			l.offer("in time", 1, 6, time.Second, 9*time.Second)
			l.a.Next(l.now)
			l.pass(20 * time.Millisecond)
		}
		for i := range 200 {
			l.offer(fmt.Sprint("late-", i), 1, 1, 0, 1300*time.Millisecond)
		}
		l.a.Next(l.now)
		return l.a.of("s").of(lateRank).used.items
	}
	bound := float64(sheet().bound(0).items)
	g := NewWithT(t)
	g.Expect(float64(begun(3 * time.Second))).To(BeNumerically("~", lastChanceShare*bound, 2))
	g.Expect(float64(begun(30 * time.Second))).To(BeNumerically("<=", lastingShare*bound))
}
