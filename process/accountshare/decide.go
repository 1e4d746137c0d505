package accountshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrydale/process/fairshare"
)

// class is the requests of one account and priority.
type class struct {
	account  accountID
	priority uint8 // 0: most urgent
}

// accountID is the hash of an account's name, as sent between hosts.
type accountID uint32

// totals is what some hosts were asked for of a service, and what its servers took. All amounts
// are costs per second.
type totals struct {
	demand  map[class]float64
	rest    float64 // demand of accounts that are not in demand, all of them small
	restOf  int     // number of these accounts
	taken   float64 // by servers
	refused float64 // by servers, for want of room
	hosts   int     // that the totals cover
}

// add adds the totals of other hosts.
func (t *totals) add(o totals) {
	for c, amount := range o.demand {
		t.demand[c] += amount
	}
	t.rest, t.restOf = t.rest+o.rest, t.restOf+o.restOf
	t.taken, t.refused, t.hosts = t.taken+o.taken, t.refused+o.refused, t.hosts+o.hosts
}

// truncate moves the classes with the least demand to the rest, so that at most n remain.
func (t *totals) truncate(n int) {
	if len(t.demand) <= n {
		return
	}
	byDemand := slices.SortedFunc(maps.Keys(t.demand), func(a, b class) int {
		return cmp.Or(cmp.Compare(t.demand[b], t.demand[a]), cmp.Compare(a.account, b.account), cmp.Compare(a.priority, b.priority))
	})
	for _, c := range byDemand[n:] {
		t.rest, t.restOf = t.rest+t.demand[c], t.restOf+1
		delete(t.demand, c)
	}
}

// classes returns the classes by account and priority.
func (t *totals) classes() []class {
	return slices.SortedFunc(maps.Keys(t.demand), func(a, b class) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.priority, b.priority))
	})
}

// refusedShare returns the part of the requests sent to servers that these refused, by cost.
func (t *totals) refusedShare() float64 {
	if t.refused == 0 {
		return 0
	}
	return t.refused / (t.taken + t.refused)
}

const (
	// targetRefusedShare is the part of the admitted requests that servers may refuse: enough to
	// show that they are full, and few enough for accounts within their share.
	targetRefusedShare = 0.05
	// cutRate is the part of the admitted rate by which it falls in a second for each part of the
	// requests that servers refuse too much.
	cutRate = 1.25
	// While servers refuse less, the admitted rate grows by minGrowth a second. That is multiplied by
	// growthFactor with each step at which they refuse next to nothing, up to maxGrowth.
	minGrowth, maxGrowth, growthFactor = 0.05, 0.5, 2
	// The fall ends near what the servers take, lower by drainSlope for each part of the requests
	// that they refuse too much and by maxDrain at most: requests that wait before them become fewer.
	drainSlope, maxDrain = 0.1, 0.03
	// maxAhead is where growth ends, relative to what the servers take.
	maxAhead = 1.5
	// The admitted rate does not fall below minOfPeak of what the servers took before, less peakDecay
	// a second: servers that hosts of a build without shares fill refuse whatever the others admit.
	minOfPeak, peakDecay = 0.5, 0.05
	// maxStep bounds the time that one step of the estimate stands for.
	maxStep = 2 * reportInterval
	// minTakenShare is the part of the demand that servers have to take for shares to apply. A
	// service that takes less is not short but out of order.
	minTakenShare = 0.01
)

// capacity estimates the rate of requests to admit to a service so that its servers are full and
// refuse few. The zero value knows nothing.
type capacity struct {
	perSecond float64   // cost
	growth    float64   // a second, of the next step
	at        time.Time // of the last step
	// peak is the most that the servers took, less peakDecay for each second since.
	peak float64
}

// update takes a step.
func (c *capacity) update(t *totals, now time.Time) {
	if c.at.IsZero() {
		*c = capacity{perSecond: t.taken, growth: minGrowth, at: now, peak: t.taken}
		return
	}
	seconds := min(max(now.Sub(c.at), 0), maxStep).Seconds()
	c.at, c.peak = now, max(c.peak*(1-peakDecay*seconds), t.taken)
	share := t.refusedShare()
	excess := max(share-targetRefusedShare, 0)
	least := t.taken * (1 - min(drainSlope*excess, maxDrain))
	switch {
	case excess > 0:
		c.growth = minGrowth
		c.perSecond = max(c.perSecond*(1-cutRate*excess*seconds), min(c.perSecond, least))
	case c.perSecond < maxAhead*t.taken:
		c.perSecond *= 1 + c.growth*seconds
		if share < targetRefusedShare/3 {
			c.growth = min(growthFactor*c.growth, maxGrowth)
		}
	}
	// Servers that take less while they refuse next to nothing have not shrunk.
	c.perSecond = max(c.perSecond, least, minOfPeak*c.peak)
}

// limits is which requests of a service are admitted.
type limits struct {
	capacity float64 // cost per second that is divided; 0: not known
	level    float64 // share of each account that asks for more, of the priority that is short; cost per second
	// cuts has the accounts that ask for more than there is for them. Requests with a priority below
	// the whole part of the number are admitted, and its fraction of those with that priority.
	cuts map[accountID]float32
}

// fraction returns the part of the requests of a class that is admitted.
func (l *limits) fraction(c class) float64 {
	cut, limited := l.cuts[c.account]
	if !limited {
		return 1
	}
	return min(max(float64(cut)-float64(c.priority), 0), 1)
}

// decide divides a capacity, in cost per second, among classes: the most urgent priority first, and
// the requests of one priority among accounts by max-min. An account that is alone is not limited.
func decide(t *totals, capacity float64) limits {
	byPriority := t.byPriority()
	accounts := map[accountID]bool{}
	demand := t.rest
	for _, classes := range byPriority {
		for _, c := range classes {
			accounts[c.account] = true
			demand += t.demand[c]
		}
	}
	l := limits{capacity: capacity}
	if len(accounts)+t.restOf < 2 || t.taken < minTakenShare*demand || capacity >= demand {
		return l
	}
	l.cuts = map[accountID]float32{}
	left := capacity
	for i, classes := range byPriority {
		rest := fairshare.Demand{}
		if i == 0 { // whatever the priorities of the rest are, its accounts ask for little
			rest = fairshare.Demand{Amount: t.rest, Weight: float64(t.restOf)}
		}
		asked, level := t.share(classes, rest, left)
		left -= asked
		if left >= 0 {
			continue
		}
		l.level = level
		l.cutAt(t, classes)
		for _, lessUrgent := range byPriority[i+1:] {
			l.refuse(lessUrgent)
		}
		return l
	}
	return l
}

// byPriority returns the classes by priority, the most urgent first, each in the order of accounts.
func (t *totals) byPriority() (list [][]class) {
	classes := slices.SortedFunc(maps.Keys(t.demand), func(a, b class) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.account, b.account))
	})
	for len(classes) > 0 {
		end := slices.IndexFunc(classes, func(c class) bool { return c.priority != classes[0].priority })
		if end < 0 {
			end = len(classes)
		}
		list, classes = append(list, classes[:end]), classes[end:]
	}
	return list
}

// share returns what classes of one priority and the rest ask for, and the share of each account of
// a capacity.
func (t *totals) share(classes []class, rest fairshare.Demand, capacity float64) (asked, level float64) {
	demands := make([]fairshare.Demand, 0, len(classes)+1)
	for _, c := range classes {
		demands = append(demands, fairshare.Demand{Amount: t.demand[c], Weight: 1})
		asked += t.demand[c]
	}
	if rest.Weight > 0 {
		demands = append(demands, rest)
		asked += rest.Amount
	}
	return asked, fairshare.Level(max(capacity, 0), demands)
}

// cutAt admits each account of classes of one priority up to the level.
func (l *limits) cutAt(t *totals, classes []class) {
	for _, c := range classes {
		if amount := t.demand[c]; amount > l.level {
			l.cuts[c.account] = float32(c.priority) + float32(l.level/amount)
		}
	}
}

// refuse admits none of the classes of one priority.
func (l *limits) refuse(classes []class) {
	for _, c := range classes {
		if _, cut := l.cuts[c.account]; !cut {
			l.cuts[c.account] = float32(c.priority)
		}
	}
}
