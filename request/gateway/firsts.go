package gateway

import (
	"sync"
	"time"
)

// firsts remembers how long engines take to the first event, by route.
type firsts struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// Start values: an engine in the same region reads a prompt of some thousand
// tokens and answers in about 150 ms.
const (
	firstEventStart = 150 * time.Millisecond
	firstEventShare = 0.1 // weight of the newest
	maxFirsts       = 4096
)

func (f *firsts) expect(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.byRoute[route]; ok {
		return d
	}
	return firstEventStart
}

func (f *firsts) note(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byRoute == nil || len(f.byRoute) >= maxFirsts {
		f.byRoute = map[string]time.Duration{}
	}
	d, ok := f.byRoute[route]
	if !ok {
		d = firstEventStart
	}
	f.byRoute[route] = d + time.Duration(firstEventShare*float64(took-d))
}
