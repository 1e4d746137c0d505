package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/release"
	"bilberrydale/version/table"
)

// releaseBenchCluster is a set of entry hosts in three failure domains, with real
// connections over loopback, and a platform that can be made unavailable to the
// hosts while releases are still published.
type releaseBenchCluster struct {
	objects        *standin.Store
	platformDown   atomic.Bool
	platformServer *httptest.Server
	hosts          []*Host
	tables         table.Tables
}

// rttProbeInterval is the time between a watcher's measurements of its round trip
// to the platform.
const rttProbeInterval = 5 * time.Second

func newReleaseBenchCluster(b *testing.B, n int) *releaseBenchCluster {
	RegisterTestingT(b)
	r := &releaseBenchCluster{objects: standin.NewStore()}
	handler := r.objects.Handler()
	r.platformServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.platformDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, req)
	}))
	b.Cleanup(r.platformServer.Close)
	for p := range 14 {
		pool := table.Pool{Name: fmt.Sprintf("pool-%02d", p), Kind: table.Service, Slots: 8}
		for i := range 79 {
			pool.Servers = append(pool.Servers, table.Server{
				Name: fmt.Sprintf("s-%02d-%03d", p, i), Address: fmt.Sprintf("127.1.%d.%d:9", p, 1+i), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i%3),
			})
		}
		r.tables.Pools = append(r.tables.Pools, pool)
		route := fourStageRoute()
		route.Name, route.Match.Path = fmt.Sprintf("route-%02d", p), fmt.Sprintf("/v1/%02d", p)
		route.Stages = route.Stages[:1]
		route.Stages[0].Pool = pool.Name
		r.tables.Routes = append(r.tables.Routes, route)
	}
	r.publishChange(0)
	var seeds []string
	for i := range n {
		h := r.startHost(b, i, strings.Join(seeds, ","))
		r.hosts = append(r.hosts, h)
		seeds = append(seeds, h.membership.listener.Addr().String())
	}
	for _, h := range r.hosts {
		Eventually(h.ready, 10*time.Second).Should(BeTrue())
		Eventually(func() int { return len(h.membership.view.Peers()) }, 20*time.Second).Should(Equal(n - 1))
	}
	<-time.After(2 * rttProbeInterval) // round trips measured while all hosts start are too long
	return r
}

func (r *releaseBenchCluster) startHost(b *testing.B, i int, seeds string) *Host {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region = fmt.Sprintf("e%02d", i), fmt.Sprint("d", i%3), fmt.Sprint("r", i%3)
	opts.PlatformURL, opts.PeerSeeds, opts.LogLevel = r.platformServer.URL, seeds, "error"
	opts.ListenAddress, opts.AdminAddress, opts.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	h, err := New(ctx, opts)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-done })
	return h
}

// publishChange publishes a release that changes the worth of one route, and
// returns its number.
func (r *releaseBenchCluster) publishChange(serial int) uint64 {
	r.tables.Routes[serial%len(r.tables.Routes)].Worth = float64(1 + serial)
	rows, err := table.EncodeRows(r.tables)
	Expect(err).NotTo(HaveOccurred())
	p := &release.Publisher{Store: r.objects, Validate: table.ValidateRows, Clock: clock.System{}, Rand: clock.NewSeeded(1)}
	head, _, err := p.Head(context.Background())
	Expect(err).NotTo(HaveOccurred())
	set := release.ChangeSet{Author: "ada"}
	for key, data := range rows {
		old, _ := head.Row(key)
		set.Changes = append(set.Changes, release.Change{Key: key, Data: data, BaseVersion: old.Version})
	}
	rel, err := p.Apply(context.Background(), set)
	Expect(err).NotTo(HaveOccurred())
	return rel.Number
}

// activationDelays returns the times from start until release number is in force
// on each host, in ascending order, to half a millisecond.
func (r *releaseBenchCluster) activationDelays(start time.Time, number uint64) []time.Duration {
	out := make([]time.Duration, 0, len(r.hosts))
	pending := append([]*Host(nil), r.hosts...)
	for len(pending) > 0 {
		remaining := pending[:0]
		for _, h := range pending {
			if snap := h.inForce.Load(); snap != nil && snap.Number >= number {
				out = append(out, time.Since(start))
				continue
			}
			remaining = append(remaining, h)
		}
		pending = remaining
		<-time.After(500 * time.Microsecond)
	}
	return out
}

// reportDelays reports the median and the maximum over all releases of the first,
// median and last delay and of the spread between hosts.
func reportDelays(b *testing.B, all [][]time.Duration) {
	for name, statistic := range map[string]func([]time.Duration) time.Duration{
		"first":  func(d []time.Duration) time.Duration { return d[0] },
		"median": func(d []time.Duration) time.Duration { return d[len(d)/2] },
		"last":   func(d []time.Duration) time.Duration { return d[len(d)-1] },
		"apart":  func(d []time.Duration) time.Duration { return d[len(d)-1] - d[0] },
	} {
		var ms []float64
		for _, d := range all {
			ms = append(ms, float64(statistic(d).Microseconds())/1000)
		}
		sort.Float64s(ms)
		b.ReportMetric(ms[len(ms)/2], name+"-ms")
		b.ReportMetric(ms[len(ms)-1], name+"-worst-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkReleaseInForce measures the times from the response to the accepting
// update until the release is in force on the hosts.
func BenchmarkReleaseInForce(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := newReleaseBenchCluster(b, n)
			var all [][]time.Duration
			for i := range b.N {
				number := r.publishChange(i + 1)
				all = append(all, r.activationDelays(time.Now(), number))
			}
			reportDelays(b, all)
		})
	}
}

// BenchmarkReleaseAfterHeal measures the times from the end of a platform outage of
// three seconds, during which a release was accepted that no host could read.
func BenchmarkReleaseAfterHeal(b *testing.B) {
	for _, n := range []int{6, 24} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := newReleaseBenchCluster(b, n)
			var all [][]time.Duration
			for i := range b.N {
				r.platformDown.Store(true)
				r.platformServer.CloseClientConnections()
				number := r.publishChange(i + 1)
				<-time.After(3 * time.Second)
				r.platformDown.Store(false)
				all = append(all, r.activationDelays(time.Now(), number))
			}
			reportDelays(b, all)
		})
	}
}
