package replay

import (
	"math"
	"slices"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/table"
)

// simulation is one replay of a trace under a policy.
type simulation struct {
	*eventLoop
	deployment         *Deployment
	scenario           Scenario
	policy             Policy
	tables             table.Tables           // current tables; a release changes them
	servers            map[string]*fakeServer // by address, including replaced ones
	serverOrder        []*fakeServer          // servers in a fixed order, for reproducible reports
	hosts              []*fakeHost
	rand               *clock.Seeded
	partitionedRegions map[string]bool // regions without a link to any other
	fullPartition      bool            // no region has a link to another
	taskSeq            int             // task.seq of the task sent last
	outcomes           []*outcome      // of the requests of the trace
	clientRetries      []*outcome      // of requests that refused clients sent again; not in outcomes
}

// outcome is the result of one request.
type outcome struct {
	record           *Record
	arrivedAt        time.Duration
	admitted         bool
	refused          bool
	refusalKind      string        // kind of error
	retryAfter       time.Duration // of a refusal
	completed        bool
	latency          time.Duration // of a completed request
	crossRegionBytes int64         // exchanged with servers in other regions
	slotTimes        []slotTime    // of the attempts that started
}

// slotTime is the time that one attempt held a slot, and the cost of its stage.
type slotTime struct {
	stage    string
	duration time.Duration
	cost     float64
}

// addSlotTime adds the time that one attempt held a slot of a stage with that cost.
func (o *outcome) addSlotTime(stage string, slot time.Duration, cost float64) {
	o.slotTimes = append(o.slotTimes, slotTime{stage, slot, cost})
}

const (
	reportDelay            = 300 * time.Millisecond // from taking a load report to its receipt
	tickInterval           = 100 * time.Millisecond // of the decision code
	refusalsPerClientRetry = 10                     // of this many refused clients, one on average retries after the delay of the refusal
	clientRetryJitter      = .1                     // upper bound of the random fraction that it adds to the delay
)

// epoch is the wall time at the start of a replay.
var epoch = time.Unix(1_000_000_000, 0)

// time returns the wall time that corresponds to the virtual time, for the decision
// code.
func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// nextTaskSeq returns the sequence number of a new task.
func (sim *simulation) nextTaskSeq() int {
	sim.taskSeq++
	return sim.taskSeq
}

// Replay replays records under a policy and returns the metrics, without Seed and
// the ratios to the bounds, which Run sets.
func Replay(d *Deployment, s Scenario, records []Record, p Policy, seed uint64) *Result {
	sim := &simulation{
		eventLoop: &eventLoop{}, deployment: d, scenario: s, policy: p, tables: d.Tables,
		servers: map[string]*fakeServer{}, rand: clock.NewSeeded(seed + 1), partitionedRegions: map[string]bool{},
	}
	for _, pl := range d.Tables.Pools {
		sim.addServers(pl)
	}
	for _, region := range d.Regions {
		for i := range sim.hostsPerRegion() {
			at := Location{hostName(region, i), FailureDomain(region), region}
			sim.hosts = append(sim.hosts, sim.newFakeHost(at, seed+uint64(len(sim.hosts))+2))
		}
	}
	sim.scheduleEvents(records)
	sim.eventLoop.run()
	return sim.measure()
}

// addServers adds the servers of a pool that don't exist yet.
func (sim *simulation) addServers(p table.Pool) {
	for _, s := range p.Servers {
		if sim.servers[s.Address] == nil {
			fake := &fakeServer{eventLoop: sim.eventLoop, Server: s, slots: p.Slots, engine: p.Kind == table.Engine, slowdown: 1}
			sim.servers[s.Address] = fake
			sim.serverOrder = append(sim.serverOrder, fake)
		}
	}
}

// scheduleEvents schedules all arrivals, faults, ticks and load reports.
func (sim *simulation) scheduleEvents(records []Record) {
	end := scenarioDuration(sim.scenario)
	for i := range records {
		rec := &records[i]
		o := &outcome{record: rec, arrivedAt: fromMicros(rec.At)}
		sim.outcomes = append(sim.outcomes, o)
		sim.schedule(o.arrivedAt, func() { sim.dispatch(o) })
		end = max(end, o.arrivedAt)
	}
	for _, f := range sim.scenario.Faults {
		sim.schedule(f.From, func() { sim.applyFault(f, true) })
		if f.Until > 0 {
			sim.schedule(f.Until, func() { sim.applyFault(f, false) })
		}
	}
	for t := tickInterval; t < end; t += tickInterval {
		sim.schedule(t, sim.tick)
	}
	for i, s := range sim.serverOrder {
		sim.scheduleReports(s, time.Duration(i)*sim.reportInterval()/time.Duration(len(sim.serverOrder)), end)
	}
}

// dispatch sends a request to a random host of its region, as the platform's load
// balancer does. Some of the refused clients retry after the delay of the refusal.
func (sim *simulation) dispatch(o *outcome) {
	h := sim.randomHost(o.record.Region)
	h.handleRequest(o.record, o)
	if !o.refused || o.retryAfter <= 0 || sim.rand.IntN(refusalsPerClientRetry) > 0 {
		return
	}
	delaySeconds := math.Ceil(o.retryAfter.Seconds()) // the Retry-After header has whole seconds
	wait := time.Duration(delaySeconds * (1 + clientRetryJitter*sim.rand.Float64()) * float64(time.Second))
	if sim.now+wait >= scenarioDuration(sim.scenario) {
		return
	}
	retry := &outcome{record: o.record, arrivedAt: sim.now + wait}
	sim.clientRetries = append(sim.clientRetries, retry)
	sim.scheduleAfter(wait, func() { sim.randomHost(o.record.Region).handleRequest(retry.record, retry) })
}

// randomHost returns a random host of a region.
func (sim *simulation) randomHost(region string) *fakeHost {
	i := slices.Index(sim.deployment.Regions, region)
	return sim.hosts[i*sim.hostsPerRegion()+sim.rand.IntN(sim.hostsPerRegion())]
}

func (sim *simulation) hostsPerRegion() int {
	if sim.scenario.HostsPerRegion > 0 {
		return sim.scenario.HostsPerRegion
	}
	return sim.deployment.HostsPerRegion
}

func (sim *simulation) reportInterval() time.Duration {
	if sim.scenario.ReportInterval > 0 {
		return sim.scenario.ReportInterval
	}
	return time.Second
}

// tick runs the periodic updates of each host's decision code.
func (sim *simulation) tick() {
	for _, h := range sim.hosts {
		if h.Tick != nil {
			h.Tick(sim.time(), h.pickers)
		}
	}
}

// scheduleReports schedules the load reports of a server. The hosts that can reach
// the server receive a report reportDelay after it was taken.
func (sim *simulation) scheduleReports(s *fakeServer, first, end time.Duration) {
	for t := first; t < end; t += sim.reportInterval() {
		sim.schedule(t, func() {
			if s.down {
				return
			}
			load := loadReport{len(s.running), len(s.queue)}
			sim.scheduleAfter(reportDelay, func() { sim.deliverReport(s, load) })
		})
	}
}

// loadReport holds the numbers of running and queued tasks of a server.
type loadReport struct{ running, queued int }

// deliverReport stores the load of a server at each host whose region has a link to
// that of the server.
func (sim *simulation) deliverReport(s *fakeServer, l loadReport) {
	for _, h := range sim.hosts {
		if sim.connected(h.Region, s.Region) {
			h.registry.Get(s.Name, s.Address, sim.time()).SetLoad(&serverstate.Load{Running: l.running, Queued: l.queued, Slots: s.slots, Received: sim.time()})
		}
	}
}

// connected reports whether regions a and b have a link.
func (sim *simulation) connected(a, b string) bool {
	return a == b || !(sim.fullPartition || sim.partitionedRegions[a] || sim.partitionedRegions[b])
}

// applyFault starts a fault if on is true and ends it otherwise.
func (sim *simulation) applyFault(f Fault, on bool) {
	switch f.Kind {
	case RegionPartition:
		sim.partitionedRegions[f.Region] = on
	case FullPartition:
		sim.fullPartition = on
	case ServerReplacement:
		sim.replaceServers(f)
	case SlowServers:
		for _, s := range sim.affectedServers(f) {
			s.slowdown = 1
			if on {
				s.slowdown = f.SlowdownFactor
			}
		}
	case ServersDown:
		for _, s := range sim.affectedServers(f) {
			if on {
				s.crash()
			} else {
				s.restart()
			}
		}
	}
}

// affectedServers returns the servers that a fault affects.
func (sim *simulation) affectedServers(f Fault) []*fakeServer {
	var out []*fakeServer
	for i, s := range sim.deployment.findPool(f.Pool).Servers {
		if i%f.EveryNth == 0 {
			out = append(out, sim.servers[s.Address])
		}
	}
	return out
}

// replaceServers simulates a release that replaces every EveryNth server of a pool
// by a new one, after which every host builds new pickers.
func (sim *simulation) replaceServers(f Fault) {
	pools := slices.Clone(sim.tables.Pools)
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
		existing := len(sim.serverOrder)
		sim.addServers(pools[i])
		for _, s := range sim.serverOrder[existing:] {
			sim.scheduleReports(s, sim.now, scenarioDuration(sim.scenario))
		}
	}
	sim.tables.Pools = pools
	for _, h := range sim.hosts {
		h.installSnapshot()
	}
}
