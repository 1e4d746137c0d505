package replay

import (
	"math"
	"slices"
	"time"
)

// UpperBound returns an upper bound of the worth that any policy can complete on
// the trace, also one with advance knowledge of every arrival and service time.
// The bound is the Lagrangian dual of a fluid relaxation with buckets of one second,
// divisible requests, cached prefixes and links without delay. Any prices of the
// pools in the buckets give an upper bound; the subgradient search only tightens
// it.
func UpperBound(d *Deployment, s Scenario, records []Record) float64 {
	b := newDualBound(d, s, records)
	best := b.searchConstantPrices()
	mean := make([][]float64, len(b.price))
	for p := range mean {
		mean[p] = slices.Clone(b.price[p])
	}
	for k := range subgradientSteps {
		best = min(best, b.dualValue())
		b.stepPrices(initialStepSize / math.Sqrt(float64(k+1)))
		for p := range mean {
			for t := range mean[p] {
				mean[p][t] += (b.price[p][t] - mean[p][t]) * 2 / float64(k+2)
			}
		}
	}
	b.price = mean
	return min(best, b.dualValue())
}

const (
	subgradientSteps   = 40
	initialStepSize    = .2 // divided by the square root of the step number
	ternarySearchSteps = 25
	maxPrice           = 40.0 // worth of a slot second; above that of every route
)

// searchConstantPrices sets, pool by pool, the best price that is constant within
// each segment between changes by faults and bursts, and returns the best bound.
func (b *dualBound) searchConstantPrices() float64 {
	best := b.dualValue()
	for p := range b.price {
		for i := range len(b.segmentEdges) - 1 {
			if b.overfilled(p, b.segmentEdges[i], b.segmentEdges[i+1]) {
				best = min(best, b.searchPrice(b.price[p][b.segmentEdges[i]:b.segmentEdges[i+1]]))
			}
		}
	}
	return best
}

// overfilled reports whether the demand at zero prices exceeds the capacity of
// pool p in the buckets from from to before until.
func (b *dualBound) overfilled(p, from, until int) bool {
	var used, capacity float64
	for t := from; t < until; t++ {
		used += b.usedAtZeroPrice[p][t]
		capacity += b.capacity[p][t]
	}
	return used > capacity
}

// searchPrice sets the best common price of some buckets and returns the bound.
// The bound is convex in the price, so that a ternary search finds it.
func (b *dualBound) searchPrice(prices []float64) float64 {
	valueAt := func(price float64) float64 {
		for t := range prices {
			prices[t] = price
		}
		return b.dualValue()
	}
	low, high := 0.0, maxPrice
	for range ternarySearchSteps {
		third := (high - low) / 3
		if valueAt(low+third) < valueAt(high-third) {
			high -= third
		} else {
			low += third
		}
	}
	return valueAt(low)
}

// segmentEdges returns the first and the end bucket and those in which the demand
// or the capacity changes, in ascending order.
func segmentEdges(s Scenario, buckets int) []int {
	out := []int{0, buckets}
	add := func(t time.Duration) {
		if t > 0 {
			out = append(out, int(t/time.Second))
		}
	}
	for _, f := range s.Faults {
		add(f.From)
		add(f.Until)
	}
	for _, x := range s.Bursts {
		add(x.From)
		add(x.Until)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// WithMeanServiceTimes returns the records with the mean service times of their
// routes. UpperBound of them is the fluid bound, for a policy with knowledge of the
// demand but not of the service time of a single request.
func WithMeanServiceTimes(d *Deployment, records []Record) []Record {
	out := slices.Clone(records)
	for i := range out {
		for _, m := range d.Mix {
			if m.Route == out[i].Route {
				out[i].Work = nil
				for _, w := range m.MeanServiceTimes {
					out[i].Work = append(out[i].Work, toMicros(w))
				}
			}
		}
	}
	return out
}

// dualBound evaluates the dual problem. The outer index of its slices is the pool,
// the inner one the bucket.
type dualBound struct {
	requests        []requestDemand
	capacity        [][]float64 // slot seconds
	price           [][]float64 // worth of a slot second
	used            [][]float64 // slot seconds, set by dualValue
	usedAtZeroPrice [][]float64 // used when all prices are zero
	segmentEdges    []int       // buckets, as from func segmentEdges
}

// requestDemand is the worth of a request and the slot seconds it needs of each
// pool, in any of the buckets from its arrival to its deadline.
type requestDemand struct {
	worth                   float64
	firstBucket, lastBucket int
	pools                   []int     // by stage
	slotSeconds             []float64 // by stage, as pools
}

// newDualBound returns the problem for records with all prices zero. Poison requests
// are left out: they crash each server that runs their last stage, under any policy.
func newDualBound(d *Deployment, s Scenario, records []Record) *dualBound {
	b := &dualBound{}
	poolIndex := map[string]int{}
	var longest time.Duration
	for _, r := range d.Tables.Routes {
		longest = max(longest, r.Deadline.Std())
	}
	buckets := int((scenarioDuration(s)+longest)/time.Second) + 1
	for i, p := range d.Tables.Pools {
		poolIndex[p.Name] = i
		b.capacity = append(b.capacity, poolCapacity(d, s, p.Name, buckets))
		b.price = append(b.price, make([]float64, buckets))
		b.used = append(b.used, make([]float64, buckets))
	}
	for i := range records {
		rec := &records[i]
		rt := d.findRoute(rec.Route)
		if rec.Poison {
			continue
		}
		x := requestDemand{worth: rt.Worth, firstBucket: int(rec.At / 1e6)}
		x.lastBucket = min(buckets-1, int((fromMicros(rec.At)+rt.Deadline.Std())/time.Second))
		for k, st := range rt.Stages {
			x.pools = append(x.pools, poolIndex[st.Pool])
			x.slotSeconds = append(x.slotSeconds, fromMicros(rec.Work[k]).Seconds())
		}
		b.requests = append(b.requests, x)
	}
	b.segmentEdges = segmentEdges(s, buckets)
	b.dualValue()
	for p := range b.used {
		b.usedAtZeroPrice = append(b.usedAtZeroPrice, slices.Clone(b.used[p]))
	}
	return b
}

// poolCapacity returns the slot seconds of a pool in each bucket. Servers that are
// down count nothing, slow ones in proportion to their speed.
func poolCapacity(d *Deployment, s Scenario, pool string, buckets int) []float64 {
	p := d.findPool(pool)
	out := make([]float64, buckets)
	for t := range out {
		for i := range p.Servers {
			out[t] += float64(p.Slots) * serverSpeed(s, pool, i, time.Duration(t)*time.Second)
		}
	}
	return out
}

// serverSpeed returns the speed of server i of a pool: 1 without faults, 0 if down.
func serverSpeed(s Scenario, pool string, i int, at time.Duration) float64 {
	for _, f := range s.Faults {
		if f.Pool != pool || at < f.From || at >= f.Until || i%max(1, f.EveryNth) != 0 {
			continue
		}
		switch f.Kind {
		case ServersDown:
			return 0
		case SlowServers:
			return 1 / f.SlowdownFactor
		}
	}
	return 1
}

// dualValue returns the bound at the current prices and sets used to the slot
// seconds of the requests with a positive surplus.
func (b *dualBound) dualValue() float64 {
	var sum float64
	for p := range b.price {
		for t, price := range b.price[p] {
			sum += price * b.capacity[p][t]
			b.used[p][t] = 0
		}
	}
	for i := range b.requests {
		sum += b.surplus(&b.requests[i])
	}
	return sum
}

// surplus returns the worth of a request less the price of its slot seconds in the
// cheapest buckets, or 0, and adds these to used if it is positive.
func (b *dualBound) surplus(x *requestDemand) float64 {
	surplus := x.worth
	var bucket [16]int
	for k, p := range x.pools {
		bucket[k] = cheapestBucket(b.price[p], x.firstBucket, x.lastBucket)
		surplus -= b.price[p][bucket[k]] * x.slotSeconds[k]
	}
	if surplus <= 0 {
		return 0
	}
	for k, p := range x.pools {
		b.used[p][bucket[k]] += x.slotSeconds[k]
	}
	return surplus
}

// cheapestBucket returns the first of the cheapest buckets from first to last.
func cheapestBucket(price []float64, first, last int) int {
	best := first
	for t := first + 1; t <= last; t++ {
		if price[t] < price[best] {
			best = t
		}
	}
	return best
}

// stepPrices moves each price along its subgradient, the relative excess of used
// over capacity.
func (b *dualBound) stepPrices(step float64) {
	for p := range b.price {
		for t := range b.price[p] {
			c := max(1, b.capacity[p][t])
			b.price[p][t] = max(0, b.price[p][t]+step*clamp((b.used[p][t]-b.capacity[p][t])/c, -1, 1))
		}
	}
}

func clamp(v, low, high float64) float64 { return max(low, min(high, v)) }
