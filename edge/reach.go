package edge

import (
	"net/http"
	"time"

	"bilberrydale/connection/serverpath"
	"bilberrydale/connection/upstream"
	"bilberrydale/platform"
	"bilberrydale/process/directory"
	"bilberrydale/process/reach"
)

// createServerPath creates what sends requests to backend servers, and carries those of hosts
// that are cut off from them.
func (h *Host) createServerPath() {
	h.upstream = upstream.New(upstream.Options{
		ServerIdleTimeout: func(header http.Header) time.Duration {
			return platform.Headers{}.DecodeServerResponse(http.StatusOK, header, h.clock.Now()).IdleTimeout
		},
		RequestID: platform.RequestID,
		OnConnect: func(string) {
			h.meter.Add("upstream_connections_opened", 1)
			h.reach.Accepted()
		},
		OnDialFailure: func(string, error) { h.reach.Suspect() },
		OnIdleFailure: func(string) { h.reach.Suspect() },
		StartRequest:  platform.NewStartRequest,
		DecodeStart:   platform.DecodeStart,
		Admit:         h.admitToServer,
		Dial:          h.opts.DialServer,
	})
	h.reach = reach.New(reach.Options{Clock: h.clock, Sample: h.sampleServers, Dial: h.upstream.Probe, OnChange: h.reachChanged})
	h.serverClient = serverpath.New(serverpath.Options{
		Direct: h.upstream, Reach: h.reach, Link: h.mesh, Clock: h.clock, Place: h.placeOfServer, Latency: h.delayBetween, Admit: h.admitToServer,
	})
	serverpath.NewCarrier(h.mesh, serverpath.CarrierOptions{
		Upstream: h.upstream, ReachesAny: h.reach.ReachesAny,
		Usable: func() bool { return !h.reach.CutOff() && !h.stopping.Load() && h.directory.View().Count() > 0 },
		Listed: func(address string) (listed, leaves bool) {
			s := h.serverAt(address)
			return s != nil, s != nil && s.Leaves()
		},
		Begin: func() { h.meter.Add("carried_requests", 1); h.activeRequests.Add(1) },
		End:   func() { h.activeRequests.Add(-1) },
	})
}

// serverAt returns the listed server at an address (host:port), or nil.
func (h *Host) serverAt(address string) *directory.Server {
	for _, s := range h.directory.View().All() {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// placeOfServer returns where the listed server at an address (host:port) is.
func (h *Host) placeOfServer(address string) serverpath.Place {
	if s := h.serverAt(address); s != nil {
		return serverpath.Place{Domain: s.Domain, Region: s.Region}
	}
	return serverpath.Place{}
}

// sampleServers returns the addresses of up to n listed servers in random order, in different
// failure domains if possible.
func (h *Host) sampleServers(n int) []string {
	var first, others []string
	domains := map[string]bool{}
	for _, s := range h.shuffledServers() {
		if domains[s.Domain] {
			others = append(others, s.Address)
			continue
		}
		domains[s.Domain] = true
		first = append(first, s.Address)
	}
	all := append(first, others...)
	return all[:min(n, len(all))]
}

// shuffledServers returns the listed servers in random order.
func (h *Host) shuffledServers() []*directory.Server {
	var out []*directory.Server
	for _, s := range h.directory.View().All() {
		out = append(out, s)
		i := h.rand.IntN(len(out))
		out[i], out[len(out)-1] = out[len(out)-1], out[i]
	}
	return out
}

// reachChanged logs that this host reaches no backend server any more, or again. What it saw
// of each server in that time was its own way.
func (h *Host) reachChanged(c reach.Change) {
	var since time.Time // all failures, if no server has ever accepted a connection
	if c.After > 0 {
		since = h.clock.Now().Add(-c.After)
	}
	h.directory.ForgetFailures(since)
	if c.CutOff {
		h.meter.Add("cut_off_from_servers", 1)
		h.log.Warn("backend servers", "outcome", "none accepts a connection of this host", "asked", c.Sampled, "last_accepted_ms_ago", ms(c.After))
		return
	}
	h.log.Info("backend servers", "outcome", "reached again", "after_ms", ms(c.After))
}
