package stages

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
)

// simulation holds stage servers in simulated time. Each server runs one call at a time, takes
// the configured time and keeps results until they are freed.
type simulation struct {
	mu             sync.Mutex
	servers        map[string]*simServer
	busyTime       map[string]time.Duration // by service: working time of its servers
	calls          map[string]int
	items          map[string]int
	results        map[string]int64 // size in bytes by handle
	memoryRefusals int              // items refused for lack of result memory
	missingInputs  int              // items whose inputs were missing
	failEvery      int              // one of so many items with inputs fails; 0: none
	sequence       int
}

type simServer struct {
	idle      chan struct{} // holds one token while the server is idle
	oneWay    time.Duration
	freeBytes int64 // free result memory; unused if it is unlimited
	slowdown  float64
}

// simBackend sends the calls of one service to the simulation.
type simBackend struct {
	sim     *simulation
	service string
	opts    batcher.Options
}

// Run implements batcher.Backend.
func (b simBackend) Run(_ context.Context, c *batcher.Call) batcher.Response {
	p := b.sim
	s := p.servers[c.Server.ID]
	time.Sleep(s.oneWay)
	<-s.idle
	defer func() {
		s.idle <- struct{}{}
		time.Sleep(s.oneWay)
	}()
	callTime := time.Duration(s.slowdown * float64(b.opts.CallTime+time.Duration(len(c.Items))*b.opts.ItemTime))
	a := p.makeResults(b, s, c, callTime)
	time.Sleep(callTime)
	return a
}

// makeResults creates the results of a call's items, as far as the result memory allows.
func (p *simulation) makeResults(b simBackend, s *simServer, c *batcher.Call, callTime time.Duration) (a batcher.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyTime[b.service] += callTime
	p.calls[b.service]++
	p.items[b.service] += len(c.Items)
	for _, part := range c.Items {
		bytes := part.Job.ResultBytes
		if !p.hasAll(part.Job.Items[part.Index].Inputs) {
			p.missingInputs++
			a.Results = append(a.Results, batcher.Result{Reason: batcher.InputLost})
			continue
		}
		if b.opts.ResultMemoryBytes > 0 && s.freeBytes < bytes {
			p.memoryRefusals++
			a.Results = append(a.Results, batcher.Result{Reason: batcher.NoCapacity})
			continue
		}
		p.sequence++
		if p.failEvery > 0 && p.sequence%p.failEvery == 0 {
			a.Results = append(a.Results, batcher.Result{Reason: batcher.Failed})
			continue
		}
		s.freeBytes -= bytes
		handle := fmt.Sprint(p.sequence)
		p.results[handle] = bytes
		a.Results = append(a.Results, batcher.Result{Handle: handle, ServerID: c.Server.ID, Domain: c.Server.Domain})
	}
	return a
}

// hasAll reports whether all results are stored.
func (p *simulation) hasAll(handles []string) bool {
	for _, h := range handles {
		if _, kept := p.results[h]; !kept {
			return false
		}
	}
	return true
}

// FreeResultMemory implements batcher.Backend.
func (b simBackend) FreeResultMemory(_ context.Context, s *directory.Server) (int64, error) {
	time.Sleep(2 * b.sim.servers[s.ID].oneWay)
	b.sim.mu.Lock()
	defer b.sim.mu.Unlock()
	return b.sim.servers[s.ID].freeBytes, nil
}

// ReleaseResults implements batcher.Backend.
func (b simBackend) ReleaseResults(_ context.Context, s *directory.Server, handles []string) error {
	to := b.sim.servers[s.ID]
	time.Sleep(to.oneWay)
	b.sim.mu.Lock()
	defer b.sim.mu.Unlock()
	for _, h := range handles {
		to.freeBytes += b.sim.results[h]
		delete(b.sim.results, h)
	}
	return nil
}

// simService is a service of a simulation.
type simService struct {
	batcher.Options
	serverDomains []string // failure domain of each server
	slowdowns     []float64
}

// requestClass is one kind of request.
type requestClass struct {
	name                   string
	priority               int    // of its requests; 0: most urgent
	account                string // client account of its requests
	sameStagesAs           string // class whose stages and time limits it has
	rate                   func(at time.Duration) float64
	targetLatency, timeout time.Duration
	meanWorth              float64
	worth                  func(r *rand.Rand) float64
	resultHold             time.Duration // how long its results are kept for the request to run
	stages                 func(r *rand.Rand) []Stage
}

// outcomeCounts counts the outcomes of the requests of one class.
type outcomeCounts struct {
	offered, onTime, late, refused int
	refusedWait                    time.Duration // total wait of the refused ones
}

// meanRefusedWait returns how long the refused requests waited in the mean.
func (t outcomeCounts) meanRefusedWait() time.Duration {
	return t.refusedWait / time.Duration(max(t.refused, 1))
}

func (t outcomeCounts) onTimeShare() float64 { return float64(t.onTime) / float64(max(t.offered, 1)) }

func (t outcomeCounts) servedShare() float64 {
	return float64(t.onTime+t.late) / float64(max(t.offered, 1))
}

// workload is a set of request classes and the services that serve them.
type workload struct {
	services  map[string]simService
	classes   []requestClass
	duration  time.Duration
	seed      uint64
	admitAll  bool // every request starts on arrival
	failEvery int  // one of so many items fails; 0: none
}

// meanBurstSize is the mean number of requests that arrive at the same moment.
const meanBurstSize = 3.0

// interRegionDelay is the one-way delay between regions; the coordinator is in the first domain.
const interRegionDelay = 20 * time.Millisecond

// run simulates the workload and returns the outcome counts by class.
func (l workload) run(t *testing.T) (out map[string]*outcomeCounts, p *simulation) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p = &simulation{failEvery: l.failEvery, servers: map[string]*simServer{}, busyTime: map[string]time.Duration{}, calls: map[string]int{}, items: map[string]int{}, results: map[string]int64{}}
		batchers := map[string]*batcher.Batcher{}
		for name, s := range l.services {
			batchers[name] = p.startService(ctx, name, s)
		}
		k := NewCoordinator(func(s string) *batcher.Batcher { return batchers[s] }, noServers, clock.System{}, discardLog{})
		if l.admitAll {
			k.admission = NewAdmission(func(name string) (Service, bool) {
				s, ok := k.service(name)
				s.ItemsPerSecond, s.TotalResultBytes = math.MaxInt32, 0
				return s, ok
			})
		}
		out = map[string]*outcomeCounts{}
		var mu sync.Mutex
		var running sync.WaitGroup
		for i, c := range l.classes {
			out[c.name] = &outcomeCounts{}
			r := rand.New(rand.NewPCG(l.seed, uint64(i)))
			running.Go(func() {
				start := time.Now()
				for n := 0; time.Since(start) < l.duration; n++ {
					q := c.newRequest(r, n)
					running.Go(func() {
						arrived := time.Now()
						result := runRequestToEnd(ctx, k, c, q)
						mu.Lock()
						defer mu.Unlock()
						if result == outcomeRefused {
							out[c.name].refusedWait += time.Since(arrived)
						}
						out[c.name].offered++
						*out[c.name].counter(result)++
					})
					if r.Float64() < 1/meanBurstSize {
						time.Sleep(time.Duration(meanBurstSize * r.ExpFloat64() / c.rate(time.Since(start)) * float64(time.Second)))
					}
				}
			})
		}
		running.Wait()
		time.Sleep(time.Second) // for results to be freed
		stop()
		synctest.Wait()
		expectIdle(NewWithT(t), k)
	})
	return out, p
}

// expectIdle fails the test if requests wait or work counts as in flight: servers would be left idle for it.
func expectIdle(g *WithT, k *Coordinator) {
	k.mu.Lock()
	defer k.mu.Unlock()
	onTime, late := k.admission.Waiting()
	g.Expect(onTime+late).To(BeZero(), "requests that wait")
	for _, inFlight := range []map[string]workAmount{k.admission.inFlight, k.admission.lateInFlight} {
		for service, amount := range inFlight {
			g.Expect(amount).To(BeZero(), "in flight: %s", service)
		}
	}
}

// startService creates the servers of a service and starts its batcher.
func (p *simulation) startService(ctx context.Context, name string, s simService) *batcher.Batcher {
	b := batcher.New(name, s.Options, simBackend{p, name, s.Options}, clock.System{}, discardLog{})
	var entries []directory.Entry
	for i, domain := range s.serverDomains {
		id := fmt.Sprint(name, i)
		server := &simServer{idle: make(chan struct{}, 1), oneWay: interRegionDelay, freeBytes: s.ResultMemoryBytes, slowdown: 1}
		if domain == s.serverDomains[0] {
			server.oneWay = time.Millisecond
		}
		if i < len(s.slowdowns) {
			server.slowdown = s.slowdowns[i]
		}
		server.idle <- struct{}{}
		p.servers[id] = server
		entries = append(entries, directory.Entry{ID: id, Service: name, Domain: domain})
	}
	dir := directory.New()
	dir.Replace(entries, time.Now())
	b.Configure(s.Options, dir.View().Servers(name), func(d *directory.Server) time.Duration { return p.servers[d.ID].oneWay })
	go func() { _ = b.Run(ctx) }()
	return b
}

func (c *requestClass) newRequest(r *rand.Rand, n int) *Request {
	now := time.Now()
	return &Request{
		ID: fmt.Sprint(c.name, n), RunDomain: []string{"x", "y", "z"}[r.IntN(3)], Worth: c.worth(r), Priority: c.priority, Account: c.account, Stages: c.stages(r),
		TargetTime: now.Add(c.targetLatency), Deadline: now.Add(c.timeout),
	}
}

// outcome is the outcome of one request.
type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
)

// counter returns the counter of an outcome.
func (t *outcomeCounts) counter(b outcome) *int { return []*int{&t.onTime, &t.late, &t.refused}[b] }

// runRequestToEnd runs the stages of a request, keeps the results for the time of the request
// and returns its outcome.
func runRequestToEnd(ctx context.Context, k *Coordinator, c requestClass, q *Request) outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	results, err := k.Run(ctx, q)
	switch {
	case err != nil:
		return outcomeRefused
	case time.Now().After(q.TargetTime):
		defer k.freeInputs(results.Inputs...)
		return outcomeLate
	}
	time.Sleep(c.resultHold)
	k.freeInputs(results.Inputs...)
	return outcomeOnTime
}

// steady returns a constant rate of requests per second.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a rate that is multiplied by factor in a time interval.
func burst(perSecond, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor * perSecond
		}
		return perSecond
	}
}

// randomAround returns a random positive number around a mean.
func randomAround(r *rand.Rand, mean float64) int { return max(1, int(mean*(0.5+r.Float64())+0.5)) }

// scarceEncodeWorkload has scarce stage servers in three regions: a few servers of one call at
// a time each, first-stage results so large that a server stores only a dozen, and requests
// of one, three and four stages whose target latency is twice the time of their stages.
func scarceEncodeWorkload() workload {
	opts := func(items int, item time.Duration, memory int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 150 * time.Millisecond, ItemTime: item, ResultMemoryBytes: memory, ResultTTL: 4 * time.Second}
	}
	drafts := func(r *rand.Rand) []Stage {
		return []Stage{{Service: "encode", Items: randomAround(r, 1.75), ResultBytes: 3_000_000}}
	}
	answers := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 8, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: randomAround(r, 16), ResultBytes: 6_000},
		}
	}
	chats := func(r *rand.Rand) []Stage {
		list := []Stage{{Service: "encode", ResultBytes: 3_000_000}}
		if r.Float64() < 0.4 {
			list[0].Items = randomAround(r, 1.5)
		}
		for _, s := range answers(r) {
			for i := range s.DependsOn {
				s.DependsOn[i]++
			}
			list = append(list, s)
		}
		return list
	}
	worth := func(mean float64) func(*rand.Rand) float64 {
		return func(r *rand.Rand) float64 { return mean * (0.3 + 0.7*r.ExpFloat64()) }
	}
	return workload{
		seed: 1, duration: 12 * time.Second,
		services: map[string]simService{
			"encode":   {Options: opts(8, 14*time.Millisecond, 42_000_000), serverDomains: []string{"x", "x", "y", "z"}},
			"retrieve": {Options: opts(32, 4*time.Millisecond, 5_600_000), serverDomains: []string{"x", "x", "y", "y", "z"}},
			"rank":     {Options: opts(64, 2*time.Millisecond, 1_100_000), serverDomains: []string{"x", "x", "y", "y", "z"}},
		},
		classes: []requestClass{
			{name: "draft", rate: steady(11.7), targetLatency: 1100 * time.Millisecond, timeout: 5500 * time.Millisecond, worth: worth(5), resultHold: 400 * time.Millisecond, stages: drafts},
			{name: "answer", rate: steady(15.4), targetLatency: 1680 * time.Millisecond, timeout: 7 * time.Second, worth: worth(2.4), resultHold: 200 * time.Millisecond, stages: answers},
			{name: "chat", rate: steady(17.3), targetLatency: 1530 * time.Millisecond, timeout: 6500 * time.Millisecond, worth: worth(1), resultHold: 200 * time.Millisecond, stages: chats},
		},
	}
}

// runSeeds runs the workload with three seeds and returns the sums of the outcome counts.
func (l workload) runSeeds(t *testing.T) (out map[string]*outcomeCounts) {
	out = map[string]*outcomeCounts{}
	for seed := range uint64(3) {
		l.seed = seed
		counts, p := l.run(t)
		for name, n := range counts {
			if out[name] == nil {
				out[name] = &outcomeCounts{}
			}
			out[name].add(*n)
		}
		t.Log(seed, p)
	}
	for name, n := range out {
		t.Logf("%s %+v", name, *n)
	}
	return out
}

func (t *outcomeCounts) add(o outcomeCounts) {
	t.offered += o.offered
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
	t.refusedWait += o.refusedWait
}

// String returns the mean number of items per call and the working time of each service.
func (p *simulation) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(p.calls)) {
		fmt.Fprintf(&b, "%s: %.1f items per call, %.1f s; ", name, float64(p.items[name])/float64(p.calls[name]), p.busyTime[name].Seconds())
	}
	fmt.Fprintf(&b, "%d items lacked result memory, %d items lacked inputs", p.memoryRefusals, p.missingInputs)
	return b.String()
}

// One request class arrives three times as often for six seconds, several requests at a time.
// Full calls have capacity for all of it, half-empty calls do not. Enough requests must start
// to fill the calls of every stage, so that none is refused and the drafts, which are worth
// most, are all in time.
func TestBurstFillsCalls(t *testing.T) {
	l := scarceEncodeWorkload()
	l.classes[1].rate = burst(15.4, 3, 2*time.Second, 8*time.Second)
	out := l.runSeeds(t)
	g := NewWithT(t)
	for _, n := range out {
		g.Expect(n.refused).To(BeZero())
	}
	g.Expect(out["draft"].onTimeShare()).To(BeNumerically(">", 0.99))
}

// scarceMiddleMemoryWorkload has a middle stage whose servers have result memory for less than
// two full calls. Full calls have capacity for all requests. Results that are kept until the
// calls of the next stage end leave calls half empty while items wait.
func scarceMiddleMemoryWorkload() workload {
	opts := func(items int, item time.Duration, memory int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 240 * time.Millisecond, ItemTime: item, ResultMemoryBytes: memory, ResultTTL: 4 * time.Second}
	}
	questions := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 4, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: randomAround(r, 6), ResultBytes: 6_000},
		}
	}
	return workload{
		seed: 1, duration: 12 * time.Second,
		services: map[string]simService{
			"encode":   {Options: opts(10, 6*time.Millisecond, 12_000_000), serverDomains: []string{"x", "x", "x", "y", "y", "z"}},
			"retrieve": {Options: opts(24, 8600*time.Microsecond, 2_700_000), serverDomains: []string{"x", "x", "y", "y", "z"}},
			"rank":     {Options: opts(28, 7300*time.Microsecond, 320_000), serverDomains: []string{"x", "x", "y", "y", "z", "z"}},
		},
		classes: []requestClass{
			{name: "question", rate: steady(48), targetLatency: 2 * time.Second, timeout: 7 * time.Second, worth: func(*rand.Rand) float64 { return 1 }, resultHold: 200 * time.Millisecond, stages: questions},
		},
	}
}

// A lasting burst with scarce result memory in the middle stage, where full calls have capacity
// for everything. Guards against half-empty calls for lack of memory that is occupied by
// results which the next stage has already fetched.
func TestResultsAreFreedOnceTheNextStageHasFetchedThem(t *testing.T) {
	out := scarceMiddleMemoryWorkload().runSeeds(t)
	g := NewWithT(t)
	g.Expect(out["question"].servedShare()).To(BeNumerically(">", 0.99))
	g.Expect(out["question"].onTimeShare()).To(BeNumerically(">", 0.9))
}

// The same workload, where one of a hundred items fails in a call that has fetched its inputs.
// Guards against failed requests because their inputs were freed.
func TestItemsThatFailAfterTheirInputsAreFreed(t *testing.T) {
	l := scarceMiddleMemoryWorkload()
	l.failEvery = 100
	out := l.runSeeds(t)
	NewWithT(t).Expect(out["question"].servedShare()).To(BeNumerically(">", 0.998))
}
