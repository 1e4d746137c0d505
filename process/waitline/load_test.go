package waitline

import (
	"testing"
	"time"
)

// burst is a burst at twice the capacity of six servers with six slots for 3 s, in a quiet load.
func burst(hosts int) load {
	return load{
		hosts: hosts, servers: 6, slots: 6, queue: 24, work: 60 * time.Millisecond, target: 400 * time.Millisecond, deadline: 2 * time.Second,
		duration: 8 * time.Second, urgentShare: 0.3,
		rate: func(t time.Duration) float64 {
			if t >= 2*time.Second && t < 5*time.Second {
				return 1200
			}
			return 300
		},
	}
}

func TestTrial(t *testing.T) {
	for _, share := range []float64{0.3, 1} {
		for _, hosts := range []int{1, 6, 71} {
			for _, with := range []bool{false, true} {
				l := burst(hosts)
				l.urgentShare = share
				r := l.play(with, 1)
				t.Log(share, hosts, with, "sum", r.served[0]+r.served[1], r.onTime[0]+r.onTime[1], r)
			}
		}
	}
}
