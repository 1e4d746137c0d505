package faultrun

import (
	"fmt"
	"sync"
	"testing"
	"time"

	standin "bilberrydale/internal/standin/platform"
)

// BenchmarkOutage reports the percentage of bookings served by key and by
// ticket while the platform is down, with and without a partition between two
// halves of the hosts. A ticket is sent to any host (balanced) or to a host on
// the same side of the partition as the host that minted it (near).
func BenchmarkOutage(b *testing.B) {
	const n = 200
	for _, partitioned := range []bool{false, true} {
		for _, variant := range []string{"key", "ticket-balanced", "ticket-near"} {
			b.Run(fmt.Sprintf("%s/cut=%t", variant, partitioned), func(b *testing.B) {
				for round := range b.N {
					env := newEnvironment(b, 4, 2)
					env.objects.SetFaults(standin.Faults{Down: true})
					if partitioned {
						for _, pair := range [][2]string{{"h0", "h1"}, {"h0", "h3"}, {"h2", "h1"}, {"h2", "h3"}} {
							env.network.Partition(pair[0], pair[1])
						}
					}
					served := 0
					for i := range n {
						op, key, host := transferOperation(fmt.Sprint(round, "-", i)), fmt.Sprint("key", i), i
						switch variant {
						case "ticket-balanced":
							key, host = env.mintTicket(i), i/4
						case "ticket-near":
							key, host = env.mintTicket(i), i+2
						}
						if env.send(host, op, key).Whole {
							served++
						}
					}
					b.ReportMetric(100*float64(served)/n, "served-%")
				}
			})
		}
	}
}

// BenchmarkSilentConnections reports the time from the moment at which a host's
// connections become unresponsive until its requests are as fast as before, and
// how many of 200 requests waited, with and without stall detection.
func BenchmarkSilentConnections(b *testing.B) {
	for _, stallDetection := range []bool{true, false} {
		b.Run(fmt.Sprintf("doubt=%t", stallDetection), func(b *testing.B) {
			for range b.N {
				env := newEnvironment(b, 1, 1)
				env.deadline = shortDeadline
				env.restartHosts(false)
				if !stallDetection {
					env.host(0).runner.Options.MinStallTimeout = time.Hour
				}
				draft := func(i int) Response {
					return env.send(0, &Operation{Token: fmt.Sprint("d", i), Route: "draft", Repeatable: true}, "")
				}
				var wg sync.WaitGroup
				for i := range 100 {
					wg.Go(func() { draft(i) })
				}
				wg.Wait()
				env.servers[0].relay.Blackhole(false)
				start := time.Now()
				recovered, waited, failed := time.Duration(0), 0, 0
				for i := range 200 {
					sentAt := time.Now()
					if !draft(1000 + i).Whole {
						failed++
					}
					if time.Since(sentAt) > 30*time.Millisecond {
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
