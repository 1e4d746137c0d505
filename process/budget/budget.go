// Package budget bounds the sends beyond the first of each request. The bound
// holds for a service over all hosts together; without a coordinator each host
// keeps to a part of it that cannot add up to more.
package budget

import (
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// Options configure a Shared budget.
type Options struct {
	Ratio  float64       // sends beyond the first for each request
	Window time.Duration // over which the bound is taken
	Slack  float64       // sends in a window whatever the requests
	Hosts  func() int    // that share the slack, this one included
	Clock  clock.Clock
}

// Shared is this host's part of the budgets of all services.
type RetryLimiter struct {
	opts Options
	mu   sync.Mutex
	by   map[string]*window
}

// New returns a budget without history.
func New(opts Options) *RetryLimiter { return &RetryLimiter{opts: opts, by: map[string]*window{}} }

// slots is the number of parts of a window. The bound holds for any window that
// slides; counting one part more than a window holds keeps it.
const slots = 10

type window struct {
	at       int64 // number of the newest part
	requests [slots + 1]float64
	repeats  [slots + 1]float64
}

// use is the part of the budget that is spent. The rest covers that requests
// are counted at hosts and judged at servers, at other moments.
const use = 0.7

// Request counts a request for a service.
func (s *RetryLimiter) RecordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	w.requests[w.at%(slots+1)]++
}

// Repeat takes one send beyond the first; false: there is none left.
func (s *RetryLimiter) AllowRetry(service string) bool {
	hosts := max(s.opts.Hosts(), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	var requests, repeats float64
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > use*(s.opts.Ratio*requests+s.opts.Slack/float64(hosts)) {
		return false
	}
	w.repeats[w.at%(slots+1)]++
	return true
}

// window returns the service's counts, moved on to now.
func (s *RetryLimiter) window(service string) *window {
	now := s.opts.Clock.Now().UnixNano() / int64(s.opts.Window/slots)
	w := s.by[service]
	if w == nil {
		w = &window{at: now}
		s.by[service] = w
	}
	for n := 0; w.at < now && n <= slots; n++ {
		w.at++
		w.requests[w.at%(slots+1)], w.repeats[w.at%(slots+1)] = 0, 0
	}
	w.at = max(w.at, now)
	return w
}
