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
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

var startTime = time.Unix(1_000_000, 0)

// newRelease returns a release of the tables, with its rows in order of their keys.
func newRelease(t table.Tables) release.Release {
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

func snapshotOptions(reg *serverstate.Registry) snapshot.Options {
	return snapshot.Options{
		Registry: reg, Now: startTime.Add(-time.Hour),
		NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker {
			return pick.NewLocalityPicker(pick.DefaultOptions("host-1", "domain-0", "region-0"), s)
		},
	}
}

func buildSnapshot(tb testing.TB, s Size, reg *serverstate.Registry) *snapshot.Snapshot {
	tb.Helper()
	snap, err := snapshot.Build(newRelease(s.Tables()), snapshotOptions(reg))
	if err != nil {
		tb.Fatal(err)
	}
	return snap
}

func poolLoads(now time.Time, snap *snapshot.Snapshot) []admission.PoolLoad {
	var out []admission.PoolLoad
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		l := snap.Pools[name].Picker.(*pick.LocalityPicker).Load(now)
		out = append(out, admission.PoolLoad{Pool: name, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport})
	}
	return out
}

// benchmarkSizes returns three sizes, from which the growth of a cost can be read.
func benchmarkSizes() []Size {
	full := PlannedSize()
	return []Size{full.Scaled(1, 4), full.Scaled(1, 2), full}
}

func forEachSize(b *testing.B, f func(b *testing.B, s Size)) {
	for _, s := range benchmarkSizes() {
		b.Run(fmt.Sprintf("replicas=%d/accounts=%d", s.Replicas, s.Accounts), func(b *testing.B) { f(b, s) })
	}
}

// hostState is the decision state of an entry host under load. Every server has
// reported its load, and every account has sent a request.
type hostState struct {
	snap       *snapshot.Snapshot
	controller *admission.Controller
	accounts   []string
	paths      []string
}

// Loads of the benchmarks, in running requests of each server.
const (
	lightLoad = SlotsPerReplica / 2
	overload  = SlotsPerReplica * 4 / 3
)

// requestState holds the structs that a decision needs. Entry hosts keep them in
// the state of the request, so that they don't count as allocations here.
type requestState struct {
	attempt pick.Attempt
	req     admission.Request
}

// newHostState returns the state with busy running requests on each server.
func newHostState(tb testing.TB, s Size, busy int) *hostState {
	reg := serverstate.NewRegistry()
	h := &hostState{snap: buildSnapshot(tb, s, reg), controller: admission.NewController(admission.DefaultOptions(), clock.NewSeeded(1))}
	reg.Each(func(st *serverstate.State) { st.SetLoad(&serverstate.Load{Running: busy, Received: startTime}) })
	for i := range s.Accounts {
		h.accounts = append(h.accounts, s.Account(i))
	}
	for _, r := range h.snap.Routes {
		h.paths = append(h.paths, r.Match.Path)
	}
	h.controller.Tick(startTime, poolLoads(startTime, h.snap))
	for i := range h.accounts {
		h.decide(startTime, uint64(i), &requestState{})
	}
	h.controller.Tick(startTime.Add(time.Second), poolLoads(startTime, h.snap))
	return h
}

var emptyHeader = http.Header{}

// decide makes all decisions on request i: it finds the route, admits the request
// and picks a server for each stage. It returns the number of stages; 0 if the
// request is refused.
func (h *hostState) decide(now time.Time, i uint64, r *requestState) int {
	rt := h.snap.Route(http.MethodPost, h.paths[i%uint64(len(h.paths))], emptyHeader)
	r.req = admission.Request{
		Profile: rt.Profile, Account: h.accounts[i%uint64(len(h.accounts))], ArrivedAt: now, Deadline: now.Add(5 * time.Second), Fingerprint: i*0x9e3779b97f4a7c15 + 1,
	}
	if err := h.controller.Admit(now, &r.req); err != nil {
		return 0
	}
	for k := range rt.Stages {
		h.controller.StageStart(now, &r.req, k)
		r.attempt = pick.Attempt{Now: now, Rand: clock.SystemRand{}, Class: rt.Class, PrefixHash: i}
		if _, err := rt.Stages[k].Pool.Picker.Pick(&r.attempt); err != nil {
			panic(err)
		}
	}
	h.controller.Done(now, &r.req, admission.Completed)
	return len(rt.Stages)
}

func BenchmarkDecision(b *testing.B) {
	b.Run("calm", func(b *testing.B) { benchmarkDecision(b, lightLoad) })
	b.Run("full", func(b *testing.B) { benchmarkDecision(b, overload) })
}

func benchmarkDecision(b *testing.B, busy int) {
	forEachSize(b, func(b *testing.B, s Size) {
		h := newHostState(b, s, busy)
		now := startTime.Add(time.Second)
		stages := 0
		r := &requestState{}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			stages += h.decide(now, uint64(i), r)
		}
		b.ReportMetric(float64(stages)/float64(b.N), "stages/op")
	})
}

func BenchmarkDecisionParallel(b *testing.B) {
	h := newHostState(b, PlannedSize(), lightLoad)
	now := startTime.Add(time.Second)
	var next atomic.Uint64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		i := next.Add(1) << 32
		r := &requestState{}
		for pb.Next() {
			i++
			h.decide(now, i, r)
		}
	})
}

// BenchmarkTick measures one tick of admission control, which runs every 100 ms: it
// reads the load of every pool, and every fifth tick computes the shares.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s Size) {
		h := newHostState(b, s, overload)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now := startTime.Add(time.Second + time.Duration(i)*100*time.Millisecond)
			if i%10 == 0 {
				b.StopTimer()
				for k := range h.accounts {
					h.decide(now, uint64(k), &requestState{})
				}
				b.StartTimer()
			}
			h.controller.Tick(now, poolLoads(now, h.snap))
		}
	})
}

// BenchmarkInstall measures how long a release takes to compile in full, as for a
// release that changes one row.
func BenchmarkInstall(b *testing.B) {
	forEachSize(b, func(b *testing.B, s Size) {
		reg := serverstate.NewRegistry()
		rel := newRelease(s.Tables())
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			if _, err := snapshot.Build(rel, snapshotOptions(reg)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// liveHeapBytes returns the heap size after garbage collection. The second run
// frees what finalizers released in the first.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the heap bytes of the tables and of the decision state of
// one entry host.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, s Size) {
		for range b.N {
			before := liveHeapBytes()
			snap := buildSnapshot(b, s, serverstate.NewRegistry())
			withTables := liveHeapBytes()
			h := newHostState(b, s, overload)
			all := liveHeapBytes()
			b.ReportMetric(float64(withTables-before), "table-B")
			b.ReportMetric(float64(all-withTables), "world-B")
			runtime.KeepAlive(snap)
			runtime.KeepAlive(h)
		}
	})
}

// BenchmarkReach reports the largest number of servers that one host connects to,
// and the largest number of hosts that connect to one server.
func BenchmarkReach(b *testing.B) {
	forEachSize(b, func(b *testing.B, s Size) {
		for range b.N {
			maxReach, hostsPerServer := 0, map[string]int{}
			tables := s.Tables()
			for h := range s.EntryHosts {
				domain, region := s.FailureDomain(h)
				reach := 0
				for _, p := range tables.Pools {
					reg := serverstate.NewRegistry()
					servers := make([]pick.Server, len(p.Servers))
					for i, x := range p.Servers {
						servers[i] = pick.Server{Server: x, State: reg.Get(x.Name, x.Address, startTime), Slots: p.Slots}
					}
					for _, x := range pick.NewLocalityPicker(pick.DefaultOptions(fmt.Sprint("host-", h), domain, region), servers).Eligible() {
						reach++
						hostsPerServer[x.Name]++
					}
				}
				maxReach = max(maxReach, reach)
			}
			b.ReportMetric(float64(maxReach), "servers/host")
			b.ReportMetric(float64(slices.Max(slices.Collect(maps.Values(hostsPerServer)))), "hosts/server")
			b.ReportMetric(float64(s.Replicas), "all-servers")
		}
	})
}

// BenchmarkLoadReport fetches one load report over loopback and counts the bytes on
// the wire in both directions.
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

// countingListener counts the bytes that its connections read and write.
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

func TestDecisionsAtPlannedSizeDoNotAllocate(t *testing.T) {
	g := NewWithT(t)
	h := newHostState(t, PlannedSize(), lightLoad)
	g.Expect(h.snap.Pools).To(HaveLen(14))
	i, r := uint64(0), &requestState{}
	g.Expect(testing.AllocsPerRun(2000, func() {
		i++
		if h.decide(startTime.Add(time.Second), i, r) == 0 {
			t.Error("a request was refused at light load")
		}
	})).To(BeZero())
}

// Without a bound on the eligible servers every host would connect to all 1,100
// servers, and every server would have connections from all 380 hosts.
func TestEligibleServersAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := PlannedSize()
	snap := buildSnapshot(t, s, serverstate.NewRegistry())
	reach := 0
	for _, p := range snap.Pools {
		reach += len(p.Picker.(*pick.LocalityPicker).Eligible())
	}
	g.Expect(reach).To(BeNumerically("<=", 14*(8+8+2*4)))
}
