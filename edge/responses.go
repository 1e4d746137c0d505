package edge

import (
	"errors"

	"bilberrydale/connection/upstream"
	"bilberrydale/platform"
	"bilberrydale/process/directory"
	"bilberrydale/process/retryafter"
	"bilberrydale/process/serverlimit"
	"bilberrydale/request/wire"
)

// admitToServer implements upstream.Options.Admit and serverpath.Options.Admit. All requests of this
// host to backend servers pass here, and the heads of all responses, so that what servers say is kept
// in one place whoever reads the response.
func (h *Host) admitToServer(address string, req *upstream.Request) (done func(*upstream.Head), err error) {
	s, attemptID := h.expectedServer(address, req)
	if s == nil {
		return func(*upstream.Head) {}, nil
	}
	if req.NewWork && s.Leaves() {
		return nil, errServerLeaves
	}
	admission, admitted := s.Pauses.Admit(h.clock.Now())
	if !admitted {
		h.meter.Add("requests_withheld_from_servers", 1)
		return nil, s.Pauses.Err()
	}
	return func(head *upstream.Head) {
		outcome := retryafter.NoResponse
		if head != nil {
			outcome = h.observeResponse(s, attemptID, req.NewWork, head)
		}
		admission.Done(outcome, h.clock.Now())
	}, nil
}

// errServerLeaves means that a request is new work for a server that leaves.
var errServerLeaves = errors.New("the server leaves")

// expectedServer returns the listed server at an address (host:port) that a request is for, or nil,
// and the id of the client's attempt.
func (h *Host) expectedServer(address string, req *upstream.Request) (*directory.Server, string) {
	id, attemptID := platform.ExpectedServer(req.Header)
	s := h.directory.View().Server(id)
	if s == nil || s.Address != address {
		return nil, attemptID
	}
	return s, attemptID
}

// observeResponse keeps what the head of a response to a request of a client's attempt says of its
// server, and returns whether the server took the request, if that is new work.
func (h *Host) observeResponse(s *directory.Server, attemptID string, newWork bool, head *upstream.Head) retryafter.Outcome {
	now := h.clock.Now()
	r := platform.Headers{}.DecodeServerResponse(head.Status, head.Header, now)
	if r.OtherServer {
		return retryafter.NoResponse
	}
	if r.Leaving {
		h.observeLeaving(s, attemptID)
	}
	if r.Pause > 0 {
		h.observePause(s, attemptID, r)
	}
	if r.AttemptID != attemptID && (r.AttemptID != "" || !r.NotRun) {
		// It belongs to another request on the connection. What it asks for holds, but what it
		// leaves out says nothing.
		return retryafter.NoResponse
	}
	switch {
	case r.LoadReported:
		s.RecordLoad(r.RunningRequests, r.QueuedRequests, now)
	case newWork && r.NoRoom() && r.Pause == 0:
		s.Room.Refused(now)
	}
	if r.RelativeServiceTime > 0 {
		s.RecordRelativeServiceTime(r.RelativeServiceTime)
		s.Speed.Tell(h.toldSpeeds.Relative(s.Service, r.RelativeServiceTime), now)
	}
	h.serverLimits.Observe(s.Process(), &s.RateLimit, serverlimit.Response{
		PerSecond: r.RateLimit, Limited: r.RateLimited, NotRun: r.NotRun || !newWork, SentAt: head.SentAt,
		MaxRefusals: r.MaxRefusals, Brittle: r.Brittle, Refused: r.NoRoom(),
	})
	switch {
	case r.Pause > 0 || r.NoRoom():
		return retryafter.Refused
	case newWork:
		return retryafter.Accepted
	}
	return retryafter.NoResponse
}

// observeLeaving keeps that a server has said that it leaves. The other hosts learn it from the
// platform's list, or from the server.
func (h *Host) observeLeaving(s *directory.Server, attemptID string) {
	if !h.directory.MarkLeaving(s) {
		return
	}
	h.meter.Add("servers_said_that_they_leave", 1)
	h.log.Info("backend server", "outcome", "says that it leaves", "id", s.ID, "service", s.Service, "listed_as", serverStatus(s), "told_by_request", attemptID)
	h.observeWriters()
	h.batchers.updateServers()
}

// observePause keeps that a server wants no requests of this host.
func (h *Host) observePause(s *directory.Server, attemptID string, r wire.ServerResponse) {
	now := h.clock.Now()
	h.meter.Add("server_pauses_told", 1)
	p := s.Pauses.Observe(r.Pause, attemptID, now, len(h.knownHosts()), h.rand.Float64())
	if p == nil {
		return
	}
	h.log.Warn("backend server", "outcome", "wants no requests of this host", "id", s.ID, "service", s.Service, "for_ms", ms(r.Pause),
		"until", p.Until, "told_by_request", attemptID, "not_run", r.NotRun, "signed", r.Signed)
	s.Pauses.AfterEnd(h.clock.Now, func() {
		h.log.Info("backend server", "outcome", "takes requests of this host again", "id", s.ID, "service", s.Service)
	})
}
