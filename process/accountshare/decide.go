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
	level    float64 // share of each account that asks for more; cost per second
	// cuts has the accounts that ask for more than their share. Requests with a priority below
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

// decide divides a capacity, in cost per second, among accounts. An account that is alone is not
// limited.
func decide(t *totals, capacity float64) limits {
	var (
		accounts []accountID
		demands  []fairshare.Demand // of accounts, in the same order
		demand   float64
	)
	classes := t.classes()
	for _, c := range classes {
		if n := len(accounts); n == 0 || accounts[n-1] != c.account {
			accounts, demands = append(accounts, c.account), append(demands, fairshare.Demand{Weight: 1})
		}
		demand += t.demand[c]
		demands[len(demands)-1].Amount += t.demand[c]
	}
	demand += t.rest
	if t.restOf > 0 {
		demands = append(demands, fairshare.Demand{Amount: t.rest, Weight: float64(t.restOf)})
	}
	if len(accounts)+t.restOf < 2 || t.taken < minTakenShare*demand || capacity >= demand {
		return limits{capacity: capacity}
	}
	l := limits{capacity: capacity, level: fairshare.Level(capacity, demands), cuts: map[accountID]float32{}}
	for i, account := range accounts {
		if demands[i].Amount > l.level {
			l.cuts[account] = t.cut(classes, account, l.level)
		}
	}
	return l
}

// cut returns up to which priority an account's requests fit into its share; see limits. classes are
// those of t in order.
func (t *totals) cut(classes []class, account accountID, share float64) float32 {
	for _, c := range classes {
		if c.account != account {
			continue
		}
		amount := t.demand[c]
		if amount > share {
			return float32(c.priority) + float32(share/amount)
		}
		share -= amount
	}
	return maxPriority + 1 // all of them fit
}
