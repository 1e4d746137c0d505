package spill

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Reports holds the waits that the owners of regions have told a host. It is safe for concurrent
// use; Expected takes no lock, because each request calls it for several failure domains.
type Reports struct {
	mu   sync.Mutex // guards the replacement of last
	last atomic.Pointer[map[reportKey]report]
}

// reportKey is what a report is about.
type reportKey struct {
	region   string
	priority int
}

// report is the last wait that a region's owner told.
type report struct {
	wait time.Duration
	at   time.Time // when it arrived
}

// Record records the wait of a priority that a region's owner has told.
func (r *Reports) Record(region string, priority int, wait time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[reportKey]report{}
	if old := r.last.Load(); old != nil {
		next = maps.Clone(*old)
	}
	next[reportKey{region, slot(priority)}] = report{wait, now}
	r.last.Store(&next)
}

// Expected returns the expected wait in a region; 0 if nothing is known.
func (r *Reports) Expected(region string, priority int, now time.Time) time.Duration {
	last := r.last.Load()
	if last == nil {
		return 0
	}
	told := (*last)[reportKey{region, slot(priority)}]
	return decayed(told.wait, now.Sub(told.at))
}

// Told is the last report of a region and a priority, for operators.
type Told struct {
	Region   string  `json:"region"`
	Priority int     `json:"priority"`
	WaitMS   float64 `json:"wait_ms"`
	AgeMS    float64 `json:"age_ms"`
}

// List returns the reports that still count, ordered by region and priority.
func (r *Reports) List(now time.Time) []Told {
	last := r.last.Load()
	if last == nil {
		return nil
	}
	var list []Told
	for key, told := range *last {
		if r.Expected(key.region, key.priority, now) >= time.Millisecond {
			list = append(list, Told{key.region, key.priority, milliseconds(told.wait), milliseconds(now.Sub(told.at))})
		}
	}
	slices.SortFunc(list, func(a, b Told) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
