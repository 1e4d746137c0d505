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

// plant is stage servers in simulated time: each works on one call after the other,
// takes as long as configured and keeps results until they are freed.
type simulation struct {
	mu             sync.Mutex
	servers        map[string]*simServer
	busyTime       map[string]time.Duration // by service: time that servers worked
	calls          map[string]int
	items          map[string]int
	results        map[string]int64 // bytes by handle
	memoryRefusals int              // items that found no room
	missingInputs  int              // items whose inputs were gone
	failEvery      int              // of so many items that have their inputs, one fails; 0: none
	sequence       int
}

type simServer struct {
	idle      chan struct{} // holds one token while the server is free
	oneWay    time.Duration
	freeBytes int64 // left for results; meaningless without a bound
	slowdown  float64
}

// plantBackend sends one service's calls to the plant.
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
	took := time.Duration(s.slowdown * float64(b.opts.CallTime+time.Duration(len(c.Items))*b.opts.ItemTime))
	a := p.makeResults(b, s, c, took)
	time.Sleep(took)
	return a
}

// take gives the items that have room their results.
func (p *simulation) makeResults(b simBackend, s *simServer, c *batcher.Call, took time.Duration) (a batcher.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyTime[b.service] += took
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

// have tells whether all of some results are kept.
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

// plantService is a service of a plant, with its servers by failure domain.
type simService struct {
	batcher.Options
	serverDomains []string // failure domain of each
	slowdowns     []float64
}

// caller is one kind of request.
type requestClass struct {
	name                    string
	sameStagesAs            string // kind whose stages and times it has
	rate                    func(at time.Duration) float64
	targetLatency, deadline time.Duration
	meanWorth               float64 // worth
	worth                   func(r *rand.Rand) float64
	resultHold              time.Duration // that its results are kept for it to run
	stages                  func(r *rand.Rand) []Stage
}

// tally is what became of the requests of one kind.
type outcomeCounts struct{ offered, onTime, late, refused int }

func (t outcomeCounts) onTimeShare() float64 { return float64(t.onTime) / float64(max(t.offered, 1)) }

func (t outcomeCounts) servedShare() float64 {
	return float64(t.onTime+t.late) / float64(max(t.offered, 1))
}

// load is a run of callers against a plant.
type workload struct {
	services  map[string]simService
	classes   []requestClass
	duration  time.Duration
	seed      uint64
	admitAll  bool // all is begun as it comes
	failEvery int  // of so many items one fails; 0: none
}

// clump is how many requests come at one moment, in the mean.
const meanBurstSize = 3.0

// farAway is the way between regions; the coordinator is in the first domain.
const interRegionDelay = 20 * time.Millisecond

// run plays the load and returns what became of each kind.
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
				began := time.Now()
				for n := 0; time.Since(began) < l.duration; n++ {
					q := c.newRequest(r, n)
					running.Go(func() {
						became := runRequestToEnd(ctx, k, c, q)
						mu.Lock()
						defer mu.Unlock()
						out[c.name].offered++
						*out[c.name].counter(became)++
					})
					if r.Float64() < 1/meanBurstSize {
						time.Sleep(time.Duration(meanBurstSize * r.ExpFloat64() / c.rate(time.Since(began)) * float64(time.Second)))
					}
				}
			})
		}
		running.Wait()
		time.Sleep(time.Second) // for results to be freed
		stop()
		synctest.Wait()
	})
	return out, p
}

func (p *simulation) startService(ctx context.Context, name string, s simService) *batcher.Batcher {
	b := batcher.New(name, s.Options, simBackend{p, name, s.Options}, clock.System{}, discardLog{})
	var entries []directory.Entry
	for i, domain := range s.serverDomains {
		id := fmt.Sprint(name, i)
		one := &simServer{idle: make(chan struct{}, 1), oneWay: interRegionDelay, freeBytes: s.ResultMemoryBytes, slowdown: 1}
		if domain == s.serverDomains[0] {
			one.oneWay = time.Millisecond
		}
		if i < len(s.slowdowns) {
			one.slowdown = s.slowdowns[i]
		}
		one.idle <- struct{}{}
		p.servers[id] = one
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
		ID: fmt.Sprint(c.name, n), RunDomain: []string{"x", "y", "z"}[r.IntN(3)], Worth: c.worth(r), Stages: c.stages(r),
		TargetTime: now.Add(c.targetLatency), Deadline: now.Add(c.deadline),
	}
}

// became is what became of one request.
type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
)

func (t *outcomeCounts) counter(b outcome) *int { return []*int{&t.onTime, &t.late, &t.refused}[b] }

func runRequestToEnd(ctx context.Context, k *Coordinator, c requestClass, q *Request) outcome {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	made, err := k.Run(ctx, q)
	switch {
	case err != nil:
		return outcomeRefused
	case time.Now().After(q.TargetTime):
		defer k.freeInputs(made.Inputs...)
		return outcomeLate
	}
	time.Sleep(c.resultHold)
	k.freeInputs(made.Inputs...)
	return outcomeOnTime
}

// steady is a load of so many requests a second.
func steady(perSec float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSec }
}

// burst is a load that is x times the usual from one moment to another.
func burst(perSec, x float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return x * perSec
		}
		return perSec
	}
}

// about draws a positive number of a mean with some spread.
func around(r *rand.Rand, mean float64) int { return max(1, int(mean*(0.5+r.Float64())+0.5)) }

// fourStages is a place with scarce servers in three regions before engines: a few
// servers of one call at a time each, results of the first stage so large that a
// server holds a dozen, and requests of one, three and four stages whose aim leaves
// as much again as the stages take.
func scarceEncodeWorkload() workload {
	opts := func(items int, item time.Duration, room int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 150 * time.Millisecond, ItemTime: item, ResultMemoryBytes: room, ResultTTL: 4 * time.Second}
	}
	drafts := func(r *rand.Rand) []Stage {
		return []Stage{{Service: "encode", Items: around(r, 1.75), ResultBytes: 3_000_000}}
	}
	answers := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 8, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: around(r, 16), ResultBytes: 6_000},
		}
	}
	chats := func(r *rand.Rand) []Stage {
		list := []Stage{{Service: "encode", ResultBytes: 3_000_000}}
		if r.Float64() < 0.4 {
			list[0].Items = around(r, 1.5)
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
			{name: "draft", rate: steady(11.7), targetLatency: 1100 * time.Millisecond, deadline: 5500 * time.Millisecond, worth: worth(5), resultHold: 400 * time.Millisecond, stages: drafts},
			{name: "answer", rate: steady(15.4), targetLatency: 1680 * time.Millisecond, deadline: 7 * time.Second, worth: worth(2.4), resultHold: 200 * time.Millisecond, stages: answers},
			{name: "chat", rate: steady(17.3), targetLatency: 1530 * time.Millisecond, deadline: 6500 * time.Millisecond, worth: worth(1), resultHold: 200 * time.Millisecond, stages: chats},
		},
	}
}

// several plays a load with three seeds.
func (l workload) runSeeds(t *testing.T) (out map[string]*outcomeCounts) {
	out = map[string]*outcomeCounts{}
	for seed := range uint64(3) {
		l.seed = seed
		one, p := l.run(t)
		for name, n := range one {
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
}

// String tells how full the calls were and how long the servers worked.
func (p *simulation) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(p.calls)) {
		fmt.Fprintf(&b, "%s: %.1f items a call, %.1f s; ", name, float64(p.items[name])/float64(p.calls[name]), p.busyTime[name].Seconds())
	}
	fmt.Fprintf(&b, "%d items found no room, of %d the inputs were gone", p.memoryRefusals, p.missingInputs)
	return b.String()
}

// The pattern: the questions of one kind of client come three times as often for six
// seconds, several at a moment. Full calls can make all of it; calls that are half
// full cannot. As much is begun as fills the calls of every stage, so that nobody is
// refused, and the drafts, worth most, are all in time.
func TestBurstIsBegunAsFarAsFullCallsReach(t *testing.T) {
	l := scarceEncodeWorkload()
	l.classes[1].rate = burst(15.4, 3, 2*time.Second, 8*time.Second)
	out := l.runSeeds(t)
	g := NewWithT(t)
	for _, n := range out {
		g.Expect(n.refused).To(BeZero())
	}
	g.Expect(out["draft"].onTimeShare()).To(BeNumerically(">", 0.99))
}

// roomInTheMiddle is a place in which the servers of the middle of three stages have room
// for the results of less than two full calls, and requests of which full calls can make
// all. In it, results that are kept until the calls of the stage behind have ended leave
// calls half empty while items wait.
func scarceMiddleMemoryWorkload() workload {
	opts := func(items int, item time.Duration, room int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 240 * time.Millisecond, ItemTime: item, ResultMemoryBytes: room, ResultTTL: 4 * time.Second}
	}
	questions := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 4, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: around(r, 6), ResultBytes: 6_000},
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
			{name: "question", rate: steady(48), targetLatency: 2 * time.Second, deadline: 7 * time.Second, worth: func(*rand.Rand) float64 { return 1 }, resultHold: 200 * time.Millisecond, stages: questions},
		},
	}
}

// The pattern: a burst lasts, the middle stage's servers are short of room, and full calls
// could make everything. Guards against calls that leave half empty for lack of room
// that results hold which the stage behind has fetched already.
func TestRoomIsFreeOnceTheNextStageHasFetchedItsInputs(t *testing.T) {
	out := scarceMiddleMemoryWorkload().runSeeds(t)
	g := NewWithT(t)
	g.Expect(out["question"].servedShare()).To(BeNumerically(">", 0.99))
	g.Expect(out["question"].onTimeShare()).To(BeNumerically(">", 0.9))
}

// The pattern: the same load, and one item of a hundred fails in a call that took its
// inputs. Guards against requests that are lost because their inputs were given up.
func TestItemsThatFailAfterTheirInputsAreGivenUp(t *testing.T) {
	l := scarceMiddleMemoryWorkload()
	l.failEvery = 100
	out := l.runSeeds(t)
	NewWithT(t).Expect(out["question"].servedShare()).To(BeNumerically(">", 0.998))
}
