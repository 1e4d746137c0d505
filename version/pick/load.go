package pick

import (
	"time"

	"bilberrydale/process/server"
)

// Load is what a picker's host can use of its pool.
type Load struct {
	Slots       float64 // of usable servers near by, with what others can spare
	InFlight    float64 // requests on the servers near by
	OwnInFlight float64 // of those, this host's
	// Then and OwnThen are Busy and Own as of the servers' last reports.
	ReportedInFlight    float64
	OwnInFlightAtReport float64
	ProbesDue           int // servers that would be tried now
}

// spareShare is the part of other regions' free slots that this host's region
// counts on: the others may want them too.
const spareShare = .5

// Load estimates the pool's load as this host sees it. Ejected servers count as
// gone, without the bound that picking keeps: admission had better expect too
// little.
func (p *LocalityPicker) Load(now time.Time) Load {
	var out Load
	for _, t := range []tier{p.near, p.region} {
		for _, s := range t {
			out.add(s, now)
		}
	}
	if out.Slots == 0 {
		// Nothing near by can serve: the pool is the servers elsewhere, not
		// what they can spare. Else a pool of another region would look down
		// and be refused.
		trials := out.ProbesDue
		for _, s := range p.remote {
			out.add(s, now)
		}
		if len(p.near)+len(p.region) > 0 {
			out.ProbesDue = trials // one of the near ones shows it as well
		}
		return out
	}
	for _, s := range p.remote {
		if s.serves(now) {
			spare := (p.opts.MaxRemoteLoad - p.load(s, now)) * s.capacity()
			out.Slots += spareShare * max(0, spare)
		}
	}
	return out
}

func (l *Load) add(s *Server, now time.Time) {
	if !s.serves(now) {
		if s.State.Usable() && s.State.Health(now) == server.TrialDue {
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

// serves reports whether the server can be counted on.
func (s *Server) serves(now time.Time) bool {
	return s.State.Usable() && s.State.Health(now) == server.Healthy
}

// freeShare of the slots are taken at most on a server that counts as free:
// reports lag, so a server that looks just free may be full.
const freeShare = .75

// Free reports whether work sent to the server now surely finds a slot.
func (s *Server) HasFreeSlot(now time.Time) bool {
	return s.State.EstimatedRequests(now) <= freeShare*s.capacity()
}

// capacity returns the slots of the server by its weight.
func (s *Server) capacity() float64 {
	slots := float64(max(1, s.Slots))
	if s.Weight > 0 {
		slots *= s.Weight
	}
	return slots
}
