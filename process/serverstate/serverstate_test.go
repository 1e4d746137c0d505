package serverstate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func newState() *State { return NewRegistry().Get("a", "10.0.0.1:80", start) }

// Guards against stale reports: a server that was idle a minute ago would attract
// the work of every host if its report kept its weight.
func TestReportWeightDecaysWithAge(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	s.BeginRequest()
	s.SetLoad(&Load{Running: 9, Received: start})
	g.Expect(s.EstimatedRequests(start)).To(BeNumerically("~", 9, 1e-9))
	g.Expect(s.EstimatedRequests(start.Add(reportHalfLife))).To(BeNumerically("~", 1+4, 1e-9))
	g.Expect(s.EstimatedRequests(start.Add(time.Hour))).To(BeNumerically("~", 1, .1))
}

// Guards against errors for a minute after a server is back, because its ejection
// periods had doubled. A load report newer than the last failure ends the
// ejection at once; an older one does not.
func TestNewReportEndsEjectionOfDisconnectedServer(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	s.RecordOutcome(start, Unreachable, 0)
	g.Expect(s.Health(start)).To(Equal(Disconnected))
	s.SetLoad(&Load{Received: start.Add(-time.Second)})
	g.Expect(s.Health(start)).To(Equal(Disconnected))
	s.SetLoad(&Load{Received: start.Add(100 * time.Millisecond)})
	g.Expect(s.Health(start.Add(200 * time.Millisecond))).To(Equal(Healthy))
	s.RecordOutcome(start.Add(300*time.Millisecond), Failed, 0)
	g.Expect(s.Health(start.Add(300 * time.Millisecond))).NotTo(Equal(Healthy))
}

// A server that serves load reports but fails requests stays ejected: the report
// is no evidence about requests.
func TestReportDoesNotEndEjectionOfOutlier(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	for range ejectAfterFailures {
		s.RecordOutcome(start, Failed, 0)
	}
	s.SetLoad(&Load{Received: start.Add(time.Millisecond)})
	g.Expect(s.Health(start.Add(2 * time.Millisecond))).To(Equal(Outlier))
}

func TestEjectionPeriodsDouble(t *testing.T) {
	g := NewWithT(t)
	s := newState()
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

func TestOverloadDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	for range 100 {
		s.RecordOutcome(start, Overloaded, 0)
	}
	g.Expect(s.Health(start)).To(Equal(Healthy))
}
