package balance

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
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
	hosts         int
	perSecond     float64 // requests at all hosts together
	duration      time.Duration
	servers       []*simServer
	work          func(r *rand.Rand) time.Duration // of a request on a server as usual
	reportsLoad   bool                             // servers tell their running and queued requests
	mayRepeat     float64                          // share of the requests that may be sent again
	withoutSpeed  bool                             // hosts learn nothing of speeds
	tellEachOther bool                             // hosts tell each other what they have measured
	sameSeed      bool                             // queries of all hosts have the same seed
	partitioned   int                              // hosts that no message of another host reaches
	ofBuildBefore int                              // hosts that know no messages and learn nothing
	seed          uint64

	random      *rand.Rand
	start       time.Time
	directories []*directory.Directory
	kinds       []*serverspeed.Kinds
	told        []*serverspeed.Told
	names       []string // of the hosts
	exchanges   []*serverspeed.Exchange
	network     *peertest.Network
	clock       *clock.Manual
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
	s.random, s.start, s.clock = rand.New(rand.NewPCG(s.seed, 1)), now, clock.NewManual(now)
	var entries []directory.Entry
	for i, server := range s.servers {
		entries = append(entries, directory.Entry{ID: fmt.Sprint("server-", i), Service: "s", Domain: "x", Slots: server.slots})
	}
	for range s.hosts {
		d := directory.New()
		d.Replace(entries, now)
		s.directories, s.kinds, s.told = append(s.directories, d), append(s.kinds, &serverspeed.Kinds{}), append(s.told, &serverspeed.Told{})
	}
	if s.tellEachOther {
		s.connect()
	}
	s.at(0, s.arrive)
	s.at(0, s.tick)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(s.start.Add(e.at).Sub(s.clock.Now()))
		e.do(e.at)
	}
}

// connect creates the exchanges of the hosts.
func (s *simulation) connect() {
	s.network = peertest.NewNetwork()
	for host := range s.hosts {
		s.names = append(s.names, fmt.Sprint("host-", host))
	}
	for host, name := range s.names {
		for _, other := range s.names[host+1:] {
			if host < s.partitioned {
				s.network.Partition(name, other)
			}
		}
		if host < s.ofBuildBefore {
			s.network.Join(peer.Identity{Host: name, Incarnation: 1})
			s.exchanges = append(s.exchanges, nil)
			continue
		}
		s.exchanges = append(s.exchanges, serverspeed.NewExchange(serverspeed.Options{
			Hosts: func() (string, []string) { return name, s.names },
			Servers: func() iter.Seq2[serverspeed.Server, *serverspeed.State] {
				return func(yield func(serverspeed.Server, *serverspeed.State) bool) {
					for i := range s.servers {
						listed := s.listed(host, i)
						if !yield(serverspeed.Server{ID: listed.ID}, &listed.Speed) {
							return
						}
					}
				}
			},
			Link: s.network.Join(peer.Identity{Host: name, Incarnation: 1}), Clock: s.clock,
		}))
	}
}

// listed returns a server as a host knows it.
func (s *simulation) listed(host, server int) *directory.Server {
	return s.directories[host].View().Server(fmt.Sprint("server-", server))
}

// tick is what each host does once in an interval, at different times.
func (s *simulation) tick(at time.Duration) {
	if at >= s.duration {
		return
	}
	for host := range s.hosts {
		s.at(at+time.Duration(s.random.Float64()*float64(serverspeed.Interval)), func(at time.Duration) {
			s.updateSpeeds(host, s.start.Add(at))
			if s.tellEachOther && host >= s.ofBuildBefore {
				s.exchanges[host].Tell(context.Background())
			}
		})
	}
	s.at(at+serverspeed.Interval, s.tick)
}

// usual returns the usual time of the requests as a host knows it.
func (s *simulation) usual(host int) *serverspeed.Usual {
	return s.kinds[host].Usual(serverspeed.Kind{Route: "r", Service: "s"})
}

// updateSpeeds updates what a host knows of the servers' speeds.
func (s *simulation) updateSpeeds(host int, now time.Time) {
	common := s.kinds[host].CommonSlowdowns(now)["s"]
	for i := range s.servers {
		s.listed(host, i).Speed.Update(serverspeed.Conditions{Now: now, Hosts: s.hosts, Random: s.random.Float64(), CommonSlowdown: common})
	}
}

// seedOf returns the seed of a host's queries.
func (s *simulation) seedOf(host int) uint64 {
	if s.sameSeed {
		return 0
	}
	return uint64(host + 1)
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
		OneWayLatency: func(string) time.Duration { return 0 }, UsualTime: s.usual(r.host).Time(), MayRepeat: r.mayRepeat, Seed: s.seedOf(r.host), Now: at0,
	})
	_, _ = fmt.Sscanf(chosen.ID, "server-%d", &r.server)
	r.measurement = serverspeed.Measurement{Load: EstimatedLoad(chosen, at0) + 1, Slots: chosen.Slots}
	chosen.InFlight.Add(1)
	if !s.withoutSpeed && r.host >= s.ofBuildBefore {
		chosen.Speed.RecordSent(at0, s.usual(r.host).ExpectedUntil(r.measurement.Load, chosen.Slots, at0))
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
	if !s.withoutSpeed && r.host >= s.ofBuildBefore {
		listed.Speed.RecordAwaited(s.usual(r.host).ExpectedUntil(r.measurement.Load, listed.Slots, at0))
		if server.tells != nil {
			listed.Speed.Tell(s.told[r.host].Relative("s", server.tells(at)), at0)
		}
		r.measurement.Took, r.measurement.At = at-r.arrivedAt, at0
		s.usual(r.host).Observe(&listed.Speed, r.measurement)
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
