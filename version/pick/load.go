package pick

import (
	"time"

	"bilberrydale/process/serverstate"
)

// Load is the load of a pool's servers that this entry host may use. Slots are fractions because
// of weights and spare slots, and requests because they are estimated from aging load reports.
type Load struct {
	// Slots counts the slots of healthy servers in the own region, and a fraction of the free
	// slots in other regions.
	Slots       float64
	InFlight    float64 // requests running or queued on the servers of the own region
	OwnInFlight float64 // of those, sent by this host
	// ReportedInFlight and OwnInFlightAtReport are InFlight and OwnInFlight at the time of the
	// servers' last reports; a server without a report counts 0.
	ReportedInFlight    float64
	OwnInFlightAtReport float64
	// ProbesDue is the number of ejected servers that are due for a trial request. Admission
	// probes a pool that is down only if there is one.
	ProbesDue int
}

// usableSpareFraction is the fraction of the free slots of servers in other regions that Load
// counts as available: other regions may use them as well.
const usableSpareFraction = .5

// Load estimates the load of the pool. Ejected servers have no slots here, and the bound
// MaxEjectedFraction does not apply: for admission it is safer to underestimate the capacity.
func (p *LocalityPicker) Load(now time.Time) Load {
	var out Load
	for _, t := range []tier{p.domain, p.region} {
		for _, s := range t {
			out.addServer(s, now)
		}
	}
	if out.Slots == 0 {
		// No server of the own region is healthy: the load is that of the servers in other
		// regions, with all of their slots. Otherwise a pool that exists only in another
		// region would appear to be down, and its requests would be rejected.
		regionProbes := out.ProbesDue
		for _, s := range p.remote {
			out.addServer(s, now)
		}
		if len(p.domain)+len(p.region) > 0 {
			// A probe of a server in the own region also detects that the pool is back.
			out.ProbesDue = regionProbes
		}
		return out
	}
	for _, s := range p.remote {
		if s.healthy(now) {
			spare := (p.opts.MaxRemoteLoad - p.load(s, now)) * s.capacity()
			out.Slots += usableSpareFraction * max(0, spare)
		}
	}
	return out
}

// addServer adds the load of s, or counts it as due for a probe.
func (l *Load) addServer(s *Server, now time.Time) {
	if !s.healthy(now) {
		if s.State.Usable() && s.State.Health(now) == serverstate.TrialDue {
			l.ProbesDue++
		}
		return
	}
	l.Slots += s.capacity()
	l.InFlight += s.State.EstimatedRequests(now)
	l.OwnInFlight += float64(s.State.InFlight())
	all, own := s.State.ReportedRequests()
	l.ReportedInFlight += all
	l.OwnInFlightAtReport += own
}

// healthy reports whether the server accepts requests and is not ejected.
func (s *Server) healthy(now time.Time) bool {
	return s.State.Usable() && s.State.Health(now) == serverstate.Healthy
}

// maxUtilizationWithFreeSlot is the utilization up to which HasFreeSlot returns true. Reports
// are delayed, so a server that appears to have one free slot may be full.
const maxUtilizationWithFreeSlot = .75

// HasFreeSlot reports whether a request sent to the server now is expected to start without
// queueing, with a margin for the delay of load reports.
func (s *Server) HasFreeSlot(now time.Time) bool {
	return s.State.EstimatedRequests(now) <= maxUtilizationWithFreeSlot*s.capacity()
}

// capacity returns the server's slots multiplied by its weight. A weight of 0 counts as 1.
func (s *Server) capacity() float64 {
	slots := float64(max(1, s.Slots))
	if s.Weight > 0 {
		slots *= s.Weight
	}
	return slots
}
