package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/serverprobe"
	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/release"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

var start = time.Unix(1_000_000, 0)

func rows(t table.Tables) release.Release {
	encoded, err := table.EncodeRows(t)
	if err != nil {
		panic(err)
	}
	rel := release.Release{Number: 1, Hash: "x"}
	for k, v := range encoded {
		rel.Rows = append(rel.Rows, release.Row{Key: k, Data: v})
	}
	slices.SortFunc(rel.Rows, func(a, b release.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rel
}

func options(reg *server.Registry) snapshot.Options {
	return snapshot.Options{
		Registry: reg, Now: start.Add(-time.Hour),
		NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker {
			return pick.NewLocalityPicker(pick.DefaultOptions("host-1", "domain-0", "region-0"), s)
		},
	}
}

func build(tb testing.TB, s Size, reg *server.Registry) *snapshot.Snapshot {
	tb.Helper()
	snap, err := snapshot.Build(rows(s.Tables()), options(reg))
	if err != nil {
		tb.Fatal(err)
	}
	return snap
}

func loads(now time.Time, snap *snapshot.Snapshot) []admission.PoolLoad {
	var out []admission.PoolLoad
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		l := snap.Pools[name].Picker.(*pick.LocalityPicker).Load(now)
		out = append(out, admission.PoolLoad{Pool: name, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport})
	}
	return out
}

// sizes are the three sizes that give each slope.
func sizes() []Size {
	full := PlannedSize()
	return []Size{full.Scaled(1, 4), full.Scaled(1, 2), full}
}

func each(b *testing.B, f func(b *testing.B, s Size)) {
	for _, s := range sizes() {
		b.Run(fmt.Sprintf("replicas=%d/accounts=%d", s.Replicas, s.Accounts), func(b *testing.B) { f(b, s) })
	}
}

// world is an entry host's decision state under load: busy requests on each
// server, and all accounts seen.
type world struct {
	snap    *snapshot.Snapshot
	control *admission.Controller
	names   []string
	paths   []string
}

// Loads of the benchmarks, in requests on a server.
const (
	calm = SlotsPerReplica / 2
	full = SlotsPerReplica * 4 / 3
)

// caller is what one request needs besides; a request's own state holds it.
type caller struct {
	info pick.Attempt
	req  admission.Request
}

func newWorld(tb testing.TB, s Size, busy int) *world {
	reg := server.NewRegistry()
	w := &world{snap: build(tb, s, reg), control: admission.NewController(admission.DefaultOptions(), clock.NewSeeded(1))}
	reg.Each(func(st *server.State) { st.SetLoad(&server.Load{Running: busy, Received: start}) })
	for i := range s.Accounts {
		w.names = append(w.names, s.Account(i))
	}
	for _, r := range w.snap.Routes {
		w.paths = append(w.paths, r.Match.Path)
	}
	w.control.Tick(start, loads(start, w.snap))
	for i := range w.names {
		w.decide(start, uint64(i), &caller{})
	}
	w.control.Tick(start.Add(time.Second), loads(start, w.snap))
	return w
}

var header = http.Header{}

// decide is the whole decision on one request: its route, whether to admit it,
// and a server for each stage.
func (w *world) decide(now time.Time, i uint64, c *caller) int {
	rt := w.snap.Route(http.MethodPost, w.paths[i%uint64(len(w.paths))], header)
	c.req = admission.Request{
		Profile: rt.Profile, Account: w.names[i%uint64(len(w.names))], ArrivedAt: now, Deadline: now.Add(5 * time.Second), Fingerprint: i*0x9e3779b97f4a7c15 + 1,
	}
	if err := w.control.Admit(now, &c.req); err != nil {
		return 0
	}
	for k := range rt.Stages {
		w.control.StageStart(now, &c.req, k)
		c.info = pick.Attempt{Now: now, Rand: clock.SystemRand{}, Class: rt.Class, PrefixHash: i}
		if _, err := rt.Stages[k].Pool.Picker.Pick(&c.info); err != nil {
			panic(err)
		}
	}
	w.control.Done(now, &c.req, admission.Completed)
	return len(rt.Stages)
}

func BenchmarkDecision(b *testing.B) {
	b.Run("calm", func(b *testing.B) { benchmarkDecision(b, calm) })
	b.Run("full", func(b *testing.B) { benchmarkDecision(b, full) })
}

func benchmarkDecision(b *testing.B, busy int) {
	each(b, func(b *testing.B, s Size) {
		w := newWorld(b, s, busy)
		now := start.Add(time.Second)
		stages := 0
		c := &caller{}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			stages += w.decide(now, uint64(i), c)
		}
		b.ReportMetric(float64(stages)/float64(b.N), "stages/op")
	})
}

func BenchmarkDecisionParallel(b *testing.B) {
	w := newWorld(b, PlannedSize(), calm)
	now := start.Add(time.Second)
	var next atomic.Uint64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		i := next.Add(1) << 32
		c := &caller{}
		for pb.Next() {
			i++
			w.decide(now, i, c)
		}
	})
}

// BenchmarkTick is a tenth of a second of control: every pool's load taken in,
// shares divided each fifth time.
func BenchmarkTick(b *testing.B) {
	each(b, func(b *testing.B, s Size) {
		w := newWorld(b, s, full)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now := start.Add(time.Second + time.Duration(i)*100*time.Millisecond)
			if i%10 == 0 {
				b.StopTimer()
				for k := range w.names {
					w.decide(now, uint64(k), &caller{})
				}
				b.StartTimer()
			}
			w.control.Tick(now, loads(now, w.snap))
		}
	})
}

// BenchmarkInstall compiles a release that changes one row.
func BenchmarkInstall(b *testing.B) {
	each(b, func(b *testing.B, s Size) {
		reg := server.NewRegistry()
		rel := rows(s.Tables())
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if _, err := snapshot.Build(rel, options(reg)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports what one entry host keeps, in bytes.
func BenchmarkMemory(b *testing.B) {
	each(b, func(b *testing.B, s Size) {
		for range b.N {
			before := heap()
			snap := build(b, s, server.NewRegistry())
			table := heap()
			w := newWorld(b, s, full)
			all := heap()
			b.ReportMetric(float64(table-before), "table-B")
			b.ReportMetric(float64(all-table), "world-B")
			runtime.KeepAlive(snap)
			runtime.KeepAlive(w)
		}
	})
}

// BenchmarkReach reports how many servers one host talks to, and over all
// hosts the connections of the busiest server.
func BenchmarkReach(b *testing.B) {
	each(b, func(b *testing.B, s Size) {
		for range b.N {
			most, perServer := 0, map[string]int{}
			tables := s.Tables()
			for h := range s.EntryHosts {
				domain, region := s.FailureDomain(h)
				reach := 0
				for _, p := range tables.Pools {
					reg := server.NewRegistry()
					servers := make([]pick.Server, len(p.Servers))
					for i, x := range p.Servers {
						servers[i] = pick.Server{Server: x, State: reg.Get(x.Name, x.Address, start), Slots: p.Slots}
					}
					for _, x := range pick.NewLocalityPicker(pick.DefaultOptions(fmt.Sprint("host-", h), domain, region), servers).Eligible() {
						reach++
						perServer[x.Name]++
					}
				}
				most = max(most, reach)
			}
			b.ReportMetric(float64(most), "servers/host")
			b.ReportMetric(float64(slices.Max(slices.Collect(maps.Values(perServer)))), "hosts/server")
			b.ReportMetric(float64(s.Replicas), "all-servers")
		}
	})
}

// BenchmarkLoadReport fetches one report over loopback and counts its bytes on
// the wire, both ways.
func BenchmarkLoadReport(b *testing.B) {
	const answer = `{"running":12,"queued":3,"slots":16,"models":["model-01@1"],"role":"decode","fence":17}`
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(answer))
	}))
	l := &countingListener{Listener: srv.Listener}
	srv.Listener = l
	srv.Start()
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	client := serverprobe.New(serverprobe.Options{})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.Poll(b.Context(), address, false); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-B/op")
}

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func TestFullSizeDecisionsNeedNoAllocation(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, PlannedSize(), calm)
	g.Expect(w.snap.Pools).To(HaveLen(14))
	i, c := uint64(0), &caller{}
	g.Expect(testing.AllocsPerRun(2000, func() {
		i++
		if w.decide(start.Add(time.Second), i, c) == 0 {
			t.Error("refused without load")
		}
	})).To(BeZero())
}

// Connections that grow as hosts times servers would give each server 380 and
// each host 1,100.
func TestReachIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := PlannedSize()
	snap := build(t, s, server.NewRegistry())
	reach := 0
	for _, p := range snap.Pools {
		reach += len(p.Picker.(*pick.LocalityPicker).Eligible())
	}
	g.Expect(reach).To(BeNumerically("<=", 14*(8+8+2*4)))
}
