package gateway

import (
	"sync"
	"time"
)

// streamTimes remembers how long the streams of each route take.
type streamTimes struct {
	mu      sync.Mutex
	byRoute map[string]streamTime
}

// streamTime is what a stream takes: from its sending to the first event, and
// from there to its end.
type streamTime struct{ first, rest time.Duration }

// Start values: an engine in the same region reads a prompt of some thousand
// tokens and answers in about 150 ms, and makes some hundred tokens in a second.
var streamTimeStart = streamTime{first: 150 * time.Millisecond, rest: time.Second}

const (
	streamTimeShare = 0.1 // weight of the newest
	maxStreamTimes  = 4096
	// longStream covers most streams of a route by the mean of all: they differ
	// in their length.
	longStream = 1.4
)

func (f *streamTimes) expect(route string) streamTime {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, ok := f.byRoute[route]; ok {
		return t
	}
	return streamTimeStart
}

// total is how long a stream takes that is longer than usual.
func (t streamTime) total() time.Duration {
	return time.Duration(longStream * float64(t.first+t.rest))
}

func (f *streamTimes) note(route string, took streamTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byRoute == nil || len(f.byRoute) >= maxStreamTimes {
		f.byRoute = map[string]streamTime{}
	}
	t, ok := f.byRoute[route]
	if !ok {
		t = streamTimeStart
	}
	t.first += time.Duration(streamTimeShare * float64(took.first-t.first))
	t.rest += time.Duration(streamTimeShare * float64(took.rest-t.rest))
	f.byRoute[route] = t
}
