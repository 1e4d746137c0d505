package entryhost

import (
	"cmp"
	"net/http"

	"bilberrydale/connection/backend"
	"bilberrydale/connection/serverhttp"
	"bilberrydale/process/retryafter"
	"bilberrydale/process/serverstate"
)

// serverGate keeps to the pauses that backend servers ask for, and records them. All requests of this
// host to servers pass it: stages, health checks, load reports and orders. It implements
// serverhttp.Gate.
type serverGate struct{ host *Host }

// serverGate returns the gate of the host's clients for backend servers.
func (h *Host) serverGate() serverhttp.Gate { return serverGate{h} }

// Admits implements serverhttp.Gate.
func (g serverGate) Admits(address string) error {
	s := g.host.registry.ByAddress(address)
	if s == nil || s.Pauses.Admits(g.host.clock.Now()) {
		return nil
	}
	return s.Pauses.Err()
}

// Admit implements serverhttp.Gate.
func (g serverGate) Admit(address string) (done func(*http.Response), err error) {
	s := g.host.registry.ByAddress(address)
	if s == nil {
		return func(*http.Response) {}, nil
	}
	admission, admitted := s.Pauses.Admit(g.host.clock.Now())
	if !admitted {
		return nil, s.Pauses.Err()
	}
	return func(resp *http.Response) {
		outcome := retryafter.NoResponse
		if resp != nil {
			outcome = g.host.observePause(s, resp)
		}
		admission.Done(outcome, g.host.clock.Now())
	}, nil
}

// observePause keeps for how long a server wants no requests of this host, and returns whether it
// took the request. Only stage calls show that it has room.
func (h *Host) observePause(s *serverstate.State, resp *http.Response) retryafter.Outcome {
	now := h.clock.Now()
	pause := retryafter.FromResponse(resp.StatusCode, resp.Header, now)
	if pause == 0 {
		if resp.StatusCode == http.StatusServiceUnavailable {
			return retryafter.Refused
		}
		if resp.Request.Method == http.MethodPost {
			return retryafter.Accepted
		}
		return retryafter.NoResponse
	}
	_, hosts := h.knownHosts()
	toldBy := resp.Request.Header.Get(cmp.Or(h.opts.Requests.BackendHeaders.RequestID, backend.HeaderRequestID))
	if p := s.Pauses.Observe(pause, toldBy, now, len(hosts), h.rand.Float64()); p != nil {
		h.log.Warn("backend server wants no requests of this host", "server", s.Name, "address", s.Address, "for", pause, "until", p.Until,
			"told_by_request", toldBy, "path", resp.Request.URL.Path)
		s.Pauses.AfterEnd(h.clock.Now, func() {
			h.log.Info("backend server takes requests of this host again", "server", s.Name, "address", s.Address)
		})
	}
	return retryafter.Refused
}
