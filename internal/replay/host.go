package replay

import (
	"fmt"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// fakeHost simulates an entry host: the decision code is the real one, the
// connections to backend servers are simulated.
type fakeHost struct {
	*simulation
	Location
	*HostPolicy
	rand     clock.Rand                    // of the host's decisions
	registry *serverstate.Registry         // states of the servers as this host sees them
	pickers  map[string]pick.Picker        // by pool name
	profiles map[string]*admission.Profile // by route name
}

// newFakeHost returns a host with the decision code of the policy, whose random
// decisions are seeded with seed.
func (sim *simulation) newFakeHost(at Location, seed uint64) *fakeHost {
	h := &fakeHost{simulation: sim, Location: at, rand: clock.NewSeeded(seed), registry: serverstate.NewRegistry(), profiles: map[string]*admission.Profile{}}
	h.HostPolicy = sim.policy.New(at, h.rand)
	h.installSnapshot()
	return h
}

// admissionClasses maps the classes of the tables to those of admission control.
var admissionClasses = map[table.Class]admission.Class{
	table.Interactive: admission.Interactive, table.Standard: admission.Standard, table.Background: admission.Background,
}

// installSnapshot builds the pickers and admission profiles of the current
// tables, as an entry host does when it installs a snapshot.
func (h *fakeHost) installSnapshot() {
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
		p := &admission.Profile{Route: rt.Name, Class: admissionClasses[rt.Class], Worth: rt.Worth, AccountWeights: h.deployment.accountWeights()}
		for _, st := range rt.Stages {
			p.Stages = append(p.Stages, admission.Stage{Pool: st.Pool, Budget: st.Budget.Std(), Cost: st.Cost, Slots: slots[st.Pool]})
		}
		h.profiles[rt.Name] = p
	}
}

// request is the state of one request while it runs through the stages
// of its route.
type request struct {
	*fakeHost
	record           *Record
	outcome          *outcome
	route            *table.Route
	admissionRequest admission.Request
	stageIndex       int                  // of the current stage
	attempts         int                  // of the current stage
	tried            []*serverstate.State // servers of these attempts
	current          *attempt             // running attempt; nil: none
	stageStartedAt   time.Duration        // start of the current stage
	ended            bool
}

// attempt is one call of a backend server for a stage.
type attempt struct {
	task   *task       // nil if it could not be sent
	fake   *fakeServer // nil if the server no longer exists
	server *pick.Server
	sentAt time.Duration
}

// maxAttempts bounds the attempts of a stage; it is the limit of request/pipeline.
const maxAttempts = 3

// handleRequest passes an arriving request to admission and starts its first
// stage if it is admitted.
func (h *fakeHost) handleRequest(rec *Record, out *outcome) {
	rt := h.deployment.findRoute(rec.Route)
	req := &request{fakeHost: h, record: rec, outcome: out, route: rt}
	req.admissionRequest = admission.Request{Profile: h.profiles[rec.Route], Account: rec.Account, ArrivedAt: h.time(), Deadline: h.time().Add(rt.Deadline.Std()), Fingerprint: rec.fingerprint()}
	if err := h.Admitter.Admit(h.time(), &req.admissionRequest); err != nil {
		out.refused, out.refusalKind, out.retryAfter = true, string(err.Kind), err.RetryDelay()
		return
	}
	out.admitted = true
	h.scheduleAfter(rt.Deadline.Std(), req.expire)
	req.startStage()
}

// startStage reports the start of the current stage to admission and makes its
// first attempt.
func (req *request) startStage() {
	req.stageStartedAt, req.attempts, req.tried = req.now, 0, nil
	req.Admitter.StageStart(req.time(), &req.admissionRequest, req.stageIndex)
	req.tryServer()
}

// tryServer picks a server for the current stage and sends an attempt to it. The
// request fails if no server can be picked.
func (req *request) tryServer() {
	st := &req.route.Stages[req.stageIndex]
	pickAttempt := pick.Attempt{
		Now: req.time(), Rand: req.rand, PrefixHash: req.prefixHash(), Class: req.route.Class,
		InputBytes: req.record.Bytes[req.stageIndex], Exclude: req.tried,
	}
	srv, err := req.pickers[st.Pool].Pick(&pickAttempt)
	if err != nil {
		req.endRequest(admission.Failed)
		return
	}
	if req.attempts == 0 && req.RecordFirstAttempt != nil {
		req.RecordFirstAttempt(st.Pool)
	}
	req.attempts++
	req.tried = append(req.tried, srv.State)
	req.send(st, srv)
}

// prefixHash returns the prompt prefix of an engine stage and 0 for other stages.
func (req *request) prefixHash() uint64 {
	if req.route.Stages[req.stageIndex].Pool != req.deployment.EnginePool {
		return 0
	}
	return req.record.Prefix
}

// send submits an attempt to srv after the link delay. If the link is
// partitioned or the server no longer exists, the attempt fails after dialTimeout.
func (req *request) send(st *table.Stage, srv *pick.Server) {
	req.admissionRequest.MayHaveQueued = !srv.HasFreeSlot(req.time())
	srv.State.BeginRequest()
	a := &attempt{fake: req.servers[srv.Address], server: srv, sentAt: req.now}
	req.current = a
	req.countCrossRegionBytes(srv, req.record.Bytes[req.stageIndex])
	if !req.connected(req.Region, srv.Region) || a.fake == nil {
		req.scheduleAfter(dialTimeout, func() { req.handleResult(a, taskUnreachable) })
		return
	}
	delay := req.linkDelay(srv.Region)
	t := &task{
		seq: req.nextTaskSeq(), serviceTime: fromMicros(req.record.Work[req.stageIndex]), prefillTime: fromMicros(req.record.Prefill), prefix: req.record.Prefix,
		poison: req.record.Poison && req.stageIndex == len(req.route.Stages)-1,
	}
	if !req.Naive {
		t.priority = int(req.admissionRequest.Profile.Class)
	}
	a.task = t
	t.done = func(result taskResult) {
		req.recordSlotTime(st.Name, a)
		req.scheduleAfter(delay, func() { req.handleResult(a, result) })
	}
	req.scheduleAfter(delay, func() {
		if req.ended {
			return
		}
		a.fake.submit(t)
	})
}

// dialTimeout is how long an attempt takes to fail when there is no connection.
const dialTimeout = 500 * time.Millisecond

// recordSlotTime adds the slot time of an attempt that started to the outcome.
func (req *request) recordSlotTime(stage string, a *attempt) {
	if a.task.startedAt > 0 {
		req.outcome.addSlotTime(stage, req.now-a.task.startedAt, req.route.Stages[req.stageIndex].Cost)
	}
}

// handleResult handles the end of an attempt with the retry rules of
// request/pipeline: an attempt that did not start, or whose stage is repeatable,
// is retried within maxAttempts and the retry budget.
func (req *request) handleResult(a *attempt, result taskResult) {
	if req.ended || req.current != a {
		return
	}
	req.current = nil
	a.server.State.EndRequest()
	if req.RecordOutcome != nil {
		req.RecordOutcome(req.time(), a.server.State, serverOutcome(result), req.now-a.sentAt)
	}
	if result == taskSucceeded {
		req.admissionRequest.StreamDuration = 0
		if a.fake.engine {
			req.admissionRequest.StreamDuration = a.task.endAt - a.task.startedAt // engines stream their output while they run
		}
		req.countCrossRegionBytes(a.server, req.record.Bytes[req.stageIndex+1])
		req.finishStage()
		return
	}
	st := &req.route.Stages[req.stageIndex]
	retryable := result == taskRefused || result == taskUnreachable || st.Repeatable
	limit := maxAttempts
	if req.Naive {
		limit++ // the baseline makes three retries
	}
	if retryable && req.attempts < limit && (req.AllowRetry == nil || req.AllowRetry(st.Pool)) {
		req.tryServer()
		return
	}
	req.endRequest(admission.Failed)
}

// serverOutcome returns the outcome that the decision code records for result.
func serverOutcome(result taskResult) serverstate.Outcome {
	switch result {
	case taskSucceeded:
		return serverstate.Succeeded
	case taskRefused:
		return serverstate.Overloaded
	case taskUnreachable:
		return serverstate.Unreachable
	default:
		return serverstate.Failed
	}
}

// finishStage starts the next stage, or completes the request after the last.
func (req *request) finishStage() {
	req.Admitter.StageDone(req.time(), &req.admissionRequest, req.stageIndex, req.now-req.stageStartedAt, true)
	req.stageIndex++
	if req.stageIndex < len(req.route.Stages) {
		req.startStage()
		return
	}
	req.stageIndex--
	req.ended = true
	req.outcome.completed = true
	req.outcome.latency = req.now - req.outcome.arrivedAt
	req.Admitter.Done(req.time(), &req.admissionRequest, admission.Completed)
}

// expire ends the request at its deadline and cancels its running attempt.
func (req *request) expire() {
	if !req.ended {
		req.endRequest(admission.Late)
	}
}

// endRequest ends a request that did not complete.
func (req *request) endRequest(o admission.Outcome) {
	req.ended = true
	if a := req.current; a != nil {
		a.server.State.EndRequest()
		if a.task != nil {
			a.fake.cancel(a.task)
		}
	}
	req.Admitter.StageDone(req.time(), &req.admissionRequest, req.stageIndex, req.now-req.stageStartedAt, false)
	req.Admitter.Done(req.time(), &req.admissionRequest, o)
}

// countCrossRegionBytes adds n bytes exchanged with srv to the outcome if the
// server is in another region.
func (req *request) countCrossRegionBytes(srv *pick.Server, n int) {
	if srv.Region != req.Region {
		req.outcome.crossRegionBytes += int64(n)
	}
}

// linkDelay returns the one-way delay between the host and a region.
func (req *request) linkDelay(region string) time.Duration {
	if region == req.Region {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// One-way network delays.
const (
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
)

// hostName returns the name of entry host i, from 0, of a region.
func hostName(region string, i int) string { return fmt.Sprintf("%s-entry-%d", region, i+1) }
