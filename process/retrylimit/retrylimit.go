// Package retrylimit bounds the retries of requests to backend servers. The bound applies to a
// service across all entry hosts. Instead of coordinating, each host uses a share such that
// the shares together cannot exceed the bound.
package retrylimit

import (
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// Options configure a Limiter. Hosts, Clock and a positive Window are required.
type Options struct {
	Ratio  float64       // permitted retries per request; 0.1 is one retry per ten requests
	Window time.Duration // sliding time window to which the bound applies
	Slack  float64       // permitted retries per window in addition to the ratio, for all hosts together
	Hosts  func() int    // returns the number of hosts that share Slack, including this one
	Clock  clock.Clock
}

// Limiter limits this entry host's retries to its share of the bound of each service. It is safe
// for concurrent use.
type Limiter struct {
	opts      Options
	mu        sync.Mutex                // guards byService and its windows
	byService map[string]*slidingWindow // by service name
}

// New returns a limiter without recorded requests.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, byService: map[string]*slidingWindow{}}
}

// windowSlots is the number of slots into which a window is divided for counting. Counts cover one
// more slot, so that the bound holds for every position of the sliding window.
const windowSlots = 10

// slidingWindow counts the requests and retries of one service. The counts of slot n are at index n
// modulo (windowSlots+1); they are float64 because they are multiplied by fractions.
type slidingWindow struct {
	currentSlot int64 // number of the newest slot, counted from the Unix epoch
	requests    [windowSlots + 1]float64
	retries     [windowSlots + 1]float64
}

// usableShare is the fraction of the bound that retries may use. The remainder allows for the time
// between the count of a request at its host and its arrival at the backend server.
const usableShare = 0.7

// RecordRequest records a request to a service, not counting retries.
func (l *Limiter) RecordRequest(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windowOf(service)
	w.requests[w.currentSlot%(windowSlots+1)]++
}

// AllowRetry counts a retry of a request to a service and returns true, or returns false if the
// host's share of the service's bound is used up.
func (l *Limiter) AllowRetry(service string) bool {
	hosts := max(l.opts.Hosts(), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windowOf(service)
	var requests, retries float64
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > usableShare*(l.opts.Ratio*requests+l.opts.Slack/float64(hosts)) {
		return false
	}
	w.retries[w.currentSlot%(windowSlots+1)]++
	return true
}

// ReturnRetry takes back the count of a retry that was allowed and not made. The oldest one is taken, so
// that the bound holds whichever it was.
func (l *Limiter) ReturnRetry(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windowOf(service)
	for slot := max(w.currentSlot-windowSlots, 0); slot <= w.currentSlot; slot++ {
		if i := slot % (windowSlots + 1); w.retries[i] > 0 {
			w.retries[i]--
			return
		}
	}
}

// windowOf returns the window of a service, advanced to the current time. The caller holds l.mu.
func (l *Limiter) windowOf(service string) *slidingWindow {
	now := l.opts.Clock.Now().UnixNano() / int64(l.opts.Window/windowSlots)
	w := l.byService[service]
	if w == nil {
		w = &slidingWindow{currentSlot: now}
		l.byService[service] = w
	}
	for n := 0; w.currentSlot < now && n <= windowSlots; n++ {
		w.currentSlot++
		w.requests[w.currentSlot%(windowSlots+1)], w.retries[w.currentSlot%(windowSlots+1)] = 0, 0
	}
	w.currentSlot = max(w.currentSlot, now)
	return w
}
