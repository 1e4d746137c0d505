package stages

import (
	"fmt"
	"testing"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// BenchmarkScheduleUnderOverload measures the cost of one scheduling decision on an overloaded
// owner, which decides several hundred times a second, at each arrival and each end of a stage.
func BenchmarkScheduleUnderOverload(b *testing.B) {
	for _, waiting := range []int{20, 250, 1000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			k := newOverloadedCoordinator(waiting)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				k.admission.Schedule(now)
			}
			if onTime, late := k.admission.Waiting(); onTime+late == 0 {
				b.Fatal("nothing waits")
			}
		})
	}
}

// newOverloadedCoordinator returns a coordinator with waiting requests of three stages whose
// servers are all busy.
func newOverloadedCoordinator(waiting int) *Coordinator {
	services := map[string]*batcher.Batcher{}
	for _, name := range []string{"encode", "retrieve", "rank"} {
		opts := batcher.Options{MaxItems: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, ResultMemoryBytes: 40 << 20}
		b := batcher.New(name, opts, nil, clock.System{}, discardLog{})
		dir := directory.New()
		var servers []directory.Entry
		for i := range 5 {
			servers = append(servers, directory.Entry{ID: fmt.Sprint(name, i), Service: name})
		}
		dir.Replace(servers, time.Now())
		b.Configure(opts, dir.View().Servers(name), func(*directory.Server) time.Duration { return 0 })
		for range 20 {
			b.Submit(&batcher.Job{Items: make([]batcher.Item, 4), ResultBytes: 60_000, TargetTime: time.Now(), Deadline: time.Now().Add(time.Hour)})
		}
		services[name] = b
	}
	k := NewCoordinator(func(name string) *batcher.Batcher { return services[name] }, noServers, clock.System{}, discardLog{})
	for i := range waiting {
		targetTime := time.Now().Add(time.Duration(i%2) * time.Hour) // half of the requests are late
		k.admission.Enqueue(&Ticket{Start: func() {}, Request: &Request{
			ID: fmt.Sprint(i), Worth: float64(i), TargetTime: targetTime, Deadline: time.Now().Add(2 * time.Hour),
			Stages: []Stage{
				{Service: "encode", Items: 2, ResultBytes: 3_000_000},
				{Service: "retrieve", Items: 8, ResultBytes: 60_000, DependsOn: []int{0}},
				{Service: "rank", Items: 16, ResultBytes: 6_000, DependsOn: []int{1}},
			},
		}}, time.Now())
	}
	return k
}

// BenchmarkOwner measures the cost of finding the owner, which each request with stages pays,
// with the number of hosts that the system is designed for.
func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{6, 60, 380} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			mesh := peer.NewMesh(peer.MeshOptions{Self: peer.Identity{Host: "self", Incarnation: 1000, Region: "r0"}, Clock: clock.System{}, Rand: clock.SystemRand{}})
			for i := range hosts - 1 {
				mesh.AddPeer(peer.Identity{Host: fmt.Sprint("h", i), Incarnation: uint64(1 + i*7919%hosts), Region: fmt.Sprint("r", i%3), Cores: 0.4})
			}
			p := NewPool(mesh, clock.System{}, nil, func(string) string { return "r1" }, discardLog{})
			b.ReportAllocs()
			for b.Loop() {
				p.owner("r1", residency.Set{})
			}
		})
	}
}

// BenchmarkComputeShares measures the cost of the dues of three services, which an overloaded owner
// computes several times a second.
func BenchmarkComputeShares(b *testing.B) {
	for _, accounts := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			s, now := newAccountShares(), time.Unix(1000, 0)
			s.computedAt, s.forgottenAt = now, now
			for _, service := range []string{"encode", "retrieve", "rank"} {
				for i := range accounts {
					share := s.share(service, fmt.Sprint("account-", i))
					share.demand, share.used, share.waiting = float64(1+i%20), float64(1+i%7), 1
				}
				s.services[service].shortUntil = now.Add(time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				s.computedAt, s.forgottenAt = now.Add(-shareInterval), now.Add(-shareInterval)
				s.compute(now)
			}
		})
	}
}

// BenchmarkRefuseUnreachable measures the cost of checking the line, which an overloaded owner does 25
// times a second.
func BenchmarkRefuseUnreachable(b *testing.B) {
	for _, waiting := range []int{20, 250, 1000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			k := newOverloadedCoordinator(waiting)
			now := time.Now()
			k.admission.Schedule(now)
			b.ReportAllocs()
			for b.Loop() {
				k.admission.lineCheckedAt = time.Time{}
				k.admission.refuseUnreachable(now)
			}
		})
	}
}
