package memberbench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"bilberrydale/process/member"
)

// A fleet is measured at rest over as many heartbeats of each host as it sends
// in about 8 s. Those of the first 12 s or so pass before: with them go the news of
// the start, the first details and dials, which are not the state at rest.
const (
	windowBeats = 32
	settleBeats = 48
)

// figures are what one size gave. Rates are per second and daemon but for
// those of the platform, which are for the whole fleet and for one domain.
type figures struct {
	Hosts             int     `json:"hosts"`
	Domains           int     `json:"domains"`
	Servers           int     `json:"servers_per_domain"`
	Heartbeats        float64 `json:"heartbeats_sent"`
	PeerBytes         float64 `json:"peer_bytes_sent"`
	LoadBytes         float64 `json:"load_bytes_sent"`
	Polls             float64 `json:"polls"`
	CPUMicros         float64 `json:"cpu_us"`
	HeartbeatMicros   float64 `json:"heartbeat_us"`
	MemoryKB          float64 `json:"memory_kb"`
	PlatformCalls     float64 `json:"platform_calls"`
	PlatformPerDomain float64 `json:"platform_calls_per_domain"`
	KilledFirst       float64 `json:"killed_host_seen_by_first_s"`
	KilledLast        float64 `json:"killed_host_seen_by_last_s"`
	LeavingLast       float64 `json:"leaving_server_seen_by_last_s"`
}

func BenchmarkMembership(b *testing.B) {
	// The last is one whole failure domain of the size to design for.
	sizes := []shape{{6, 3, 10}, {12, 3, 10}, {24, 3, 10}, {48, 3, 10}, {38, 1, 110}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts=%d,domains=%d,servers=%d", size.hosts, size.domains, size.servers), func(b *testing.B) {
			f := newFleet(b, size)
			f.beats(settleBeats)
			fig := f.atRest()
			fig.LeavingLast = f.leaving().Seconds()
			first, last := f.killed()
			fig.KilledFirst, fig.KilledLast = first.Seconds(), last.Seconds()
			data, _ := json.Marshal(fig)
			fmt.Printf("figures %s\n", data)
			b.ReportMetric(fig.PeerBytes, "peer-B/s/daemon")
			b.ReportMetric(fig.CPUMicros, "cpu-us/s/daemon")
			b.ReportMetric(fig.LeavingLast, "s-leaving-last")
			b.ReportMetric(fig.KilledLast, "s-killed-last")
		})
	}
}

// totals are the counters of the fleet at one moment.
type totals struct {
	sent, bytes, loads, polls, busy, calls int64
	cpu                                    time.Duration
}

func (f *fleet) totals() totals {
	t := totals{bytes: f.bytes.Load(), cpu: cpuTime()}
	c := f.store.CallCounts()
	t.calls = c.Reads + c.Writes + c.Watches
	for _, h := range f.all {
		t.sent += h.monitor.Counters.Sent.Load()
		t.busy += h.monitor.Counters.BusyNanos.Load()
		t.loads += h.watcher.Counters.LoadsSharedBytes.Load()
		t.polls += h.watcher.Counters.Polls.Load()
	}
	return t
}

// beats waits until the hosts have sent so many more heartbeats each.
func (f *fleet) beats(each int64) {
	end := f.totals().sent + each*int64(len(f.all))
	f.wait("heartbeats", func() bool { return f.totals().sent >= end })
}

func (f *fleet) atRest() figures {
	before, began := f.totals(), time.Now()
	f.beats(windowBeats)
	after, seconds := f.totals(), time.Since(began).Seconds()
	per := func(n int64) float64 { return float64(n) / seconds / float64(len(f.all)) }
	calls := float64(after.calls-before.calls) / seconds
	return figures{
		Hosts: len(f.all), Domains: f.domains, Servers: f.servers, Heartbeats: per(after.sent - before.sent), PeerBytes: per(after.bytes - before.bytes),
		LoadBytes: per(after.loads - before.loads), Polls: per(after.polls - before.polls),
		CPUMicros:       per(int64((after.cpu - before.cpu) / time.Microsecond)),
		MemoryKB:        memory() / 1024 / float64(len(f.all)),
		HeartbeatMicros: float64(after.busy-before.busy) / 1e3 / float64(4*max(1, after.sent-before.sent)),
		PlatformCalls:   calls, PlatformPerDomain: calls / float64(f.domains),
	}
}

// cpuTime is that of the whole process, backend servers and platform included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is the live heap and the stacks of the whole process, in bytes.
func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// leaving lets a backend server report that it leaves and returns the time
// until the last host of all domains gives it no new work.
func (f *fleet) leaving() time.Duration {
	s := f.backend[0]
	s.leaving.Store(true)
	return f.wait("leaving server", func() bool {
		for _, h := range f.all {
			if h.registry.Get(s.name, s.address, time.Unix(1, 0)).Usable() {
				return false
			}
		}
		return true
	})
}

// killed ends one host without a word and returns the times until the first
// and the last other host hold it for gone.
func (f *fleet) killed() (first, last time.Duration) {
	dead := f.all[0]
	began := time.Now()
	go dead.kill()
	f.wait("killed host", func() bool {
		gone := 0
		for _, h := range f.all[1:] {
			if p, _ := h.monitor.Lookup(dead.mesh.Self().Host); p.State == member.Gone {
				gone++
			}
		}
		if gone > 0 && first == 0 {
			first = time.Since(began)
		}
		return gone == len(f.all)-1
	})
	return first, time.Since(began)
}
