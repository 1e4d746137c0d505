package stages

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
	"bilberrydale/process/spill"
)

// BatcherLookup returns the batcher of a service, or nil if there is none.
type BatcherLookup func(service string) *batcher.Batcher

// TargetLookup returns a backend server as a target of a request. It reports false if the
// server is unusable now or lies in a region that the request does not allow.
type TargetLookup func(id string, r *Request) (Target, bool)

// Log receives the outcome of each request's stage work.
type Log interface {
	// StageWorkEnded is called once per request, with no lock held. waited is the time until
	// admission or rejection, took the total time, and err nil on success. onTime and
	// lateWaiting are the numbers of requests that still wait for admission: those that can
	// meet their target latency and those that can't.
	StageWorkEnded(t *Ticket, waited, took time.Duration, err error, onTime, lateWaiting int)
}

// Coordinator runs stage work on this host, for its own requests and those of other hosts.
type Coordinator struct {
	lookupBatcher BatcherLookup
	lookupTarget  TargetLookup
	clock         clock.Clock
	log           Log

	prompts promptTracker // has its own lock
	// announcePrefix notifies the owners of other regions that a server has cached a shared
	// prefix which they would not expect there. NewPool sets it.
	announcePrefix func(cachedPrefix)

	waits spill.Waits // expected waits for admission of requests that arrive

	mu           sync.Mutex // guards admission and timerPending
	admission    *Admission
	timerPending bool // the next periodic call of schedule is scheduled
}

// NewCoordinator returns a coordinator without work.
func NewCoordinator(batchers BatcherLookup, servers TargetLookup, c clock.Clock, log Log) *Coordinator {
	k := &Coordinator{lookupBatcher: batchers, lookupTarget: servers, clock: c, log: log, announcePrefix: func(cachedPrefix) {}}
	k.admission = NewAdmission(k.service)
	return k
}

// service returns the options and current capacity of a service.
func (k *Coordinator) service(name string) (Service, bool) {
	b := k.lookupBatcher(name)
	if b == nil {
		return Service{}, false
	}
	return Service{b.Options(), b.Capacity()}, true
}

// Run waits until a request is admitted, runs its stages on the backend servers, and chooses
// the server that the request itself runs on. The error is an *Error or ctx's; the results are
// freed in that case.
func (k *Coordinator) Run(ctx context.Context, r *Request) (Results, error) {
	queuedAt := k.clock.Now()
	t, err := k.waitForAdmission(ctx, r)
	admittedAt := k.clock.Now()
	var inputs []Input
	if err == nil {
		inputs, err = k.execute(ctx, t, false)
	}
	if isInputLost(err) && k.restart(t) {
		// The server that stored a result was lost. The client has already waited for
		// most of its response, so its request skips the queue.
		inputs, err = k.execute(ctx, t, true)
	}
	onTime, lateWaiting := k.Waiting()
	now := k.clock.Now()
	if err == nil {
		k.chooseTarget(t, now, inputs)
	}
	k.log.StageWorkEnded(t, admittedAt.Sub(queuedAt), now.Sub(queuedAt), err, onTime, lateWaiting)
	if err != nil {
		return Results{}, err
	}
	return Results{Inputs: inputs, TargetID: t.TargetID, FetchFrom: t.FetchFrom, RequestID: r.ID, Round: r.Round}, nil
}

// chooseTarget chooses the server on which a request runs, sets the ticket's target fields, and
// announces the server to other regions if they would not expect the prefix there.
func (k *Coordinator) chooseTarget(t *Ticket, now time.Time, inputs []Input) {
	r := t.Request
	targets := k.withCachingServers(now, r)
	c := k.prompts.choose(now, workKey{r.ID, r.Round}, r.TargetTime.Sub(now), r.Prompt, withTransferCost(targets, inputs))
	t.TargetID, t.TargetWait, t.FetchFrom = c.serverID, c.wait, c.fetchFrom
	if c.announce && !r.AllowedRegions.Restricted() {
		k.announcePrefix(cachedPrefix{Prefix: r.Prompt.LongPrefix, ServerID: c.serverID})
	}
}

// withCachingServers returns the targets of a request and the other servers that are known to
// have cached its shared prefix. The request's own host listed the home server of the prefix
// and servers near itself; without the others, a prefix that a busy home server did not
// prefill was prefilled once more by each failure domain.
func (k *Coordinator) withCachingServers(now time.Time, r *Request) []Target {
	out := r.Targets
	for _, id := range k.prompts.holderIDs(now, r.Prompt.LongPrefix) {
		if slices.ContainsFunc(out, func(t Target) bool { return t.ID == id }) {
			continue
		}
		if t, ok := k.lookupTarget(id, r); ok {
			out = append(slices.Clip(out), t)
		}
	}
	return out
}

// recordExpectedWait adds the expected wait of a request that has just been queued.
func (k *Coordinator) recordExpectedWait(t *Ticket) {
	now := k.clock.Now()
	k.mu.Lock()
	wait := k.admission.lineWait(t, now)
	k.mu.Unlock()
	k.waits.Record(t.Request.Priority, wait, now)
}

// ExpectedWait returns the expected wait for admission of a request of a priority that arrives now.
func (k *Coordinator) ExpectedWait(priority int) time.Duration {
	return k.waits.Expected(priority, k.clock.Now())
}

// isInputLost reports whether stage work failed because the result of an earlier stage was lost.
func isInputLost(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Reason == batcher.InputLost
}

// restart counts a request's work as in flight again. It reports false if there is no time to
// repeat the work.
func (k *Coordinator) restart(t *Ticket) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Restart(t, k.clock.Now())
}

// Waiting returns the number of requests that wait for admission: those that can still
// meet their target latency, and late ones.
func (k *Coordinator) Waiting() (onTime, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Waiting()
}

// shares returns the shares of accounts in the services that are short.
func (k *Coordinator) shares() []AccountShare {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.shares.list(k.clock.Now())
}

// reasonMoved rejects work that another host has to run.
const reasonMoved batcher.Reason = "moved"

// rejectWaiting rejects all requests that wait for admission with reasonMoved, so that another
// host runs them.
func (k *Coordinator) rejectWaiting() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.RejectAll(reasonMoved)
}

// waitForAdmission queues a request and returns its ticket once it is admitted. Otherwise the
// error is an *Error with the reason for the rejection, or ctx's; the ticket is returned too.
func (k *Coordinator) waitForAdmission(ctx context.Context, r *Request) (*Ticket, error) {
	admitted, rejected := make(chan struct{}, 1), make(chan batcher.Reason, 1)
	t := &Ticket{
		Request: r,
		Start:   func() { admitted <- struct{}{} },
		Reject:  func(reason batcher.Reason) { rejected <- reason },
	}
	k.mu.Lock()
	k.admission.Enqueue(t, k.clock.Now())
	k.mu.Unlock()
	k.schedule()
	k.recordExpectedWait(t)
	select {
	case <-admitted:
		return t, nil
	case reason := <-rejected:
		return t, &Error{Reason: reason, RetryAfter: max(t.retryAfter, k.pausedFor(r))}
	case <-ctx.Done():
	}
	k.mu.Lock()
	waiting := k.admission.Remove(t)
	if !waiting && len(admitted) > 0 {
		k.releaseStages(r.Stages, t.late)
	}
	k.mu.Unlock()
	k.schedule()
	return t, ctx.Err()
}

// pausedFor returns the time until the servers of all stages of a request want calls of this host; 0:
// they do.
func (k *Coordinator) pausedFor(r *Request) time.Duration {
	var longest time.Duration
	now := k.clock.Now()
	for _, s := range r.Stages {
		if svc, ok := k.service(s.Service); ok && s.Items > 0 {
			longest = max(longest, svc.pausedFor(now))
		}
	}
	return longest
}

// releaseStages removes the items of stages from the work in flight; late is the ticket's. The
// caller holds k.mu.
func (k *Coordinator) releaseStages(list []Stage, late bool) {
	for _, s := range list {
		k.admission.StageFinished(s, late)
	}
}

// scheduleInterval is how often waiting requests are reconsidered while no capacity is freed:
// whether they can be on time changes with time alone.
const scheduleInterval = 40 * time.Millisecond

// schedule admits and rejects waiting requests, and calls itself again after scheduleInterval
// while any wait.
func (k *Coordinator) schedule() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.Schedule(k.clock.Now())
	onTime, late := k.admission.Waiting()
	if onTime+late > 0 && !k.timerPending {
		k.timerPending = true
		time.AfterFunc(scheduleInterval, func() {
			k.mu.Lock()
			k.timerPending = false
			k.mu.Unlock()
			k.schedule()
		})
	}
}

// lateAllowance is the time from its admission to the new target time of a late request. It puts
// the request after those that can still be on time, and before much newer ones.
const lateAllowance = 2 * time.Second

// execute runs the stages of an admitted request, sets the ticket's StageTimes and returns the
// results of the final stages, which are the inputs of the request itself. A late request gets a
// new target time. retried is true if results of the first execution were lost. The error is an
// *Error, or ctx's: then the work is cancelled.
func (k *Coordinator) execute(ctx context.Context, t *Ticket, retried bool) ([]Input, error) {
	r, late := t.Request, t.late
	w := &requestWork{
		coordinator: k, ticket: t, request: r, late: late, retried: retried, startedAt: k.clock.Now(), targetTime: r.TargetTime, results: make([][]batcher.Result, len(r.Stages)), openItems: make([]int, len(r.Stages)),
		stageStarts: make([]time.Time, len(r.Stages)), stageTimes: make([]time.Duration, len(r.Stages)),
		finished: make(chan struct{}), inputsFetched: make([]bool, len(r.Stages)), minTimesAfter: k.minTimesAfter(r),
	}
	switch {
	case r.begun():
		w.targetTime = w.startedAt // goes into the next calls
	case late:
		w.targetTime = k.clock.Now().Add(lateAllowance)
	}
	w.startStages()
	select {
	case <-w.finished:
	case <-ctx.Done():
		w.cancel()
		for _, s := range r.Stages {
			if b := k.lookupBatcher(s.Service); b != nil {
				b.Cancel(r.ID)
			}
		}
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.StageTimes = append([]time.Duration(nil), w.stageTimes...)
	return w.inputs, w.err
}

// releaseResults frees the results of a request whose prompt was prefilled or will not be, and
// removes the prompt from those pending at the target server.
func (k *Coordinator) releaseResults(m Results) {
	k.prompts.promptDone(m.TargetID, workKey{m.RequestID, m.Round})
	k.freeInputs(m.Inputs...)
}

// freeInputs frees results at the servers that store them. Inputs without a handle are skipped.
func (k *Coordinator) freeInputs(list ...Input) {
	for _, in := range list {
		if in.Handle == "" {
			continue
		}
		if b := k.lookupBatcher(in.Service); b != nil {
			b.ReleaseResult(in.ServerID, in.Handle, in.Bytes)
		}
	}
}
