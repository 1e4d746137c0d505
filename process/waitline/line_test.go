package waitline

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// after returns a time after start.
func after(d time.Duration) time.Time { return start.Add(d) }

// request returns a request of a priority with a target of 400 ms and a deadline of 2 s for which
// there is room once *room is set.
func request(priority int, room *bool) Request {
	return Request{
		Priority: priority, Worth: 1, Target: after(400 * time.Millisecond), Deadline: after(2 * time.Second), MaxWait: 100 * time.Millisecond,
		Room: func(time.Time) Belief { return Belief{Room: *room} },
	}
}

// join adds a request to a line, which must take it.
func join(g *WithT, l *Line, r Request, now time.Time) *Ticket {
	t, _, o := l.Join(r, now)
	g.Expect(o).To(Equal(Waiting))
	return t
}

// turns returns the tickets in the order in which they get their turns.
func turns(l *Line, now time.Time, tickets ...*Ticket) (order []*Ticket) {
	for range tickets {
		l.Advance(now)
		for _, t := range tickets {
			if l.turn == t {
				order = append(order, t)
				l.EndTurn(t)
			}
		}
	}
	return order
}

func TestOrder(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	l.ObserveServerTime(50*time.Millisecond, true, start)
	less := join(g, l, request(2, &room), start)
	late := request(1, &room)
	late.Target = after(10 * time.Millisecond)
	lateTicket := join(g, l, late, start)
	later := request(1, &room)
	later.Target = after(500 * time.Millisecond)
	laterTicket := join(g, l, later, start)
	first := join(g, l, request(1, &room), start)
	worthy := request(1, &room)
	worthy.Worth = 5
	worthyTicket := join(g, l, worthy, start)
	urgent := join(g, l, request(0, &room), start)
	l.Advance(start)
	g.Expect(l.Len()).To(Equal(6))
	room = true
	g.Expect(turns(l, start, less, lateTicket, laterTicket, first, worthyTicket, urgent)).
		To(Equal([]*Ticket{urgent, worthyTicket, first, laterTicket, lateTicket, less}))
	g.Expect(l.Len()).To(BeZero())
	g.Expect(l.Advance(start)).To(BeZero())
}

// Guards against several requests that take the room of one: the next one has its turn once the one
// before it was sent, or was lost on the way.
func TestOneTurnAtATime(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, true
	a, b, c := join(g, l, request(0, &room), start), join(g, l, request(0, &room), start), join(g, l, request(0, &room), start)
	l.Advance(start)
	l.Advance(start)
	g.Expect(a.Done()).To(BeClosed())
	g.Expect(b.Done()).NotTo(BeClosed())
	l.EndTurn(a)
	l.Advance(start)
	g.Expect(b.Done()).To(BeClosed())
	l.Advance(after(maxTurn))
	g.Expect(c.Done()).To(BeClosed())
	g.Expect(c.Outcome()).To(Equal(Proceed))
}

// Guards against servers that stay idle: many requests of one region, which is full, are before those that
// may run in another.
func TestRequestsOfAFullRegionDoNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	l, full, looks := &Line{}, false, 0
	for range 100 {
		r := request(0, &full)
		r.RoomKey = "full"
		r.Room = func(time.Time) Belief { looks++; return Belief{} }
		join(g, l, r, start)
	}
	idle := true
	r := request(1, &idle)
	r.RoomKey = "idle"
	other := join(g, l, r, start)
	l.Advance(start)
	g.Expect(other.Done()).To(BeClosed())
	g.Expect(looks).To(Equal(1))
}

// Guards against a less urgent request that takes the room which comes about after the more urgent one
// before it was asked about, and before it is asked about itself.
func TestRoomThatComesAboutGoesToTheMostUrgent(t *testing.T) {
	g := NewWithT(t)
	var l Line
	room := false
	urgent, other := request(0, &room), request(1, &room)
	urgent.RoomKey, other.RoomKey = "urgent", "other"
	other.Room = func(time.Time) Belief {
		room = true // the server has ended a request
		return Belief{Room: true}
	}
	first, _, _ := l.Join(urgent, start)
	second, _, _ := l.Join(other, start)
	l.Advance(start)
	g.Expect(first.Outcome()).To(Equal(Proceed))
	g.Expect(second.Outcome()).To(Equal(Waiting))
}

// Guards against several goroutines that run one line: callers leave, the line is empty, and others join
// before the first goroutine has seen that.
func TestOneRunner(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	for i := range 3 {
		ticket, run, _ := l.Join(request(0, &room), start)
		g.Expect(run).To(Equal(i == 0))
		l.Leave(ticket)
	}
	g.Expect(l.Advance(start)).To(BeZero())
	_, run, _ := l.Join(request(0, &room), start)
	g.Expect(run).To(BeTrue())
}

// Guards against requests that wait for what does not come: each goes for a trial in the end, the
// head of the line first and one after the other.
func TestTrialsArePaced(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	l.ObserveServerTime(80*time.Millisecond, true, start)
	less := join(g, l, request(1, &room), start)
	urgent := join(g, l, request(0, &room), after(50*time.Millisecond))
	next := l.Advance(after(99 * time.Millisecond))
	g.Expect(next).To(Equal(after(100 * time.Millisecond)))
	l.Advance(next)
	g.Expect(urgent.Outcome()).To(Equal(Trial))
	l.EndTurn(urgent)
	g.Expect(l.Advance(after(101 * time.Millisecond))).To(Equal(after(120 * time.Millisecond)))
	l.Advance(after(120 * time.Millisecond))
	g.Expect(less.Outcome()).To(Equal(Trial))
}

// Guards against requests that are kept waiting although it is known that they cannot be served in
// time: on their arrival, and as it becomes known.
func TestHopelessRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	l.ObserveServerTime(300*time.Millisecond, true, start)
	short := request(0, &room)
	short.Deadline = after(299 * time.Millisecond)
	_, _, o := l.Join(short, start)
	g.Expect(o).To(Equal(Hopeless))
	short.Deadline, short.MaxWait = after(310*time.Millisecond), time.Hour
	ticket := join(g, l, short, start)
	g.Expect(l.Advance(start)).To(Equal(after(10 * time.Millisecond)))
	l.Advance(after(11 * time.Millisecond))
	g.Expect(ticket.Outcome()).To(Equal(Hopeless))

	// Six wait, and the line turns out to have a turn in 200 ms.
	var tickets []*Ticket
	for range 6 {
		r := request(0, &room)
		r.Deadline, r.MaxWait = after(1700*time.Millisecond), time.Hour
		tickets = append(tickets, join(g, l, r, after(100*time.Millisecond)))
	}
	for i := range minPaceSamples {
		now := after(time.Duration(i) * 200 * time.Millisecond).Add(300 * time.Millisecond)
		room = true
		l.Advance(now)
		room = false
		l.EndTurn(tickets[i])
		g.Expect(tickets[i].Outcome()).To(Equal(Proceed))
	}
	// At 900 ms the first of the others has its turn at 1100 ms and ends at 1400 ms, the last at 1600 ms.
	l.Advance(after(910 * time.Millisecond))
	g.Expect(l.Len()).To(Equal(2))
	l.Advance(after(1050 * time.Millisecond))
	g.Expect(tickets[5].Outcome()).To(Equal(Hopeless))
	g.Expect(tickets[4].Outcome()).To(Equal(Waiting))
}

// Guards against a line that is looked at every millisecond: a late request has waited for as long as it may,
// and while the pace is not known only a trial, later, ends its wait.
func TestLateRequestsDoNotKeepTheLineBusy(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	l.ObserveServerTime(400*time.Millisecond, true, start)
	late := request(1, &room)
	late.Target, late.MaxWait = start, time.Millisecond
	join(g, l, late, start)
	second := join(g, l, late, start)
	now := after(2 * time.Millisecond)
	l.Advance(now)
	l.EndTurn(l.turn)
	g.Expect(l.Advance(now)).To(Equal(now.Add(maxStep)))
	g.Expect(second.Outcome()).To(Equal(Waiting))
}

// Guards against late requests that wait for as long as others keep passing them.
func TestLateRequestsWaitForAShortTime(t *testing.T) {
	g := NewWithT(t)
	l, room, never := &Line{}, true, false
	late := request(1, &never)
	late.Target = start
	l.ObserveServerTime(time.Millisecond, true, start)
	ticket := join(g, l, late, start)
	for i := range minPaceSamples {
		urgent := join(g, l, request(0, &room), after(time.Duration(i)*10*time.Millisecond))
		l.Advance(after(time.Duration(i) * 10 * time.Millisecond))
		l.EndTurn(urgent)
	}
	l.Advance(after(99 * time.Millisecond))
	g.Expect(ticket.Outcome()).To(Equal(Waiting))
	l.Advance(after(100 * time.Millisecond))
	g.Expect(ticket.Outcome()).To(Equal(Overdue))
	g.Expect(ticket.Outcome().Refused()).To(BeTrue())
}

// Guards against a line that grows without bound, and against an urgent request that a full line of
// others keeps out.
func TestFullLineKeepsTheMostUrgent(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, false
	var last *Ticket
	for range maxWaiting {
		last = join(g, l, request(1, &room), start)
	}
	_, _, o := l.Join(request(1, &room), start)
	g.Expect(o).To(Equal(Displaced))
	join(g, l, request(0, &room), start)
	g.Expect(last.Outcome()).To(Equal(Displaced))
	g.Expect(l.Len()).To(Equal(maxWaiting))
}

// Guards against a line that stops because the request that had its turn, or its head, has left.
func TestRequestsThatLeave(t *testing.T) {
	g := NewWithT(t)
	l, room := &Line{}, true
	a, b, c := join(g, l, request(0, &room), start), join(g, l, request(0, &room), start), join(g, l, request(0, &room), start)
	l.Advance(start)
	l.Leave(b)
	l.Leave(a)
	l.Advance(start)
	g.Expect(c.Done()).To(BeClosed())
	g.Expect(b.Done()).NotTo(BeClosed())
	g.Expect(l.Len()).To(BeZero())
}

// Guards against callers who are refused at the same time and return at the same time, or before those
// that wait have had their turns.
func TestRefusedCallersReturnAtThePaceOfTheLine(t *testing.T) {
	g := NewWithT(t)
	l, room, never := &Line{}, true, false
	_, known := l.RetryAfter(time.Second, 0.5, start)
	g.Expect(known).To(BeFalse())
	for i := range 2 * minPaceSamples {
		now := after(time.Duration(i+1) * 50 * time.Millisecond)
		ticket := join(g, l, request(0, &room), now.Add(-50*time.Millisecond))
		l.Advance(now)
		l.EndTurn(ticket)
	}
	now := after(2 * minPaceSamples * 50 * time.Millisecond)
	join(g, l, request(0, &never), now)
	for i := range 5 {
		wait, known := l.RetryAfter(2*time.Second, 0.5, now)
		g.Expect(known).To(BeTrue())
		g.Expect(wait).To(Equal(time.Duration(i+2) * 50 * time.Millisecond))
	}
	// Callers wait for a third of their time at most.
	wait, _ := l.RetryAfter(300*time.Millisecond, 0.5, now)
	g.Expect(wait).To(Equal(75 * time.Millisecond))
}

func TestUsualTimeout(t *testing.T) {
	g := NewWithT(t)
	var u UsualTimeout
	for range minLead {
		g.Expect(u.Elapsed(2 * time.Second)).To(BeZero())
	}
	g.Expect(u.Elapsed(1700 * time.Millisecond)).To(Equal(300 * time.Millisecond))
	g.Expect(u.Elapsed(3 * time.Second)).To(BeZero())
	g.Expect(u.Elapsed(0)).To(BeZero())
	for range 2 * minLead {
		u.Elapsed(time.Second)
	}
	g.Expect(u.Elapsed(1900*time.Millisecond)).To(BeZero(), "the usual timeout has changed")
	var mixed UsualTimeout
	for i := range 100 {
		g.Expect(mixed.Elapsed(time.Duration(1+i%5) * time.Second)).To(BeZero())
	}
}
