package serverspeed

import (
	"context"
	"fmt"
	"iter"
	"testing"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

// BenchmarkObserve measures what one response costs.
func BenchmarkObserve(b *testing.B) {
	var s State
	var u Usual
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		u.Observe(&s, Measurement{Took: 20_000_000, Load: 1 + i%4, Slots: 8, At: now})
	}
}

// BenchmarkQuietTell measures an interval in which there is nothing to tell of 300 servers.
func BenchmarkQuietTell(b *testing.B) {
	var servers []Server
	states := make([]State, 300)
	for i := range states {
		servers = append(servers, Server{ID: fmt.Sprint("server-", i), StartedUnixMS: int64(i)})
	}
	x := NewExchange(Options{
		Hosts: func() (string, []string) { return "a", []string{"a", "b"} },
		Servers: func() iter.Seq2[Server, *State] {
			return func(yield func(Server, *State) bool) {
				for i := range states {
					if !yield(servers[i], &states[i]) {
						return
					}
				}
			}
		},
		Link: peertest.NewNetwork().Join(peer.Identity{Host: "a"}), Clock: clock.NewManual(now),
	})
	b.ReportAllocs()
	for b.Loop() {
		x.Tell(context.Background())
	}
}

// BenchmarkUpdate measures the update of 300 servers, of which this host has seen responses.
func BenchmarkUpdate(b *testing.B) {
	states := make([]State, 300)
	for i := range states {
		states[i].Observe(1, 1, 8, 1, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range states {
			states[i].Update(Conditions{Now: now, Hosts: 71})
		}
	}
}
