package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
)

// BenchmarkClaim reports the platform's reads and writes per 1,000 requests and the
// latency that a claim adds, at several request rates over six hosts, with one
// write per request, with batched claims and with tickets. A call to the platform
// takes 3 ms.
func BenchmarkClaim(b *testing.B) {
	const hosts, duration = 6, 3 * time.Second
	for _, rate := range []int{20, 100, 500, 2000} {
		for _, mode := range []string{"single", "claims", "tickets"} {
			b.Run(fmt.Sprintf("%s/%d", mode, rate), func(b *testing.B) {
				for range b.N {
					objects := standin.NewStore()
					objects.SetFaults(standin.Faults{Delay: 3 * time.Millisecond})
					net := peertest.NewNetwork()
					var managers []*Manager
					for i := range hosts {
						link := net.Join(peer.Identity{Host: hostName(i), Incarnation: 1})
						managers = append(managers, New(Config{
							Host: hostName(i), Incarnation: 1, Store: objects, Clock: clock.System{}, Link: link, Options: DefaultOptions(),
						}))
					}
					measureClaims(b, mode, rate, duration, managers, objects)
				}
			})
		}
	}
}

func measureClaims(b *testing.B, mode string, rate int, duration time.Duration, managers []*Manager, objects *standin.Store) {
	n := int(duration.Seconds() * float64(rate))
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var refused atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range n {
		<-ticker.C
		wg.Go(func() {
			m := managers[i%len(managers)]
			k := testKey(fmt.Sprint("k", i))
			if mode == "tickets" {
				k.Key, _ = m.MintTicket(background, k.Account)
				m = managers[(i+1)%len(managers)]
			}
			start := time.Now()
			ok := true
			if mode == "single" {
				_, err := objects.Put(context.Background(), ObjectPrefix+k.Key, []byte("x"), 0)
				ok = err == nil
			} else {
				ok = m.Begin(background, k).State == Granted
			}
			elapsed := time.Since(start)
			if !ok {
				refused.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(int64(elapsed / time.Microsecond))
		})
	}
	wg.Wait()
	b.ReportMetric(float64(objects.CallCounts().Writes)*1000/float64(n), "writes/1000")
	b.ReportMetric(float64(objects.CallCounts().Reads)*1000/float64(n), "reads/1000")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(refused.Load())*1000/float64(n), "refused/1000")
}
