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
type plant struct {
	mu       sync.Mutex
	servers  map[string]*plantServer
	busy     map[string]time.Duration // by service: time that servers worked
	calls    map[string]int
	items    map[string]int
	results  map[string]int64 // bytes by handle
	lost     int              // items that found no room
	gone     int              // items whose inputs were gone
	failsOne int              // of so many items that have their inputs, one fails; 0: none
	sequence int
}

type plantServer struct {
	turn   chan struct{} // holds one token while the server is free
	oneWay time.Duration
	room   int64 // left for results; meaningless without a bound
	slow   float64
}

// plantBackend sends one service's calls to the plant.
type plantBackend struct {
	plant   *plant
	service string
	opts    batcher.Options
}

// Run implements batcher.Backend.
func (b plantBackend) Run(_ context.Context, c *batcher.Call) batcher.Response {
	p := b.plant
	s := p.servers[c.Server.ID]
	time.Sleep(s.oneWay)
	<-s.turn
	defer func() {
		s.turn <- struct{}{}
		time.Sleep(s.oneWay)
	}()
	took := time.Duration(s.slow * float64(b.opts.CallTime+time.Duration(len(c.Items))*b.opts.ItemTime))
	a := p.take(b, s, c, took)
	time.Sleep(took)
	return a
}

// take gives the items that have room their results.
func (p *plant) take(b plantBackend, s *plantServer, c *batcher.Call, took time.Duration) (a batcher.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[b.service] += took
	p.calls[b.service]++
	p.items[b.service] += len(c.Items)
	for _, part := range c.Items {
		bytes := part.Job.ResultBytes
		if !p.have(part.Job.Items[part.Index].Inputs) {
			p.gone++
			a.Results = append(a.Results, batcher.Result{Reason: batcher.InputLost})
			continue
		}
		if b.opts.ResultMemoryBytes > 0 && s.room < bytes {
			p.lost++
			a.Results = append(a.Results, batcher.Result{Reason: batcher.NoCapacity})
			continue
		}
		p.sequence++
		if p.failsOne > 0 && p.sequence%p.failsOne == 0 {
			a.Results = append(a.Results, batcher.Result{Reason: batcher.Failed})
			continue
		}
		s.room -= bytes
		handle := fmt.Sprint(p.sequence)
		p.results[handle] = bytes
		a.Results = append(a.Results, batcher.Result{Handle: handle, ServerID: c.Server.ID, Domain: c.Server.Domain})
	}
	return a
}

// have tells whether all of some results are kept.
func (p *plant) have(handles []string) bool {
	for _, h := range handles {
		if _, kept := p.results[h]; !kept {
			return false
		}
	}
	return true
}

// Room implements batcher.Backend.
func (b plantBackend) FreeResultMemory(_ context.Context, s *directory.Server) (int64, error) {
	time.Sleep(2 * b.plant.servers[s.ID].oneWay)
	b.plant.mu.Lock()
	defer b.plant.mu.Unlock()
	return b.plant.servers[s.ID].room, nil
}

// Free implements batcher.Backend.
func (b plantBackend) ReleaseResults(_ context.Context, s *directory.Server, handles []string) error {
	to := b.plant.servers[s.ID]
	time.Sleep(to.oneWay)
	b.plant.mu.Lock()
	defer b.plant.mu.Unlock()
	for _, h := range handles {
		to.room += b.plant.results[h]
		delete(b.plant.results, h)
	}
	return nil
}

// plantService is a service of a plant, with its servers by failure domain.
type plantService struct {
	batcher.Options
	servers []string // failure domain of each
	slow    []float64
}

// caller is one kind of request.
type caller struct {
	name     string
	like     string // kind whose stages and times it has
	perSec   func(at time.Duration) float64
	aim, die time.Duration
	mean     float64 // worth
	worth    func(r *rand.Rand) float64
	hold     time.Duration // that its results are kept for it to run
	stages   func(r *rand.Rand) []Stage
}

// tally is what became of the requests of one kind.
type tally struct{ offered, onTime, late, refused int }

func (t tally) share() float64 { return float64(t.onTime) / float64(max(t.offered, 1)) }

func (t tally) served() float64 { return float64(t.onTime+t.late) / float64(max(t.offered, 1)) }

// load is a run of callers against a plant.
type load struct {
	services map[string]plantService
	callers  []caller
	lasts    time.Duration
	seed     uint64
	naive    bool // all is begun as it comes
	failsOne int  // of so many items one fails; 0: none
}

// clump is how many requests come at one moment, in the mean.
const clump = 3.0

// farAway is the way between regions; the coordinator is in the first domain.
const farAway = 20 * time.Millisecond

// run plays the load and returns what became of each kind.
func (l load) run(t *testing.T) (out map[string]*tally, p *plant) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p = &plant{failsOne: l.failsOne, servers: map[string]*plantServer{}, busy: map[string]time.Duration{}, calls: map[string]int{}, items: map[string]int{}, results: map[string]int64{}}
		batchers := map[string]*batcher.Batcher{}
		for name, s := range l.services {
			batchers[name] = p.open(ctx, name, s)
		}
		k := NewCoordinator(func(s string) *batcher.Batcher { return batchers[s] }, noServers, clock.System{}, quiet{})
		if l.naive {
			k.admission = NewAdmission(func(name string) (Service, bool) {
				s, ok := k.service(name)
				s.ItemsPerSecond, s.TotalResultBytes = math.MaxInt32, 0
				return s, ok
			})
		}
		out = map[string]*tally{}
		var mu sync.Mutex
		var running sync.WaitGroup
		for i, c := range l.callers {
			out[c.name] = &tally{}
			r := rand.New(rand.NewPCG(l.seed, uint64(i)))
			running.Go(func() {
				began := time.Now()
				for n := 0; time.Since(began) < l.lasts; n++ {
					q := c.request(r, n)
					running.Go(func() {
						became := serve(ctx, k, c, q)
						mu.Lock()
						defer mu.Unlock()
						out[c.name].offered++
						*out[c.name].count(became)++
					})
					if r.Float64() < 1/clump {
						time.Sleep(time.Duration(clump * r.ExpFloat64() / c.perSec(time.Since(began)) * float64(time.Second)))
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

func (p *plant) open(ctx context.Context, name string, s plantService) *batcher.Batcher {
	b := batcher.New(name, s.Options, plantBackend{p, name, s.Options}, clock.System{}, quiet{})
	var entries []directory.Entry
	for i, domain := range s.servers {
		id := fmt.Sprint(name, i)
		one := &plantServer{turn: make(chan struct{}, 1), oneWay: farAway, room: s.ResultMemoryBytes, slow: 1}
		if domain == s.servers[0] {
			one.oneWay = time.Millisecond
		}
		if i < len(s.slow) {
			one.slow = s.slow[i]
		}
		one.turn <- struct{}{}
		p.servers[id] = one
		entries = append(entries, directory.Entry{ID: id, Service: name, Domain: domain})
	}
	dir := directory.New()
	dir.Replace(entries, time.Now())
	b.Configure(s.Options, dir.View().Servers(name), func(d *directory.Server) time.Duration { return p.servers[d.ID].oneWay })
	go func() { _ = b.Run(ctx) }()
	return b
}

func (c *caller) request(r *rand.Rand, n int) *Request {
	now := time.Now()
	return &Request{
		ID: fmt.Sprint(c.name, n), RunDomain: []string{"x", "y", "z"}[r.IntN(3)], Worth: c.worth(r), Stages: c.stages(r),
		TargetTime: now.Add(c.aim), Deadline: now.Add(c.die),
	}
}

// became is what became of one request.
type became int

const (
	onTime became = iota
	late
	refused
)

func (t *tally) count(b became) *int { return []*int{&t.onTime, &t.late, &t.refused}[b] }

func serve(ctx context.Context, k *Coordinator, c caller, q *Request) became {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	made, err := k.Run(ctx, q)
	switch {
	case err != nil:
		return refused
	case time.Now().After(q.TargetTime):
		defer k.free(made.Inputs...)
		return late
	}
	time.Sleep(c.hold)
	k.free(made.Inputs...)
	return onTime
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
func about(r *rand.Rand, mean float64) int { return max(1, int(mean*(0.5+r.Float64())+0.5)) }

// fourStages is a place with scarce servers in three regions before engines: a few
// servers of one call at a time each, results of the first stage so large that a
// server holds a dozen, and requests of one, three and four stages whose aim leaves
// as much again as the stages take.
func fourStages() load {
	opts := func(items int, item time.Duration, room int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 150 * time.Millisecond, ItemTime: item, ResultMemoryBytes: room, ResultTTL: 4 * time.Second}
	}
	drafts := func(r *rand.Rand) []Stage {
		return []Stage{{Service: "encode", Items: about(r, 1.75), ResultBytes: 3_000_000}}
	}
	answers := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 8, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: about(r, 16), ResultBytes: 6_000},
		}
	}
	chats := func(r *rand.Rand) []Stage {
		list := []Stage{{Service: "encode", ResultBytes: 3_000_000}}
		if r.Float64() < 0.4 {
			list[0].Items = about(r, 1.5)
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
	return load{
		seed: 1, lasts: 12 * time.Second,
		services: map[string]plantService{
			"encode":   {Options: opts(8, 14*time.Millisecond, 42_000_000), servers: []string{"x", "x", "y", "z"}},
			"retrieve": {Options: opts(32, 4*time.Millisecond, 5_600_000), servers: []string{"x", "x", "y", "y", "z"}},
			"rank":     {Options: opts(64, 2*time.Millisecond, 1_100_000), servers: []string{"x", "x", "y", "y", "z"}},
		},
		callers: []caller{
			{name: "draft", perSec: steady(11.7), aim: 1100 * time.Millisecond, die: 5500 * time.Millisecond, worth: worth(5), hold: 400 * time.Millisecond, stages: drafts},
			{name: "answer", perSec: steady(15.4), aim: 1680 * time.Millisecond, die: 7 * time.Second, worth: worth(2.4), hold: 200 * time.Millisecond, stages: answers},
			{name: "chat", perSec: steady(17.3), aim: 1530 * time.Millisecond, die: 6500 * time.Millisecond, worth: worth(1), hold: 200 * time.Millisecond, stages: chats},
		},
	}
}

// several plays a load with three seeds.
func (l load) several(t *testing.T) (out map[string]*tally) {
	out = map[string]*tally{}
	for seed := range uint64(3) {
		l.seed = seed
		one, p := l.run(t)
		for name, n := range one {
			if out[name] == nil {
				out[name] = &tally{}
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

func (t *tally) add(o tally) {
	t.offered += o.offered
	t.onTime += o.onTime
	t.late += o.late
	t.refused += o.refused
}

// String tells how full the calls were and how long the servers worked.
func (p *plant) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(p.calls)) {
		fmt.Fprintf(&b, "%s: %.1f items a call, %.1f s; ", name, float64(p.items[name])/float64(p.calls[name]), p.busy[name].Seconds())
	}
	fmt.Fprintf(&b, "%d items found no room, of %d the inputs were gone", p.lost, p.gone)
	return b.String()
}

// The pattern: the questions of one kind of client come three times as often for six
// seconds, several at a moment. Full calls can make all of it; calls that are half
// full cannot. As much is begun as fills the calls of every stage, so that nobody is
// refused, and the drafts, worth most, are all in time.
func TestBurstIsBegunAsFarAsFullCallsReach(t *testing.T) {
	l := fourStages()
	l.callers[1].perSec = burst(15.4, 3, 2*time.Second, 8*time.Second)
	out := l.several(t)
	g := NewWithT(t)
	for _, n := range out {
		g.Expect(n.refused).To(BeZero())
	}
	g.Expect(out["draft"].share()).To(BeNumerically(">", 0.99))
}

// roomInTheMiddle is a place in which the servers of the middle of three stages have room
// for the results of less than two full calls, and requests of which full calls can make
// all. In it, results that are kept until the calls of the stage behind have ended leave
// calls half empty while items wait.
func roomInTheMiddle() load {
	opts := func(items int, item time.Duration, room int64) batcher.Options {
		return batcher.Options{MaxItems: items, CallTime: 240 * time.Millisecond, ItemTime: item, ResultMemoryBytes: room, ResultTTL: 4 * time.Second}
	}
	questions := func(r *rand.Rand) []Stage {
		return []Stage{
			{Service: "encode", Items: 1, ResultBytes: 8_000},
			{Service: "retrieve", DependsOn: []int{0}, Items: 4, ResultBytes: 60_000},
			{Service: "rank", DependsOn: []int{1}, Items: about(r, 6), ResultBytes: 6_000},
		}
	}
	return load{
		seed: 1, lasts: 12 * time.Second,
		services: map[string]plantService{
			"encode":   {Options: opts(10, 6*time.Millisecond, 12_000_000), servers: []string{"x", "x", "x", "y", "y", "z"}},
			"retrieve": {Options: opts(24, 8600*time.Microsecond, 2_700_000), servers: []string{"x", "x", "y", "y", "z"}},
			"rank":     {Options: opts(28, 7300*time.Microsecond, 320_000), servers: []string{"x", "x", "y", "y", "z", "z"}},
		},
		callers: []caller{
			{name: "question", perSec: steady(48), aim: 2 * time.Second, die: 7 * time.Second, worth: func(*rand.Rand) float64 { return 1 }, hold: 200 * time.Millisecond, stages: questions},
		},
	}
}

// The pattern: a burst lasts, the middle stage's servers are short of room, and full calls
// could make everything. Guards against calls that leave half empty for lack of room
// that results hold which the stage behind has fetched already.
func TestRoomIsFreeOnceTheNextStageHasFetchedItsInputs(t *testing.T) {
	out := roomInTheMiddle().several(t)
	g := NewWithT(t)
	g.Expect(out["question"].served()).To(BeNumerically(">", 0.99))
	g.Expect(out["question"].share()).To(BeNumerically(">", 0.9))
}

// The pattern: the same load, and one item of a hundred fails in a call that took its
// inputs. Guards against requests that are lost because their inputs were given up.
func TestItemsThatFailAfterTheirInputsAreGivenUp(t *testing.T) {
	l := roomInTheMiddle()
	l.failsOne = 100
	out := l.several(t)
	NewWithT(t).Expect(out["question"].served()).To(BeNumerically(">", 0.998))
}
