package spill

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// regionsLoad is a load of several regions, each with hosts of its own and a line in which requests
// wait for stage work.
type regionsLoad struct {
	demand   float64 // requests per second of each region, in the mean
	capacity float64 // requests per second that each region takes
	swing    float64 // part by which demand rises and falls, in each region at another time
	halved   bool    // from 10 s to 20 s the first region takes only half
	report   func(*line, time.Time) time.Duration
}

const (
	regions        = 3
	hostsPerRegion = 24
	loadDuration   = 30 * time.Second
	wavePeriod     = 15 * time.Second
	stageDuration  = 500 * time.Millisecond // from admission to the response
	otherRegion    = 40 * time.Millisecond  // cost of another region
	prefixDiscount = 79 * time.Millisecond  // value of the region that has a request's prefix
	tolerableWait  = 600 * time.Millisecond // a request that waits longer is late
)

// line is the line of one region.
type line struct {
	backlog  time.Duration // wait of a request that arrives now
	at       time.Duration // time of backlog
	arriving Waits         // expected waits of requests that arrive
	ended    Waits         // waits of requests that have ended
}

// event is the arrival of a request at its host, or of the response there.
type event struct {
	at       time.Duration
	response bool
	region   int // of the arrival: the host's; of the response: where the stage work ran
	host     int
	wait     time.Duration
}

// events is a heap by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// rate returns the part of its capacity that a region takes at a time.
func (l regionsLoad) rate(region int, at time.Duration) float64 {
	if l.halved && region == 0 && at >= 10*time.Second && at < 20*time.Second {
		return 0.5
	}
	return 1
}

// result is the outcome of a run: the part of the requests that waited over tolerableWait, and the
// part that left its region.
type result struct{ late, moved float64 }

// run plays the load.
func (l regionsLoad) run(seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 5))
	lines := make([]line, regions)
	reports := make([]Reports, regions*hostsPerRegion)
	var queue events
	for region := range regions {
		for at := time.Duration(0); at < loadDuration; {
			phase := 2 * math.Pi * (at.Seconds()/wavePeriod.Seconds() + float64(region)/regions)
			at += time.Duration(r.ExpFloat64() / (l.demand * (1 + l.swing*math.Sin(phase))) * float64(time.Second))
			queue = append(queue, event{at: at, region: region, host: region*hostsPerRegion + r.IntN(hostsPerRegion)})
		}
	}
	heap.Init(&queue)
	start, total, late, moved := time.Unix(0, 0), 0, 0, 0
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		for i := range lines {
			served := time.Duration(l.rate(i, e.at) * float64(e.at-lines[i].at))
			lines[i].backlog, lines[i].at = max(lines[i].backlog-served, 0), e.at
		}
		now := start.Add(e.at)
		if e.response {
			lines[e.region].ended.Record(0, e.wait, now)
			reports[e.host].Record(name(e.region), 0, l.report(&lines[e.region], now), now)
			continue
		}
		to := choose(r, &reports[e.host], e.region, now)
		chosen := &lines[to]
		wait := time.Duration(float64(chosen.backlog) / l.rate(to, e.at))
		chosen.backlog += time.Duration(float64(time.Second) / l.capacity)
		chosen.arriving.Record(0, wait, now)
		total++
		if wait > tolerableWait {
			late++
		}
		if to != e.region {
			moved++
		}
		heap.Push(&queue, event{at: e.at + wait + stageDuration, response: true, region: to, host: e.host, wait: wait})
	}
	return result{float64(late) / float64(total), float64(moved) / float64(total)}
}

// name returns the name of a region.
func name(region int) string { return string(rune('a' + region)) }

// choose returns the region with the lowest cost for a request of a host.
func choose(r *rand.Rand, reports *Reports, own int, now time.Time) int {
	home, u := -1, r.Float64()
	if r.Float64() < 0.5 {
		home = r.IntN(regions)
	}
	best, lowest := own, time.Duration(math.MaxInt64)
	for region := range regions {
		cost := Cost(reports.Expected(name(region), 0, now), u)
		if region != own {
			cost += otherRegion
		}
		if region == home {
			cost -= prefixDiscount
		}
		if cost < lowest {
			best, lowest = region, cost
		}
	}
	return best
}

// tellsArriving reports the expected wait of requests that arrive.
func tellsArriving(l *line, now time.Time) time.Duration { return l.arriving.Expected(0, now) }

// tellsEnded reports the mean wait of requests that have ended.
func tellsEnded(l *line, now time.Time) time.Duration { return l.ended.Expected(0, now) }

// tellsNothing reports no waits.
func tellsNothing(*line, time.Time) time.Duration { return 0 }

// mean plays the load with several seeds.
func (l regionsLoad) mean(report func(*line, time.Time) time.Duration) (m result) {
	const seeds = 3
	l.report = report
	for seed := range uint64(seeds) {
		r := l.run(seed)
		m.late, m.moved = m.late+r.late/seeds, m.moved+r.moved/seeds
	}
	return m
}

// A region loses half of its servers for ten seconds while the others have room. Guards against
// requests that wait there for the time of the loss.
func TestRequestsLeaveARegionThatLostServers(t *testing.T) {
	g := NewWithT(t)
	l := regionsLoad{demand: 70, capacity: 85, swing: 0.1, halved: true}
	arriving, ended, none := l.mean(tellsArriving), l.mean(tellsEnded), l.mean(tellsNothing)
	t.Logf("late %.3f, with waits of ended requests told %.3f, with none %.3f", arriving.late, ended.late, none.late)
	g.Expect(arriving.late).To(BeNumerically("<", 0.05))
	g.Expect(arriving.late).To(BeNumerically("<", ended.late/2))
	g.Expect(arriving.late).To(BeNumerically("<", none.late/4))
}

// The demand of each region rises and falls by half at another time; the regions together always
// have room. Guards against lines that grow in one region while another one has room, and against
// regions that fill each other.
func TestWaveIsSharedBetweenRegions(t *testing.T) {
	g := NewWithT(t)
	l := regionsLoad{demand: 70, capacity: 80, swing: 0.55}
	arriving, ended, none := l.mean(tellsArriving), l.mean(tellsEnded), l.mean(tellsNothing)
	t.Logf("late %.3f, with waits of ended requests told %.3f, with none %.3f; moved %.3f, %.3f", arriving.late, ended.late, none.late, arriving.moved, none.moved)
	g.Expect(arriving.late).To(BeNumerically("<", 0.01))
	g.Expect(arriving.late).To(BeNumerically("<", min(ended.late, none.late)/4))
}

// Guards against requests that leave their region although it has room.
func TestNothingMoreLeavesWithRoom(t *testing.T) {
	g := NewWithT(t)
	l := regionsLoad{demand: 70, capacity: 110, swing: 0.3}
	arriving, none := l.mean(tellsArriving), l.mean(tellsNothing)
	t.Logf("moved %.3f, with no waits told %.3f", arriving.moved, none.moved)
	g.Expect(arriving.moved).To(BeNumerically("<", none.moved+0.01))
	g.Expect(arriving.late).To(BeZero())
}

// Guards against a region that gets nothing any more because it was told to be full once.
func TestReportsDecay(t *testing.T) {
	g := NewWithT(t)
	var r Reports
	now := time.Unix(9, 0)
	g.Expect(r.Expected("a", 0, now)).To(BeZero())
	r.Record("a", 0, 800*time.Millisecond, now)
	g.Expect(r.Expected("a", 0, now)).To(Equal(800 * time.Millisecond))
	g.Expect(r.Expected("a", 0, now.Add(2*time.Second))).To(Equal(200 * time.Millisecond))
	g.Expect(r.Expected("a", 1, now)).To(BeZero(), "another priority waits in a line of its own")
	g.Expect(r.Expected("b", 0, now)).To(BeZero())
	g.Expect(r.List(now)).To(Equal([]Told{{"a", 0, 800, 0}}))
	g.Expect(r.List(now.Add(time.Minute))).To(BeEmpty())
}

// Guards against a region that hosts avoid because of a line that ended long ago: nothing has arrived
// since, and the mean would only forget with new requests.
func TestExpectedWaitFadesWhileNothingArrives(t *testing.T) {
	g := NewWithT(t)
	var w Waits
	now := time.Unix(9, 0)
	for range 100 {
		w.Record(1, time.Second, now)
	}
	g.Expect(w.Expected(1, now)).To(BeNumerically("~", time.Second, time.Millisecond))
	g.Expect(w.Expected(0, now)).To(BeZero())
	later := now.Add(10 * time.Minute)
	g.Expect(w.Expected(1, later)).To(BeZero())
	w.Record(1, 0, later)
	g.Expect(w.Expected(1, later)).To(BeZero())
	g.Expect(w.Expected(1, now.Add(-time.Second))).To(BeZero(), "the clock was set back")
}
