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
	drawnFirst = flag.Uint64("stages.seed", 1, "first seed of the drawn loads")
	drawnCount = flag.Uint64("stages.draws", 12, "drawn loads to play")
)

// drawnKept are seeds in which urgent requests were once served less often than others.
var drawnKept = []uint64{15, 31, 35, 71, 88, 94}

// draw is a place and a load that nobody has chosen: a few services of a few servers each,
// kinds of requests that need some of them one after the other, and more or less than can
// be served of them.
func draw(seed uint64) load {
	r := rand.New(rand.NewPCG(seed, 77))
	l := load{seed: seed, lasts: 6 * time.Second, services: map[string]plantService{}}
	names := []string{"a", "b", "c", "d"}[:1+r.IntN(4)]
	for _, name := range names {
		l.services[name] = drawService(r)
	}
	kinds := 2 + r.IntN(3)
	for i := range kinds { // the most urgent first
		c := drawCaller(r, i, names, l.services)
		if i > 0 && r.IntN(2) == 0 {
			first := l.callers[0]
			c.like, c.stages, c.aim, c.die = first.like, first.stages, first.aim, first.die
		}
		l.callers = append(l.callers, c)
	}
	l.scale(r)
	return l
}

// lateWorth of a request's worth is earned by an answer that comes after its aim.
const lateWorth = 0.15

func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func drawService(r *rand.Rand) plantService {
	items := 1 + r.IntN(64)
	call := time.Duration(between(r, 20, 300)) * time.Millisecond
	o := batcher.Options{MaxItems: items, CallTime: call, ItemTime: time.Duration(between(r, 0.1, 2) * float64(call) / float64(items)), ResultTTL: 4 * time.Second}
	servers := make([]string, 2+r.IntN(11))
	for i := range servers {
		servers[i] = []string{"x", "y", "z"}[r.IntN(3)]
	}
	return plantService{Options: o, servers: servers}
}

// drawCaller is a kind of request whose aim leaves it a part of its stages' time at least,
// and whose clients wait a few times that.
func drawCaller(r *rand.Rand, kind int, names []string, services map[string]plantService) caller {
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
		path += o.CallTime + time.Duration(o.MaxItems)*o.ItemTime + callWait
	}
	aim := time.Duration(between(r, 1.2, 3) * float64(path))
	worth := between(r, 0.5, 5)
	return caller{
		name: fmt.Sprint("kind", kind), like: fmt.Sprint("kind", kind), aim: aim, die: time.Duration(between(r, 2, 6) * float64(aim)),
		mean: worth, worth: func(r *rand.Rand) float64 { return worth * (0.3 + 0.7*r.ExpFloat64()) },
		stages: func(*rand.Rand) []Stage { return slices.Clone(chain) },
		perSec: steady(between(r, 1, 10)),
	}
}

// scale sets how many requests come: the scarcest service is asked for 0.3 to 3 times of
// what it makes.
func (l *load) scale(r *rand.Rand) {
	asked := map[string]float64{}
	for _, c := range l.callers {
		for _, s := range c.stages(r) {
			asked[s.Service] += float64(s.Items) * c.perSec(0)
		}
	}
	most, all := 0.0, 0.0
	for name, n := range asked {
		most = max(most, n/l.services[name].rate())
	}
	for _, c := range l.callers {
		all += c.perSec(0)
	}
	x := min(between(r, 0.3, 3)/most, maxDrawn/all)
	for i, c := range l.callers {
		l.callers[i].perSec = steady(x * c.perSec(0))
	}
}

// maxDrawn requests a second take some tenths of a second to play.
const maxDrawn = 300

// rate is how many items a second the servers make in full calls.
func (s plantService) rate() float64 {
	return float64(len(s.servers)*s.MaxItems) / s.expected().Seconds()
}

func (s plantService) expected() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// earned is the worth that a run earned: whole in time, a part late.
func (l load) earned(out map[string]*tally) (sum float64) {
	for _, c := range l.callers {
		sum += c.mean * (float64(out[c.name].onTime) + lateWorth*float64(out[c.name].late))
	}
	return sum
}

// most is what could be earned if nothing came at once, nothing had to wait and every call
// was full: the least over all services of what its servers could earn if no other was
// scarce.
func (l load) most(out map[string]*tally) float64 {
	least := math.Inf(1)
	for name, svc := range l.services {
		type kind struct{ offered, items, worth float64 }
		var kinds []kind
		for _, c := range l.callers {
			k := kind{offered: float64(out[c.name].offered), worth: c.mean}
			for _, s := range c.stages(nil) {
				if s.Service == name {
					k.items += float64(s.Items)
				}
			}
			kinds = append(kinds, k)
		}
		slices.SortFunc(kinds, func(a, b kind) int { return cmp.Compare(a.items*b.worth, b.items*a.worth) })
		left, sum := svc.rate()*l.lasts.Seconds(), 0.0
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
func (l load) naively(t *testing.T) map[string]*tally {
	l.naive = true
	out, _ := l.run(t)
	return out
}

// inversions are the pairs of kinds of the same stages of which the more urgent one is
// served or in time less often than the other, beyond the users' bounds.
func (l load) inversions(out map[string]*tally) (list []string) {
	for i, a := range l.callers {
		for _, b := range l.callers[i+1:] {
			if x, y := out[a.name], out[b.name]; a.like == b.like && inverted(*x, *y) {
				list = append(list, fmt.Sprintf("%s %+v before %s %+v", a.name, *x, b.name, *y))
			}
		}
	}
	return list
}

const (
	leastOffered = 50 // fewer tell of chance
	servedBound  = 0.05
	inTimeBound  = 0.15
)

func inverted(urgent, other tally) bool {
	if min(urgent.offered, other.offered) < leastOffered {
		return false
	}
	return urgent.served() < other.served()-servedBound || urgent.share() < other.share()-inTimeBound
}

// The pattern: loads that nobody has chosen. Guards against decisions that suit the
// deployments they were made on only: requests that are served less often than less urgent
// ones of the same stages, and work that earns less than if all were begun as it comes.
func TestDrawnLoads(t *testing.T) {
	g := NewWithT(t)
	mine, naive := 0.0, 0.0
	seeds := slices.Clone(drawnKept)
	for seed := *drawnFirst; seed < *drawnFirst+*drawnCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		l := draw(seed)
		out, _ := l.run(t)
		most := l.most(out)
		own, other := l.earned(out)/most, l.earned(l.naively(t))/most
		t.Logf("seed %d: %.2f of what could be earned at most, %.2f naively", seed, own, other)
		g.Expect(l.inversions(out)).To(BeEmpty(), "seed %d", seed)
		mine, naive = mine+own, naive+other
	}
	t.Logf("of what could be earned at most: %.3f, naively %.3f", mine/float64(len(seeds)), naive/float64(len(seeds)))
	g.Expect(mine).To(BeNumerically(">", naive))
}
