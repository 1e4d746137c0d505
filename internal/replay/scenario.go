package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario describes the demand of a trace and the faults during it.
type Scenario struct {
	Name       string
	LoadFactor float64       // demand as a multiple of Deployment.SaturationRate
	Duration   time.Duration // 0: traceLength
	Bursts     []Burst
	Faults     []Fault
	// EqualAccountWeights gives every account the same weight, whatever its demand.
	EqualAccountWeights bool
	// HostsPerRegion overrides the entry hosts of each region; 0: as the deployment.
	HostsPerRegion int
	// ReportInterval is the interval of the servers' load reports; 0: one second.
	ReportInterval time.Duration
	// PoisonInterval is the interval at which requests arrive that crash their
	// server; 0: none.
	PoisonInterval time.Duration
}

// Burst is additional demand of one account.
type Burst struct {
	AccountIndex int     // index into Deployment.Accounts
	LoadFactor   float64 // as Scenario.LoadFactor
	From, Until  time.Duration
}

// FaultKind is the kind of a fault.
type FaultKind int

// Kinds of faults.
const (
	SlowServers       FaultKind = iota // servers take SlowdownFactor times as long
	ServersDown                        // servers refuse connections, and their work is lost
	RegionPartition                    // a region has no link to any other
	FullPartition                      // no region has a link to another
	ServerReplacement                  // a release replaces servers by new ones
)

// Fault is a fault that lasts from From until Until. Until 0 means that it does not
// end. Kinds that don't use a field ignore it.
type Fault struct {
	Kind           FaultKind
	Pool           string  // of SlowServers, ServersDown and ServerReplacement
	EveryNth       int     // affects each EveryNth server of the pool; 1: all
	Region         string  // of RegionPartition
	SlowdownFactor float64 // of SlowServers; multiplies service times
	From, Until    time.Duration
}

const (
	traceLength    = 90 * time.Second // default Scenario.Duration
	faultFrom      = 30 * time.Second // faults and bursts last from faultFrom until faultUntil
	faultUntil     = 60 * time.Second
	largestAccount = 0 // index into Deployment.Accounts
)

// Scenarios returns the scenarios of a deployment, in the order of the design
// note.
func Scenarios(d *Deployment) []Scenario {
	halfDown := Fault{Kind: ServersDown, Pool: d.EnginePool, EveryNth: 2, From: faultFrom, Until: faultUntil}
	burst := Burst{largestAccount, 1, faultFrom, faultUntil}
	return []Scenario{
		{Name: "ordinary", LoadFactor: .6},
		{Name: "release", LoadFactor: .7, Faults: []Fault{{Kind: ServerReplacement, Pool: d.EnginePool, EveryNth: 3, From: faultFrom}}},
		{Name: "burst", LoadFactor: .6, Bursts: []Burst{burst}},
		{Name: "slow-reranker", LoadFactor: .7, Faults: []Fault{{Kind: SlowServers, Pool: d.RerankerPool, EveryNth: 3, SlowdownFactor: 12, From: faultFrom, Until: faultUntil}}},
		{Name: "slow-engines", LoadFactor: .6, Faults: []Fault{{Kind: SlowServers, Pool: d.EnginePool, EveryNth: 4, SlowdownFactor: 3, From: faultFrom, Until: faultUntil}}},
		{Name: "half-engines", LoadFactor: .8, Faults: []Fault{halfDown}},
		{Name: "domain-cut", LoadFactor: .6, Faults: []Fault{{Kind: RegionPartition, Region: d.Regions[1], From: faultFrom, Until: faultUntil}}},
		{Name: "region-cut", LoadFactor: .7, Faults: []Fault{{Kind: FullPartition, From: faultFrom, Until: faultUntil}}},
		{Name: "crash", LoadFactor: .6, PoisonInterval: 5 * time.Second},
		{Name: "burst+half", LoadFactor: .6, Bursts: []Burst{burst}, Faults: []Fault{halfDown}},
		{Name: "pool-down", LoadFactor: .6, Faults: []Fault{{Kind: ServersDown, Pool: d.EnginePool, EveryNth: 1, From: faultFrom, Until: faultUntil}}},
		{Name: "load-1x", LoadFactor: 1},
		{Name: "load-1.5x", LoadFactor: 1.5},
		{Name: "equal-1.5x", LoadFactor: 1.5, EqualAccountWeights: true},
		{Name: "stale-1.5x", LoadFactor: 1.5, ReportInterval: 10 * time.Second},
		{Name: "hosts-1.5x", LoadFactor: 1.5, HostsPerRegion: 12},
		{Name: "load-2x", LoadFactor: 2},
		{Name: "load-3x", LoadFactor: 3},
	}
}

const (
	prefixCount      = 400 // distinct prompt prefixes
	serviceTimeSigma = .5  // of the lognormal service times
	prefillFraction  = .12 // prefill time, as a fraction of the mean service time of the engine stage
)

// GenerateTrace generates the trace of a scenario, sorted by arrival. Equal
// arguments give equal traces.
func GenerateTrace(d *Deployment, s Scenario, seed uint64) []Record {
	g := &generator{deployment: d, rng: rand.New(rand.NewPCG(seed, 0x5eed)), prefixZipf: nil}
	g.prefixZipf = rand.NewZipf(g.rng, 1.1, 4, prefixCount-1)
	var out []Record
	out = g.appendArrivals(out, s.LoadFactor*d.SaturationRate(), 0, scenarioDuration(s), -1)
	for _, b := range s.Bursts {
		out = g.appendArrivals(out, b.LoadFactor*d.SaturationRate(), b.From, b.Until, b.AccountIndex)
	}
	if s.PoisonInterval > 0 {
		for at := s.PoisonInterval; at < scenarioDuration(s); at += s.PoisonInterval {
			rec := g.newRecord(at, 1)
			rec.Route, rec.Poison = d.Mix[0].Route, true
			g.drawServiceTimes(&rec, &d.Mix[0])
			out = append(out, rec)
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int { return int(a.At - b.At) })
	return out
}

// scenarioDuration returns the duration of a scenario or the default.
func scenarioDuration(s Scenario) time.Duration {
	if s.Duration > 0 {
		return s.Duration
	}
	return traceLength
}

// generator draws the requests of a trace. Its draws happen in a fixed order.
type generator struct {
	deployment *Deployment
	rng        *rand.Rand
	prefixZipf *rand.Zipf // draws Record.Prefix less one
}

// appendArrivals appends a Poisson stream of rate requests a second. Account is an
// index into Deployment.Accounts; -1 draws one for each request.
func (g *generator) appendArrivals(out []Record, rate float64, from, until time.Duration, account int) []Record {
	for at := from; ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return out
		}
		out = append(out, g.newRecord(at, account))
	}
}

// newRecord draws a request that arrives at the given time. Account is as in
// appendArrivals.
func (g *generator) newRecord(at time.Duration, account int) Record {
	if account < 0 {
		account = pickWeighted(g.rng.Float64(), len(g.deployment.Accounts), func(i int) float64 { return g.deployment.Accounts[i].DemandFraction })
	}
	m := &g.deployment.Mix[pickWeighted(g.rng.Float64(), len(g.deployment.Mix), func(i int) float64 { return g.deployment.Mix[i].Fraction })]
	rec := Record{
		At: toMicros(at), Region: g.deployment.Regions[g.rng.IntN(len(g.deployment.Regions))],
		Account: g.deployment.Accounts[account].Name, Route: m.Route, Prefix: g.prefixZipf.Uint64() + 1,
	}
	g.drawServiceTimes(&rec, m)
	return rec
}

// drawServiceTimes sets the body sizes and draws lognormal service times with the
// means of the route.
func (g *generator) drawServiceTimes(rec *Record, m *RouteMix) {
	rec.Work = rec.Work[:0]
	rec.Bytes = append(rec.Bytes[:0], m.Bytes...)
	for i, st := range g.deployment.findRoute(m.Route).Stages {
		w := m.MeanServiceTimes[i].Seconds() * math.Exp(serviceTimeSigma*g.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
		rec.Work = append(rec.Work, int64(w*1e6))
		if st.Pool == g.deployment.EnginePool {
			rec.Prefill = int64(prefillFraction * m.MeanServiceTimes[i].Seconds() * 1e6)
		}
	}
}

// pickWeighted maps u, a number in [0, 1), to an index below n by the fraction of
// each.
func pickWeighted(u float64, n int, fraction func(int) float64) int {
	for i := range n {
		if u -= fraction(i); u < 0 {
			return i
		}
	}
	return n - 1
}
