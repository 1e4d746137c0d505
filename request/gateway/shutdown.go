package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
	"bilberrydale/version/plan"
)

// drainingRetryAfter is short, as another host accepts the request immediately.
const drainingRetryAfter = 50 * time.Millisecond

// refuseIfCutOff refuses a request that no server can have run and that the shutdown of the process would cut off.
func (x *exchange) refuseIfCutOff() error {
	if !x.opts.ShuttingDown() {
		return nil
	}
	if !x.endsBefore(x.opts.ShutdownDeadline()) {
		return draining(drain.ErrDeadline)
	}
	return nil
}

// endsBefore reports whether the request will have ended by the shutdown deadline: by its own deadline, or by the
// usual duration of its route. What differs in length or is not known is taken until the balancer has had the time
// to leave this host.
func (x *exchange) endsBefore(shutdownDeadline time.Time) bool {
	balancerLeft := x.opts.BalancerLeft()
	if x.route.Kind == plan.Stream {
		return !balancerLeft
	}
	if !x.deadline.After(shutdownDeadline) {
		return true
	}
	usual, known := x.requestDurations.longest(x.route.Name)
	if !known {
		return !balancerLeft
	}
	return !x.opts.Clock.Now().Add(usual).After(shutdownDeadline)
}

// draining returns the error of a request that this host refuses, or ends, as it stops.
func draining(cause error) *errkind.Error {
	return &errkind.Error{Kind: errkind.Draining, Detail: cause.Error(), RetryAfter: drainingRetryAfter, Cause: cause}
}

// cutByShutdown reports whether the request was cancelled at the shutdown deadline.
func (x *exchange) cutByShutdown() bool {
	return errors.Is(context.Cause(x.r.Context()), drain.ErrDeadline)
}

// requestDurations knows for each route how long its requests take at most.
type requestDurations struct {
	mu      sync.Mutex               // guards byRoute
	byRoute map[string]time.Duration // by route name
}

const (
	// requestDurationDecay is the part by which the longest duration of a route approaches that of a shorter
	// request.
	requestDurationDecay = 0.01
	// requestDurationMargin scales it, so that it covers requests that take somewhat longer.
	requestDurationMargin = 2
)

// observe adds a request that a server has run, or may have, to those of its route, by the time since it was
// sent first.
func (d *requestDurations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil || len(d.byRoute) >= maxTrackedRoutes {
		d.byRoute = map[string]time.Duration{}
	}
	longest := d.byRoute[route]
	d.byRoute[route] = max(took, longest-time.Duration(requestDurationDecay*float64(longest-took)))
}

// longest returns a duration that hardly any request of a route exceeds, or false if none was observed.
func (d *requestDurations) longest(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, known := d.byRoute[route]
	return requestDurationMargin * longest, known
}
