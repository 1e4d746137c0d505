package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// newMeasuredExchange returns an exchange whose route usually takes 20 ms, with a server of the service.
func newMeasuredExchange(now time.Time) (*exchange, *directory.Server, *clock.Manual) {
	dir := directory.New()
	dir.Replace([]directory.Entry{{ID: "a", Service: "s", Domain: "x", Slots: 4}, {ID: "b", Service: "s", Domain: "x", Slots: 4}}, now)
	c := clock.NewManual(now)
	gw := New(Options{Directory: dir, Clock: c, Rand: clock.NewSeeded(1), OneWayLatency: func(string) time.Duration { return time.Millisecond }})
	x := &exchange{Gateway: gw, services: &plan.Services{}, route: &plan.Route{}, service: "s", r: httptest.NewRequest("GET", "/", nil)}
	for range 20 {
		x.respond(dir.View().Server("b"), c, "", 22*time.Millisecond, &upstream.Response{Status: 200, ReusedConn: true})
	}
	return x, dir.View().Server("a"), c
}

// respond measures an attempt whose response begins after a time.
func (x *exchange) respond(s *directory.Server, c *clock.Manual, lastEventID string, took time.Duration, r *upstream.Response) {
	m := x.beginMeasurement(s, lastEventID, c.Now())
	c.Advance(took)
	x.measure(&attempt{server: s, response: r, measurement: m})
}

// Guards against a server that counts as slow for what is not its work: the network, another host by way
// of which the response came, a failure, a stream that was taken up, or its start.
func TestOnlyComparableResponsesAreMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		response    upstream.Response
		lastEventID string
		took        time.Duration
		latency     time.Duration // one way; 0: that of newMeasuredExchange
		cold        bool
		measured    bool
	}{
		"a response":                {response: upstream.Response{Status: 200, ReusedConn: true}, took: 100 * time.Millisecond, measured: true},
		"on a new connection":       {response: upstream.Response{Status: 200}, took: 100 * time.Millisecond, measured: true},
		"mostly the network":        {response: upstream.Response{Status: 200, ReusedConn: true}, took: 100 * time.Millisecond, latency: 15 * time.Millisecond},
		"by way of another host":    {response: upstream.Response{Status: 200, ReusedConn: true, CarriedBy: "h"}, took: 100 * time.Millisecond},
		"a failure":                 {response: upstream.Response{Status: 500, ReusedConn: true}, took: 100 * time.Millisecond},
		"a refusal":                 {response: upstream.Response{Status: 404, ReusedConn: true}, took: 100 * time.Millisecond},
		"a stream that is taken up": {response: upstream.Response{Status: 200, ReusedConn: true}, lastEventID: "3", took: 100 * time.Millisecond},
		"a cold server":             {response: upstream.Response{Status: 200, ReusedConn: true}, took: 100 * time.Millisecond, cold: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, s, at := newMeasuredExchange(now)
			if c.cold {
				x.opts.Directory.Replace([]directory.Entry{{ID: "a", Service: "s", Domain: "x", Slots: 4, ColdRemaining: time.Minute}}, at.Now())
				s = x.opts.Directory.View().Server("a")
			}
			if c.latency > 0 {
				x.opts.OneWayLatency = func(string) time.Duration { return c.latency }
			}
			for range 4 {
				x.respond(s, at, c.lastEventID, c.took, &c.response)
			}
			g.Expect(s.Speed.Slow()).To(Equal(c.measured))
			g.Expect(s.Speed.Report(at.Now()).OwnWeight > 0).To(Equal(c.measured))
			g.Expect(s.Speed.Overdue(at.Now().Add(time.Hour))).To(BeZero(), "nothing is awaited")
		})
	}
}

// A server is far, and as fast as the others. Some of its responses take longer, as a packet was lost. Guards
// against a server that counts as slow as only those are measured, and against a usual time that is not
// learned any more.
func TestLateResponsesOfAFarServerAreNoSlowness(t *testing.T) {
	for name, latency := range map[string]time.Duration{
		"near": time.Millisecond, "as far as the work takes": 9 * time.Millisecond, "farther": 15 * time.Millisecond, "very far": 35 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, s, c := newMeasuredExchange(time.Unix(1000, 0))
			x.opts.OneWayLatency = func(string) time.Duration { return latency }
			response := &upstream.Response{Status: 200, ReusedConn: true}
			for i := range 60 {
				took := 20 * time.Millisecond // the latency is less than assumed
				if i%10 == 9 {
					took = 220 * time.Millisecond
				}
				x.respond(s, c, "", took, response)
				g.Expect(s.Speed.Slow()).To(BeFalse())
			}
			for range 200 {
				x.respond(s, c, "", time.Second, response)
			}
			g.Expect(x.usual().Time()).To(BeNumerically(">", 200*time.Millisecond))
		})
	}
}

// Guards against a server that is never measured because its responses do not come in time, and against
// one that counts as slow because a client left.
func TestTimeoutCountsAsSlowness(t *testing.T) {
	g := NewWithT(t)
	x, s, c := newMeasuredExchange(time.Unix(1000, 0))
	fail := func(took, timeout time.Duration) {
		m := x.beginMeasurement(s, "", c.Now())
		c.Advance(took)
		x.measureTimeout(s, m, timeout)
	}
	for range 4 {
		fail(100*time.Millisecond, 0)
		fail(100*time.Millisecond, 150*time.Millisecond)
	}
	g.Expect(s.Speed.Slow()).To(BeFalse())
	for range 4 {
		fail(150*time.Millisecond, 150*time.Millisecond)
	}
	g.Expect(s.Speed.Slow()).To(BeTrue())
	g.Expect(s.Speed.Overdue(c.Now().Add(time.Hour))).To(BeZero())
}

// oneResponse is a ServerClient and Headers with one response to every request.
type oneResponse struct {
	ServerClient
	wire.Headers
	headers wire.ServerResponse
}

func (oneResponse) EncodeServerRequest(http.Header, wire.ServerRequest) http.Header { return nil }

func (r oneResponse) DecodeServerResponse(int, http.Header, time.Time) wire.ServerResponse {
	return r.headers
}

func (oneResponse) Do(context.Context, string, *upstream.Request) (*upstream.Response, error) {
	return &upstream.Response{Status: http.StatusServiceUnavailable, Body: readerBody{strings.NewReader("")}}, nil
}

// A request waits at a server for longer than usual, and the server refuses another one. Guards against a
// server that counts as hung while it responds, and against the answer of another process in its place that
// counts as one of its own.
func TestRefusalShowsThatAServerResponds(t *testing.T) {
	for name, c := range map[string]struct {
		headers wire.ServerResponse
		overdue bool
	}{
		"a refusal":        {headers: wire.ServerResponse{NotRun: true}},
		"another's answer": {headers: wire.ServerResponse{AttemptID: "other"}, overdue: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, s, at := newMeasuredExchange(time.Unix(1000, 0))
			x.opts.Headers, x.opts.Servers = oneResponse{headers: c.headers}, oneResponse{}
			x.deadline = at.Now().Add(time.Minute)
			x.beginMeasurement(s, "", at.Now())
			at.Advance(time.Second)
			g.Expect(s.Speed.Overdue(at.Now())).To(BeNumerically(">", 0))
			_, err := x.send(t.Context(), s, "", nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(s.Speed.Overdue(at.Now()) > 0).To(Equal(c.overdue))
			g.Expect(s.InFlight.Load()).To(BeZero())
		})
	}
}
