package replay

import (
	"fmt"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// host is a fake entry host around real decision code.
type host struct {
	*run
	Location
	*HostPolicy
	rand     clock.Rand
	registry *server.Registry
	pickers  map[string]pick.Picker
	profiles map[string]*admission.Profile
}

func (r *run) newHost(at Location, seed uint64) *host {
	h := &host{run: r, Location: at, rand: clock.NewSeeded(seed), registry: server.NewRegistry(), profiles: map[string]*admission.Profile{}}
	h.HostPolicy = r.policy.New(at, h.rand)
	h.install()
	return h
}

var classes = map[table.Class]admission.Class{
	table.Interactive: admission.Interactive, table.Standard: admission.Standard, table.Background: admission.Background,
}

// install makes the pickers and profiles of the present tables, as a new
// snapshot does.
func (h *host) install() {
	h.pickers = map[string]pick.Picker{}
	slots := map[string]int{}
	for _, p := range h.tables.Pools {
		servers := make([]pick.Server, len(p.Servers))
		for i, s := range p.Servers {
			servers[i] = pick.Server{Server: s, State: h.registry.Get(s.Name, s.Address, h.time()), Slots: p.Slots}
		}
		h.pickers[p.Name] = h.NewPicker(p, servers)
		slots[p.Name] = p.Slots * len(servers)
	}
	for _, rt := range h.tables.Routes {
		p := &admission.Profile{Route: rt.Name, Class: classes[rt.Class], Worth: rt.Worth, AccountWeights: h.deployment.shares()}
		for _, st := range rt.Stages {
			p.Stages = append(p.Stages, admission.Stage{Pool: st.Pool, Budget: st.Budget.Std(), Cost: st.Cost, Slots: slots[st.Pool]})
		}
		h.profiles[rt.Name] = p
	}
}

// flow is one request on its way through the stages.
type flow struct {
	*host
	rec      *Record
	out      *outcome
	route    *table.Route
	req      admission.Request
	stage    int
	attempts int
	tried    []*server.State
	current  *attempt
	began    time.Duration // of the stage
	over     bool
}

type attempt struct {
	job *job
	on  *fakeServer
	srv *pick.Server
	at  time.Duration
}

const maxAttempts = 3 // as request/pipeline

func (h *host) arrive(rec *Record, out *outcome) {
	rt := h.deployment.route(rec.Route)
	f := &flow{host: h, rec: rec, out: out, route: rt}
	f.req = admission.Request{Profile: h.profiles[rec.Route], Account: rec.Account, ArrivedAt: h.time(), Deadline: h.time().Add(rt.Deadline.Std()), Fingerprint: rec.identity()}
	if err := h.Admitter.Admit(h.time(), &f.req); err != nil {
		out.refused, out.why, out.retryAfter = true, string(err.Kind), err.RetryDelay()
		return
	}
	out.admitted = true
	h.after(rt.Deadline.Std(), f.expire)
	f.start()
}

func (f *flow) start() {
	f.began, f.attempts, f.tried = f.now, 0, nil
	f.Admitter.StageStart(f.time(), &f.req, f.stage)
	f.try()
}

func (f *flow) try() {
	st := &f.route.Stages[f.stage]
	info := pick.Attempt{
		Now: f.time(), Rand: f.rand, PrefixHash: f.affinity(), Class: f.route.Class,
		InputBytes: f.rec.Bytes[f.stage], Exclude: f.tried,
	}
	srv, err := f.pickers[st.Pool].Pick(&info)
	if err != nil {
		f.end(admission.Failed)
		return
	}
	if f.attempts == 0 && f.RecordFirstAttempt != nil {
		f.RecordFirstAttempt(st.Pool)
	}
	f.attempts++
	f.tried = append(f.tried, srv.State)
	f.send(st, srv)
}

func (f *flow) affinity() uint64 {
	if f.route.Stages[f.stage].Pool != f.deployment.EnginePool {
		return 0
	}
	return f.rec.Prefix
}

func (f *flow) send(st *table.Stage, srv *pick.Server) {
	f.req.MayHaveQueued = !srv.HasFreeSlot(f.time())
	srv.State.BeginRequest()
	a := &attempt{on: f.servers[srv.Address], srv: srv, at: f.now}
	f.current = a
	f.bytes(srv, f.rec.Bytes[f.stage])
	if !f.connected(f.Region, srv.Region) || a.on == nil {
		f.after(dialTimeout, func() { f.reply(a, unreached) })
		return
	}
	delay := f.delay(srv.Region)
	j := &job{
		seq: f.nextSeq(), work: fromMicros(f.rec.Work[f.stage]), prefill: fromMicros(f.rec.Prefill), prefix: f.rec.Prefix,
		poison: f.rec.Poison && f.stage == len(f.route.Stages)-1,
	}
	if !f.Naive {
		j.priority = int(f.req.Profile.Class)
	}
	a.job = j
	j.done = func(r result) {
		f.spend(st.Name, a)
		f.after(delay, func() { f.reply(a, r) })
	}
	f.after(delay, func() {
		if f.over {
			return
		}
		a.on.submit(j)
	})
}

const dialTimeout = 500 * time.Millisecond

func (f *flow) spend(stage string, a *attempt) {
	if a.job.started > 0 {
		f.out.spend(stage, f.now-a.job.started, f.route.Stages[f.stage].Cost)
	}
}

// reply handles the end of an attempt, as request/pipeline does.
func (f *flow) reply(a *attempt, r result) {
	if f.over || f.current != a {
		return
	}
	f.current = nil
	a.srv.State.EndRequest()
	if f.RecordOutcome != nil {
		f.RecordOutcome(f.time(), a.srv.State, recorded(r), f.now-a.at)
	}
	if r == succeeded {
		f.req.StreamDuration = 0
		if a.on.engine {
			f.req.StreamDuration = a.job.end - a.job.started // engines stream
		}
		f.bytes(a.srv, f.rec.Bytes[f.stage+1])
		f.next()
		return
	}
	st := &f.route.Stages[f.stage]
	repeat := r == refused || r == unreached || st.Repeatable
	limit := maxAttempts
	if f.Naive {
		limit++ // three retries
	}
	if repeat && f.attempts < limit && (f.AllowRetry == nil || f.AllowRetry(st.Pool)) {
		f.try()
		return
	}
	f.end(admission.Failed)
}

func recorded(r result) server.Outcome {
	switch r {
	case succeeded:
		return server.Succeeded
	case refused:
		return server.Overloaded
	case unreached:
		return server.Unreachable
	default:
		return server.Failed
	}
}

func (f *flow) next() {
	f.Admitter.StageDone(f.time(), &f.req, f.stage, f.now-f.began, true)
	f.stage++
	if f.stage < len(f.route.Stages) {
		f.start()
		return
	}
	f.stage--
	f.over = true
	f.out.completed = true
	f.out.took = f.now - f.out.arrived
	f.Admitter.Done(f.time(), &f.req, admission.Completed)
}

// expire ends the request at its deadline and cancels what still runs for it.
func (f *flow) expire() {
	if !f.over {
		f.end(admission.Late)
	}
}

func (f *flow) end(o admission.Outcome) {
	f.over = true
	if a := f.current; a != nil {
		a.srv.State.EndRequest()
		if a.job != nil {
			a.on.cancel(a.job)
		}
	}
	f.Admitter.StageDone(f.time(), &f.req, f.stage, f.now-f.began, false)
	f.Admitter.Done(f.time(), &f.req, o)
}

// bytes counts a body that crosses regions.
func (f *flow) bytes(srv *pick.Server, n int) {
	if srv.Region != f.Region {
		f.out.crossed += int64(n)
	}
}

func (f *flow) delay(region string) time.Duration {
	if region == f.Region {
		return sameRegion
	}
	return otherRegion
}

const (
	sameRegion  = 500 * time.Microsecond
	otherRegion = 20 * time.Millisecond
)

func hostName(region string, i int) string { return fmt.Sprintf("%s-entry-%d", region, i+1) }
