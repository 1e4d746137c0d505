package serverspeed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/estimate"
)

// Usual estimates how long requests of one kind usually take at any server, and how much they differ.
// It follows the median rather than the mean, so that one slow server of several hardly changes it.
// The zero value has seen none. It is safe for concurrent use.
type Usual struct {
	mu       sync.Mutex // guards the following
	mean     float64    // of the logarithm of the time in seconds, with jitter
	variance float64    // of the logarithm, at one server
	trend    float64    // mean of how far the last responses were from the usual time, from -1 to 1
	last     float64    // logarithm of the time of the last response
	samples  int
	// atLoad is how much longer than usual requests take at each level of load at any server, as a
	// logarithm, beyond the wait for a slot.
	atLoad [loadLevels]float64
	recent [recentResponses]recentResponse
	// several reports that two servers have responded. One alone tells of all, as it is all.
	several bool
	// earlier is the mean as it was some seconds ago, earlierAt the time of its last update.
	earlier   float64
	earlierAt time.Time
	held      float64   // see hold
	heldAt    time.Time // when it was measured
}

// recentResponse is one of the last responses.
type recentResponse struct {
	log    float64 // logarithm of its time, as it would be at the usual load
	server *State
}

const (
	// recentResponses are the last responses that tell whether all servers have become slow. All but
	// one of them have to take longer.
	recentResponses = 6
	// earlierHalfLife is the half-life of the earlier mean. It is longer than that of evidence, which
	// is relative to the mean of its time.
	earlierHalfLife = 2 * evidenceHalfLife
	commonHeldFor   = 3 * evidenceHalfLife
	// maxCommonAge is the age of the last response up to which the last ones tell it.
	maxCommonAge = 10 * time.Second
)

// common returns the logarithm of the factor by which requests have begun to take longer at nearly all
// servers within the last seconds; 0: they have not. It is false if there was no response lately.
func (u *Usual) common(now time.Time) (log float64, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.samples < firstSamples+recentResponses || now.Sub(u.earlierAt) > maxCommonAge {
		return 0, false
	}
	return u.held, true
}

// hold sets what common returns: the highest value of the last commonHeldFor, as what was measured
// meanwhile counts for so long. The caller holds u.mu.
func (u *Usual) hold(now time.Time) {
	if log := max(u.recentLog()-u.earlier, 0); log >= u.held || now.Sub(u.heldAt) > commonHeldFor {
		u.held, u.heldAt = log, now
	}
}

// recentLog returns the logarithm of the time that the last responses of at least two servers took, but for
// one of them; if they are of one server of several, the usual one. The caller holds u.mu.
func (u *Usual) recentLog() float64 {
	sorted := u.recent
	slices.SortFunc(sorted[:], func(a, b recentResponse) int { return cmp.Compare(a.log, b.log) })
	if !u.several {
		return sorted[1].log
	}
	for least := 1; least >= 0; least-- {
		slow := sorted[least:]
		if slices.ContainsFunc(slow, func(r recentResponse) bool { return r.server != slow[0].server }) {
			return sorted[least].log
		}
	}
	return u.earlier
}

// updateCommon adds a response of a server to what common returns. The caller holds u.mu.
func (u *Usual) updateCommon(s *State, log float64, now time.Time) {
	last := u.recent[(u.samples+recentResponses-1)%recentResponses].server
	u.several = u.several || u.samples > 1 && s != last
	u.recent[u.samples%recentResponses] = recentResponse{log, s}
	if u.samples <= firstSamples {
		u.earlier, u.earlierAt = u.mean, now
		return
	}
	if elapsed := now.Sub(u.earlierAt); elapsed > 0 {
		u.earlier += (1 - math.Exp2(-elapsed.Seconds()/earlierHalfLife.Seconds())) * (u.mean - u.earlier)
		u.earlierAt = now
	}
	if u.samples >= firstSamples+recentResponses {
		u.hold(now)
	}
}

// loadLevels is the number of levels of load.
const loadLevels = 5

// loadLevel returns the level of a number of requests at a server, of slots: up to an eighth of them, a
// quarter, a half, all of them, and more.
func loadLevel(load, slots int) int {
	level := 0
	for limit := 0.125; level < loadLevels-1 && float64(load) > limit*float64(slots); limit *= 2 {
		level++
	}
	return level
}

const (
	// usualWeight is the weight of the newest response in the usual time.
	usualWeight = 1. / 32
	// maxUsualStep bounds how far from the usual time a response counts as, in its logarithm.
	maxUsualStep = 0.5
	// trendWeight is the weight of the newest response in the trend.
	trendWeight = 1. / 8
	// commonTrend is the trend from which the usual time follows faster.
	commonTrend = 0.5
	maxPace     = 8
	// firstSamples are averaged before a server is measured against the usual time.
	firstSamples = 8
	// firstVariance is the variance of the logarithm before responses have shown it.
	firstVariance = 1.
	// certainDeviation is the standard deviation of the logarithm up to which one response has
	// the full weight. The weight falls with its square: where requests differ much by their
	// nature, one says little of the server.
	certainDeviation = 0.3
	// jitter is added to each time: the differences between very short ones come from elsewhere.
	jitter = 5 * time.Millisecond
)

// Time returns the usual time; 0: too few requests were seen.
func (u *Usual) Time() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.samples < firstSamples {
		return 0
	}
	return max(time.Duration(math.Exp(u.mean)*float64(time.Second))-jitter, 0)
}

// overdueFactor is the multiple of the usual time after which a response is overdue.
const overdueFactor = 2

// ExpectedUntil returns a generous upper limit of the time at which a request that is sent now is answered,
// with a number of requests at the server, of slots; zero: it is not known.
func (u *Usual) ExpectedUntil(load, slots int, now time.Time) time.Time {
	usual := u.Time()
	if usual == 0 {
		return time.Time{}
	}
	queued := max(float64(load)/float64(max(slots, 1)), 1)
	return now.Add(time.Duration(overdueFactor * queued * float64(usual+jitter)))
}

// Measurement is the time of one response at a server.
type Measurement struct {
	Took  time.Duration // at the server, without the network
	Load  int           // requests at the server, with this one
	Slots int           // requests that the server runs at once
	At    time.Time     // of the response
	// Responses is as how many responses it counts; 0: 1. A call that does the work of many requests
	// says more than one of them.
	Responses float64
}

// duringSuspension reports whether this host was suspended while the response was awaited: the time is not
// the server's.
func (m Measurement) duringSuspension(s *State) bool {
	return s != nil && s.suspendedSince(m.At.Add(-m.Took), m.At)
}

// Observe records a response of a server in the usual time and in what is known of the server; nil: in the
// usual time only.
func (u *Usual) Observe(s *State, m Measurement) {
	if m.Took <= 0 || m.duringSuspension(s) {
		return
	}
	log := math.Log((m.Took + jitter).Seconds())
	queued := math.Log(max(float64(m.Load)/float64(max(m.Slots, 1)), 1))
	u.mu.Lock()
	atLoad := &u.atLoad[loadLevel(m.Load, m.Slots)]
	relative, measured := log-u.mean-*atLoad, u.samples >= firstSamples
	last, known := 0., false
	if s != nil {
		last, known = s.swapLast(relative - queued)
	}
	difference := relative - queued - last
	if !known || !measured {
		difference = log - queued - u.last
	}
	u.update(log-queued, difference)
	u.updateCommon(s, log-queued-*atLoad, m.At)
	if measured {
		*atLoad = bounded(*atLoad + usualWeight*min(max(relative-queued, -maxUsualStep), maxUsualStep))
	}
	weight := u.weight()
	u.mu.Unlock()
	if s == nil {
		return
	}
	if common, recent := u.common(m.At); recent {
		s.common.Store(common)
	}
	if measured {
		s.Observe(math.Exp(relative), m.Load, m.Slots, weight*cmp.Or(m.Responses, 1), m.At)
	}
}

// ObserveAtLeast records that a response has not come in a time.
func (u *Usual) ObserveAtLeast(s *State, m Measurement) {
	u.mu.Lock()
	known, weight, mean := u.samples >= firstSamples, u.weight(), u.mean+u.atLoad[loadLevel(m.Load, m.Slots)]
	u.mu.Unlock()
	if known && m.Took > 0 && !m.duringSuspension(s) {
		s.ObserveAtLeast((m.Took+jitter).Seconds()/math.Exp(mean), m.Load, m.Slots, weight, m.At)
	}
}

// update adds the logarithm of the time of a response. difference is that to the last one of the same
// server, or of any server if there was none. Two in a row tell how much requests differ, also while
// servers become slow or well.
func (u *Usual) update(log, difference float64) {
	u.samples++
	u.last = log
	if u.samples == 1 {
		u.mean, u.variance = log, firstVariance
		return
	}
	u.variance += max(usualWeight, 1/float64(u.samples)) * (difference*difference/2 - u.variance)
	relative := log - u.mean
	if u.samples <= firstSamples {
		u.mean += relative / float64(u.samples)
		return
	}
	step := min(max(relative, -maxUsualStep), maxUsualStep)
	u.trend += trendWeight * (step/maxUsualStep - u.trend)
	u.mean += usualWeight * u.pace() * step
}

// pace returns the factor by which the usual time follows faster while nearly all responses take longer
// than usual, or less: that is not one server of several.
func (u *Usual) pace() float64 {
	return 1 + (maxPace-1)*max(math.Abs(u.trend)-commonTrend, 0)/(1-commonTrend)
}

// weight returns how much one response says of its server.
func (u *Usual) weight() float64 {
	return min(certainDeviation*certainDeviation/max(u.variance, 1e-9), 1)
}

// Kind is a kind of request, whose times are comparable.
type Kind struct{ Route, Service string }

// Kinds holds the usual times by kind of request. The zero value is empty. It is safe for concurrent
// use.
type Kinds struct{ byKind table[Kind, Usual] }

// CommonSlowdowns returns, by service, the factor by which requests of all kinds have begun to take longer
// at nearly all servers within the last seconds; 1 or missing: they have not.
func (k *Kinds) CommonSlowdowns(now time.Time) map[string]float64 {
	least := map[string]float64{}
	k.byKind.mu.RLock()
	defer k.byKind.mu.RUnlock()
	for kind, u := range k.byKind.values {
		common, known := u.common(now)
		if !known {
			continue
		}
		factor := math.Exp(common)
		if other, is := least[kind.Service]; !is || factor < other {
			least[kind.Service] = factor
		}
	}
	return least
}

// ServiceTime returns the mean of the usual times of the kinds of a service; 0: none is known.
func (k *Kinds) ServiceTime(service string) time.Duration {
	k.byKind.mu.RLock()
	defer k.byKind.mu.RUnlock()
	sum, n := time.Duration(0), 0
	for kind, u := range k.byKind.values {
		if t := u.Time(); kind.Service == service && t > 0 {
			sum, n = sum+t, n+1
		}
	}
	return sum / time.Duration(max(n, 1))
}

// Usual returns the usual time of a kind of request.
func (k *Kinds) Usual(kind Kind) *Usual { return k.byKind.get(kind) }

// Told holds, by service, what its servers usually tell of their speed: if all of them tell that they
// are slow, none is slower than the others. The zero value is empty. It is safe for concurrent use.
type Told struct {
	byService table[string, estimate.AtomicFloat64]
}

// Relative records that a server of a service tells how long work takes there, and returns its ratio to
// what the servers of the service usually tell. told must be positive.
func (t *Told) Relative(service string, told float64) float64 {
	mean := t.byService.get(service)
	step := math.Log(told) - mean.Load()
	mean.Add(usualWeight * min(max(step, -maxUsualStep), maxUsualStep))
	return math.Exp(step)
}

// table holds values by key, which are created when they are first asked for. The zero value is empty.
// It is safe for concurrent use.
type table[K comparable, V any] struct {
	mu     sync.RWMutex // guards values
	values map[K]*V
}

// maxTableSize bounds a table; once reached, all values are forgotten.
const maxTableSize = 4096

// get returns the value of a key.
func (t *table[K, V]) get(key K) *V {
	t.mu.RLock()
	v := t.values[key]
	t.mu.RUnlock()
	if v != nil {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.values[key]; v != nil {
		return v
	}
	if t.values == nil || len(t.values) >= maxTableSize {
		t.values = map[K]*V{}
	}
	v = new(V)
	t.values[key] = v
	return v
}
