package accountshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/peer/peertest"
	"bilberrydale/process/waitline"
)

// simServer is a server with slots and a queue, which refuses a request when both are full.
type simServer struct {
	slots, queue int
	ends         []time.Time // of the requests that it holds, in the order of their arrival
	down         bool
}

// take begins a request. It returns false if there is no room.
func (s *simServer) take(work time.Duration, now time.Time) bool {
	s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !now.Before(end) })
	if s.down || len(s.ends) >= s.slots+s.queue {
		return false
	}
	begin := now
	if len(s.ends) >= s.slots {
		ends := slices.Clone(s.ends)
		slices.SortFunc(ends, time.Time.Compare)
		begin = ends[len(ends)-s.slots]
	}
	s.ends = append(s.ends, begin.Add(work))
	return true
}

// simHost is an entry host of a simulation.
type simHost struct {
	name   string
	shares *Shares // nil: all requests are admitted
	next   time.Time
	frozen bool // sends no reports and gets no requests
	line   waitline.Line
}

// simAccount is the load of a client account.
type simAccount struct {
	name       string
	perSecond  float64
	priorities []int // drawn evenly; none: 0
	from, to   time.Duration
	onlyHost   int // all its clients come to this host, counted from 1; 0: to all
	served     []int
	sent       []int // by second
	byPriority map[int][2]int
}

// simulation plays accounts against a service of several servers and entry hosts.
type simulation struct {
	rand     *rand.Rand
	clock    *clock.Manual
	start    time.Time
	net      *peertest.Network
	hosts    []*simHost
	servers  []*simServer
	work     time.Duration
	accounts []*simAccount
	at       map[time.Duration]func() // what happens at a time
	cost     float64                  // of a request
	// patience is how long a request waits at its host for room; 0: it does not.
	patience time.Duration
	waiting  []*simRequest // in the order of their arrival
	// inLine is set if requests wait in the lines of their hosts, which know the load of the servers, instead
	// of for patience.
	inLine bool
	// returning is set if clients whose requests are refused send them once more, after the time
	// that they are told, or backoff.
	returning bool
	away      []*simRequest // that clients send again
}

// simRequest is an admitted request.
type simRequest struct {
	host     *simHost
	account  *simAccount
	second   int // of its arrival
	priority int
	until    time.Time // when it gives up
	back     time.Time // when its client sends it again
	again    bool      // it is sent for the second time
	ticket   *waitline.Ticket
	joinedAt time.Time
}

// backoff is after what time clients come back that are told none.
const backoff = 150 * time.Millisecond

const (
	simService = "ledger"
	simStep    = 5 * time.Millisecond
	// simAttempts is the number of servers that a request is sent to until one takes it.
	simAttempts = 4
)

// newSimulation returns a simulation in which each two servers take 80 requests a second.
func newSimulation(hosts, servers int, seed uint64) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), net: peertest.NewNetwork(), work: 50 * time.Millisecond, at: map[time.Duration]func(){}, cost: 1,
	}
	s.clock = clock.NewManual(s.start)
	for range servers {
		s.servers = append(s.servers, &simServer{slots: 2, queue: 4})
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint("front-", i+1)})
	}
	for _, h := range s.hosts {
		s.startHost(h)
	}
	return s
}

// startHost starts the process of a host, or starts it again.
func (s *simulation) startHost(h *simHost) {
	link := s.net.Join(peer.Identity{Host: h.name})
	h.shares = New(Options{Hosts: func() (string, []string) { return h.name, s.names() }, Clock: s.clock, Rand: s.rand, Link: link})
}

// names returns the listed hosts.
func (s *simulation) names() []string {
	var out []string
	for _, h := range s.hosts {
		out = append(out, h.name)
	}
	return out
}

// withoutShares makes all hosts admit all requests.
func (s *simulation) withoutShares() *simulation {
	for _, h := range s.hosts {
		h.shares = nil
	}
	return s
}

// cutOff makes all calls between a host and the others fail.
func (s *simulation) cutOff(h *simHost) {
	for _, o := range s.hosts {
		if o != h {
			s.net.Partition(h.name, o.name)
		}
	}
}

// loseAnswers makes a host take calls of the others, to which its responses are lost.
func (s *simulation) loseAnswers(h *simHost) {
	for _, o := range s.hosts {
		if o != h {
			s.net.LoseResponses(o.name, h.name)
		}
	}
}

// heal ends cutOff and loseAnswers.
func (s *simulation) heal(h *simHost) {
	for _, o := range s.hosts {
		s.net.Heal(h.name, o.name)
	}
}

// run plays the simulation.
func (s *simulation) run(d time.Duration) {
	for t := time.Duration(0); t < d; t += simStep {
		if f := s.at[t]; f != nil {
			f()
		}
		now := s.clock.Now()
		if s.inLine {
			s.giveTurns(now)
		} else {
			s.sendWaiting(now)
		}
		s.sendAgain(now)
		for _, a := range s.accounts {
			for range s.arrivals(a, t) {
				s.request(a, t, now)
			}
		}
		for _, h := range s.hosts {
			s.tick(h, now)
		}
		s.clock.Advance(simStep)
	}
}

// arrivals returns the requests of an account in a step.
func (s *simulation) arrivals(a *simAccount, t time.Duration) int {
	if t < a.from || a.to > 0 && t >= a.to {
		return 0
	}
	n, mean := 0, a.perSecond*simStep.Seconds()
	for at := s.rand.ExpFloat64(); at < mean; at += s.rand.ExpFloat64() {
		n++
	}
	return n
}

// request sends one request of an account.
func (s *simulation) request(a *simAccount, t time.Duration, now time.Time) {
	r := &simRequest{account: a, host: s.hosts[s.rand.IntN(len(s.hosts))], second: int(t / time.Second), until: now.Add(s.patience)}
	if a.onlyHost > 0 {
		r.host = s.hosts[a.onlyHost-1]
	}
	if r.host.frozen {
		return // its clients are sent to other hosts
	}
	if len(a.priorities) > 0 {
		r.priority = a.priorities[s.rand.IntN(len(a.priorities))]
	}
	a.count(r, 1, 0)
	s.begin(r, now)
}

// begin handles a request that arrives at its host.
func (s *simulation) begin(r *simRequest, now time.Time) {
	if ok, retryAfter := r.host.admits(r, s.cost); !ok {
		s.comeBack(r, now.Add(retryAfter))
		return
	}
	if s.inLine {
		s.join(r, now)
		return
	}
	if s.send(r, now) {
		return
	}
	r.host.record(Refused, s.cost)
	if s.patience == 0 {
		s.comeBack(r, now.Add(backoff))
		return
	}
	s.waiting = append(s.waiting, r)
}

// comeBack lets the client of a refused request send it again, if it does.
func (s *simulation) comeBack(r *simRequest, at time.Time) {
	if s.returning && !r.again {
		r.again, r.back = true, at
		s.away = append(s.away, r)
	}
}

// sendAgain sends the requests whose clients come back.
func (s *simulation) sendAgain(now time.Time) {
	var due []*simRequest
	s.away = slices.DeleteFunc(s.away, func(r *simRequest) bool {
		isDue := !now.Before(r.back)
		if isDue {
			due = append(due, r)
		}
		return isDue
	})
	for _, r := range due {
		r.until = now.Add(s.patience)
		s.begin(r, now)
	}
}

// send sends a request to servers. It returns whether one took it.
func (s *simulation) send(r *simRequest, now time.Time) bool {
	first := s.rand.IntN(len(s.servers))
	for i := range min(simAttempts, len(s.servers)) {
		if s.servers[(first+i)%len(s.servers)].take(s.work, now) {
			r.host.record(Taken, s.cost)
			r.account.count(r, 0, 1)
			return true
		}
	}
	return false
}

// sendWaiting sends the requests that wait, and drops those that give up.
func (s *simulation) sendWaiting(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *simRequest) bool {
		if s.send(r, now) {
			return true
		}
		expired := !now.Before(r.until)
		if expired {
			s.comeBack(r, now.Add(backoff))
		}
		return expired
	})
}

// count counts requests that were sent and served.
func (a *simAccount) count(r *simRequest, sent, served int) {
	for len(a.sent) <= r.second {
		a.sent, a.served = append(a.sent, 0), append(a.served, 0)
	}
	a.sent[r.second] += sent
	a.served[r.second] += served
	if a.byPriority == nil {
		a.byPriority = map[int][2]int{}
	}
	counts := a.byPriority[r.priority]
	a.byPriority[r.priority] = [2]int{counts[0] + sent, counts[1] + served}
}

// admits reports whether the host admits a request, and when its client may come again if not.
func (h *simHost) admits(r *simRequest, cost float64) (admitted bool, retryAfter time.Duration) {
	if h.shares == nil {
		return true, 0
	}
	return h.shares.Admit(Request{Service: simService, Account: r.account.name, Priority: r.priority, Cost: cost})
}

// record records an outcome.
func (h *simHost) record(o Outcome, cost float64) {
	if h.shares != nil {
		h.shares.Record(simService, cost, o)
	}
}

// tick sends a host's reports if they are due.
func (s *simulation) tick(h *simHost, now time.Time) {
	if h.shares == nil || h.frozen {
		return
	}
	woken := false
	select {
	case <-h.shares.wake:
		woken = true
	default:
	}
	if !woken && (h.next.IsZero() || now.Before(h.next)) {
		return
	}
	h.next = time.Time{}
	if interval := h.shares.reportAll(context.Background()); interval > 0 {
		h.next = now.Add(interval)
	}
}

// servedPart returns the part of an account's requests that were served from one second to another.
func (a *simAccount) servedPart(from, to int) float64 {
	sent, served := 0, 0
	for i := from; i < min(to, len(a.sent)); i++ {
		sent, served = sent+a.sent[i], served+a.served[i]
	}
	return float64(served) / float64(max(sent, 1))
}

// servedFrom returns the requests of all accounts that were served from one second to another.
func (s *simulation) servedFrom(from, to int) int {
	n := 0
	for _, a := range s.accounts {
		for i := from; i < min(to, len(a.served)); i++ {
			n += a.served[i]
		}
	}
	return n
}

// burstAt is when the load of oneLargeFourSmall begins to be too much.
const burstAt = 2 // seconds

// oneLargeFourSmall is the load of an account that asks for four times what the servers take, from
// burstAt on, and four accounts that ask for a tenth of it each.
func (s *simulation) oneLargeFourSmall() *simulation {
	unit := float64(len(s.servers)) / 2
	s.accounts = []*simAccount{{name: "large", perSecond: 320 * unit, from: burstAt * time.Second}}
	for i := range 4 {
		s.accounts = append(s.accounts, &simAccount{name: fmt.Sprint("small-", i+1), perSecond: 8 * unit})
	}
	return s
}
