package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is a trace's demand and the faults that happen during it.
type Scenario struct {
	Name       string
	LoadFactor float64 // demand as a multiple of what just fills the engines
	Duration   time.Duration
	Bursts     []Burst
	Faults     []Fault
	// EqualShares makes every account weigh the same, whatever its size.
	EqualShares bool
	// Hosts is how many entry hosts a region has; 0: as the deployment.
	HostsPerRegion int
	// ReportEvery is how often servers report their load; 0: each second.
	ReportInterval time.Duration
	PoisonInterval time.Duration // a crashing request is sent again this often; 0: never
}

// Burst is additional demand of one account.
type Burst struct {
	AccountIndex int // index into Deployment.Accounts
	LoadFactor   float64
	From, Until  time.Duration
}

// FaultKind names a fault.
type FaultKind int

// Kinds of faults.
const (
	SlowServers       FaultKind = iota // servers take Factor times as long
	ServersDown                        // servers refuse connections; work on them is lost
	RegionPartition                    // a region's links to all others are silent
	FullPartition                      // no region reaches another
	ServerReplacement                  // a release replaces servers by fresh ones
)

// Fault is one fault and how long it lasts.
type Fault struct {
	Kind           FaultKind
	Pool           string
	EveryNth       int // of the pool's servers, each Every-th; 1: all
	Region         string
	SlowdownFactor float64
	From, Until    time.Duration
}

const (
	traceLength = 90 * time.Second
	faultFrom   = 30 * time.Second
	faultUntil  = 60 * time.Second
	bigAccount  = 0
)

// Scenarios returns the stated traces of a deployment, in the order of the
// design note.
func Scenarios(d *Deployment) []Scenario {
	half := Fault{Kind: ServersDown, Pool: d.EnginePool, EveryNth: 2, From: faultFrom, Until: faultUntil}
	burst := Burst{bigAccount, 1, faultFrom, faultUntil}
	return []Scenario{
		{Name: "ordinary", LoadFactor: .6},
		{Name: "release", LoadFactor: .7, Faults: []Fault{{Kind: ServerReplacement, Pool: d.EnginePool, EveryNth: 3, From: faultFrom}}},
		{Name: "burst", LoadFactor: .6, Bursts: []Burst{burst}},
		{Name: "slow-reranker", LoadFactor: .7, Faults: []Fault{{Kind: SlowServers, Pool: d.RerankerPool, EveryNth: 3, SlowdownFactor: 12, From: faultFrom, Until: faultUntil}}},
		{Name: "slow-engines", LoadFactor: .6, Faults: []Fault{{Kind: SlowServers, Pool: d.EnginePool, EveryNth: 4, SlowdownFactor: 3, From: faultFrom, Until: faultUntil}}},
		{Name: "half-engines", LoadFactor: .8, Faults: []Fault{half}},
		{Name: "domain-cut", LoadFactor: .6, Faults: []Fault{{Kind: RegionPartition, Region: d.Regions[1], From: faultFrom, Until: faultUntil}}},
		{Name: "region-cut", LoadFactor: .7, Faults: []Fault{{Kind: FullPartition, From: faultFrom, Until: faultUntil}}},
		{Name: "crash", LoadFactor: .6, PoisonInterval: 5 * time.Second},
		{Name: "burst+half", LoadFactor: .6, Bursts: []Burst{burst}, Faults: []Fault{half}},
		{Name: "pool-down", LoadFactor: .6, Faults: []Fault{{Kind: ServersDown, Pool: d.EnginePool, EveryNth: 1, From: faultFrom, Until: faultUntil}}},
		{Name: "load-1x", LoadFactor: 1},
		{Name: "load-1.5x", LoadFactor: 1.5},
		{Name: "equal-1.5x", LoadFactor: 1.5, EqualShares: true},
		{Name: "stale-1.5x", LoadFactor: 1.5, ReportInterval: 10 * time.Second},
		{Name: "hosts-1.5x", LoadFactor: 1.5, HostsPerRegion: 12},
		{Name: "load-2x", LoadFactor: 2},
		{Name: "load-3x", LoadFactor: 3},
	}
}

const (
	prefixes     = 400
	sigma        = .5 // of the lognormal service times
	prefillShare = .12
)

// Generate makes the trace of a scenario; the seed alone decides it.
func GenerateTrace(d *Deployment, s Scenario, seed uint64) []Record {
	g := &generator{d: d, r: rand.New(rand.NewPCG(seed, 0x5eed)), zipf: nil}
	g.zipf = rand.NewZipf(g.r, 1.1, 4, prefixes-1)
	var out []Record
	out = g.arrivals(out, s.LoadFactor*d.SaturationRate(), 0, length(s), -1)
	for _, b := range s.Bursts {
		out = g.arrivals(out, b.LoadFactor*d.SaturationRate(), b.From, b.Until, b.AccountIndex)
	}
	if s.PoisonInterval > 0 {
		for at := s.PoisonInterval; at < length(s); at += s.PoisonInterval {
			rec := g.record(at, 1)
			rec.Route, rec.Poison = d.Mix[0].Route, true
			g.work(&rec, &d.Mix[0])
			out = append(out, rec)
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int { return int(a.At - b.At) })
	return out
}

func length(s Scenario) time.Duration {
	if s.Duration > 0 {
		return s.Duration
	}
	return traceLength
}

type generator struct {
	d    *Deployment
	r    *rand.Rand
	zipf *rand.Zipf
}

// arrivals appends a Poisson stream; account -1 draws one for each request.
func (g *generator) arrivals(out []Record, rate float64, from, until time.Duration, account int) []Record {
	for at := from; ; {
		at += time.Duration(g.r.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return out
		}
		out = append(out, g.record(at, account))
	}
}

func (g *generator) record(at time.Duration, account int) Record {
	if account < 0 {
		account = draw(g.r.Float64(), len(g.d.Accounts), func(i int) float64 { return g.d.Accounts[i].DemandFraction })
	}
	m := &g.d.Mix[draw(g.r.Float64(), len(g.d.Mix), func(i int) float64 { return g.d.Mix[i].Fraction })]
	rec := Record{
		At: micros(at), Region: g.d.Regions[g.r.IntN(len(g.d.Regions))],
		Account: g.d.Accounts[account].Name, Route: m.Route, Prefix: g.zipf.Uint64() + 1,
	}
	g.work(&rec, m)
	return rec
}

func (g *generator) work(rec *Record, m *RouteMix) {
	rec.Work = rec.Work[:0]
	rec.Bytes = append(rec.Bytes[:0], m.Bytes...)
	for i, st := range g.d.route(m.Route).Stages {
		w := m.MeanServiceTimes[i].Seconds() * math.Exp(sigma*g.r.NormFloat64()-sigma*sigma/2)
		rec.Work = append(rec.Work, int64(w*1e6))
		if st.Pool == g.d.EnginePool {
			rec.Prefill = int64(prefillShare * m.MeanServiceTimes[i].Seconds() * 1e6)
		}
	}
}

func draw(u float64, n int, part func(int) float64) int {
	for i := range n {
		if u -= part(i); u < 0 {
			return i
		}
	}
	return n - 1
}
