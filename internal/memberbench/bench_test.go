package memberbench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"bilberrydale/process/membership"
)

// The steady state is measured over measuredHeartbeats of each host, which take
// about 8 s. The settlingHeartbeats before, about 12 s, are left out: they carry
// the announcements of the start, the first details and the first dials, which
// are not part of the steady state.
const (
	measuredHeartbeats = 32
	settlingHeartbeats = 48
)

// measurement is the result for one fleet size. Rates are per second and daemon,
// except for the calls to the platform, which are per second for the whole fleet
// and for one failure domain.
type measurement struct {
	Hosts             int     `json:"hosts"`
	Domains           int     `json:"domains"`
	ServersPerDomain  int     `json:"servers_per_domain"`
	HeartbeatsSent    float64 `json:"heartbeats_sent"`
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
	// The last size is one whole failure domain at the size that the system is
	// designed for.
	sizes := []fleetSize{{6, 3, 10}, {12, 3, 10}, {24, 3, 10}, {48, 3, 10}, {38, 1, 110}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts=%d,domains=%d,servers=%d", size.hostCount, size.domainCount, size.serversPerDomain), func(b *testing.B) {
			f := newFleet(b, size)
			f.awaitHeartbeats(settlingHeartbeats)
			fig := f.measureSteadyState()
			fig.LeavingLast = f.measureLeavingServer().Seconds()
			first, last := f.measureKilledHost()
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

// counterTotals are the counters of the fleet, summed over its hosts, at one time.
type counterTotals struct {
	heartbeatsSent, connectionBytes, sharedLoadBytes, polls, busyNanos, platformCalls int64
	cpu                                                                               time.Duration
}

func (f *fleet) totals() counterTotals {
	t := counterTotals{connectionBytes: f.connectionBytes.Load(), cpu: cpuTime()}
	c := f.store.CallCounts()
	t.platformCalls = c.Reads + c.Writes + c.Watches
	for _, h := range f.hosts {
		t.heartbeatsSent += h.monitor.Counters.Sent.Load()
		t.busyNanos += h.monitor.Counters.BusyNanos.Load()
		t.sharedLoadBytes += h.poller.Counters.LoadsSharedBytes.Load()
		t.polls += h.poller.Counters.Polls.Load()
	}
	return t
}

// awaitHeartbeats waits until the hosts have sent each more heartbeats on average.
func (f *fleet) awaitHeartbeats(each int64) {
	end := f.totals().heartbeatsSent + each*int64(len(f.hosts))
	f.waitFor("heartbeats", func() bool { return f.totals().heartbeatsSent >= end })
}

func (f *fleet) measureSteadyState() measurement {
	before, start := f.totals(), time.Now()
	f.awaitHeartbeats(measuredHeartbeats)
	after, seconds := f.totals(), time.Since(start).Seconds()
	per := func(n int64) float64 { return float64(n) / seconds / float64(len(f.hosts)) }
	calls := float64(after.platformCalls-before.platformCalls) / seconds
	return measurement{
		Hosts: len(f.hosts), Domains: f.domainCount, ServersPerDomain: f.serversPerDomain, HeartbeatsSent: per(after.heartbeatsSent - before.heartbeatsSent), PeerBytes: per(after.connectionBytes - before.connectionBytes),
		LoadBytes: per(after.sharedLoadBytes - before.sharedLoadBytes), Polls: per(after.polls - before.polls),
		CPUMicros:       per(int64((after.cpu - before.cpu) / time.Microsecond)),
		MemoryKB:        memoryBytes() / 1024 / float64(len(f.hosts)),
		HeartbeatMicros: float64(after.busyNanos-before.busyNanos) / 1e3 / float64(4*max(1, after.heartbeatsSent-before.heartbeatsSent)),
		PlatformCalls:   calls, PlatformPerDomain: calls / float64(f.domainCount),
	}
}

// cpuTime returns the CPU time of the whole process, including the backend servers
// and the platform.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryBytes returns the size of the live heap and the stacks of the whole
// process.
func memoryBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measureLeavingServer lets a backend server report that it is leaving. It returns
// the time until no host of any domain sends it new work.
func (f *fleet) measureLeavingServer() time.Duration {
	s := f.servers[0]
	s.leaving.Store(true)
	return f.waitFor("leaving server", func() bool {
		for _, h := range f.hosts {
			if h.registry.Get(s.name, s.address, time.Unix(1, 0)).Usable() {
				return false
			}
		}
		return true
	})
}

// measureKilledHost stops one host without notice to the others. It returns the
// times until the first and the last other host consider it gone.
func (f *fleet) measureKilledHost() (first, last time.Duration) {
	killedHost := f.hosts[0]
	start := time.Now()
	go killedHost.kill()
	f.waitFor("killed host", func() bool {
		gone := 0
		for _, h := range f.hosts[1:] {
			if p, _ := h.monitor.Lookup(killedHost.mesh.Self().Host); p.State == membership.Gone {
				gone++
			}
		}
		if gone > 0 && first == 0 {
			first = time.Since(start)
		}
		return gone == len(f.hosts)-1
	})
	return first, time.Since(start)
}
