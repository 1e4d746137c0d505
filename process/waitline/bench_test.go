package waitline

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdvance measures one look at a line for which there is no room.
func BenchmarkAdvance(b *testing.B) {
	for _, waiting := range []int{1, 20, maxWaiting} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			l, room := &Line{}, false
			for range waiting {
				r := request(1, &room)
				r.MaxWait, r.RoomKey = time.Hour, "all"
				l.Join(r, start)
			}
			for b.Loop() {
				l.Advance(start)
			}
		})
	}
}

// BenchmarkRoom measures what a request costs for each server where nobody waits.
func BenchmarkRoom(b *testing.B) {
	var s State
	s.Report(3, start)
	q := query(0, start)
	for b.Loop() {
		s.Room(q)
	}
}
