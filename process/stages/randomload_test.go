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
	firstSeed = flag.Uint64("stages.seed", 1, "first seed of the drawn loads")
	seedCount = flag.Uint64("stages.draws", 12, "drawn loads to play")
)

// drawnKept are seeds in which urgent requests were once served less often than others.
var regressionSeeds = []uint64{15, 31, 35, 71, 88, 94}

// draw is a place and a load that nobody has chosen: a few services of a few servers each,
// kinds of requests that need some of them one after the other, and more or less than can
// be served of them.
func randomWorkload(seed uint64) workload {
	r := rand.New(rand.NewPCG(seed, 77))
	l := workload{seed: seed, duration: 6 * time.Second, services: map[string]simService{}}
	names := []string{"a", "b", "c", "d"}[:1+r.IntN(4)]
	for _, name := range names {
		l.services[name] = randomService(r)
	}
	kinds := 2 + r.IntN(3)
	for i := range kinds { // the most urgent first
		c := randomClass(r, i, names, l.services)
		if i > 0 && r.IntN(2) == 0 {
			first := l.classes[0]
			c.sameStagesAs, c.stages, c.targetLatency, c.deadline = first.sameStagesAs, first.stages, first.targetLatency, first.deadline
		}
		l.classes = append(l.classes, c)
	}
	l.scale(r)
	return l
}

// lateWorth of a request's worth is earned by an answer that comes after its aim.
const lateWorth = 0.15

func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

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

// drawCaller is a kind of request whose aim leaves it a part of its stages' time at least,
// and whose clients wait a few times that.
func randomClass(r *rand.Rand, kind int, names []string, services map[string]simService) requestClass {
	list := slices.Clone(names)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:1+r.IntN(len(list))]
	var chain []Stage
	var path time.Duration
	for i, name := range list {
		o := services[name].Options
		s := Stage{Service: name, Items: 1 + r.IntN(min(2*o.MaxItems, 16)), ResultBytes: 1_000}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		chain = append(chain, s)
		path += o.CallTime + time.Duration(o.MaxItems)*o.ItemTime + callOverhead
	}
	aim := time.Duration(uniform(r, 1.2, 3) * float64(path))
	worth := uniform(r, 0.5, 5)
	return requestClass{
		name: fmt.Sprint("kind", kind), sameStagesAs: fmt.Sprint("kind", kind), targetLatency: aim, deadline: time.Duration(uniform(r, 2, 6) * float64(aim)),
		meanWorth: worth, worth: func(r *rand.Rand) float64 { return worth * (0.3 + 0.7*r.ExpFloat64()) },
		stages: func(*rand.Rand) []Stage { return slices.Clone(chain) },
		rate:   steady(uniform(r, 1, 10)),
	}
}

// scale sets how many requests come: the scarcest service is asked for 0.3 to 3 times of
// what it makes.
func (l *workload) scale(r *rand.Rand) {
	asked := map[string]float64{}
	for _, c := range l.classes {
		for _, s := range c.stages(r) {
			asked[s.Service] += float64(s.Items) * c.rate(0)
		}
	}
	most, all := 0.0, 0.0
	for name, n := range asked {
		most = max(most, n/l.services[name].itemRate())
	}
	for _, c := range l.classes {
		all += c.rate(0)
	}
	x := min(uniform(r, 0.3, 3)/most, maxRequestRate/all)
	for i, c := range l.classes {
		l.classes[i].rate = steady(x * c.rate(0))
	}
}

// maxDrawn requests a second take some tenths of a second to play.
const maxRequestRate = 300

// rate is how many items a second the servers make in full calls.
func (s simService) itemRate() float64 {
	return float64(len(s.serverDomains)*s.MaxItems) / s.fullCallTime().Seconds()
}

func (s simService) fullCallTime() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// earned is the worth that a run earned: whole in time, a part late.
func (l workload) earnedWorth(out map[string]*outcomeCounts) (sum float64) {
	for _, c := range l.classes {
		sum += c.meanWorth * (float64(out[c.name].onTime) + lateWorth*float64(out[c.name].late))
	}
	return sum
}

// most is what could be earned if nothing came at once, nothing had to wait and every call
// was full: the least over all services of what its servers could earn if no other was
// scarce.
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

// naively plays the same load with everything begun as it comes.
func (l workload) runAdmitAll(t *testing.T) map[string]*outcomeCounts {
	l.admitAll = true
	out, _ := l.run(t)
	return out
}

// inversions are the pairs of kinds of the same stages of which the more urgent one is
// served or in time less often than the other, beyond the users' bounds.
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
	minOffered      = 50 // fewer tell of chance
	servedTolerance = 0.05
	onTimeTolerance = 0.15
)

func inverted(urgent, other outcomeCounts) bool {
	if min(urgent.offered, other.offered) < minOffered {
		return false
	}
	return urgent.servedShare() < other.servedShare()-servedTolerance || urgent.onTimeShare() < other.onTimeShare()-onTimeTolerance
}

// The pattern: loads that nobody has chosen. Guards against decisions that suit the
// deployments they were made on only: requests that are served less often than less urgent
// ones of the same stages, and work that earns less than if all were begun as it comes.
func TestDrawnLoads(t *testing.T) {
	g := NewWithT(t)
	mine, naive := 0.0, 0.0
	seeds := slices.Clone(regressionSeeds)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		l := randomWorkload(seed)
		out, _ := l.run(t)
		most := l.maxWorth(out)
		own, other := l.earnedWorth(out)/most, l.earnedWorth(l.runAdmitAll(t))/most
		t.Logf("seed %d: %.2f of what could be earned at most, %.2f naively", seed, own, other)
		g.Expect(l.priorityInversions(out)).To(BeEmpty(), "seed %d", seed)
		mine, naive = mine+own, naive+other
	}
	t.Logf("of what could be earned at most: %.3f, naively %.3f", mine/float64(len(seeds)), naive/float64(len(seeds)))
	g.Expect(mine).To(BeNumerically(">", naive))
}
