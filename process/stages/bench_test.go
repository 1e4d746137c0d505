package stages

import (
	"fmt"
	"testing"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// BenchmarkOwner is what each staged request pays to find the host that does the
// stage work, at the number of hosts to design for.
func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{6, 60, 380} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			mesh := peer.NewMesh(peer.MeshOptions{Self: peer.Identity{Host: "self", Incarnation: 1000, Region: "r0"}, Clock: clock.System{}, Rand: clock.SystemRand{}})
			for i := range hosts - 1 {
				mesh.Learn(peer.Identity{Host: fmt.Sprint("h", i), Incarnation: uint64(1 + i*7919%hosts), Region: fmt.Sprint("r", i%3), Share: 0.4})
			}
			p := NewPool(mesh, clock.System{}, nil, func(string) string { return "r1" }, quiet{})
			b.ReportAllocs()
			for b.Loop() {
				p.owner("r1")
			}
		})
	}
}
