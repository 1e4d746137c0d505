package balance

import (
	"fmt"
	"testing"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/process/streamwriter"
)

// BenchmarkChoose measures the server selection of one attempt, with and without a shared
// prompt prefix.
func BenchmarkChoose(b *testing.B) {
	for _, affinity := range []string{"", "part-5c"} {
		for _, n := range []int{8, 110} {
			b.Run(fmt.Sprintf("servers=%d,affinity=%t", n, affinity != ""), func(b *testing.B) {
				d := directory.New()
				var list []directory.Entry
				for i := range n {
					list = append(list, directory.Entry{ID: fmt.Sprint("model-", i), Service: "model", Domain: fmt.Sprint("z", i%3), Slots: 8})
				}
				d.Replace(list, time.Unix(1000, 0))
				q := Query{
					Servers: d.View().Candidates("model", residency.Set{}, streamwriter.Writer{}), OneWayLatency: func(string) time.Duration { return time.Millisecond },
					AffinityKey: affinity, PrefixTokens: 800, Now: time.Unix(1000, 0),
				}
				b.ReportAllocs()
				for b.Loop() {
					Choose(q)
				}
			})
		}
	}
}
