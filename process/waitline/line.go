// Package waitline orders the requests that wait on one entry host for room at the servers of a
// service. It does no I/O and reads no clock: the time and what is known of the servers come in.
//
// Requests wait in order of urgency. Within an urgency, those that can still meet their target
// latency come before those that cannot, then by worth and deadline. A request leaves the line when a
// server is seen to have room for it, for a trial after a time, as what is seen may be wrong, or refused
// once it is known not to make its deadline or when it is late and others keep passing it.
package waitline

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/estimate"
)

// Outcome is what became of a request that waits.
type Outcome int

// Outcomes of a request.
const (
	NotWaited Outcome = iota // it has not been in the line
	Waiting
	Proceed   // a server is seen to have room
	Trial     // it, or one behind it, has waited for as long as it may
	Hopeless  // it is known not to make its deadline; refused
	Displaced // the line is full of requests that come before it; refused
	Overdue   // it is late and has not had its turn in the time that it may wait then; refused
	Left      // its caller has left, or the host shuts down
)

// Refused reports whether the request is refused.
func (o Outcome) Refused() bool { return o == Hopeless || o == Displaced || o == Overdue }

// String returns the name of the outcome in metrics and log lines.
func (o Outcome) String() string {
	return [...]string{"not_waited", "waiting", "room", "trial", "hopeless", "displaced", "overdue", "left"}[o]
}

// Request describes a request that may have to wait.
type Request struct {
	Priority int     // 0: most urgent
	Worth    float64 // of an answer, relative to others of the same priority
	Target   time.Time
	Deadline time.Time
	// MaxWait is the time after which the request is due for a trial, and from when it is late that
	// after which it is refused. It is short, as what is known of servers may be wrong.
	MaxWait time.Duration
	// RoomKey is the same for requests for which Room returns the same. Room of only one of them is called
	// in each step. Empty: no other request has the same.
	RoomKey string
	// Room returns whether a server on which the request may run has room. It is called with the
	// lock of the line held, and has to return at once.
	Room func(now time.Time) Belief
}

// Ticket is the place of a request in the line.
type Ticket struct {
	Request
	joinedAt time.Time
	number   uint64    // in order of joining
	late     bool      // it is not expected to meet its target
	lateAt   time.Time // since when it is late
	outcome  Outcome
	done     chan struct{} // closed with the outcome
}

// Done returns a channel that is closed once Outcome is not Waiting.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Outcome returns what became of the request. It may be called after Done is closed.
func (t *Ticket) Outcome() Outcome { return t.outcome }

// Bounds of a line.
const (
	maxWaiting = 512 // requests, with their bodies
	// maxTurn is the time for which a request may keep its turn. It is long for a step between two
	// goroutines, so that a request that ended without giving it back doesn't stop the others.
	maxTurn     = 50 * time.Millisecond
	minStep     = time.Millisecond
	maxStep     = 25 * time.Millisecond // between two steps, as servers and their limits change, too
	trialsIn    = 4                     // trials in the service time of a request
	minTrialGap = 5 * time.Millisecond
)

// Line is the line of one service on one entry host. It is safe for concurrent use. The zero value
// is empty.
type Line struct {
	length      atomic.Int64
	serviceTime estimate.Latency // at servers with a free slot
	serverTime  estimate.Latency // at servers, with the wait in their queues

	mu        sync.Mutex // guards the fields below
	tickets   []*Ticket  // in order
	joined    uint64     // number of tickets so far
	running   bool       // the caller of a Join calls Advance
	turn      *Ticket    // that left the line last and has not sent its request yet; nil: none
	turnAt    time.Time  // when it left the line
	lastTrial time.Time
	pace      pace
	returns   time.Time // when the last of the refused callers is to return
}

// Len returns the number of requests that wait.
func (l *Line) Len() int { return int(l.length.Load()) }

// ObserveServerTime records the time that a request took at a server. freeSlot reports whether the
// server had a free slot for it when it came.
func (l *Line) ObserveServerTime(d time.Duration, freeSlot bool, now time.Time) {
	l.serverTime.Observe(now, d)
	if freeSlot {
		l.serviceTime.Observe(now, d)
	}
}

// ServiceTime returns the time that a request takes in a slot; fallback before the first observation.
func (l *Line) ServiceTime(fallback time.Duration) time.Duration {
	if l.serviceTime.Samples() == 0 {
		return fallback
	}
	return time.Duration(l.serviceTime.Mean() * float64(time.Second))
}

// lateDeviations is the number of mean deviations by which the time at a server may exceed its mean
// for a request that is expected to meet its target.
const lateDeviations = 2

// outlook is what a line expects of the requests that wait.
type outlook struct {
	now         time.Time
	gap         time.Duration // between two turns; 0: not known
	serviceTime time.Duration // that a request takes at least
	serverTime  time.Duration // that few requests exceed at a server
}

// outlook returns what the line expects now. The caller holds l.mu.
func (l *Line) outlook(now time.Time) outlook {
	gap, _ := l.pace.gap(now)
	seconds := l.serverTime.Mean() + lateDeviations*l.serverTime.Deviation()
	return outlook{now, gap, l.ServiceTime(0), time.Duration(seconds * float64(time.Second))}
}

// startAt returns when the request at a position in the line is expected to have its turn; now if the
// pace of the line is not known.
func (o outlook) startAt(position int) time.Time {
	if o.gap == 0 {
		return o.now
	}
	return o.now.Add(time.Duration(position+1) * o.gap)
}

// misses reports whether the request at a position in the line is expected to miss its target.
func (o outlook) misses(t *Ticket, position int) bool {
	return t.Target.Sub(o.startAt(position)) < o.serverTime
}

// hopeless reports whether the request at a position in the line is known not to make its deadline.
func (o outlook) hopeless(t *Ticket, position int) bool {
	return t.Deadline.Sub(o.startAt(position)) < o.serviceTime
}

// Join adds a request to the line. run reports whether nobody calls Advance: the caller then has to,
// until it returns zero. The outcome is Waiting, or a refusal with which the request was not added.
func (l *Line) Join(r Request, now time.Time) (t *Ticket, run bool, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joined++
	t = &Ticket{Request: r, joinedAt: now, number: l.joined, outcome: Waiting, done: make(chan struct{})}
	if len(l.tickets) == 0 {
		l.pace.lineBegins(now)
	}
	o := l.outlook(now)
	position, _ := slices.BinarySearchFunc(l.tickets, t, compare)
	t.setLate(o.misses(t, position), now)
	position, _ = slices.BinarySearchFunc(l.tickets, t, compare)
	if o.hopeless(t, position) {
		return nil, false, Hopeless
	}
	if len(l.tickets) >= maxWaiting {
		if position == len(l.tickets) {
			return nil, false, Displaced
		}
		l.end(len(l.tickets)-1, Displaced)
	}
	l.tickets = slices.Insert(l.tickets, position, t)
	l.length.Store(int64(len(l.tickets)))
	run, l.running = !l.running, true
	return t, run, Waiting
}

// LackedRoom reports whether a wait that has ended shows that servers are short of room: none had any for
// one and a half service times, in which each slot is free once or twice. Shorter waits come about by chance.
// Every wait does before a service time was observed.
func (l *Line) LackedRoom(o Outcome, waited time.Duration) bool {
	return o == Trial || o.Refused() || waited >= l.ServiceTime(0)*3/2
}

// setLate records whether the request is expected to miss its target.
func (t *Ticket) setLate(late bool, now time.Time) { t.late, t.lateAt = late, now }

// trialGap returns the time between two trials.
func (l *Line) trialGap() time.Duration {
	serverTime := time.Duration(l.serverTime.Mean() * float64(time.Second))
	return max(l.ServiceTime(serverTime)/trialsIn, minTrialGap)
}

// dueAt returns when the request has waited for as long as it may.
func (t *Ticket) dueAt() time.Time {
	if t.late {
		return t.lateAt.Add(t.MaxWait)
	}
	return t.joinedAt.Add(t.MaxWait)
}

// compare orders tickets.
func compare(a, b *Ticket) int {
	if c := cmp.Or(cmp.Compare(a.Priority, b.Priority), compareBools(a.late, b.late), cmp.Compare(b.Worth, a.Worth)); c != 0 {
		return c
	}
	return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.number, b.number))
}

// due returns the time by which an answer is worth most that the request can still get.
func (t *Ticket) due() time.Time {
	if t.late {
		return t.Deadline
	}
	return t.Target
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Leave takes a request out of the line whose caller waits no more. It may have left the line already.
func (l *Line) Leave(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.tickets, t); i >= 0 {
		l.remove(i)
	}
	l.endTurn(t)
}

// EndTurn records that the request that left the line has been sent, or needs no server. The next
// one may then have its turn: Advance has to be called.
func (l *Line) EndTurn(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endTurn(t)
}

// endTurn ends the turn of t if it has it. The caller holds l.mu.
func (l *Line) endTurn(t *Ticket) {
	if l.turn == t {
		l.turn = nil
	}
}

// Advance decides on the requests that wait, and returns when it has to be called next; zero: the
// line is empty. It is to be called earlier once a server may have room, and after EndTurn.
func (l *Line) Advance(now time.Time) (next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outlook(now)
	l.refuseHopeless(o)
	next = now.Add(maxStep)
	if l.turn == nil || now.Sub(l.turnAt) >= maxTurn {
		next = l.giveTurn(now, next)
	}
	if len(l.tickets) == 0 {
		l.running = false
		return time.Time{}
	}
	for _, t := range l.tickets {
		next = earlier(next, t.Deadline.Add(-o.serviceTime))
		if t.late && o.gap > 0 {
			next = earlier(next, t.dueAt())
		}
	}
	return later(next, now.Add(minStep))
}

// refuseHopeless ends the requests that are known not to make their deadline, and orders the others
// by whether they can meet their target. The caller holds l.mu.
func (l *Line) refuseHopeless(o outlook) {
	for i := 0; i < len(l.tickets); {
		switch t := l.tickets[i]; {
		case o.hopeless(t, i):
			l.end(i, Hopeless)
		case t.late && o.gap > 0 && !o.now.Before(t.dueAt()):
			l.end(i, Overdue)
		default:
			i++
		}
	}
	changed := false
	for i, t := range l.tickets {
		if late := o.misses(t, i); late != t.late {
			t.setLate(late, o.now)
			changed = true
		}
	}
	if changed {
		slices.SortFunc(l.tickets, compare)
	}
}

// giveTurn ends the wait of at most one request, and returns when there may be another turn, or next
// if that is earlier. A trial goes to the head of the line, whichever request is due for it. The
// caller holds l.mu.
func (l *Line) giveTurn(now, next time.Time) time.Time {
	l.turn = nil
	position, roomAt := l.firstWithRoom(now)
	if position >= 0 {
		l.endWithTurn(position, Proceed, now)
		return next
	}
	if !roomAt.IsZero() {
		next = earlier(next, roomAt)
	}
	trialAt := next
	for _, t := range l.tickets {
		trialAt = earlier(trialAt, t.dueAt())
	}
	trialAt = later(trialAt, l.lastTrial.Add(l.trialGap()))
	if len(l.tickets) > 0 && !trialAt.After(now) {
		l.lastTrial = now
		l.endWithTurn(0, Trial, now)
		return next
	}
	return earlier(next, trialAt)
}

// firstWithRoom returns the position of the first request that a server has room for, or -1 and when there may
// be room; zero: that is not known. The first request is asked about last: room that comes about in between
// is not seen for a later one alone. The caller holds l.mu.
func (l *Line) firstWithRoom(now time.Time) (position int, roomAt time.Time) {
	position = -1
	for _, i := range slices.Backward(l.firstOfKeys()) {
		b := l.tickets[i].Room(now)
		if b.Room {
			position = i
		} else if !b.RoomAt.IsZero() && (roomAt.IsZero() || b.RoomAt.Before(roomAt)) {
			roomAt = b.RoomAt
		}
	}
	return position, roomAt
}

// firstOfKeys returns the positions of the first request of each RoomKey. The caller holds l.mu.
func (l *Line) firstOfKeys() (positions []int) {
	seen := map[string]bool{}
	for i, t := range l.tickets {
		if !seen[t.RoomKey] {
			positions = append(positions, i)
			seen[t.RoomKey] = t.RoomKey != ""
		}
	}
	return positions
}

// endWithTurn ends the wait of a request that is to be sent. The caller holds l.mu.
func (l *Line) endWithTurn(i int, o Outcome, now time.Time) {
	l.turn, l.turnAt = l.tickets[i], now
	l.pace.turn(now)
	l.end(i, o)
}

// end ends the wait of a request. The caller holds l.mu.
func (l *Line) end(i int, o Outcome) {
	t := l.tickets[i]
	l.remove(i)
	t.outcome = o
	close(t.done)
}

// remove takes a request out of the line. The caller holds l.mu.
func (l *Line) remove(i int) {
	l.tickets = slices.Delete(l.tickets, i, i+1)
	l.length.Store(int64(len(l.tickets)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
