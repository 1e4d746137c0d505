package edge

import (
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/directory"
	"bilberrydale/process/follow"
	"bilberrydale/process/stages"
)

func (h *Host) serversChanged(objects map[string]follow.Object[directory.Entry], why string) {
	before := h.directory.View()
	entries := make([]directory.Entry, 0, len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("backend server", "outcome", "entry left out", "id", name, "revision", o.Revision, "err", o.Err)
			continue
		}
		e := o.Value
		e.Region = h.settings.Regions[e.Domain]
		entries = append(entries, e)
	}
	h.directory.Replace(entries, h.clock.Now())
	h.logServerChanges(before, h.directory.View(), why)
	h.batchers.updateServers()
}

func (h *Host) logServerChanges(before, after *directory.View, why string) {
	for _, s := range after.All() {
		old := before.Server(s.ID)
		if old == nil || old.Draining != s.Draining || old.StartedUnixMS != s.StartedUnixMS {
			h.log.Info("backend server", "outcome", serverStatus(s), "id", s.ID, "service", s.Service, "address", s.Address, "domain", s.Domain, "by", why)
		}
	}
	for _, s := range before.All() {
		if after.Server(s.ID) == nil {
			h.log.Info("backend server", "outcome", "gone", "id", s.ID, "service", s.Service, "by", why)
		}
	}
}

func serverStatus(s *directory.Server) string {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

// stageTarget returns a backend server as a target of a request; false: it is of no use
// now, or not allowed.
func (h *Host) stageTarget(id string, r *stages.Request) (stages.Target, bool) {
	s, now := h.directory.View().Server(id), h.clock.Now()
	if s == nil || !s.AcceptsWork() || !r.AllowedRegions.Allows(s.Region) || s.InBackoff(now) {
		return stages.Target{}, false
	}
	q := balance.Query{OneWayLatency: func(domain string) time.Duration { return h.delayBetween(r.HostDomain, domain) }, Now: now}
	return stages.Target{ID: id, Domain: s.Domain, Cost: q.Cost(s)}, true
}
