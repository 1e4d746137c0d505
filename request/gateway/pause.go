package gateway

import (
	"cmp"
	"context"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/version/plan"
)

const (
	// maxPauseWaiters bounds the requests of this host that wait for servers at the same time,
	// with their bodies.
	maxPauseWaiters = 512
	// pauseStep is the time between two looks at a server that takes few requests at first.
	pauseStep = 25 * time.Millisecond
	// pauseTurn is the time by which requests of the next lower priority follow when a pause ends.
	pauseTurn = 10 * time.Millisecond
	// minReserve is kept before the deadline for a request whose route has no target latency.
	minReserve = 100 * time.Millisecond
)

// awaitPause waits until a server that wants no requests of this host may take the request. It
// returns false without a wait if that would be too late for the request, or if no server is the
// reason that there is none.
func (x *exchange) awaitPause(ctx context.Context, hist *attemptHistory) bool {
	now := x.opts.Clock.Now()
	first, paused := x.firstReturn(hist, now)
	if !paused || first.After(x.latestStart()) || x.pauseWaiters.Load() >= maxPauseWaiters {
		return false
	}
	x.pauseWaiters.Add(1)
	defer x.pauseWaiters.Add(-1)
	select {
	case <-x.opts.ShutdownStarted: // another host may have servers that take requests
		return false
	case <-ctx.Done():
		return false
	case <-x.opts.Clock.After(max(first.Sub(now), 0) + x.turnAfterPause()):
	}
	for id := range hist.paused {
		delete(hist.tried, id)
	}
	return true
}

// turnAfterPause returns the time after the end of a pause at which the request has its turn: streams
// that have begun first, then by priority.
func (x *exchange) turnAfterPause() time.Duration {
	turn := time.Duration(x.opts.Rand.Float64() * float64(pauseTurn))
	if !x.writer.IsZero() {
		return turn
	}
	return turn + time.Duration(1+x.priority)*pauseTurn
}

// firstReturn returns when the first of the servers that want no requests of this host may take the
// request. It returns false if there is none. Servers on which the request has failed are left out.
func (x *exchange) firstReturn(hist *attemptHistory, now time.Time) (first time.Time, paused bool) {
	for s := range x.candidates().All() {
		p := s.Pauses.Pause(now)
		if p != nil {
			hist.paused[s.ID] = true
		}
		if hist.tried[s.ID] && !hist.paused[s.ID] || !x.mayBeginAt(s) {
			continue
		}
		at := now.Add(pauseStep)
		switch {
		case p != nil:
			at = p.Until
		case !hist.paused[s.ID] && s.Pauses.Admits(now):
			continue // there is another reason
		}
		if !paused || at.Before(first) {
			first, paused = at, true
		}
	}
	return first, paused
}

// latestStart returns the time until which an attempt can begin that may be of use to the client.
func (x *exchange) latestStart() time.Time {
	if x.route.Kind != plan.Stream {
		reserve := cmp.Or(x.route.TargetLatency, minReserve)
		return x.deadline.Add(-min(reserve, x.deadline.Sub(x.arrivedAt)/reserveDivisor))
	}
	since := x.waitsSince()
	end := since.Add(x.abandonTime())
	if x.deadline.Before(end) {
		end = x.deadline
	}
	expected := x.streamDurations.estimate(x.route.Name).toFirstEvent
	return end.Add(-min(expected, end.Sub(since)/reserveDivisor))
}

// refusedForPause returns the error of a request all of whose servers want no requests of this host
// until it is too late for the request, or nil.
func (x *exchange) refusedForPause(hist *attemptHistory) error {
	now := x.opts.Clock.Now()
	if x.candidates().Any(func(s *directory.Server) bool { return s.Pauses.Pause(now) == nil && x.mayBeginAt(s) }) {
		return nil
	}
	first, paused := x.firstReturn(hist, now)
	if !paused || hist.refusals == 0 && !first.After(x.latestStart()) {
		return nil
	}
	wait := first.Sub(now)
	e := errkind.New(errkind.Overloaded, "no server of %s wants requests of this host for %s", x.service, wait.Round(time.Millisecond))
	e.RetryAfter = x.retryAfterPause(wait)
	return e
}

// retryAfterPause returns when a client may retry whose servers want no requests for a time.
func (x *exchange) retryAfterPause(wait time.Duration) time.Duration {
	return wait + time.Duration(x.opts.Rand.Float64()*float64(wait/returnSpreadDivisor+minReturnSpread))
}

const (
	// Clients that are refused return within this part of a pause, and at least minReturnSpread,
	// after its end, so that they do not return all at once.
	returnSpreadDivisor = 5
	minReturnSpread     = 50 * time.Millisecond
)
