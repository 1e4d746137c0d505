package edge

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// hostState is what the process believes, for operators.
type hostState struct {
	Host             string        `json:"host"`
	Incarnation      uint64        `json:"incarnation"`
	Ready            bool          `json:"ready"`
	Stopping         bool          `json:"stopping"`
	ConfigVersion    int64         `json:"config_version"`
	ConfigAge        float64       `json:"config_age_ms"` // since it was last confirmed
	Readers          []string      `json:"readers"`       // hosts that are asked for the platform, the first one first
	StageByRegion    bool          `json:"stage_work_by_region"`
	StageWaiting     int           `json:"stage_work_waiting"`
	StageLate        int           `json:"stage_work_waiting_late"`
	Peers            []string      `json:"peers"`
	EvacuatedDomains []string      `json:"evacuated"` // failure domains that get no work
	Servers          []serverState `json:"servers"`
}

// serverState is one listed backend server, and why it gets no work.
type serverState struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Domain       string  `json:"domain"`
	UnusedReason string  `json:"unused,omitempty"` // empty: it is used
	Cold         bool    `json:"cold,omitempty"`   // it gets no more than it bears while it is cold
	InFlight     int64   `json:"inflight"`
	Load         int     `json:"load"`
	ErrorRate    float64 `json:"errors"` // share of late answers that were failures
}

func (h *Host) state() hostState {
	now := h.clock.Now()
	_, age := h.keysFresh()
	waiting, late := h.stages.Waiting()
	s := hostState{
		Host: h.self.Host, Incarnation: h.self.Incarnation, Ready: h.isReady(), Stopping: h.stopping.Load(),
		ConfigAge: ms(age), Readers: h.readers(), StageByRegion: h.batchers.splitByRegion.Load(),
		StageWaiting: waiting, StageLate: late,
	}
	p := h.plan.Load()
	if p != nil {
		s.ConfigVersion = p.Version
	}
	view := h.directory.View()
	for domain := range h.settings.Regions {
		if view.Evacuated(domain) {
			s.EvacuatedDomains = append(s.EvacuatedDomains, domain)
		}
	}
	sort.Strings(s.EvacuatedDomains)
	for _, id := range h.mesh.Peers() {
		s.Peers = append(s.Peers, id.Host)
	}
	for _, srv := range view.All() {
		s.Servers = append(s.Servers, serverState{
			ID: srv.ID, Service: srv.Service, Address: srv.Address, Domain: srv.Domain, UnusedReason: unusedReason(srv, now), Cold: isCold(p, srv, now),
			InFlight: srv.InFlight.Load(), Load: balance.EstimatedLoad(srv, now), ErrorRate: srv.FailureRate(now),
		})
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	return s
}

func unusedReason(s *directory.Server, now time.Time) string {
	switch {
	case s.Draining:
		return "it leaves"
	case s.Evacuated:
		return "its failure domain is evacuated"
	case s.InBackoff(now):
		return "it did not answer a moment ago"
	}
	return ""
}

// isCold reports whether what a server gets is bounded because it may be cold.
func isCold(p *plan.Plan, s *directory.Server, now time.Time) bool {
	if p == nil {
		return false
	}
	service := p.Service(s.Service)
	return service != nil && service.ColdStart.RequestsPerSecond > 0 && s.MayBeCold(now, service.ColdStart.ColdDuration)
}

func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// Who asked may have gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(h.state())
}
