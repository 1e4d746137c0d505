package edge

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/directory"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/spill"
	"bilberrydale/process/stages"
	"bilberrydale/version/plan"
)

// hostState is the state page for operators: what this host currently holds as the
// configuration, the other entry hosts and the backend servers.
type hostState struct {
	Host                 string                `json:"host"`
	Incarnation          uint64                `json:"incarnation"`
	Ready                bool                  `json:"ready"`
	CutOff               bool                  `json:"cut_off"` // reaches no backend server by itself
	Stopping             bool                  `json:"stopping"`
	ConfigVersion        int64                 `json:"config_version"`
	ConfigAgeMS          float64               `json:"config_age_ms"`           // time since the last confirmation
	Readers              []string              `json:"readers"`                 // hosts through which platform objects are read, in failover order
	StageWorkByRegion    bool                  `json:"stage_work_by_region"`    // each region coordinates its own stage work
	StageWorkWaiting     int                   `json:"stage_work_waiting"`      // requests that wait for stage work here and can still meet their target latency
	StageWorkWaitingLate int                   `json:"stage_work_waiting_late"` // requests that wait for stage work here and can no longer meet it
	StageWorkShares      []stages.AccountShare `json:"stage_work_shares"`       // what client accounts are due and have used of the services that are short, while this host runs their stage work
	StageWaits           []spill.Told          `json:"stage_waits"`             // expected waits for stage work that owners of regions told this host last
	RequestsWaiting      map[string]int        `json:"requests_waiting"`        // requests that wait for room at the servers of a service; services without any are left out
	AnswerBytes          int64                 `json:"answer_bytes"`            // memory reserved for answers
	AnswerMaxBytes       int64                 `json:"answer_max_bytes"`        // at most
	StreamBytes          int64                 `json:"stream_bytes_waiting"`    // bytes of streams that wait for their clients
	UploadBytes          int64                 `json:"upload_bytes"`            // memory reserved for bodies of requests
	UploadMaxBytes       int64                 `json:"upload_max_bytes"`        // at most
	UploadsWaiting       int                   `json:"uploads_waiting"`         // requests whose bodies wait for memory
	Peers                []string              `json:"peers"`                   // names of the other entry hosts
	EvacuatedDomains     []string              `json:"evacuated"`               // failure domains that get no new work
	Quarantine           []quarantine.Entry    `json:"quarantine"`              // requests that are suspected of crashing servers, or refused for it
	// StreamWriters are the software versions, each after its service, that may have begun the
	// streams of a route which clients can still take up.
	StreamWriters map[string][]string `json:"stream_writers"`
	Shortages     []shortageState     `json:"shortages"` // services that are short of room, and the shares of client accounts
	Servers       []serverState       `json:"servers"`
}

// serverState is a listed backend server on the state page.
type serverState struct {
	ID           string      `json:"id"`
	Service      string      `json:"service"`
	Version      string      `json:"software_version"`           // empty: not told
	Address      string      `json:"address"`                    // host:port
	Domain       string      `json:"domain"`                     // failure domain
	UnusedReason string      `json:"unused,omitempty"`           // why it gets no new work; empty: it gets work
	Cold         bool        `json:"cold,omitempty"`             // its request rate is limited because it may be cold
	RateLimit    *float64    `json:"limit_per_second,omitempty"` // requests per second that it takes from all hosts; nil: it names no limit
	Pause        *pauseState `json:"pause,omitempty"`            // until when it wants no requests of this host; nil: it takes requests
	InFlight     int64       `json:"inflight"`                   // of this host's requests
	Load         int         `json:"load"`                       // estimated requests at the server, from all hosts
	ErrorRate    float64     `json:"errors"`                     // share of recent responses that were failures
	ServiceTime  float64     `json:"relative_service_time"`      // as the server reported it last, 1 as usual; 0: it does not
	SeenAgeMS    float64     `json:"load_seen_ms_ago"`           // since it last reported its load, or refused a request; negative: never
	Speed        *speedState `json:"speed,omitempty"`            // how fast it works; nil: nothing is known
}

// pauseState is the time in which a server wants no requests of this host.
type pauseState struct {
	Since  time.Time `json:"since"`
	Until  time.Time `json:"until"`
	ToldBy string    `json:"told_by"` // id of the request with whose response the server asked for it last
}

// state returns the current content of the state page.
func (h *Host) state() hostState {
	now := h.clock.Now()
	_, age := h.keysFresh()
	waiting, late := h.stages.Waiting()
	s := hostState{
		Host: h.self.Host, Incarnation: h.self.Incarnation, Ready: h.isReady(), CutOff: h.reach.CutOff(), Stopping: h.stopping.Load(),
		ConfigAgeMS: ms(age), Readers: h.readers(), StageWorkByRegion: h.batchers.splitByRegion.Load(),
		StageWorkWaiting: waiting, StageWorkWaitingLate: late, StageWorkShares: h.stages.Shares(), Quarantine: h.guard.List(),
	}
	s.StageWaits = h.stages.Waits()
	answers := h.gateway.Answers()
	s.AnswerBytes, s.AnswerMaxBytes = answers.Bytes, answers.MaxBytes
	s.StreamBytes = h.gateway.ReadAheadBytes()
	uploads := h.gateway.Uploads()
	s.UploadBytes, s.UploadMaxBytes, s.UploadsWaiting = uploads.Bytes, uploads.MaxBytes, uploads.Waiting
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
	s.Shortages = h.shortages(now)
	s.StreamWriters = map[string][]string{}
	for route, possible := range h.writers.Routes() {
		s.StreamWriters[route] = writerTexts(possible)
	}
	s.RequestsWaiting = h.gateway.AllWaiting()
	for _, id := range h.mesh.Peers() {
		s.Peers = append(s.Peers, id.Host)
	}
	for _, srv := range view.All() {
		s.Servers = append(s.Servers, serverState{
			ID: srv.ID, Service: srv.Service, Version: srv.Version, Address: srv.Address, Domain: srv.Domain, UnusedReason: unusedReason(srv, now), Cold: isCold(p, srv, now), RateLimit: rateLimit(srv), Pause: pauseOf(srv, now),
			InFlight: srv.InFlight.Load(), Load: balance.EstimatedLoad(srv, now), ErrorRate: srv.FailureRate(now), ServiceTime: srv.RelativeServiceTime(),
			SeenAgeMS: seenAgeMS(srv, now), Speed: newSpeedState(&srv.Speed, now),
		})
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	return s
}

// seenAgeMS returns the milliseconds since the load of a server was seen; negative: it was not.
func seenAgeMS(s *directory.Server, now time.Time) float64 {
	at := s.Room.SeenAt()
	if at.IsZero() {
		return -1
	}
	return ms(now.Sub(at))
}

// unusedReason returns why a server gets no new work, or "" if it may get some.
func unusedReason(s *directory.Server, now time.Time) string {
	switch {
	case s.Leaves():
		return "it leaves"
	case s.Evacuated:
		return "its failure domain is evacuated"
	case s.Pauses.Pause(now) != nil:
		return "it wants no requests of this host"
	case s.InBackoff(now):
		return "it did not answer a moment ago"
	}
	return ""
}

// rateLimit returns the requests per second to which a server limits all hosts, or nil.
func rateLimit(s *directory.Server) *float64 {
	limit := s.RateLimit.Limit()
	if limit == nil {
		return nil
	}
	return &limit.PerSecond
}

// pauseOf returns the time in which a server wants no requests of this host, or nil.
func pauseOf(s *directory.Server, now time.Time) *pauseState {
	p := s.Pauses.Pause(now)
	if p == nil {
		return nil
	}
	return &pauseState{Since: p.Since, Until: p.Until, ToldBy: p.ToldBy}
}

// isCold reports whether the request rate to a server is limited because it may be cold.
func isCold(p *plan.Plan, s *directory.Server, now time.Time) bool {
	if p == nil {
		return false
	}
	service := p.Service(s.Service)
	return service != nil && service.ColdStart.RequestsPerSecond > 0 && s.MayBeCold(now, service.ColdStart.ColdDuration)
}

// serveState serves the state page as JSON.
func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; it cannot be reported to anyone.
	_ = json.NewEncoder(w).Encode(h.state())
}
