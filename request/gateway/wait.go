package gateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/waitline"
	"bilberrydale/version/plan"
)

const (
	// The target latency by maxWaitDivisor is the longest wait of a request until its trial, over all
	// of its attempts.
	maxWaitDivisor = 4
	// The target latency by serviceTimeDivisor is the service time before one was observed.
	serviceTimeDivisor = 8
)

// waitingLine is the line of a service, with what drives it.
type waitingLine struct {
	waitline.Line
	wake chan struct{} // receives a value when the line should be looked at
	// timeouts are the *waitline.UsualTimeout of the routes to the service, by name.
	timeouts sync.Map
}

// timeoutOf returns the usual timeout of the callers of a route.
func (l *waitingLine) timeoutOf(route string) *waitline.UsualTimeout {
	if u, ok := l.timeouts.Load(route); ok {
		return u.(*waitline.UsualTimeout)
	}
	u, _ := l.timeouts.LoadOrStore(route, &waitline.UsualTimeout{})
	return u.(*waitline.UsualTimeout)
}

// notify has the line looked at, if requests wait in it.
func (l *waitingLine) notify() {
	if l.Len() == 0 {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default: // somebody has done so
	}
}

// waitingLines are the lines of the services, by name.
type waitingLines struct{ byService sync.Map }

// of returns the line of a service.
func (l *waitingLines) of(service string) *waitingLine {
	if line, ok := l.byService.Load(service); ok {
		return line.(*waitingLine)
	}
	line, _ := l.byService.LoadOrStore(service, &waitingLine{wake: make(chan struct{}, 1)})
	return line.(*waitingLine)
}

// sweepLines sweeps the lines at the first request of a newer plan.
func (g *Gateway) sweepLines(p *plan.Plan) {
	last := g.sweptVersion.Load()
	if p.Version > last && g.sweptVersion.CompareAndSwap(last, p.Version) {
		g.lines.sweep(p)
	}
}

// sweep removes the idle lines of services, and what is known of routes, that are not in a plan.
func (l *waitingLines) sweep(p *plan.Plan) {
	routes := map[string]bool{}
	for r := range p.Routes() {
		routes[r.Name] = true
	}
	l.byService.Range(func(service, line any) bool {
		w := line.(*waitingLine)
		if !p.Services().Used(service.(string)) && w.Len() == 0 {
			l.byService.Delete(service)
		}
		w.timeouts.Range(func(route, _ any) bool {
			if !routes[route.(string)] {
				w.timeouts.Delete(route)
			}
			return true
		})
		return true
	})
}

// Waiting returns the number of requests that wait for room at the servers of a service.
func (g *Gateway) Waiting(service string) int {
	line, ok := g.lines.byService.Load(service)
	if !ok {
		return 0
	}
	return line.(*waitingLine).Len()
}

// AllWaiting returns the number of requests that wait, by service; services without any are left out.
func (g *Gateway) AllWaiting() map[string]int {
	waiting := map[string]int{}
	g.lines.byService.Range(func(service, line any) bool {
		if n := line.(*waitingLine).Len(); n > 0 {
			waiting[service.(string)] = n
		}
		return true
	})
	return waiting
}

// runLine decides on the requests of a line until it is empty.
func (g *Gateway) runLine(l *waitingLine) {
	for {
		now := g.opts.Clock.Now()
		next := l.Advance(now)
		if next.IsZero() {
			return
		}
		select {
		case <-l.wake:
		case <-g.opts.Clock.After(next.Sub(now)):
		}
	}
}

// waitsInLine reports whether the request waits for room. Requests with stages do not: their results
// are kept for a short time only. Nor do streams, as model engines order their own queues by priority.
func (x *exchange) waitsInLine() bool {
	return x.route.Kind != plan.Stream && len(x.route.Stages) == 0 && x.service != ""
}

// takeInTurn takes a server as takeServer does, but waits for its turn while no server of the service
// has room for the request, or while others wait. It returns nil if there is no server, if the caller
// has left, or if the request is refused, which hist.refusedInLine then tells.
func (x *exchange) takeInTurn(ctx context.Context, hist *attemptHistory) *directory.Server {
	if !x.waitsInLine() {
		return x.takeServer(hist)
	}
	line := x.lines.of(x.service)
	if x.logEntry.Attempts == 0 {
		x.askedBefore = line.timeoutOf(x.route.Name).Elapsed(x.clientRequest.Timeout)
	}
	if line.Len() == 0 {
		if s := x.takeServerWithRoom(hist); s != nil {
			return s
		}
		if x.room(hist, x.opts.Clock.Now()).Room {
			return x.takeServer(hist) // want of room is not the reason
		}
	}
	if !x.takeRetry(hist) {
		return nil // it would wait in vain
	}
	outcome := x.waitForTurn(ctx, line, hist)
	if !outcome.Refused() && ctx.Err() == nil && !x.checkAfterWait(hist) {
		return nil
	}
	switch outcome {
	case waitline.Proceed:
		if s := x.takeServerWithRoom(hist); s != nil {
			return s
		}
	case waitline.Trial:
	case waitline.Left:
		if ctx.Err() != nil {
			return nil
		}
	default:
		return nil
	}
	return x.takeServer(hist)
}

// takeServerWithRoom is takeServer among the servers that have room for the request.
func (x *exchange) takeServerWithRoom(hist *attemptHistory) *directory.Server {
	hist.needsRoom = true
	defer func() { hist.needsRoom = false }()
	return x.takeServer(hist)
}

// waitForTurn waits in the line. It returns Left if the caller has left, or if the host shuts down and
// the request should be sent at once.
func (x *exchange) waitForTurn(ctx context.Context, line *waitingLine, hist *attemptHistory) waitline.Outcome {
	began := x.opts.Clock.Now()
	maxWait := cmp.Or(x.route.TargetLatency, x.deadline.Sub(x.arrivedAt)/maxWaitDivisor) / maxWaitDivisor
	target := x.targetTime.Add(-x.askedBefore)
	if x.route.TargetLatency <= 0 {
		target = x.deadline
	}
	ticket, run, outcome := line.Join(waitline.Request{
		Priority: x.priority, Worth: x.worth(), Target: target, Deadline: x.deadline, MaxWait: max(maxWait-x.logEntry.Waited, 0),
		RoomKey: x.roomKey(hist), Room: func(now time.Time) waitline.Belief { return x.room(hist, now) },
	}, began)
	if outcome == waitline.Waiting {
		if run {
			go x.runLine(line)
		} else {
			line.notify()
		}
		outcome = x.awaitTurn(ctx, line, ticket)
		waited := x.opts.Clock.Now().Sub(began)
		x.logEntry.Waited += waited
		if line.LackedRoom(outcome, waited) {
			x.recordNoRoom()
		}
	}
	x.logEntry.WaitOutcome = outcome
	if outcome.Refused() {
		hist.refusedInLine = outcome
	}
	return outcome
}

// awaitTurn waits for the outcome of a ticket. At a shutdown the request goes at once, so that it is
// served or refused in time.
func (x *exchange) awaitTurn(ctx context.Context, line *waitingLine, ticket *waitline.Ticket) waitline.Outcome {
	select {
	case <-ticket.Done():
		if !ticket.Outcome().Refused() {
			x.turn = ticket
		}
		return ticket.Outcome()
	case <-x.opts.ShutdownStarted:
		line.Leave(ticket)
		return waitline.Left
	case <-ctx.Done():
		line.Leave(ticket)
		line.notify()
		if x.r.Context().Err() != nil {
			return waitline.Left
		}
		return waitline.Hopeless // the deadline has passed
	}
}

// endTurn lets the next request of the line have its turn.
func (x *exchange) endTurn() {
	if x.turn == nil {
		return
	}
	line := x.lines.of(x.service)
	line.EndTurn(x.turn)
	x.turn = nil
	line.notify()
}

// attemptBegins records that the request is about to be sent to a server, and returns the time. The
// turn of the request ends in send.
func (x *exchange) attemptBegins(s *directory.Server) time.Time {
	s.Room.Sent()
	return x.opts.Clock.Now()
}

// attemptEnded records the end of an attempt that began at began. Its server may have room again.
func (x *exchange) attemptEnded(s *directory.Server, began time.Time, err error) {
	now := x.opts.Clock.Now()
	s.Room.Returned(began)
	line := x.lines.of(x.service)
	if err == nil {
		line.ObserveServerTime(max(now.Sub(began)-2*x.opts.OneWayLatency(s.Domain), 0), foundFreeSlot(s, began, now), now)
	}
	line.notify()
}

// foundFreeSlot reports whether a request that a server has served is likely not to have been queued
// there: nothing was at its end. A server that reports no load tells nothing of its queue, and the
// requests of this host have to be few.
func foundFreeSlot(s *directory.Server, began, now time.Time) bool {
	_, waiting, age := s.ReportedLoad(now)
	if age > now.Sub(began) {
		return 2*int(s.InFlight.Load()) < s.Slots
	}
	return waiting == 0
}

// room returns whether a server on which the request may run has room for it. If no server is passed
// over for want of room alone, waiting would not help, and there is room.
func (x *exchange) room(hist *attemptHistory, now time.Time) waitline.Belief {
	var all waitline.Belief
	full := false
	for s := range x.candidates().All() {
		if hist.tried[s.ID] || s.InBackoff(now) || !x.withinLimits(s, now) || !x.mayBeginAt(s) {
			continue
		}
		b := s.Room.Room(x.roomQuery(s, now))
		if b.Room {
			return b
		}
		if !full || !b.RoomAt.IsZero() && (all.RoomAt.IsZero() || b.RoomAt.Before(all.RoomAt)) {
			all.RoomAt = b.RoomAt
		}
		full = true
	}
	all.Room = !full
	return all
}

// roomKey returns a key of what room depends on besides the state of the servers.
func (x *exchange) roomKey(hist *attemptHistory) string {
	return fmt.Sprint(x.allowed.RouteRegions, x.allowed.AccountRegions, x.rank(), slices.Sorted(maps.Keys(hist.tried)))
}

// lacksRoom reports whether a server has no room for the request.
func (x *exchange) lacksRoom(s *directory.Server, now time.Time) bool {
	return !s.Room.Room(x.roomQuery(s, now)).Room
}

// roomQuery returns the query for the room of a server for the request.
func (x *exchange) roomQuery(s *directory.Server, now time.Time) waitline.Query {
	serviceTime := x.lines.of(x.service).ServiceTime(x.route.TargetLatency / serviceTimeDivisor)
	return waitline.Query{Slots: s.Slots, InFlight: int(s.InFlight.Load()), Rank: x.rank(), ServiceTime: serviceTime, Now: now}
}

// rank returns how many priorities the request is below the most urgent route of its service: servers
// need a reserve for more urgent requests only if there can be such.
func (x *exchange) rank() int {
	return max(x.priority-x.services.MostUrgent(x.service), 0)
}

// refusedInLine returns the error of a request that was refused while it waited, or on its arrival at
// the line.
func (x *exchange) refusedInLine(hist *attemptHistory) error {
	e := errkind.New(errkind.Overloaded, "no server of %s has room in time (%s, waited %s)", x.service, hist.refusedInLine, x.logEntry.Waited.Round(time.Millisecond))
	e.RetryAfter, e.Cause = x.retryAfterRefusal(), hist.lastErr
	return e
}

// retryAfterRefusal returns when a caller may return who was refused for want of room.
func (x *exchange) retryAfterRefusal() time.Duration {
	now := x.opts.Clock.Now()
	if wait, known := x.lines.of(x.service).RetryAfter(x.deadline.Sub(now), x.opts.Rand.Float64(), now); known {
		return wait
	}
	return x.jitter(refusedRetryAfter)
}
