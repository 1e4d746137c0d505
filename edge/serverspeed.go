package edge

import (
	"context"
	"iter"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/serverspeed"
)

// createSpeedExchange creates the exchange with other hosts of what this host measures at servers.
func (h *Host) createSpeedExchange() {
	h.speedExchange = serverspeed.NewExchange(serverspeed.Options{
		Hosts: func() (string, []string) { return h.self.Host, h.knownHosts() }, Servers: h.serverSpeeds, Link: h.mesh, Clock: h.clock,
		OnSent: func(findings int) {
			if findings == 0 {
				h.meter.Add("server_speeds_not_told", 1)
				return
			}
			h.meter.Add("server_speeds_told", int64(findings))
		},
	})
}

// serverSpeeds returns the speeds of the listed servers.
func (h *Host) serverSpeeds() iter.Seq2[serverspeed.Server, *serverspeed.State] {
	return func(yield func(serverspeed.Server, *serverspeed.State) bool) {
		for _, s := range h.directory.View().All() {
			if !yield(serverspeed.Server{ID: s.ID, StartedUnixMS: s.StartedUnixMS}, &s.Speed) {
				return
			}
		}
	}
}

// followServerSpeeds updates what is known of the servers' speeds, and tells other hosts what this host
// measures, until ctx ends.
func (h *Host) followServerSpeeds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(serverspeed.Interval):
			h.updateSpeeds()
			h.speedExchange.Tell(ctx)
		}
	}
}

// updateSpeeds updates the speeds of all servers, and logs and counts those that have become slow or
// well.
func (h *Host) updateSpeeds() {
	c := serverspeed.Conditions{Now: h.clock.Now(), Hosts: len(h.knownHosts()), Random: h.rand.Float64()}
	slowdowns := h.gateway.CommonSlowdowns(c.Now)
	for _, s := range h.directory.View().All() {
		c.CommonSlowdown = slowdowns[s.Service]
		if s.Speed.Update(c) {
			h.serverSpeedChanged(s, c.Now)
		}
	}
}

// serverSpeedChanged logs and counts that a server has become slow or well.
func (h *Host) serverSpeedChanged(s *directory.Server, now time.Time) {
	r := s.Speed.Report(now)
	outcome := "is as fast as usual again"
	if r.Slow {
		outcome = "is slow and gets fewer requests"
		h.meter.Add("servers_became_slow", 1)
	}
	// Without the limit of lines about requests, which would leave it out under load; the hysteresis
	// of the judgement keeps these few.
	h.log.Info("backend server", "outcome", outcome, "id", s.ID, "service", s.Service, "relative_time", r.RelativeTime, "room", r.Room,
		"weight", r.AllWeight, "own_weight", r.OwnWeight, "heard_hosts", r.HeardHosts, "told", r.Told)
}

// slowServers returns the number of listed servers that are slow.
func (h *Host) slowServers() float64 {
	n := 0
	for _, s := range h.directory.View().All() {
		if s.Speed.Slow() {
			n++
		}
	}
	return float64(n)
}

// speedState is what is known of a server's speed on the state page.
type speedState struct {
	Slow         bool    `json:"slow"`
	RelativeTime float64 `json:"relative_time"` // of work with few requests at the server; 1: as usual
	Room         float64 `json:"room"`          // share of its slots up to which requests do not take longer for being many
	Weight       float64 `json:"weight"`        // of all that the figures rest on
	OwnWeight    float64 `json:"own_weight"`    // of this host's measurements in it
	HeardHosts   int     `json:"heard_hosts"`   // other hosts whose measurements are in it
	Told         float64 `json:"told"`          // mean of what the server tells, 1 as its service usually does; 0: nothing
	AgeMS        float64 `json:"age_ms"`        // of the newest measurement; 0: there is none
}

// newSpeedState returns the state page's view of a server's speed; nil: nothing is known of it.
func newSpeedState(s *serverspeed.State, now time.Time) *speedState {
	r := s.Report(now)
	if r.AllWeight < minShownWeight {
		return nil
	}
	state := &speedState{Slow: r.Slow, RelativeTime: r.RelativeTime, Room: r.Room, Weight: r.AllWeight, OwnWeight: r.OwnWeight, HeardHosts: r.HeardHosts, Told: r.Told}
	if !r.NewestAt.IsZero() {
		state.AgeMS = ms(now.Sub(r.NewestAt))
	}
	return state
}

// minShownWeight is the weight below which what is known of a server's speed says nothing.
const minShownWeight = 0.01
