package server

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func state() *State { return NewRegistry().Get("a", "10.0.0.1:80", start) }

// A report that nobody renews must lose its say: a server that looked idle a
// minute ago would draw the work of every host.
func TestOldReportsCountForLess(t *testing.T) {
	g := NewWithT(t)
	s := state()
	s.BeginRequest()
	s.SetLoad(&Load{Running: 9, Received: start})
	g.Expect(s.EstimatedRequests(start)).To(BeNumerically("~", 9, 1e-9))
	g.Expect(s.EstimatedRequests(start.Add(reportHalfLife))).To(BeNumerically("~", 1+4, 1e-9))
	g.Expect(s.EstimatedRequests(start.Add(time.Hour))).To(BeNumerically("~", 1, .1))
}

// A caller sees errors for a minute after a server came back: its ejections had
// doubled. Its own report, newer than the last failure, brings it back at once;
// an older one proves nothing.
func TestReportBringsALostServerBack(t *testing.T) {
	g := NewWithT(t)
	s := state()
	s.RecordOutcome(start, Unreachable, 0)
	g.Expect(s.Health(start)).To(Equal(Disconnected))
	s.SetLoad(&Load{Received: start.Add(-time.Second)})
	g.Expect(s.Health(start)).To(Equal(Disconnected))
	s.SetLoad(&Load{Received: start.Add(100 * time.Millisecond)})
	g.Expect(s.Health(start.Add(200 * time.Millisecond))).To(Equal(Healthy))
	s.RecordOutcome(start.Add(300*time.Millisecond), Failed, 0)
	g.Expect(s.Health(start.Add(300 * time.Millisecond))).NotTo(Equal(Healthy))
}

// A server that answers reports but fails requests stays ejected: its report is
// no evidence about requests.
func TestReportDoesNotClearAnOutlier(t *testing.T) {
	g := NewWithT(t)
	s := state()
	for range ejectAfter {
		s.RecordOutcome(start, Failed, 0)
	}
	s.SetLoad(&Load{Received: start.Add(time.Millisecond)})
	g.Expect(s.Health(start.Add(2 * time.Millisecond))).To(Equal(Outlier))
}

func TestPeriodsOfEjectionDoubleWithinABound(t *testing.T) {
	g := NewWithT(t)
	s := state()
	now := start
	var periods []time.Duration
	for range 5 {
		s.RecordOutcome(now, Unreachable, 0)
		from := now
		for s.Health(now) == Disconnected {
			now = now.Add(100 * time.Millisecond)
		}
		periods = append(periods, now.Sub(from))
	}
	g.Expect(periods).To(Equal([]time.Duration{1 * time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second}))
}

func TestFullQueueIsNoFault(t *testing.T) {
	g := NewWithT(t)
	s := state()
	for range 100 {
		s.RecordOutcome(start, Overloaded, 0)
	}
	g.Expect(s.Health(start)).To(Equal(Healthy))
}
