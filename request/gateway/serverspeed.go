package gateway

import (
	"net/http"
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/directory"
	"bilberrydale/process/serverspeed"
)

// measurement is what is known of an attempt before its response, for the speed of its server.
type measurement struct {
	sentAt time.Time
	load   int // requests at the server, with this one
	// comparable reports that other requests of the route take as long.
	comparable bool
	awaited    bool // the response has not begun
}

// usual returns the usual time of such requests.
func (x *exchange) usual() *serverspeed.Usual {
	return x.usualTimes.Usual(serverspeed.Kind{Route: x.route.Name, Service: x.service})
}

// CommonSlowdowns returns, by service, the factor by which requests have begun to take longer at nearly all
// servers within the last seconds; 1 or missing: they have not.
func (g *Gateway) CommonSlowdowns(now time.Time) map[string]float64 {
	return g.usualTimes.CommonSlowdowns(now)
}

// UsualTime returns how long requests usually take at a service; 0: it is not known.
func (g *Gateway) UsualTime(service string) time.Duration { return g.usualTimes.ServiceTime(service) }

// beginMeasurement is called before a request is sent to a server. It leaves out what other requests of
// the route don't compare to: one that goes on with a stream, and one to a server that may be cold.
func (x *exchange) beginMeasurement(s *directory.Server, lastEventID string, now time.Time) measurement {
	m := measurement{sentAt: now, load: balance.EstimatedLoad(s, now) + 1, awaited: true}
	m.comparable = lastEventID == "" && !s.MayBeCold(now, x.coldStartLimit().ColdDuration)
	var expected time.Time
	if m.comparable {
		expected = x.expectedUntil(s, m.load, now)
	}
	s.Speed.RecordSent(now, expected)
	return m
}

// expectedUntil returns a generous upper limit of the time at which a server answers a request that is
// sent now.
func (x *exchange) expectedUntil(s *directory.Server, load int, now time.Time) time.Time {
	expected := x.usual().ExpectedUntil(load, s.Slots, now)
	if expected.IsZero() {
		return expected
	}
	return expected.Add(4 * x.opts.OneWayLatency(s.Domain)) // with a new connection
}

// endWait records once that a response has begun, or that the attempt has failed. expected is a
// generous upper limit of the time of another response of the server; zero: it is not known.
func (m *measurement) endWait(s *directory.Server, expected time.Time) {
	if m.awaited {
		m.awaited = false
		s.Speed.RecordAwaited(expected)
	}
}

// endWait records once that the response of a server has begun. It returns the time.
func (x *exchange) endWait(a *attempt) time.Time {
	now := x.opts.Clock.Now()
	a.measurement.endWait(a.server, x.expectedUntil(a.server, a.measurement.load, now))
	return now
}

// measure records once how long a server took for its response, or for the first event of a stream.
// Failures are left out, and responses that came by way of another host. Where requests usually spend most
// of their time in the network, only the usual time is recorded. That goes by what is usual, not by this
// response: if only the late ones of a far server counted, it would seem slow.
func (x *exchange) measure(a *attempt) {
	if !a.measurement.awaited {
		return
	}
	now := x.endWait(a)
	if !a.measurement.comparable || a.response.CarriedBy != "" || a.response.Status >= http.StatusBadRequest {
		return
	}
	network := 2 * x.opts.OneWayLatency(a.server.Domain)
	if !a.response.ReusedConn {
		network *= 2
	}
	took := max(now.Sub(a.measurement.sentAt)-network, minMeasured)
	load := a.measurement.load
	if a.headers.LoadReported {
		load = max(load, a.headers.RunningRequests+a.headers.QueuedRequests)
	}
	speed, usual := &a.server.Speed, x.usual()
	if t := usual.Time(); t > 0 && t < network {
		speed = nil
	}
	usual.Observe(speed, serverspeed.Measurement{Took: took, Load: load, Slots: a.server.Slots, At: now})
}

// minMeasured is the least time that a response counts as: the network's latency is an assumption, and may be
// less.
const minMeasured = time.Millisecond

// measureTimeout records that a server has not responded within the timeout of an attempt that failed.
func (x *exchange) measureTimeout(s *directory.Server, m measurement, timeout time.Duration) {
	m.endWait(s, time.Time{})
	now := x.opts.Clock.Now()
	if took := now.Sub(m.sentAt); timeout > 0 && took >= timeout && m.comparable && x.r.Context().Err() == nil {
		x.usual().ObserveAtLeast(&s.Speed, serverspeed.Measurement{Took: took, Load: m.load, Slots: s.Slots, At: now})
	}
}
