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

// BenchmarkClaim gives the platform's writes for 1,000 requests that must not
// be repeated and the time that the claim adds, at several rates over six
// hosts, for one write a request, for claims and for tickets. The platform
// takes 3 ms a call.
func BenchmarkClaim(b *testing.B) {
	const hosts, span = 6, 3 * time.Second
	for _, perSecond := range []int{20, 100, 500, 2000} {
		for _, way := range []string{"single", "claims", "tickets"} {
			b.Run(fmt.Sprintf("%s/%d", way, perSecond), func(b *testing.B) {
				for range b.N {
					objects := standin.New()
					objects.SetFaults(standin.Faults{Delay: 3 * time.Millisecond})
					net := peertest.NewNetwork()
					var managers []*Manager
					for i := range hosts {
						link := net.Join(peer.Identity{Host: name(i), Incarnation: 1})
						managers = append(managers, New(Config{
							Host: name(i), Incarnation: 1, Store: objects, Clock: clock.System{}, Link: link, Options: DefaultOptions(),
						}))
					}
					measure(b, way, perSecond, span, managers, objects)
				}
			})
		}
	}
}

func measure(b *testing.B, way string, perSecond int, span time.Duration, managers []*Manager, objects *standin.Objects) {
	n := int(span.Seconds() * float64(perSecond))
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var refused atomic.Int64
	next := time.NewTicker(time.Second / time.Duration(perSecond))
	defer next.Stop()
	for i := range n {
		<-next.C
		wg.Go(func() {
			m := managers[i%len(managers)]
			k := key(fmt.Sprint("k", i))
			if way == "tickets" {
				k.Key, _ = m.MintTicket(background, k.Account)
				m = managers[(i+1)%len(managers)]
			}
			start := time.Now()
			ok := true
			if way == "single" {
				_, err := objects.Put(context.Background(), ObjectPrefix+k.Key, []byte("x"), 0)
				ok = err == nil
			} else {
				ok = m.Begin(background, k).State == Granted
			}
			d := time.Since(start)
			if !ok {
				refused.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = took.RecordValue(int64(d / time.Microsecond))
		})
	}
	wg.Wait()
	b.ReportMetric(float64(objects.Counts().Writes)*1000/float64(n), "writes/1000")
	b.ReportMetric(float64(objects.Counts().Reads)*1000/float64(n), "reads/1000")
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(refused.Load())*1000/float64(n), "refused/1000")
}
