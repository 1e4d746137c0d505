// Package retrylimit bounds the retries of requests to backend servers. The bound applies to a
// service across all entry hosts. Instead of coordinating, each host uses a share such that
// the shares together cannot exceed the bound.
package retrylimit

import (
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// Options configure a RetryLimiter.
type Options struct {
	Ratio  float64       // permitted retries per request
	Window time.Duration // sliding time window to which the bound applies
	Slack  float64       // permitted retries per window in addition to the ratio, for all hosts together
	Hosts  func() int    // returns the number of hosts that share Slack, including this one
	Clock  clock.Clock
}

// RetryLimiter is this entry host's share of the retry budgets of all services. It is safe
// for concurrent use.
type Limiter struct {
	opts      Options
	mu        sync.Mutex
	byService map[string]*slidingWindow
}

// New returns a limiter without recorded requests.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, byService: map[string]*slidingWindow{}}
}

// windowSlots is the number of slots of a window. Counts cover one more slot, so that the
// bound holds for every position of the sliding window.
const windowSlots = 10

// slidingWindow counts requests and retries by slot.
type slidingWindow struct {
	currentSlot int64 // number of the newest slot
	requests    [windowSlots + 1]float64
	retries     [windowSlots + 1]float64
}

// usableShare is the fraction of the budget that is used. The remainder allows for the time
// between the count of a request at its host and its arrival at the backend server.
const usableShare = 0.7

// RecordRequest records a request to a service, not counting retries.
func (s *Limiter) RecordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windowOf(service)
	w.requests[w.currentSlot%(windowSlots+1)]++
}

// AllowRetry takes one retry from the service's budget. It returns false if none is left.
func (s *Limiter) AllowRetry(service string) bool {
	hosts := max(s.opts.Hosts(), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windowOf(service)
	var requests, retries float64
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > usableShare*(s.opts.Ratio*requests+s.opts.Slack/float64(hosts)) {
		return false
	}
	w.retries[w.currentSlot%(windowSlots+1)]++
	return true
}

// windowOf returns the window of a service, advanced to the current time. s.mu must be held.
func (s *Limiter) windowOf(service string) *slidingWindow {
	now := s.opts.Clock.Now().UnixNano() / int64(s.opts.Window/windowSlots)
	w := s.byService[service]
	if w == nil {
		w = &slidingWindow{currentSlot: now}
		s.byService[service] = w
	}
	for n := 0; w.currentSlot < now && n <= windowSlots; n++ {
		w.currentSlot++
		w.requests[w.currentSlot%(windowSlots+1)], w.retries[w.currentSlot%(windowSlots+1)] = 0, 0
	}
	w.currentSlot = max(w.currentSlot, now)
	return w
}
