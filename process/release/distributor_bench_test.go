package release

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/membership"
	"bilberrydale/process/objectapi"
)

// The benchmarks measure one accepted change per iteration, on in-process hosts
// of three failure domains in three regions. The one-way delay is 1.5 ms within
// a domain, and 20 ms between regions and from two of them to the platform. To
// run one:
//
//	go test ./process/release -run '^$' -bench InForce -benchtime 20x
const (
	sameRegionDelay  = 1500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
	benchDomains     = 3
)

// regionDelay returns the one-way delay between two domains, or to the platform
// if to is empty.
func regionDelay(from, to string) time.Duration {
	if to == "" {
		to = "d0" // the platform is in the first region
	}
	if from == to {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// largeTables returns the rows of the design size: 14 pools of 79 replicas
// (1,106) and 11 routes. serial selects one server of one pool that is changed.
func largeTables(serial int) []Change {
	type server struct{ Name, Address, Domain, Region string }
	var changes []Change
	add := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		changes = append(changes, Change{Key: key, Data: data})
	}
	for p := range 14 {
		var servers []server
		for i := range 79 {
			servers = append(servers, server{
				fmt.Sprintf("engine-%02d-%03d", p, i), fmt.Sprintf("10.%d.%d.%d:8000", p, i/8, i%8*31), fmt.Sprint("domain-", i%10), fmt.Sprint("region-", i%3),
			})
		}
		if p == serial%14 {
			servers[serial%79].Address = fmt.Sprintf("10.99.%d.%d:8000", serial/200, serial%200)
		}
		add(fmt.Sprintf("pools/pool-%02d", p), servers)
	}
	for r := range 11 {
		add(fmt.Sprintf("routes/route-%02d", r), server{fmt.Sprint("route-", r), "/v1/" + fmt.Sprint(r), "standard", "5s"})
	}
	return changes
}

// timestampStore is the publisher's store; it records when the head was
// written.
type timestampStore struct {
	objectapi.Store
	acceptedAt time.Time
}

func (a *timestampStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	v, err := a.Store.Put(ctx, key, value, expect)
	if key == HeadKey {
		a.acceptedAt = time.Now()
	}
	return v, err
}

// publishServerChange accepts a changed server and returns the release and the
// time of acceptance.
func (fl *fleet) publishServerChange(serial int) (Release, time.Time) {
	store := &timestampStore{Store: fl.objects}
	p := &Publisher{Store: store, Validate: func([]Row) error { return nil }, Clock: clock.System{}, Rand: clock.NewSeeded(1)}
	head := mustSucceed(fl.g)(latestRelease(context.Background(), fl.objects))
	set := ChangeSet{Author: "ada"}
	for _, c := range largeTables(serial) {
		row, _ := head.Row(c.Key)
		c.BaseVersion = row.Version
		set.Changes = append(set.Changes, c)
	}
	return mustSucceed(fl.g)(p.Apply(context.Background(), set)), store.acceptedAt
}

// activationDelays returns for every host the time from since to its activation
// of rel, sorted.
func (fl *fleet) activationDelays(rel Release, since time.Time) []time.Duration {
	var out []time.Duration
	for _, h := range fl.hosts {
		t, _ := h.activatedAt.Load(rel.Number)
		out = append(out, t.(time.Time).Sub(since))
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func benchFleet(b *testing.B, n int, activationDelay time.Duration) *fleet {
	fl := newFleet(NewWithT(b))
	fl.oneWayDelay, fl.syncInterval, fl.watcherTimeout = regionDelay, DefaultSyncInterval, defaultWatcherTimeout
	fl.opts = FollowerOptions{ActivationDelay: activationDelay}
	fl.start(b, benchDomains, n/benchDomains)
	rel, _ := fl.publishServerChange(0)
	fl.awaitInForce(rel)
	return fl
}

// reportDelays reports the median and the maximum over iterations for the
// first, the median and the last host, and for the spread between first and
// last.
func reportDelays(b *testing.B, all [][]time.Duration) {
	reportMetric := func(name string, pick func([]time.Duration) time.Duration) {
		var v []float64
		for _, d := range all {
			v = append(v, float64(pick(d).Microseconds())/1000)
		}
		sort.Float64s(v)
		b.ReportMetric(v[len(v)/2], name+"-ms")
		b.ReportMetric(v[len(v)-1], name+"-worst-ms")
	}
	reportMetric("first", func(d []time.Duration) time.Duration { return d[0] })
	reportMetric("median", func(d []time.Duration) time.Duration { return d[len(d)/2] })
	reportMetric("last", func(d []time.Duration) time.Duration { return d[len(d)-1] })
	reportMetric("apart", func(d []time.Duration) time.Duration { return d[len(d)-1] - d[0] })
	b.ReportMetric(0, "ns/op")
}

// traffic returns the platform calls and the peer bytes of all hosts, and the
// peer bytes of the busiest host.
func (fl *fleet) traffic() (calls, bytes, busiestBytes int64) {
	for name, h := range fl.hosts {
		_, n := fl.net.Traffic(name)
		calls, bytes, busiestBytes = calls+h.link.calls.Load(), bytes+n, max(busiestBytes, n)
	}
	return calls, bytes, busiestBytes
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapKB returns the live heap per host, including the share of the platform
// and the test harness.
func (fl *fleet) heapKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024 / float64(len(fl.hosts))
}

// BenchmarkInForce measures the time from the acceptance of a change to its
// activation on all hosts, without faults.
func BenchmarkInForce(b *testing.B) {
	for _, activationDelay := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond} {
		for _, n := range []int{6, 12, 24, 48} {
			b.Run(fmt.Sprintf("hold=%s/hosts=%d", activationDelay, n), func(b *testing.B) {
				fl := benchFleet(b, n, activationDelay)
				calls0, bytes0, most0 := fl.traffic()
				var all [][]time.Duration
				for i := range b.N {
					rel, acceptedAt := fl.publishServerChange(i + 1)
					fl.awaitInForce(rel)
					all = append(all, fl.activationDelays(rel, acceptedAt))
				}
				reportDelays(b, all)
				b.ReportMetric(fl.heapKB(), "heapKB/host")
				calls, bytes, most := fl.traffic()
				b.ReportMetric(float64(calls-calls0)/float64(b.N*benchDomains), "calls/domain/op")
				b.ReportMetric(float64(bytes-bytes0)/float64(b.N*n), "peerB/host/op")
				b.ReportMetric(float64(most-most0)/float64(b.N), "peerB/busiest/op")
			})
		}
	}
}

// BenchmarkHeal accepts a change while no host reaches the platform and no
// domain reaches another, and measures from the time the connections are
// restored.
func BenchmarkHeal(b *testing.B) {
	for _, n := range []int{6, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			fl := benchFleet(b, n, DefaultActivationDelay)
			var all [][]time.Duration
			for i := range b.N {
				for _, h := range fl.hosts {
					h.link.fail()
				}
				fl.eachCrossDomainPair(fl.net.Partition)
				rel, _ := fl.publishServerChange(i + 1)
				sleep(3 * time.Second) // outage; watchers reach their longest backoff
				fl.eachCrossDomainPair(fl.net.Heal)
				restoredAt := time.Now()
				for _, h := range fl.hosts {
					h.link.restore()
				}
				fl.awaitInForce(rel)
				all = append(all, fl.activationDelays(rel, restoredAt))
			}
			reportDelays(b, all)
		})
	}
}

// BenchmarkCutDomain accepts a change while one domain does not reach the
// platform, and measures its hosts, which get it from other domains.
func BenchmarkCutDomain(b *testing.B) {
	for _, n := range []int{6, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			fl := benchFleet(b, n, DefaultActivationDelay)
			for _, h := range fl.hostsOf("d1") {
				h.link.fail()
			}
			var all [][]time.Duration
			for i := range b.N {
				rel, acceptedAt := fl.publishServerChange(i + 1)
				fl.awaitInForce(rel)
				var cut []time.Duration
				for _, h := range fl.hostsOf("d1") {
					t, _ := h.activatedAt.Load(rel.Number)
					cut = append(cut, t.(time.Time).Sub(acceptedAt))
				}
				slices.Sort(cut)
				all = append(all, cut)
			}
			reportDelays(b, all)
		})
	}
}

// BenchmarkKilledWatcher kills the first watcher of a domain just before the
// change, while the membership still lists it as alive.
func BenchmarkKilledWatcher(b *testing.B) {
	for _, n := range []int{6, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			fl := benchFleet(b, n, DefaultActivationDelay)
			var all [][]time.Duration
			for i := range b.N {
				name := fl.hostsOf("d0")[0].distributor.rankedHosts(membership.Alive)[0]
				fl.kill(name, false)
				rel, acceptedAt := fl.publishServerChange(i + 1)
				fl.awaitInForce(rel)
				all = append(all, fl.activationDelays(rel, acceptedAt))
				fl.mu.Lock()
				fl.staleMembers = nil
				fl.mu.Unlock()
				fl.startHost(b, name, "d0", newPlatformLink(fl.objects))
				fl.awaitWatchers(benchDomains)
				fl.awaitInForce(rel)
			}
			reportDelays(b, all)
		})
	}
}

// BenchmarkAtRest measures CPU time and traffic during ten seconds without a
// change per iteration.
func BenchmarkAtRest(b *testing.B) {
	const period = 10 * time.Second
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			fl := benchFleet(b, n, DefaultActivationDelay)
			calls0, bytes0, most0 := fl.traffic()
			cpu0 := cpuTime()
			for range b.N {
				sleep(period)
			}
			cpu := cpuTime() - cpu0
			calls, bytes, most := fl.traffic()
			seconds := period.Seconds() * float64(b.N)
			b.ReportMetric(float64(cpu.Microseconds())/seconds/float64(n), "cpu-us/host/s")
			b.ReportMetric(float64(calls-calls0)/seconds/benchDomains, "calls/domain/s")
			b.ReportMetric(float64(bytes-bytes0)/seconds/float64(n), "peerB/host/s")
			b.ReportMetric(float64(most-most0)/seconds, "peerB/busiest/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTransfer measures one changed server in tables of the design size:
// the size of the response, and the cost of building and applying it.
func BenchmarkTransfer(b *testing.B) {
	rows := func(serial int, number uint64) Release {
		rel := Release{Number: number}
		for _, c := range largeTables(serial) {
			rel.Rows = append(rel.Rows, Row{Key: c.Key, Data: c.Data, Version: 1, Author: "ada"})
		}
		rel.Hash = HashRows(rel.Rows)
		return rel
	}
	base, next := &PreparedRelease{Release: rows(0, 1)}, &PreparedRelease{Release: rows(15, 2)}
	for _, from := range []*PreparedRelease{nil, base} {
		name := "whole"
		if from != nil {
			name = "changed"
		}
		b.Run(name, func(b *testing.B) {
			var t fetchResponse
			for range b.N {
				var err error
				if t, err = newFetchResponse(next, from); err != nil {
					b.Fatal(err)
				}
				rel, err := t.release(base)
				if err != nil || rel.Verify() != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(t.Delta)), "packedB")
			b.ReportMetric(float64(diffRowsFrom(from, next).sizeBytes()), "rowsB")
		})
	}
}

func diffRowsFrom(base, next *PreparedRelease) Delta {
	if base == nil {
		return Delta{Changed: next.Rows}
	}
	return diffRows(base.Rows, next.Rows)
}
