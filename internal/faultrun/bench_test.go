package faultrun

import (
	"fmt"
	"sync"
	"testing"
	"time"

	standin "bilberrydale/internal/standin/platform"
)

// BenchmarkOutage gives the share of bookings served by key and by ticket
// while the platform is down, and while two halves of the hosts are cut apart
// and the platform is down as well. A ticket is used on a host picked by
// chance (balanced) or on its minter's side of the cut (near).
func BenchmarkOutage(b *testing.B) {
	const n = 200
	for _, cut := range []bool{false, true} {
		for _, way := range []string{"key", "ticket-balanced", "ticket-near"} {
			b.Run(fmt.Sprintf("%s/cut=%t", way, cut), func(b *testing.B) {
				for round := range b.N {
					w := newWorld(b, 4, 2)
					w.objects.SetFaults(standin.Faults{Down: true})
					if cut {
						for _, pair := range [][2]string{{"h0", "h1"}, {"h0", "h3"}, {"h2", "h1"}, {"h2", "h3"}} {
							w.net.Partition(pair[0], pair[1])
						}
					}
					served := 0
					for i := range n {
						op, text, host := transfer(fmt.Sprint(round, "-", i)), fmt.Sprint("key", i), i
						switch way {
						case "ticket-balanced":
							text, host = w.ticket(i), i/4
						case "ticket-near":
							text, host = w.ticket(i), i+2
						}
						if w.send(host, op, text).Whole {
							served++
						}
					}
					b.ReportMetric(100*float64(served)/n, "served-%")
				}
			})
		}
	}
}

// BenchmarkSilentConnections gives the time from the moment at which a host's
// connections are forgotten until its requests take no longer than before, and
// how many of 200 waited, with and without doubt about silent connections.
func BenchmarkSilentConnections(b *testing.B) {
	for _, doubt := range []bool{true, false} {
		b.Run(fmt.Sprintf("doubt=%t", doubt), func(b *testing.B) {
			for range b.N {
				w := newWorld(b, 1, 1)
				w.limit = deadline
				w.rebuild(false)
				if !doubt {
					w.host(0).runner.Options.MinStallTimeout = time.Hour
				}
				draft := func(i int) Answer {
					return w.send(0, &Operation{Token: fmt.Sprint("d", i), Name: "draft", Repeatable: true}, "")
				}
				var wg sync.WaitGroup
				for i := range 100 {
					wg.Go(func() { draft(i) })
				}
				wg.Wait()
				w.servers[0].relay.Blackhole(false)
				start := time.Now()
				recovered, waited, failed := time.Duration(0), 0, 0
				for i := range 200 {
					at := time.Now()
					if !draft(1000 + i).Whole {
						failed++
					}
					if time.Since(at) > 30*time.Millisecond {
						waited++
						recovered = time.Since(start)
					}
				}
				b.ReportMetric(float64(recovered.Milliseconds()), "recovered-ms")
				b.ReportMetric(float64(waited), "waited")
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}
