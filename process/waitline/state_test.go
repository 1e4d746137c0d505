package waitline

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// query asks for a server of 8 slots in which requests take 80 ms.
func query(rank int, now time.Time) Query {
	return Query{Slots: 8, Rank: rank, ServiceTime: 80 * time.Millisecond, Now: now}
}

func TestLimitsLeaveAReserveForMoreUrgentRequests(t *testing.T) {
	g := NewWithT(t)
	for rank, want := range []int{16, 12, 10, 8, 8} {
		g.Expect(Limit(8, rank)).To(Equal(want))
	}
	g.Expect(Limit(1, 2)).To(Equal(2))
}

// Guards against requests that wait because of what is not known, or no longer.
func TestUnknownServerHasRoom(t *testing.T) {
	g := NewWithT(t)
	var s State
	g.Expect(s.Room(query(3, start)).Room).To(BeTrue())
	g.Expect(s.SeenAt()).To(BeZero())
	s.Report(100, start)
	g.Expect(s.SeenAt()).To(BeTemporally("==", start))
	g.Expect(s.Room(query(3, start)).Room).To(BeFalse())
	g.Expect(s.Room(query(3, start.Add(maxBeliefAge))).Room).To(BeTrue())
	g.Expect(s.Room(Query{Slots: 0, Rank: 3, Now: start}).Room).To(BeTrue(), "a server that tells no slots")
	g.Expect(s.Room(query(3, start.Add(-time.Second))).Room).To(BeTrue(), "the clock was set back")
}

func TestRoomAfterAReport(t *testing.T) {
	g := NewWithT(t)
	var s State
	s.Report(10, start)
	g.Expect(s.Room(query(0, start)).Room).To(BeTrue())
	// A request ends in 10 ms; one has to end for a request of rank 2, and three for rank 3.
	g.Expect(s.Room(query(2, start)).RoomAt).To(BeTemporally("==", after(10*time.Millisecond)))
	g.Expect(s.Room(query(3, start)).RoomAt).To(BeTemporally("==", after(30*time.Millisecond)))
	g.Expect(s.Room(query(3, after(30*time.Millisecond))).Room).To(BeTrue())
	s.Sent()
	g.Expect(s.Room(query(3, start)).RoomAt).To(BeTemporally("==", after(40*time.Millisecond)))
	s.Returned(after(-time.Millisecond))
	g.Expect(s.Room(query(3, start)).RoomAt).To(BeTemporally("==", after(40*time.Millisecond)), "the report has taken it into account")
	s.Returned(after(time.Millisecond))
	g.Expect(s.Room(query(3, start)).RoomAt).To(BeTemporally("==", after(30*time.Millisecond)))
	s.Report(3, after(time.Millisecond))
	g.Expect(s.Room(query(3, after(time.Millisecond))).Room).To(BeTrue())
}

// Guards against requests that go to a server that has just refused one and tells no load, and against
// all of them going when one of this host's has returned.
func TestRoomAfterARefusal(t *testing.T) {
	g := NewWithT(t)
	var s State
	s.Sent()
	s.Refused(start)
	for rank := range 4 {
		g.Expect(s.Room(query(rank, start)).Room).To(BeFalse())
	}
	s.Returned(after(-time.Second))
	g.Expect(s.Room(query(0, start)).Room).To(BeTrue())
	s.Sent()
	g.Expect(s.Room(query(0, start)).Room).To(BeFalse())
}

// Guards against more requests of this host at a server than it has room for, whatever it reports.
func TestRequestsOfThisHostCount(t *testing.T) {
	g := NewWithT(t)
	var s State
	q := query(0, start)
	q.InFlight = 15
	g.Expect(s.Room(q).Room).To(BeTrue())
	q.InFlight = 16
	g.Expect(s.Room(q)).To(Equal(Belief{}))
}
