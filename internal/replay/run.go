package replay

import (
	"math"
	"slices"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/server"
	"bilberrydale/version/table"
)

// run is one replay of one trace under one policy.
type run struct {
	*events
	deployment *Deployment
	scenario   Scenario
	policy     Policy
	tables     table.Tables // as of now; a release changes them
	servers    map[string]*fakeServer
	order      []*fakeServer // for a fixed order of reports
	hosts      []*host
	rand       *clock.Seeded
	cut        map[string]bool // region: no link to any other
	cutAll     bool
	seq        int
	outcomes   []*outcome
	returned   []*outcome
}

// outcome is what became of one request.
type outcome struct {
	rec        *Record
	arrived    time.Duration
	admitted   bool
	refused    bool
	why        string
	retryAfter time.Duration
	completed  bool
	took       time.Duration
	crossed    int64
	spent      []spent
}

// spent is slot time of one attempt.
type spent struct {
	stage string
	slot  time.Duration
	cost  float64
}

func (o *outcome) spend(stage string, slot time.Duration, cost float64) {
	o.spent = append(o.spent, spent{stage, slot, cost})
}

const (
	reportLag = 300 * time.Millisecond
	tickEvery = 100 * time.Millisecond
	comeBack  = 10 // one refused client of so many comes back when told
	spread    = .1 // it adds up to this part to the time told
)

var epoch = time.Unix(1_000_000_000, 0)

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) nextSeq() int {
	r.seq++
	return r.seq
}

// Replay runs records under policy and returns the measures.
func Replay(d *Deployment, s Scenario, records []Record, p Policy, seed uint64) *Result {
	r := &run{
		events: &events{}, deployment: d, scenario: s, policy: p, tables: d.Tables,
		servers: map[string]*fakeServer{}, rand: clock.NewSeeded(seed + 1), cut: map[string]bool{},
	}
	for _, pl := range d.Tables.Pools {
		r.addServers(pl)
	}
	for _, region := range d.Regions {
		for i := range r.perRegion() {
			at := Location{hostName(region, i), FailureDomain(region), region}
			r.hosts = append(r.hosts, r.newHost(at, seed+uint64(len(r.hosts))+2))
		}
	}
	r.schedule(records)
	r.events.run()
	return r.measure()
}

func (r *run) addServers(p table.Pool) {
	for _, s := range p.Servers {
		if r.servers[s.Address] == nil {
			fake := &fakeServer{events: r.events, Server: s, slots: p.Slots, engine: p.Kind == table.Engine, factor: 1}
			r.servers[s.Address] = fake
			r.order = append(r.order, fake)
		}
	}
}

func (r *run) schedule(records []Record) {
	end := length(r.scenario)
	for i := range records {
		rec := &records[i]
		o := &outcome{rec: rec, arrived: fromMicros(rec.At)}
		r.outcomes = append(r.outcomes, o)
		r.at(o.arrived, func() { r.enter(o) })
		end = max(end, o.arrived)
	}
	for _, f := range r.scenario.Faults {
		r.at(f.From, func() { r.fault(f, true) })
		if f.Until > 0 {
			r.at(f.Until, func() { r.fault(f, false) })
		}
	}
	for t := tickEvery; t < end; t += tickEvery {
		r.at(t, r.tick)
	}
	for i, s := range r.order {
		r.reports(s, time.Duration(i)*r.reportEvery()/time.Duration(len(r.order)), end)
	}
}

// enter gives the request to a host of its region, as the platform's balancer
// does, and lets some of the refused come back when they were told to.
func (r *run) enter(o *outcome) {
	h := r.hostIn(o.rec.Region)
	h.arrive(o.rec, o)
	if !o.refused || o.retryAfter <= 0 || r.rand.IntN(comeBack) > 0 {
		return
	}
	told := math.Ceil(o.retryAfter.Seconds()) // the header has whole seconds
	wait := time.Duration(told * (1 + spread*r.rand.Float64()) * float64(time.Second))
	if r.now+wait >= length(r.scenario) {
		return
	}
	again := &outcome{rec: o.rec, arrived: r.now + wait}
	r.returned = append(r.returned, again)
	r.after(wait, func() { r.hostIn(o.rec.Region).arrive(again.rec, again) })
}

func (r *run) hostIn(region string) *host {
	i := slices.Index(r.deployment.Regions, region)
	return r.hosts[i*r.perRegion()+r.rand.IntN(r.perRegion())]
}

func (r *run) perRegion() int {
	if r.scenario.HostsPerRegion > 0 {
		return r.scenario.HostsPerRegion
	}
	return r.deployment.HostsPerRegion
}

func (r *run) reportEvery() time.Duration {
	if r.scenario.ReportInterval > 0 {
		return r.scenario.ReportInterval
	}
	return time.Second
}

func (r *run) tick() {
	for _, h := range r.hosts {
		if h.Tick != nil {
			h.Tick(r.time(), h.pickers)
		}
	}
}

// reports schedules the load reports of a server: taken, and seen later by the
// hosts that can reach it.
func (r *run) reports(s *fakeServer, first, end time.Duration) {
	for t := first; t < end; t += r.reportEvery() {
		r.at(t, func() {
			if s.dead {
				return
			}
			load := report{len(s.running), len(s.queue)}
			r.after(reportLag, func() { r.deliver(s, load) })
		})
	}
}

type report struct{ running, queued int }

func (r *run) deliver(s *fakeServer, l report) {
	for _, h := range r.hosts {
		if r.connected(h.Region, s.Region) {
			h.registry.Get(s.Name, s.Address, r.time()).SetLoad(&server.Load{Running: l.running, Queued: l.queued, Slots: s.slots, Received: r.time()})
		}
	}
}

func (r *run) connected(a, b string) bool {
	return a == b || !(r.cutAll || r.cut[a] || r.cut[b])
}

// fault starts or ends a fault.
func (r *run) fault(f Fault, on bool) {
	switch f.Kind {
	case RegionPartition:
		r.cut[f.Region] = on
	case FullPartition:
		r.cutAll = on
	case ServerReplacement:
		r.replace(f)
	case SlowServers:
		for _, s := range r.hit(f) {
			s.factor = 1
			if on {
				s.factor = f.SlowdownFactor
			}
		}
	case ServersDown:
		for _, s := range r.hit(f) {
			if on {
				s.kill()
			} else {
				s.revive()
			}
		}
	}
}

func (r *run) hit(f Fault) []*fakeServer {
	var out []*fakeServer
	for i, s := range r.deployment.pool(f.Pool).Servers {
		if i%f.EveryNth == 0 {
			out = append(out, r.servers[s.Address])
		}
	}
	return out
}

// replace is a release: some servers of a pool leave, fresh ones take their
// place, and every host makes new pickers.
func (r *run) replace(f Fault) {
	pools := slices.Clone(r.tables.Pools)
	for i := range pools {
		if pools[i].Name != f.Pool {
			continue
		}
		servers := slices.Clone(pools[i].Servers)
		for k := 0; k < len(servers); k += f.EveryNth {
			servers[k].Name += "b"
			servers[k].Address = "b" + servers[k].Address
		}
		pools[i].Servers = servers
		known := len(r.order)
		r.addServers(pools[i])
		for _, s := range r.order[known:] {
			r.reports(s, r.now, length(r.scenario))
		}
	}
	r.tables.Pools = pools
	for _, h := range r.hosts {
		h.install()
	}
}
