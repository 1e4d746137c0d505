package replay

import (
	"math"
	"slices"
	"time"
)

// Bound returns worth that no policy can exceed on the trace, also one that
// knows every arrival and service time. It is the Lagrangian dual of the
// fluid problem: buckets of one second, divisible requests, cached prefixes
// and free links. A price for each pool and bucket bounds the worth from above
// whatever the prices are; a subgradient search only makes the bound tighter.
func UpperBound(d *Deployment, s Scenario, records []Record) float64 {
	b := newBounder(d, s, records)
	best := b.flat()
	mean := make([][]float64, len(b.price))
	for p := range mean {
		mean[p] = slices.Clone(b.price[p])
	}
	for k := range boundRounds {
		best = min(best, b.value())
		b.adjust(boundStep / math.Sqrt(float64(k+1)))
		for p := range mean {
			for t := range mean[p] {
				mean[p][t] += (b.price[p][t] - mean[p][t]) * 2 / float64(k+2)
			}
		}
	}
	b.price = mean
	return min(best, b.value())
}

const (
	boundRounds = 40
	boundStep   = .2
	flatSteps   = 25
	flatTop     = 40.0 // worth of a slot second; above every route's
)

// flat sets the best price that stays the same within each segment between
// faults and bursts, pool by pool, and returns its bound.
func (b *bounder) flat() float64 {
	best := b.value()
	for p := range b.price {
		for i := range len(b.edges) - 1 {
			if b.short(p, b.edges[i], b.edges[i+1]) {
				best = min(best, b.search(b.price[p][b.edges[i]:b.edges[i+1]]))
			}
		}
	}
	return best
}

// short reports whether free work would overfill the pool between two buckets.
func (b *bounder) short(p, from, until int) bool {
	var used, capacity float64
	for t := from; t < until; t++ {
		used += b.free[p][t]
		capacity += b.capacity[p][t]
	}
	return used > capacity
}

// search finds the best common price of some buckets; the value is convex in
// it.
func (b *bounder) search(prices []float64) float64 {
	at := func(price float64) float64 {
		for t := range prices {
			prices[t] = price
		}
		return b.value()
	}
	low, high := 0.0, flatTop
	for range flatSteps {
		third := (high - low) / 3
		if at(low+third) < at(high-third) {
			high -= third
		} else {
			low += third
		}
	}
	return at(low)
}

// edges returns the buckets in which the demand or the capacity changes.
func edges(s Scenario, buckets int) []int {
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

// ByRoute returns the records with every service time replaced by its route's
// mean. Their bound is the fluid bound of a policy that knows the demand but
// not how long a single request takes.
func WithMeanServiceTimes(d *Deployment, records []Record) []Record {
	out := slices.Clone(records)
	for i := range out {
		for _, m := range d.Mix {
			if m.Route == out[i].Route {
				out[i].Work = nil
				for _, w := range m.MeanServiceTimes {
					out[i].Work = append(out[i].Work, micros(w))
				}
			}
		}
	}
	return out
}

type bounder struct {
	requests []demand
	capacity [][]float64 // slot seconds by pool and bucket
	price    [][]float64 // worth of a slot second
	used     [][]float64
	free     [][]float64 // asked for when nothing has a price
	edges    []int
}

type demand struct {
	worth       float64
	first, last int // buckets
	pools       []int
	seconds     []float64
}

func newBounder(d *Deployment, s Scenario, records []Record) *bounder {
	b := &bounder{}
	index := map[string]int{}
	var longest time.Duration
	for _, r := range d.Tables.Routes {
		longest = max(longest, r.Deadline.Std())
	}
	buckets := int((length(s)+longest)/time.Second) + 1
	for i, p := range d.Tables.Pools {
		index[p.Name] = i
		b.capacity = append(b.capacity, capacity(d, s, p.Name, buckets))
		b.price = append(b.price, make([]float64, buckets))
		b.used = append(b.used, make([]float64, buckets))
	}
	for i := range records {
		rec := &records[i]
		rt := d.route(rec.Route)
		if rec.Poison {
			continue
		}
		x := demand{worth: rt.Worth, first: int(rec.At / 1e6)}
		x.last = min(buckets-1, int((fromMicros(rec.At)+rt.Deadline.Std())/time.Second))
		for k, st := range rt.Stages {
			x.pools = append(x.pools, index[st.Pool])
			x.seconds = append(x.seconds, fromMicros(rec.Work[k]).Seconds())
		}
		b.requests = append(b.requests, x)
	}
	b.edges = edges(s, buckets)
	b.value()
	for p := range b.used {
		b.free = append(b.free, slices.Clone(b.used[p]))
	}
	return b
}

// capacity returns the slot seconds of a pool by bucket, less dead servers and
// at the pace of slow ones.
func capacity(d *Deployment, s Scenario, pool string, buckets int) []float64 {
	p := d.pool(pool)
	out := make([]float64, buckets)
	for t := range out {
		for i := range p.Servers {
			out[t] += float64(p.Slots) * pace(s, pool, i, time.Duration(t)*time.Second)
		}
	}
	return out
}

func pace(s Scenario, pool string, i int, at time.Duration) float64 {
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

// value returns the bound under the present prices and notes the slot seconds
// that the worthwhile requests would use.
func (b *bounder) value() float64 {
	var sum float64
	for p := range b.price {
		for t, price := range b.price[p] {
			sum += price * b.capacity[p][t]
			b.used[p][t] = 0
		}
	}
	for i := range b.requests {
		sum += b.gain(&b.requests[i])
	}
	return sum
}

func (b *bounder) gain(x *demand) float64 {
	left := x.worth
	var at [16]int
	for k, p := range x.pools {
		at[k] = cheapest(b.price[p], x.first, x.last)
		left -= b.price[p][at[k]] * x.seconds[k]
	}
	if left <= 0 {
		return 0
	}
	for k, p := range x.pools {
		b.used[p][at[k]] += x.seconds[k]
	}
	return left
}

func cheapest(price []float64, first, last int) int {
	at := first
	for t := first + 1; t <= last; t++ {
		if price[t] < price[at] {
			at = t
		}
	}
	return at
}

func (b *bounder) adjust(step float64) {
	for p := range b.price {
		for t := range b.price[p] {
			c := max(1, b.capacity[p][t])
			b.price[p][t] = max(0, b.price[p][t]+step*clamp((b.used[p][t]-b.capacity[p][t])/c, -1, 1))
		}
	}
}

func clamp(v, low, high float64) float64 { return max(low, min(high, v)) }
