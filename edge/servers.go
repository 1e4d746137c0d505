package edge

import (
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/directory"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/stages"
	"bilberrydale/process/streamwriter"
)

// serversChanged replaces the directory's backend servers by the platform's current
// list. Entries that cannot be decoded are logged and skipped. trigger is the
// operation that returned the change: "list" or "watch".
func (h *Host) serversChanged(objects map[string]objectwatch.Object[directory.Entry], trigger string) {
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
	h.observeWriters()
	h.logServerChanges(before, h.directory.View(), trigger)
	h.batchers.updateServers()
}

// logServerChanges logs servers that were added, restarted, removed, or have started
// or stopped draining.
func (h *Host) logServerChanges(before, after *directory.View, trigger string) {
	for _, s := range after.All() {
		old := before.Server(s.ID)
		if old == nil || old.Draining != s.Draining || old.StartedUnixMS != s.StartedUnixMS || old.Version != s.Version {
			h.log.Info("backend server", "outcome", serverStatus(s), "id", s.ID, "service", s.Service, "version", s.Version, "started_ms", s.StartedUnixMS, "address", s.Address, "domain", s.Domain, "by", trigger)
		}
	}
	for _, s := range before.All() {
		if after.Server(s.ID) == nil {
			h.log.Info("backend server", "outcome", "gone", "id", s.ID, "service", s.Service, "by", trigger)
		}
	}
}

// serverStatus returns the status of a listed server for the log.
func serverStatus(s *directory.Server) string {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

// serverLimitState returns the state of the limit of a listed server, or nil if it is not
// listed or listed with another start.
func (h *Host) serverLimitState(server serverlimit.Server) *serverlimit.State {
	s := h.directory.View().Server(server.ID)
	if s == nil || s.Process() != server {
		return nil
	}
	return &s.RateLimit
}

// serverLimitChanged logs a limit that a server names, or that it names none any more.
func (h *Host) serverLimitChanged(c serverlimit.Change) {
	if !c.Limited {
		h.log.Info("backend server", "outcome", "names no limit any more", "id", c.Server.ID, "told_by", c.From)
		return
	}
	h.meter.Add("server_limits_named", 1)
	h.log.Warn("backend server", "outcome", "names a limit", "id", c.Server.ID, "requests_per_second", c.PerSecond, "told_by", c.From)
}

// brittleChanged logs that a server falls over if it refuses too much, or no longer.
func (h *Host) brittleChanged(c serverlimit.BrittleChange) {
	if !c.Brittle {
		h.log.Info("backend server", "outcome", "is no longer brittle", "id", c.Server.ID, "told_by", c.From)
		return
	}
	h.meter.Add("brittle_servers_named", 1)
	h.log.Warn("backend server", "outcome", "is brittle", "id", c.Server.ID, "refusals_per_second", c.MaxRefusals, "told_by", c.From)
}

// stageTarget returns the backend server with the given id as a target for a request.
// It returns false if the server gets no new work now or is outside the request's allowed
// regions.
func (h *Host) stageTarget(id string, r *stages.Request) (stages.Target, bool) {
	view, now := h.directory.View(), h.clock.Now()
	listed := view.Server(id)
	if listed == nil {
		return stages.Target{}, false
	}
	s := view.Candidates(listed.Service, r.AllowedRegions, streamwriter.Writer{}).Server(id)
	if s == nil || s.InBackoff(now) || s.Pauses.Pause(now) != nil {
		return stages.Target{}, false
	}
	query := balance.Query{OneWayLatency: func(domain string) time.Duration { return h.delayBetween(r.HostDomain, domain) }, UsualTime: h.gateway.UsualTime(s.Service), Now: now}
	return stages.Target{ID: id, Domain: s.Domain, Cost: query.Cost(s)}, true
}
