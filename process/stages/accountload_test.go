package stages

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
	"bilberrydale/process/fairshare"
)

// competingAccountsWorkload has a chain of two services, of which the second is short: one account
// asks for ten times its capacity, and four for a tenth each. Requests of the large account are of more
// worth.
func competingAccountsWorkload() workload {
	opts := batcher.Options{MaxItems: 8, CallTime: 150 * time.Millisecond, ItemTime: 14 * time.Millisecond, ResultTTL: 4 * time.Second}
	l := workload{
		seed: 1, duration: 10 * time.Second,
		services: map[string]simService{
			"encode": {Options: opts, serverDomains: []string{"x", "x", "x", "x", "x", "x", "y", "y", "y"}},
			"rank":   {Options: opts, serverDomains: []string{"x", "y"}},
		},
	}
	capacity := l.services["rank"].itemRate() / 2 // in requests of two items
	add := func(account string, share, worth float64) {
		l.classes = append(l.classes, requestClass{
			name: account, account: account, rate: steady(share * capacity), targetLatency: 1500 * time.Millisecond, timeout: 5 * time.Second,
			worth: func(r *rand.Rand) float64 { return worth * (0.3 + 0.7*r.ExpFloat64()) },
			stages: func(*rand.Rand) []Stage {
				return []Stage{{Service: "encode", Items: 1}, {Service: "rank", Items: 2, DependsOn: []int{0}}}
			},
		})
	}
	add("large", 10, 4)
	for i := range 4 {
		add(fmt.Sprint("small-", i), 0.1, 1)
	}
	return l
}

// withoutShares returns the workload with all requests of one account.
func (l workload) withoutShares() workload {
	l.classes = slices.Clone(l.classes)
	for i := range l.classes {
		l.classes[i].account = ""
	}
	return l
}

// One account asks for ten times the capacity of the scarce servers, with requests of much worth, and
// four ask for a tenth each. Guards against small accounts that get nothing beside a large
// one, and against servers that are left idle for the sake of shares.
func TestSmallAccountsGetTheirDueBesideALargeOne(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(2) {
		l := competingAccountsWorkload()
		l.seed = seed
		out, sim := l.run(t)
		_, without := l.withoutShares().run(t)
		t.Logf("seed %d: %v; without shares %v", seed, sim, without)
		for i := range 4 {
			small := out[fmt.Sprint("small-", i)]
			t.Logf("small-%d %+v", i, *small)
			g.Expect(small.servedShare()).To(BeNumerically(">=", 0.95), "seed %d, small-%d", seed, i)
		}
		t.Logf("large %+v, mean wait of refused ones %v", *out["large"], out["large"].meanRefusedWait())
		g.Expect(out["large"].meanRefusedWait()).To(BeNumerically("<", time.Second), "seed %d", seed)
		g.Expect(sim.items["rank"]).To(BeNumerically(">=", 0.97*float64(without.items["rank"])), "seed %d", seed)
	}
}

// The large account asks for half of the capacity with urgent requests beside the others. Guards against
// urgent requests that are late for less urgent ones of other accounts, and against less urgent
// requests of the large account that pass those of small ones.
func TestUrgencyGoesBeforeShares(t *testing.T) {
	g := NewWithT(t)
	l := competingAccountsWorkload()
	urgent := l.classes[0]
	urgent.name, urgent.rate = "large, urgent", steady(0.5*l.services["rank"].itemRate()/2)
	for i := range l.classes {
		l.classes[i].priority = 1
	}
	l.classes = append(l.classes, urgent)
	out, _ := l.run(t)
	for name, n := range out {
		t.Logf("%s %+v", name, *n)
	}
	g.Expect(out[urgent.name].servedShare()).To(BeNumerically(">", 0.99))
	for i := range 4 {
		small := out[fmt.Sprint("small-", i)]
		g.Expect(small.servedShare()).To(BeNumerically(">=", 0.95), "small-%d", i)
		g.Expect(small.onTimeShare()).To(BeNumerically("<", out[urgent.name].onTimeShare()), "small-%d", i)
	}
}

// Three accounts ask for 0.5, 1 and 2 times the capacity of the scarce servers. Guards against shares
// by demand in place of max-min: each is due a third, and none asks for less.
func TestAccountsAboveTheirShareGetTheSame(t *testing.T) {
	g := NewWithT(t)
	l := competingAccountsWorkload()
	capacity := l.services["rank"].itemRate() / 2
	l.classes = l.classes[:3]
	for i, share := range []float64{0.5, 1, 2} {
		l.classes[i].rate = steady(share * capacity)
	}
	out, sim := l.run(t)
	t.Log(sim)
	served := 0.0
	for name, n := range out {
		t.Logf("%s %+v", name, *n)
		served += float64(n.onTime + n.late)
	}
	for name, n := range out {
		g.Expect(float64(n.onTime+n.late)).To(BeNumerically("~", served/3, 0.2*served/3), name)
	}
}

// dueShares returns what each account was served, relative to its due by max-min over the whole run. The
// workload has one service, and an account for each class. Accounts with fewer than minOffered requests
// are left out.
func (l workload) dueShares(out map[string]*outcomeCounts) map[string]float64 {
	served, offered, total := map[string]float64{}, map[string]float64{}, 0.0
	var demands []fairshare.Demand
	for _, c := range l.classes {
		items, o := float64(c.stages(nil)[0].Items), out[c.name]
		served[c.account], offered[c.account] = items*float64(o.onTime+o.late), items*float64(o.offered)
		total += served[c.account]
		demands = append(demands, fairshare.Demand{Amount: offered[c.account], Weight: 1})
	}
	level, shares := fairshare.Level(total, demands), map[string]float64{}
	for _, c := range l.classes {
		if out[c.name].offered >= minOffered {
			shares[c.account] = served[c.account] / min(level, offered[c.account])
		}
	}
	return shares
}

// minDueShare is the least part of its due that an account is served in a random workload.
const minDueShare = 0.6

// Random workloads of one service with an account for each class, which differ in worth, size and
// patience. Guards against shares that hold only in the loads they were designed for: without them some
// accounts get a sixth of their due. Requests that start and fail count as used, and the due of a
// whole run is more than that of its parts if an account asks for little at times, so that some accounts
// are served less than their due.
func TestDrawnAccountsGetTheirDue(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 80; seed++ {
		l := randomWorkload(seed)
		if len(l.services) != 1 {
			continue
		}
		l.duration = 20 * time.Second
		for i := range l.classes {
			l.classes[i].account, l.classes[i].priority = l.classes[i].name, 0
		}
		out, _ := l.run(t)
		for account, share := range l.dueShares(out) {
			if share < 0.9 {
				t.Logf("seed %d: %s got %.2f of its due", seed, account, share)
			}
			g.Expect(share).To(BeNumerically(">", minDueShare), "seed %d, %s", seed, account)
		}
	}
}
