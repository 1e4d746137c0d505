package batcher

import (
	"fmt"
	"testing"
	"time"

	"bilberrydale/process/directory"
)

// BenchmarkNext measures NextCalls on a queue with waiting jobs whose servers are all busy,
// which the entry host that batches for a region runs at each event.
func BenchmarkNext(b *testing.B) {
	for _, servers := range []int{5, 50, 400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			dir := directory.New()
			var entries []directory.Entry
			for i := range servers {
				entries = append(entries, directory.Entry{ID: fmt.Sprint(i), Service: "s", Domain: fmt.Sprint(i % 6)})
			}
			dir.Replace(entries, now)
			q := NewQueue(testOptions)
			q.SetServers(dir.View().Servers("s"), func(*directory.Server) time.Duration { return time.Millisecond })
			for i := range 2 * servers {
				j := &Job{Items: make([]Item, 12), TargetTime: now.Add(time.Second), Deadline: now.Add(time.Minute), ResultBytes: 1, OnResult: func(int, Result) {}}
				for p := range j.Items {
					j.Items[p] = Item{RequestID: fmt.Sprint(i), Piece: p}
				}
				q.Submit(j, now)
			}
			q.NextCalls(now)
			b.ReportAllocs()
			for b.Loop() {
				q.NextCalls(now.Add(10 * time.Millisecond))
			}
		})
	}
}
