package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/process/serverspeed"
	"bilberrydale/process/streamwriter"
)

// The hosts and servers that the tests of server speeds run without a network.

// simServer is a backend server with a queue, which runs its requests in the order of their arrival.
type simServer struct {
	slots    int
	slowdown func(at time.Duration) float64 // factor of the time of a request that starts
	stretch  int                            // requests at once from which all take longer; 0: slots
	running  int
	queue    []*simRequest
	tells    func(at time.Duration) float64 // relative time that it reports; nil: none
	served   int
}

// simRequest is a request of a simulation.
type simRequest struct {
	host, server int
	mayRepeat    bool
	arrivedAt    time.Duration
	work         time.Duration
	measurement  serverspeed.Measurement
}

// simulation runs hosts that choose servers for requests. Time and random numbers are its own.
type simulation struct {
	hosts        int
	perSecond    float64 // requests at all hosts together
	duration     time.Duration
	servers      []*simServer
	work         func(r *rand.Rand) time.Duration // of a request on a server as usual
	reportsLoad  bool                             // servers tell their running and queued requests
	mayRepeat    float64                          // share of the requests that may be sent again
	withoutSpeed bool                             // hosts learn nothing of speeds
	seed         uint64

	random      *rand.Rand
	start       time.Time
	directories []*directory.Directory
	usual       []*serverspeed.Usual
	told        []*serverspeed.Told
	events      eventQueue
	scheduled   int                                   // events so far
	latencies   []time.Duration                       // of the requests, as they end
	onResponse  func(r *simRequest, at time.Duration) // nil: not called
}

// event is something that happens at a time of a simulation.
type event struct {
	at time.Duration
	do func(at time.Duration)
	n  int // breaks ties
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].n, q[j].n)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// at schedules an event.
func (s *simulation) at(t time.Duration, do func(time.Duration)) {
	heap.Push(&s.events, event{t, do, s.scheduled})
	s.scheduled++
}

// run runs the simulation to its end.
func (s *simulation) run() {
	s.random, s.start = rand.New(rand.NewPCG(s.seed, 1)), now
	var entries []directory.Entry
	for i, server := range s.servers {
		entries = append(entries, directory.Entry{ID: fmt.Sprint("server-", i), Service: "s", Domain: "x", Slots: server.slots})
	}
	for range s.hosts {
		d := directory.New()
		d.Replace(entries, now)
		s.directories, s.usual, s.told = append(s.directories, d), append(s.usual, &serverspeed.Usual{}), append(s.told, &serverspeed.Told{})
	}
	s.at(0, s.arrive)
	s.at(0, s.tick)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		e.do(e.at)
	}
}

// listed returns a server as a host knows it.
func (s *simulation) listed(host, server int) *directory.Server {
	return s.directories[host].View().Server(fmt.Sprint("server-", server))
}

// tick is a second of each host.
func (s *simulation) tick(at time.Duration) {
	if at >= s.duration {
		return
	}
	for host := range s.hosts {
		for i := range s.servers {
			s.listed(host, i).Speed.Update(s.start.Add(at), s.hosts)
		}
	}
	s.at(at+time.Second, s.tick)
}

// arrive sends a request to a server, and schedules the next arrival.
func (s *simulation) arrive(at time.Duration) {
	if at >= s.duration {
		return
	}
	s.at(at+time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
	r := &simRequest{host: s.random.IntN(s.hosts), arrivedAt: at, work: s.work(s.random)}
	at0 := s.start.Add(at)
	r.mayRepeat = s.random.Float64() < s.mayRepeat
	chosen := Choose(Query{
		Servers:       s.directories[r.host].View().Candidates("s", residency.Set{}, streamwriter.Writer{}),
		OneWayLatency: func(string) time.Duration { return 0 }, UsualTime: s.usual[r.host].Time(), MayRepeat: r.mayRepeat, Now: at0,
	})
	_, _ = fmt.Sscanf(chosen.ID, "server-%d", &r.server)
	r.measurement = serverspeed.Measurement{Load: EstimatedLoad(chosen, at0) + 1, Slots: chosen.Slots}
	chosen.InFlight.Add(1)
	if !s.withoutSpeed {
		chosen.Speed.RecordSent(at0, s.usual[r.host].ExpectedUntil(r.measurement.Load, chosen.Slots, at0))
	}
	server := s.servers[r.server]
	server.queue = append(server.queue, r)
	s.serve(server, at)
}

// serve starts queued requests in the free slots of a server.
func (s *simulation) serve(server *simServer, at time.Duration) {
	for server.running < server.slots && len(server.queue) > 0 {
		r := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		took := float64(r.work) * server.slowdown(at)
		if server.stretch > 0 {
			took *= max(float64(server.running)/float64(server.stretch), 1)
		}
		s.at(at+time.Duration(took), func(at time.Duration) { s.respond(server, r, at) })
	}
}

// respond ends a request.
func (s *simulation) respond(server *simServer, r *simRequest, at time.Duration) {
	server.running--
	server.served++
	s.serve(server, at)
	listed, at0 := s.listed(r.host, r.server), s.start.Add(at)
	listed.InFlight.Add(-1)
	if s.reportsLoad {
		listed.RecordLoad(server.running, len(server.queue), at0)
		r.measurement.Load = max(r.measurement.Load, server.running+len(server.queue))
	}
	if !s.withoutSpeed {
		listed.Speed.RecordAwaited(s.usual[r.host].ExpectedUntil(r.measurement.Load, listed.Slots, at0))
		if server.tells != nil {
			listed.Speed.Tell(s.told[r.host].Relative("s", server.tells(at)), at0)
		}
		r.measurement.Took, r.measurement.At = at-r.arrivedAt, at0
		s.usual[r.host].Observe(&listed.Speed, r.measurement)
	}
	s.latencies = append(s.latencies, at-r.arrivedAt)
	if s.onResponse != nil {
		s.onResponse(r, at)
	}
}

// over returns the share of the requests that took longer.
func (s *simulation) over(limit time.Duration) float64 {
	n := 0
	for _, l := range s.latencies {
		if l > limit {
			n++
		}
	}
	return float64(n) / float64(len(s.latencies))
}

// usualSpeed is the slowdown of a server that works as usual.
func usualSpeed(time.Duration) float64 { return 1 }

// about returns work times around a mean.
func about(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration((0.8 + 0.4*r.Float64()) * float64(mean)) }
}
