package gateway

import (
	"sync"
	"time"
)

// streamDurations estimates how long the streams of each route take, by an exponentially
// weighted moving average.
type streamDurations struct {
	mu      sync.Mutex                // guards byRoute
	byRoute map[string]streamDuration // by route name
}

// streamDuration is the time from the sending of the request to the first event, and from
// there to the end of the stream.
type streamDuration struct{ toFirstEvent, afterFirstEvent time.Duration }

// initialStreamDuration is the estimate before any stream has ended. An engine in the same
// region returns the first event for a prompt of a few thousand tokens in about 150 ms, and
// generates a few hundred tokens in a second.
var initialStreamDuration = streamDuration{toFirstEvent: 150 * time.Millisecond, afterFirstEvent: time.Second}

const (
	streamDurationWeight = 0.1  // weight of the latest stream
	maxTrackedRoutes     = 4096 // once reached, all estimates are dropped
	// longStreamFactor scales the mean so that it covers most streams of a route, which
	// differ in length.
	longStreamFactor = 1.4
)

// estimate returns the average duration of the streams of a route.
func (d *streamDurations) estimate(route string) streamDuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.byRoute[route]; ok {
		return t
	}
	return initialStreamDuration
}

// upperEstimate returns a total duration that most streams do not exceed.
func (t streamDuration) upperEstimate() time.Duration {
	return time.Duration(longStreamFactor * float64(t.toFirstEvent+t.afterFirstEvent))
}

// observe adds a completed stream to the average of its route.
func (d *streamDurations) observe(route string, took streamDuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil || len(d.byRoute) >= maxTrackedRoutes {
		d.byRoute = map[string]streamDuration{}
	}
	t, ok := d.byRoute[route]
	if !ok {
		t = initialStreamDuration
	}
	t.toFirstEvent += time.Duration(streamDurationWeight * float64(took.toFirstEvent-t.toFirstEvent))
	t.afterFirstEvent += time.Duration(streamDurationWeight * float64(took.afterFirstEvent-t.afterFirstEvent))
	d.byRoute[route] = t
}
