package stages

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
)

// Batchers returns the batcher of a service, or nil.
type BatcherLookup func(service string) *batcher.Batcher

// Servers returns a backend server as a target of a request; false: it is of no use now,
// or not allowed.
type TargetLookup func(id string, r *Request) (Target, bool)

// Log receives what a Coordinator decides.
type Log interface {
	StageWorkEnded(t *Ticket, waited, took time.Duration, err error, onTime, lateWaiting int)
}

// Coordinator runs stage work on this host, its own and that of others.
type Coordinator struct {
	lookupBatcher BatcherLookup
	lookupTarget  TargetLookup
	clock         clock.Clock
	log           Log

	prompts promptTracker
	// tell passes on that a server has read a shared part which others would not expect
	// there.
	announcePrefix func(cachedPrefix)

	mu           sync.Mutex
	admission    *Admission
	timerPending bool          // a call to pump is due
	meanWait     time.Duration // mean wait of the last requests to be begun
}

// NewCoordinator returns a coordinator without work.
func NewCoordinator(batchers BatcherLookup, servers TargetLookup, c clock.Clock, log Log) *Coordinator {
	k := &Coordinator{lookupBatcher: batchers, lookupTarget: servers, clock: c, log: log, announcePrefix: func(cachedPrefix) {}}
	k.admission = NewAdmission(k.service)
	return k
}

func (k *Coordinator) service(name string) (Service, bool) {
	b := k.lookupBatcher(name)
	if b == nil {
		return Service{}, false
	}
	return Service{b.Options(), b.Capacity()}, true
}

// Run has the results of a request made and chooses where it runs. The error is an
// *Error or ctx's.
func (k *Coordinator) Run(ctx context.Context, r *Request) (Results, error) {
	offered := k.clock.Now()
	t, err := k.waitForAdmission(ctx, r)
	began := k.clock.Now()
	k.recordWait(began.Sub(offered))
	var inputs []Input
	if err == nil {
		inputs, err = k.execute(ctx, t, false)
	}
	if isInputGone(err) && k.restart(t) {
		// The server that held a result was lost. The client has waited for
		// most of its answer already: its request does not wait again.
		inputs, err = k.execute(ctx, t, true)
	}
	onTime, lateWaiting := k.Waiting()
	now := k.clock.Now()
	if err == nil {
		k.chooseTarget(t, now, inputs)
	}
	k.log.StageWorkEnded(t, began.Sub(offered), now.Sub(offered), err, onTime, lateWaiting)
	if err != nil {
		return Results{}, err
	}
	return Results{Inputs: inputs, TargetID: t.TargetID, FetchFrom: t.FetchFrom, RequestID: r.ID, Round: r.Round}, nil
}

// choose sets the server on which a request runs.
func (k *Coordinator) chooseTarget(t *Ticket, now time.Time, inputs []Input) {
	r := t.Request
	targets := k.withCachingServers(now, r)
	c := k.prompts.choose(now, workKey{r.ID, r.Round}, r.TargetTime.Sub(now), r.Prompt, withTransferCost(targets, inputs))
	t.TargetID, t.TargetWait, t.FetchFrom = c.serverID, c.wait, c.fetchFrom
	if c.announce && !r.AllowedRegions.Restricted() {
		k.announcePrefix(cachedPrefix{Prefix: r.Prompt.LongPrefix, ServerID: c.serverID})
	}
}

// withHolders returns the targets of a request and the servers that are known to have read
// its shared part. Its own host named the part's home and servers near itself; without
// these, a part that a busy home did not read was read once more by each failure domain.
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

// waitShare is the weight of the newest request in the mean wait: the last ten or
// twenty count, a fraction of a second under load.
const meanWaitWeight = 0.08

func (k *Coordinator) recordWait(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.meanWait += time.Duration(meanWaitWeight * float64(d-k.meanWait))
}

// Wait returns the mean time that the last requests waited to be begun, those
// that were refused included.
func (k *Coordinator) MeanWait() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.meanWait
}

func isInputGone(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Reason == batcher.InputLost
}

// begin lets a request's work begin once more, if there is time for it.
func (k *Coordinator) restart(t *Ticket) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Restart(t, k.clock.Now())
}

// Waiting returns the number of requests that wait to be begun.
func (k *Coordinator) Waiting() (onTime, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Waiting()
}

// moved is the reason for work that another host has to take.
const reasonMoved batcher.Reason = "moved"

// moveWaiting gives back what has not begun.
func (k *Coordinator) rejectWaiting() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.RejectAll(reasonMoved)
}

// wait returns when the request is begun.
func (k *Coordinator) waitForAdmission(ctx context.Context, r *Request) (*Ticket, error) {
	begun, rejected := make(chan struct{}, 1), make(chan batcher.Reason, 1)
	t := &Ticket{
		Request: r,
		Start:   func() { begun <- struct{}{} },
		Reject:  func(reason batcher.Reason) { rejected <- reason },
	}
	k.mu.Lock()
	k.admission.Enqueue(t)
	k.mu.Unlock()
	k.schedule()
	select {
	case <-begun:
		return t, nil
	case reason := <-rejected:
		return t, &Error{Reason: reason}
	case <-ctx.Done():
	}
	k.mu.Lock()
	waiting := k.admission.Remove(t)
	if !waiting && len(begun) > 0 {
		k.releaseStages(r.Stages, t.late)
	}
	k.mu.Unlock()
	k.schedule()
	return t, ctx.Err()
}

// release is called with k.mu held.
func (k *Coordinator) releaseStages(list []Stage, late bool) {
	for _, s := range list {
		k.admission.StageFinished(s, late)
	}
}

// pumpEvery is how often waiting requests are looked at while nothing else
// makes room: their chances change with time alone.
const scheduleInterval = 40 * time.Millisecond

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

// lateAllowance is the aim of a request that has lost its own: behind those
// that can still be on time, before those that came much later.
const lateAllowance = 2 * time.Second

// work runs the stages of a request that was begun; again tells that results of it were
// gone before.
func (k *Coordinator) execute(ctx context.Context, t *Ticket, again bool) ([]Input, error) {
	r, late := t.Request, t.late
	w := &requestWork{
		coordinator: k, request: r, late: late, retried: again, startedAt: k.clock.Now(), targetTime: r.TargetTime, results: make([][]batcher.Result, len(r.Stages)), remaining: make([]int, len(r.Stages)),
		stageStarts: make([]time.Time, len(r.Stages)), stageTimes: make([]time.Duration, len(r.Stages)),
		finished: make(chan struct{}), inputsFetched: make([]bool, len(r.Stages)),
	}
	if late {
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

// done gives up the results of a request, whose prompt was read or will not be.
func (k *Coordinator) releaseResults(m Results) {
	k.prompts.promptDone(m.TargetID, workKey{m.RequestID, m.Round})
	k.freeInputs(m.Inputs...)
}

// free gives up results at their servers.
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
