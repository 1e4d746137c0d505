package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/clock"
	"bilberrydale/process/kind"
)

var start = time.Unix(1_000_000, 0)

// bench is a controller with one pool of 100 slots.
type bench struct {
	*Controller
	now  time.Time
	load PoolLoad
}

func newBench() *bench {
	return &bench{NewController(DefaultOptions(), clock.NewSeeded(1)), start, PoolLoad{Pool: "p", Slots: 100}}
}

// pass ticks for d at the present load.
func (b *bench) pass(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		b.now = b.now.Add(100 * time.Millisecond)
		b.Tick(b.now, []PoolLoad{b.load})
	}
}

func route(name string, class Class, worth float64) *Profile {
	return &Profile{Route: name, Class: class, Worth: worth, Stages: []Stage{
		{Pool: "first", Budget: 300 * time.Millisecond}, {Pool: "p", Budget: 3 * time.Second},
	}}
}

func (b *bench) ask(p *Profile, account string, id uint64) *kind.Error {
	r := &Request{Profile: p, Account: account, ArrivedAt: b.now, Deadline: b.now.Add(5 * time.Second), Fingerprint: id}
	err := b.Admit(b.now, r)
	if err == nil {
		b.Done(b.now, r, Completed)
	}
	return err
}

func id(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

// settle brings the pool to a steady overload in which half of the demand is
// admitted: the band rests where its middle is the target.
func (b *bench) settle(demand func(i int)) {
	b.load.InFlight = b.opts.TargetLoad * b.load.Slots
	for i := range 4000 {
		if i%40 == 0 {
			b.pass(100 * time.Millisecond)
			b.pool("p").base.Store(b.opts.TargetLoad - bandWidth/2)
		}
		demand(i)
	}
}

// One account sends ten times as much as each of the others. Without shares
// the others lose as large a part of their requests as it does.
func TestBurstOfOneAccountLeavesTheOthersTheirShare(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	p := route("r", Standard, 1)
	asked, got := map[string]int{}, map[string]int{}
	b.settle(func(i int) {
		a := "burst"
		if k := i % 13; k < 3 {
			a = fmt.Sprint("small-", k)
		}
		asked[a]++
		if b.ask(p, a, id(i)) == nil {
			got[a]++
		}
	})
	for k := range 3 {
		a := fmt.Sprint("small-", k)
		g.Expect(float64(got[a])/float64(asked[a])).To(BeNumerically(">", .9), a)
	}
	// Half of all demand is 6.5 parts of 13; the small ones leave 3.5 of them.
	g.Expect(float64(got["burst"]) / float64(asked["burst"])).To(BeNumerically("~", .35, .12))
}

func TestSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	p := route("r", Standard, 1)
	p.AccountWeights = map[string]float64{"heavy": 3}
	got := map[string]int{}
	b.settle(func(i int) {
		a := []string{"heavy", "light"}[i%2]
		if b.ask(p, a, id(i)) == nil {
			got[a]++
		}
	})
	g.Expect(float64(got["heavy"]) / float64(got["light"])).To(BeNumerically("~", 3, 1))
}

func TestFullPoolServesWhatIsWorthMost(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	high, low := route("high", Standard, 8), route("low", Standard, 1)
	got := map[*Profile]int{}
	b.settle(func(i int) {
		p := []*Profile{high, low}[i%2]
		if b.ask(p, "a", id(i)) == nil {
			got[p]++
		}
	})
	g.Expect(got[high]).To(BeNumerically(">", 1800))
	g.Expect(got[low]).To(BeNumerically("<", 400))
}

// The caller is refused with a time to come back, does so at another entry
// host, and is refused again: an untruthful Retry-After. Here both hosts see
// the same steady overload.
func TestRefusedRequestIsServedWhenItComesBackAsTold(t *testing.T) {
	g := NewWithT(t)
	p := route("r", Standard, 1)
	hosts := []*bench{newBench(), newBench()}
	for _, b := range hosts {
		b.settle(func(i int) { _ = b.ask(p, "a", id(i)) })
		pl := b.pool("p")
		pl.share.Store(.5)
		pl.accounts.Load().find(accountHash("a")).threshold.Store(.5)
	}
	back, served := 0, 0
	for i := range 1000 {
		err := hosts[0].ask(p, "a", id(10_000+i))
		if err == nil {
			continue
		}
		g.Expect(err.Ran()).To(Equal(kind.RanNo))
		g.Expect(err.RetryDelay()).To(BeNumerically(">=", time.Second))
		if err.RetryDelay() > hosts[0].opts.RotationPeriod {
			continue
		}
		back++
		late := time.Duration(float64(err.RetryDelay()) * lateness * float64(i%10) / 10)
		other := hosts[1]
		was := other.now
		other.now = hosts[0].now.Add(err.RetryDelay() + late)
		if other.ask(p, "a", id(10_000+i)) == nil {
			served++
		}
		other.now = was
	}
	g.Expect(back).To(BeNumerically(">", 300))
	g.Expect(served).To(BeNumerically(">=", back*95/100))
}

// Every server of a later stage is gone. Without the safeguard each request
// still runs the stages before it and then fails. A short gap must not refuse
// anything: the pool may be back before the request gets there.
func TestDownPoolRefusesDependentsWithHysteresis(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	p := route("r", Standard, 1)
	b.pass(time.Second)
	b.load.Slots = 0
	b.pass(100 * time.Millisecond)
	g.Expect(b.ask(p, "a", 1)).To(BeNil())
	b.load.Slots = 100
	b.pass(time.Second)
	b.load.Slots = 0
	b.pass(b.opts.DownDelay + 200*time.Millisecond)
	err := b.ask(p, "a", 1)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Kind).To(Equal(kind.NoBackend))
	g.Expect(err.Ran()).To(Equal(kind.RanNo))
	g.Expect(err.RetryDelay()).To(BeNumerically(">=", leastWait))
	other := &Profile{Route: "other", Worth: 1, Stages: []Stage{{Pool: "first", Budget: time.Second}}}
	g.Expect(b.ask(other, "a", 1)).To(BeNil(), "a route without the pool goes on")
	b.load.ProbesDue = 1
	b.pass(b.opts.ProbeInterval)
	g.Expect(b.ask(p, "a", 1)).To(BeNil(), "one request tries a server that may be back")
	g.Expect(b.ask(p, "a", 1)).NotTo(BeNil())
	b.load.Slots = 10
	b.pass(b.opts.UpDelay + 200*time.Millisecond)
	g.Expect(b.ask(p, "a", 1)).To(BeNil())
}

func TestBackgroundRunsOnlyWhenNobodyWaits(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	p := route("score", Background, 1)
	b.load.InFlight = 90
	b.pass(time.Second)
	g.Expect(b.ask(p, "a", 1)).To(BeNil())
	b.load.InFlight = 105
	b.pass(time.Second)
	err := b.ask(p, "a", 1)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Kind).To(Equal(kind.Overloaded))
	g.Expect(b.ask(route("chat", Interactive, 1), "a", 1)).To(BeNil())
}

// The stages take longer than the deadline leaves. Without the estimate the
// request would run most of them and then miss. Once no evidence is recent, a
// request is let through to bring new evidence; else the refusals would never
// end.
func TestRequestThatCannotFinishIsRefusedUntilTheEvidenceIsOld(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.pass(time.Second)
	p := route("r", Standard, 1)
	for range minSamples {
		r := &Request{Profile: p, Deadline: b.now.Add(5 * time.Second)}
		g.Expect(b.Admit(b.now, r)).To(BeNil())
		b.StageStart(b.now, r, 0)
		b.StageDone(b.now, r, 0, 6*time.Second, true)
		b.Done(b.now, r, Late)
	}
	g.Expect(b.ask(p, "a", 1)).NotTo(BeNil())
	b.now = b.now.Add(estimateLife + time.Millisecond)
	g.Expect(b.ask(p, "a", 1)).To(BeNil())
}

// A request that ends anywhere on its way must not count as heading for later
// pools for ever: the pool would look full with nobody on it.
func TestHeadingReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		p := route("r", Standard, 1)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := &Request{Profile: p, Deadline: b.now.Add(time.Minute)}
			if b.Admit(b.now, r) != nil {
				continue
			}
			for i := range rapid.IntRange(0, len(p.Stages)).Draw(t, "stages") {
				b.StageStart(b.now, r, i)
				b.StageDone(b.now, r, i, time.Millisecond, i == 0)
			}
			b.Done(b.now, r, Failed)
		}
		for _, s := range b.PoolStates() {
			if s.Pending != 0 {
				t.Fatalf("pool %s: heading %d", s.Pool, s.Pending)
			}
		}
	})
}

// Whatever accounts ask for, the shares give out the admitted part of the
// demand, no account that asks for less than its due is held back, and none
// gets more for its weight than one that is held back.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAccounts()
		part := rapid.Float64Range(.1, .9).Draw(t, "part")
		var total, given float64
		n := rapid.IntRange(1, 50).Draw(t, "accounts")
		var all []*account
		for i := range n {
			x := a.find(accountHash(fmt.Sprint(i)))
			x.demand.Store(rapid.Float64Range(.01, 100).Draw(t, "demand"))
			x.weight.Store(rapid.Float64Range(.1, 10).Draw(t, "weight"))
			total += x.demand.Load()
			all = append(all, x)
		}
		for _, x := range all {
			a.asked = append(a.asked, claimed{x.demand.Load(), x.weight.Load()})
		}
		lv := a.level(part * total)
		for _, x := range all {
			due := min(x.demand.Load(), lv*x.weight.Load())
			given += due
		}
		if given < .98*part*total || given > 1.02*part*total {
			t.Fatalf("gave %g of %g", given, part*total)
		}
	})
}

// More callers than there are places must neither grow the table nor be let
// through unseen.
func TestAccountsBeyondThePlacesShareOne(t *testing.T) {
	g := NewWithT(t)
	a := newAccounts()
	shared := 0
	for i := range 2 * accountSets * accountWays {
		if a.find(accountHash(fmt.Sprint(i))) == &a.shared {
			shared++
		}
	}
	g.Expect(shared).To(BeNumerically(">=", accountSets*accountWays))
	g.Expect(a.find(accountHash("1"))).NotTo(BeIdenticalTo(&a.shared))
}

// Operators rename a pool a thousand times a day. Without an end to what is
// kept of each, the process grows until it dies.
func TestPoolsAndPlansOutOfTheTablesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	p := route("r", Standard, 1)
	b.pass(time.Second)
	g.Expect(b.ask(p, "a", 1)).To(BeNil())
	b.now = b.now.Add(planLife + time.Second)
	b.Tick(b.now, []PoolLoad{{Pool: "renamed", Slots: 100}})
	g.Expect(b.PoolStates()).To(HaveLen(2), "the pool that no tick ever named stays until it is one")
	_, kept := b.profiles.Load(p)
	g.Expect(kept).To(BeFalse())
	_, kept = b.pools.Load("p")
	g.Expect(kept).To(BeFalse())
}

// A place that changes hands must not pass on its past: the next account would
// begin with another's debt.
func TestFreedPlaceHasNoPast(t *testing.T) {
	g := NewWithT(t)
	a := newAccounts()
	x := a.find(7)
	x.demand.Store(forgotten / 2)
	x.surplus.Store(-.3)
	x.threshold.Store(.1)
	a.divide(.5, 1)
	g.Expect(x.id.Load()).To(BeZero())
	y := a.find(7 + accountSets)
	g.Expect(y).To(BeIdenticalTo(x))
	g.Expect(y.threshold.Load()).To(Equal(1.0))
	g.Expect(y.surplus.Load()).To(BeZero())
}
