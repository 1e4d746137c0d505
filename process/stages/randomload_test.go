package stages

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
)

var (
	firstSeed = flag.Uint64("stages.seed", 1, "first seed of the random workloads")
	seedCount = flag.Uint64("stages.draws", 12, "number of random workloads")
)

// regressionSeeds are seeds in which urgent requests were once served less often than others.
var regressionSeeds = []uint64{6, 10, 15, 31, 35, 39, 41, 65, 71, 87, 88, 92, 94}

// randomWorkload generates a few services of a few servers each, request classes with chains of
// these services, and a load below or above the capacity.
func randomWorkload(seed uint64) workload {
	r := rand.New(rand.NewPCG(seed, 77))
	l := workload{seed: seed, duration: 6 * time.Second, services: map[string]simService{}}
	names := []string{"a", "b", "c", "d"}[:1+r.IntN(4)]
	for _, name := range names {
		l.services[name] = randomService(r)
	}
	classes := 2 + r.IntN(3)
	for i := range classes { // the most urgent class first
		c := randomClass(r, i, names, l.services)
		if i > 0 && r.IntN(2) == 0 {
			first := l.classes[0]
			c.sameStagesAs, c.stages, c.targetLatency, c.timeout = first.sameStagesAs, first.stages, first.targetLatency, first.timeout
		}
		l.classes = append(l.classes, c)
	}
	l.scale(r)
	return l
}

// lateWorth is the share of a request's worth that a response after its target time earns.
const lateWorth = 0.15

// uniform returns a random number between low and high.
func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

// randomService generates a service of 2 to 12 servers.
func randomService(r *rand.Rand) simService {
	items := 1 + r.IntN(64)
	call := time.Duration(uniform(r, 20, 300)) * time.Millisecond
	o := batcher.Options{MaxItems: items, CallTime: call, ItemTime: time.Duration(uniform(r, 0.1, 2) * float64(call) / float64(items)), ResultTTL: 4 * time.Second}
	servers := make([]string, 2+r.IntN(11))
	for i := range servers {
		servers[i] = []string{"x", "y", "z"}[r.IntN(3)]
	}
	return simService{Options: o, serverDomains: servers}
}

// randomClass generates a request class whose target latency is 1.2 to 3 times the time of its
// stages, and whose clients wait 2 to 6 times the target latency.
func randomClass(r *rand.Rand, index int, names []string, services map[string]simService) requestClass {
	list := slices.Clone(names)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:1+r.IntN(len(list))]
	var chain []Stage
	var stageTime time.Duration
	for i, name := range list {
		o := services[name].Options
		s := Stage{Service: name, Items: 1 + r.IntN(min(2*o.MaxItems, 16)), ResultBytes: 1_000}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		chain = append(chain, s)
		stageTime += o.CallTime + time.Duration(o.MaxItems)*o.ItemTime + callOverhead
	}
	targetLatency := time.Duration(uniform(r, 1.2, 3) * float64(stageTime))
	worth := uniform(r, 0.5, 5)
	return requestClass{
		name: fmt.Sprint("kind", index), priority: index, sameStagesAs: fmt.Sprint("kind", index), targetLatency: targetLatency, timeout: time.Duration(uniform(r, 2, 6) * float64(targetLatency)),
		meanWorth: worth, worth: func(r *rand.Rand) float64 { return worth * (0.3 + 0.7*r.ExpFloat64()) },
		stages: func(*rand.Rand) []Stage { return slices.Clone(chain) },
		rate:   steady(uniform(r, 1, 10)),
	}
}

// scale sets the request rates such that the demand for the scarcest service is 0.3 to 3 times
// its capacity.
func (l *workload) scale(r *rand.Rand) {
	demand := map[string]float64{}
	for _, c := range l.classes {
		for _, s := range c.stages(r) {
			demand[s.Service] += float64(s.Items) * c.rate(0)
		}
	}
	maxUtilization, totalRate := 0.0, 0.0
	for name, n := range demand {
		maxUtilization = max(maxUtilization, n/l.services[name].itemRate())
	}
	for _, c := range l.classes {
		totalRate += c.rate(0)
	}
	factor := min(uniform(r, 0.3, 3)/maxUtilization, maxRequestRate/totalRate)
	for i, c := range l.classes {
		l.classes[i].rate = steady(factor * c.rate(0))
	}
}

// maxRequestRate, in requests per second, limits the run time to some tenths of a second.
const maxRequestRate = 300

// itemRate returns the items per second of a service in full calls.
func (s simService) itemRate() float64 {
	return float64(len(s.serverDomains)*s.MaxItems) / s.fullCallTime().Seconds()
}

// fullCallTime returns the duration of a full call.
func (s simService) fullCallTime() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// earnedWorth returns the worth that a run earned: all of it in time, lateWorth of it late.
func (l workload) earnedWorth(out map[string]*outcomeCounts) (sum float64) {
	for _, c := range l.classes {
		sum += c.meanWorth * (float64(out[c.name].onTime) + lateWorth*float64(out[c.name].late))
	}
	return sum
}

// maxWorth returns the maximum worth if there were no bursts and no waiting, and all calls were
// full: the minimum over all services of what its servers could earn if no other service
// were scarce.
func (l workload) maxWorth(out map[string]*outcomeCounts) float64 {
	least := math.Inf(1)
	for name, svc := range l.services {
		type kind struct{ offered, items, worth float64 }
		var kinds []kind
		for _, c := range l.classes {
			k := kind{offered: float64(out[c.name].offered), worth: c.meanWorth}
			for _, s := range c.stages(nil) {
				if s.Service == name {
					k.items += float64(s.Items)
				}
			}
			kinds = append(kinds, k)
		}
		slices.SortFunc(kinds, func(a, b kind) int { return cmp.Compare(a.items*b.worth, b.items*a.worth) })
		left, sum := svc.itemRate()*l.duration.Seconds(), 0.0
		for _, k := range kinds {
			n := k.offered
			if k.items > 0 {
				n = min(n, left/k.items)
				left -= n * k.items
			}
			sum += n * k.worth
		}
		least = min(least, sum)
	}
	return least
}

// runAdmitAll runs the workload with all requests started on arrival.
func (l workload) runAdmitAll(t *testing.T) map[string]*outcomeCounts {
	l.admitAll = true
	out, _ := l.run(t)
	return out
}

// priorityInversions returns the pairs of classes with the same stages of which the more urgent
// class is served or in time less often than the other, beyond the users' tolerances.
func (l workload) priorityInversions(out map[string]*outcomeCounts) (list []string) {
	for i, a := range l.classes {
		for _, b := range l.classes[i+1:] {
			if x, y := out[a.name], out[b.name]; a.sameStagesAs == b.sameStagesAs && inverted(*x, *y) {
				list = append(list, fmt.Sprintf("%s %+v before %s %+v", a.name, *x, b.name, *y))
			}
		}
	}
	return list
}

const (
	minOffered      = 50 // with fewer requests a difference may be random
	servedTolerance = 0.05
	onTimeTolerance = 0.15
)

// inverted reports whether the more urgent class is served or in time less often than the other.
func inverted(urgent, other outcomeCounts) bool {
	if min(urgent.offered, other.offered) < minOffered {
		return false
	}
	return urgent.servedShare() < other.servedShare()-servedTolerance || urgent.onTimeShare() < other.onTimeShare()-onTimeTolerance
}

// Random workloads. Guards against decisions that suit only the deployments they were designed
// for: requests that are served less often than less urgent requests of the same stages, and
// less earned worth than if all requests started on arrival.
func TestDrawnLoads(t *testing.T) {
	g := NewWithT(t)
	own, baseline := 0.0, 0.0
	seeds := slices.Clone(regressionSeeds)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		l := randomWorkload(seed)
		out, _ := l.run(t)
		maxWorth := l.maxWorth(out)
		ownShare, baselineShare := l.earnedWorth(out)/maxWorth, l.earnedWorth(l.runAdmitAll(t))/maxWorth
		t.Logf("seed %d: %.2f of the maximum worth, %.2f with all requests started on arrival", seed, ownShare, baselineShare)
		g.Expect(l.priorityInversions(out)).To(BeEmpty(), "seed %d", seed)
		own, baseline = own+ownShare, baseline+baselineShare
	}
	t.Logf("share of the maximum worth: %.3f, with all requests started on arrival %.3f", own/float64(len(seeds)), baseline/float64(len(seeds)))
	g.Expect(own).To(BeNumerically(">", baseline))
}
