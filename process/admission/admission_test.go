package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/clock"
	"bilberrydale/process/errkind"
	"bilberrydale/process/fairshare"
)

var start = time.Unix(1_000_000, 0)

// fixture is a controller with a pool "p" of 100 slots.
type fixture struct {
	*Controller
	now  time.Time
	load PoolLoad
}

func newFixture() *fixture {
	return &fixture{NewController(DefaultOptions(), clock.NewSeeded(1)), start, PoolLoad{Pool: "p", Slots: 100}}
}

// advance moves the time by d and ticks with f.load every 100 ms.
func (f *fixture) advance(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.Tick(f.now, []PoolLoad{f.load})
	}
}

func newProfile(name string, class Class, worth float64) *Profile {
	return &Profile{Route: name, Class: class, Worth: worth, Stages: []Stage{
		{Pool: "first", Budget: 300 * time.Millisecond}, {Pool: "p", Budget: 3 * time.Second},
	}}
}

func (f *fixture) request(p *Profile, account string, id uint64) *errkind.Error {
	r := &Request{Profile: p, Account: account, ArrivedAt: f.now, Deadline: f.now.Add(5 * time.Second), Fingerprint: id}
	err := f.Admit(f.now, r)
	if err == nil {
		f.Done(f.now, r, Completed)
	}
	return err
}

func fingerprint(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

// overload sends demand under a steady overload in which half of it is
// admitted: the middle of the band is held at the target load.
func (f *fixture) overload(demand func(i int)) {
	f.load.InFlight = f.opts.TargetLoad * f.load.Slots
	for i := range 4000 {
		if i%40 == 0 {
			f.advance(100 * time.Millisecond)
			f.pool("p").bandStart.Store(f.opts.TargetLoad - bandWidth/2)
		}
		demand(i)
	}
}

// One account sends ten times as many requests as each of the others. Without
// fair shares the others would lose the same fraction of their requests.
func TestBurstOfOneAccountLeavesOthersTheirShare(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	p := newProfile("r", Standard, 1)
	requested, admitted := map[string]int{}, map[string]int{}
	f.overload(func(i int) {
		a := "burst"
		if k := i % 13; k < 3 {
			a = fmt.Sprint("small-", k)
		}
		requested[a]++
		if f.request(p, a, fingerprint(i)) == nil {
			admitted[a]++
		}
	})
	for k := range 3 {
		a := fmt.Sprint("small-", k)
		g.Expect(float64(admitted[a])/float64(requested[a])).To(BeNumerically(">", .9), a)
	}
	// Half of the demand is 6.5 parts of 13, of which the small accounts leave
	// 3.5 for the 10 parts of the burst.
	g.Expect(float64(admitted["burst"]) / float64(requested["burst"])).To(BeNumerically("~", .35, .12))
}

func TestSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	p := newProfile("r", Standard, 1)
	p.AccountWeights = map[string]float64{"heavy": 3}
	admitted := map[string]int{}
	f.overload(func(i int) {
		a := []string{"heavy", "light"}[i%2]
		if f.request(p, a, fingerprint(i)) == nil {
			admitted[a]++
		}
	})
	g.Expect(float64(admitted["heavy"]) / float64(admitted["light"])).To(BeNumerically("~", 3, 1))
}

func TestFullPoolServesHighestWorth(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	high, low := newProfile("high", Standard, 8), newProfile("low", Standard, 1)
	admitted := map[*Profile]int{}
	f.overload(func(i int) {
		p := []*Profile{high, low}[i%2]
		if f.request(p, "a", fingerprint(i)) == nil {
			admitted[p]++
		}
	})
	g.Expect(admitted[high]).To(BeNumerically(">", 1800))
	g.Expect(admitted[low]).To(BeNumerically("<", 400))
}

// A refused caller retries after the Retry-After at another entry host. If it
// were refused again, the Retry-After would be wrong. Both hosts are under the
// same steady overload; retries come up to a tenth of the wait late.
func TestRefusedRequestIsAdmittedAfterItsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	p := newProfile("r", Standard, 1)
	hosts := []*fixture{newFixture(), newFixture()}
	for _, f := range hosts {
		f.overload(func(i int) { _ = f.request(p, "a", fingerprint(i)) })
		pool := f.pool("p")
		pool.smoothedFraction.Store(.5)
		pool.accounts.Load().find(accountHash("a")).admittedFraction.Store(.5)
	}
	retried, admitted := 0, 0
	for i := range 1000 {
		err := hosts[0].request(p, "a", fingerprint(10_000+i))
		if err == nil {
			continue
		}
		g.Expect(err.Ran()).To(Equal(errkind.RanNo))
		g.Expect(err.RetryDelay()).To(BeNumerically(">=", time.Second))
		if err.RetryDelay() > hosts[0].opts.RotationPeriod {
			continue
		}
		retried++
		late := time.Duration(float64(err.RetryDelay()) * retryLateness * float64(i%10) / 10)
		other := hosts[1]
		restore := other.now
		other.now = hosts[0].now.Add(err.RetryDelay() + late)
		if other.request(p, "a", fingerprint(10_000+i)) == nil {
			admitted++
		}
		other.now = restore
	}
	g.Expect(retried).To(BeNumerically(">", 300))
	g.Expect(admitted).To(BeNumerically(">=", retried*95/100))
}

// All servers of a later stage are gone. Unless requests are refused, each
// runs the stages before it and then fails. A short outage must not refuse
// requests: the pool may be back before they reach it.
func TestDownPoolRefusesDependentRoutesWithHysteresis(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	p := newProfile("r", Standard, 1)
	f.advance(time.Second)
	f.load.Slots = 0
	f.advance(100 * time.Millisecond)
	g.Expect(f.request(p, "a", 1)).To(BeNil())
	f.load.Slots = 100
	f.advance(time.Second)
	f.load.Slots = 0
	f.advance(f.opts.DownDelay + 200*time.Millisecond)
	err := f.request(p, "a", 1)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Kind).To(Equal(errkind.NoBackend))
	g.Expect(err.Ran()).To(Equal(errkind.RanNo))
	g.Expect(err.RetryDelay()).To(BeNumerically(">=", minWait))
	other := &Profile{Route: "other", Worth: 1, Stages: []Stage{{Pool: "first", Budget: time.Second}}}
	g.Expect(f.request(other, "a", 1)).To(BeNil(), "a route that does not use the pool is not affected")
	f.load.ProbesDue = 1
	f.advance(f.opts.ProbeInterval)
	g.Expect(f.request(p, "a", 1)).To(BeNil(), "one request probes a server that may be back")
	g.Expect(f.request(p, "a", 1)).NotTo(BeNil())
	f.load.Slots = 10
	f.advance(f.opts.UpDelay + 200*time.Millisecond)
	g.Expect(f.request(p, "a", 1)).To(BeNil())
}

func TestBackgroundIsAdmittedOnlyBelowItsMaxLoad(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	p := newProfile("score", Background, 1)
	f.load.InFlight = 90
	f.advance(time.Second)
	g.Expect(f.request(p, "a", 1)).To(BeNil())
	f.load.InFlight = 105
	f.advance(time.Second)
	err := f.request(p, "a", 1)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Kind).To(Equal(errkind.Overloaded))
	g.Expect(f.request(newProfile("chat", Interactive, 1), "a", 1)).To(BeNil())
}

// The stages take longer than the time to the deadline, so a request would run
// most of them and then miss it. Once the samples are too old, a request is
// admitted to bring new ones; otherwise the refusals would never end.
func TestRequestThatCannotFinishIsRefusedUntilEstimateExpires(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.advance(time.Second)
	p := newProfile("r", Standard, 1)
	for range minSamples {
		r := &Request{Profile: p, Deadline: f.now.Add(5 * time.Second)}
		g.Expect(f.Admit(f.now, r)).To(BeNil())
		f.StageStart(f.now, r, 0)
		f.StageDone(f.now, r, 0, 6*time.Second, true)
		f.Done(f.now, r, Late)
	}
	g.Expect(f.request(p, "a", 1)).NotTo(BeNil())
	f.now = f.now.Add(maxEstimateAge + time.Millisecond)
	g.Expect(f.request(p, "a", 1)).To(BeNil())
}

// A request that ends before its last stage must not stay pending on the later
// pools: they would appear full without any request.
func TestPendingReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		p := newProfile("r", Standard, 1)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := &Request{Profile: p, Deadline: f.now.Add(time.Minute)}
			if f.Admit(f.now, r) != nil {
				continue
			}
			for i := range rapid.IntRange(0, len(p.Stages)).Draw(t, "stages") {
				f.StageStart(f.now, r, i)
				f.StageDone(f.now, r, i, time.Millisecond, i == 0)
			}
			f.Done(f.now, r, Failed)
		}
		for _, s := range f.PoolStates() {
			if s.Pending != 0 {
				t.Fatalf("pool %s: %d requests pending after all ended", s.Pool, s.Pending)
			}
		}
	})
}

// For any demands and weights, the shares of all accounts add up to the admitted
// part of the demand. The share of an account is its demand, but at most its
// weight times the fair-share level.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAccountTable()
		admittedPart := rapid.Float64Range(.1, .9).Draw(t, "part")
		var total, sum float64
		n := rapid.IntRange(1, 50).Draw(t, "accounts")
		var all []*accountEntry
		for i := range n {
			x := a.find(accountHash(fmt.Sprint(i)))
			x.demand.Store(rapid.Float64Range(.01, 100).Draw(t, "demand"))
			x.weight.Store(rapid.Float64Range(.1, 10).Draw(t, "weight"))
			total += x.demand.Load()
			all = append(all, x)
		}
		for _, x := range all {
			a.demands = append(a.demands, fairshare.Demand{Amount: x.demand.Load(), Weight: x.weight.Load()})
		}
		level := fairshare.Level(admittedPart*total, a.demands)
		for _, x := range all {
			share := min(x.demand.Load(), level*x.weight.Load())
			sum += share
		}
		if sum < .98*admittedPart*total || sum > 1.02*admittedPart*total {
			t.Fatalf("the shares add up to %g, want %g", sum, admittedPart*total)
		}
	})
}

// There are more accounts than the table has entries: those that find no free
// entry share the overflow entry, and an earlier account keeps its own.
func TestAccountsBeyondTableCapacityShareOneEntry(t *testing.T) {
	g := NewWithT(t)
	a := newAccountTable()
	shared := 0
	for i := range 2 * accountSets * accountWays {
		if a.find(accountHash(fmt.Sprint(i))) == &a.overflow {
			shared++
		}
	}
	g.Expect(shared).To(BeNumerically(">=", accountSets*accountWays))
	g.Expect(a.find(accountHash("1"))).NotTo(BeIdenticalTo(&a.overflow))
}

// Operators may rename a pool a thousand times a day. If the state of unused
// pools and routes were kept, the process would run out of memory.
func TestUnusedPoolsAndRoutesExpire(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	p := newProfile("r", Standard, 1)
	f.advance(time.Second)
	g.Expect(f.request(p, "a", 1)).To(BeNil())
	f.now = f.now.Add(idleExpiry + time.Second)
	f.Tick(f.now, []PoolLoad{{Pool: "renamed", Slots: 100}})
	g.Expect(f.PoolStates()).To(HaveLen(2), "a pool that was never part of a tick does not expire")
	_, kept := f.routes.Load(p)
	g.Expect(kept).To(BeFalse())
	_, kept = f.pools.Load("p")
	g.Expect(kept).To(BeFalse())
}

// The account that claims a freed entry must not start with the correction and
// the admitted fraction of the previous one.
func TestFreedEntryKeepsNoState(t *testing.T) {
	g := NewWithT(t)
	a := newAccountTable()
	x := a.find(7)
	x.demand.Store(minDemandSeconds / 2)
	x.correction.Store(-.3)
	x.admittedFraction.Store(.1)
	a.updateFractions(.5, 1)
	g.Expect(x.id.Load()).To(BeZero())
	y := a.find(7 + accountSets)
	g.Expect(y).To(BeIdenticalTo(x))
	g.Expect(y.admittedFraction.Load()).To(Equal(1.0))
	g.Expect(y.correction.Load()).To(BeZero())
}
