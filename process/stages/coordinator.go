package stages

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/clock"
)

// Batchers returns the batcher of a service, or nil.
type Batchers func(service string) *batcher.Batcher

// Log receives what a Coordinator decides.
type Log interface {
	StageWork(t *Ticket, waited, took time.Duration, err error, onTime, lateWaiting int)
}

// Coordinator runs stage work on this host, its own and that of others.
type Coordinator struct {
	batchers Batchers
	clock    clock.Clock
	log      Log

	readings readings

	mu        sync.Mutex
	admission *Admission
	again     bool          // a call to pump is due
	meanWait  time.Duration // mean wait of the last requests to be begun
}

// NewCoordinator returns a coordinator without work.
func NewCoordinator(batchers Batchers, c clock.Clock, log Log) *Coordinator {
	k := &Coordinator{batchers: batchers, clock: c, log: log}
	k.admission = NewAdmission(k.service)
	return k
}

func (k *Coordinator) service(name string) (Service, bool) {
	b := k.batchers(name)
	if b == nil {
		return Service{}, false
	}
	return Service{b.Options(), b.Capacity()}, true
}

// Run has the results of a request made and chooses where it runs. The error is an
// *Error or ctx's.
func (k *Coordinator) Run(ctx context.Context, r *Request) (Made, error) {
	offered := k.clock.Now()
	t, err := k.wait(ctx, r)
	began := k.clock.Now()
	k.noteWait(began.Sub(offered))
	var inputs []Input
	if err == nil {
		inputs, err = k.work(ctx, t)
	}
	if inputGone(err) && k.begin(t) {
		// The server that held a result was lost. The client has waited for
		// most of its answer already: its request does not wait again.
		inputs, err = k.work(ctx, t)
	}
	onTime, lateWaiting := k.Waiting()
	now := k.clock.Now()
	k.log.StageWork(t, began.Sub(offered), now.Sub(offered), err, onTime, lateWaiting)
	if err != nil {
		return Made{}, err
	}
	target := k.readings.choose(now, workKey{r.ID, r.Round}, r.AimBy.Sub(now), r.Prompt, near(r.Targets, inputs))
	return Made{Inputs: inputs, Target: target, ID: r.ID, Round: r.Round}, nil
}

// waitShare is the weight of the newest request in the mean wait: the last ten or
// twenty count, a fraction of a second under load.
const waitShare = 0.08

func (k *Coordinator) noteWait(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.meanWait += time.Duration(waitShare * float64(d-k.meanWait))
}

// Wait returns the mean time that the last requests waited to be begun, those
// that were refused included.
func (k *Coordinator) Wait() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.meanWait
}

func inputGone(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Reason == batcher.InputGone
}

// begin lets a request's work begin once more, if there is time for it.
func (k *Coordinator) begin(t *Ticket) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.BeginAgain(t, k.clock.Now())
}

// Waiting returns the number of requests that wait to be begun.
func (k *Coordinator) Waiting() (onTime, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Waiting()
}

// moved is the reason for work that another host has to take.
const moved batcher.Reason = "moved"

// moveWaiting gives back what has not begun.
func (k *Coordinator) moveWaiting() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.RejectAll(moved)
}

// wait returns when the request is begun.
func (k *Coordinator) wait(ctx context.Context, r *Request) (*Ticket, error) {
	begun, rejected := make(chan struct{}, 1), make(chan batcher.Reason, 1)
	t := &Ticket{
		Request:  r,
		Begin:    func() { begun <- struct{}{} },
		Rejected: func(reason batcher.Reason) { rejected <- reason },
	}
	k.mu.Lock()
	k.admission.Offer(t)
	k.mu.Unlock()
	k.pump()
	select {
	case <-begun:
		return t, nil
	case reason := <-rejected:
		return t, &Error{Reason: reason}
	case <-ctx.Done():
	}
	k.mu.Lock()
	waiting := k.admission.Withdraw(t)
	if !waiting && len(begun) > 0 {
		k.release(r.Stages, t.late)
	}
	k.mu.Unlock()
	k.pump()
	return t, ctx.Err()
}

// release is called with k.mu held.
func (k *Coordinator) release(list []Stage, late bool) {
	for _, s := range list {
		k.admission.Finished(s, late)
	}
}

// pumpEvery is how often waiting requests are looked at while nothing else
// makes room: their chances change with time alone.
const pumpEvery = 40 * time.Millisecond

func (k *Coordinator) pump() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.Next(k.clock.Now())
	onTime, late := k.admission.Waiting()
	if onTime+late > 0 && !k.again {
		k.again = true
		time.AfterFunc(pumpEvery, func() {
			k.mu.Lock()
			k.again = false
			k.mu.Unlock()
			k.pump()
		})
	}
}

// lateAllowance is the aim of a request that has lost its own: behind those
// that can still be on time, before those that came much later.
const lateAllowance = 2 * time.Second

// work runs the stages of a request that was begun.
func (k *Coordinator) work(ctx context.Context, t *Ticket) ([]Input, error) {
	r, late := t.Request, t.late
	w := &work{
		k: k, r: r, late: late, aim: r.AimBy, results: make([][]batcher.Result, len(r.Stages)), left: make([]int, len(r.Stages)),
		began: make([]time.Time, len(r.Stages)), took: make([]time.Duration, len(r.Stages)),
		over: make(chan struct{}),
	}
	if late {
		w.aim = k.clock.Now().Add(lateAllowance)
	}
	w.begin()
	select {
	case <-w.over:
	case <-ctx.Done():
		w.cancel()
		for _, s := range r.Stages {
			if b := k.batchers(s.Service); b != nil {
				b.Cancel(r.ID)
			}
		}
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Took = append([]time.Duration(nil), w.took...)
	return w.inputs, w.err
}

// work is the state of one request's stages.
type work struct {
	k       *Coordinator
	r       *Request
	late    bool
	aim     time.Time
	over    chan struct{}
	inputs  []Input
	err     error
	mu      sync.Mutex
	results [][]batcher.Result
	left    []int // items of each stage without outcome; -1: not begun
	began   []time.Time
	took    []time.Duration // from the begin of each stage to its last result
	done    int             // stages
	ended   bool
}

func (w *work) begin() {
	w.mu.Lock()
	for i := range w.left {
		w.left[i] = -1
	}
	ready := w.ready()
	w.mu.Unlock()
	w.submit(ready)
}

// ready returns the stages that can begin now and marks them. It is called
// with w.mu held.
func (w *work) ready() []int {
	var out []int
	for again := true; again; {
		again = false
		for i, s := range w.r.Stages {
			if w.left[i] != -1 || !w.complete(s.After) {
				continue
			}
			w.left[i] = s.Items
			w.began[i] = w.k.clock.Now()
			w.results[i] = make([]batcher.Result, s.Items)
			if s.Items == 0 {
				w.done++
				again = true
				continue
			}
			out = append(out, i)
		}
	}
	w.finishIfDone()
	return out
}

func (w *work) complete(stages []int) bool {
	for _, i := range stages {
		if w.left[i] != 0 {
			return false
		}
	}
	return true
}

func (w *work) submit(stages []int) {
	for _, i := range stages {
		s := &w.r.Stages[i]
		b := w.k.batchers(s.Service)
		if b == nil {
			w.fail(&Error{Stage: i, Reason: batcher.NoServer})
			return
		}
		b.Submit(w.job(i))
	}
}

func (w *work) job(i int) *batcher.Job {
	s := &w.r.Stages[i]
	var inputs []string
	w.mu.Lock()
	for _, a := range s.After {
		for _, r := range w.results[a] {
			inputs = append(inputs, r.Handle)
		}
	}
	w.mu.Unlock()
	items := make([]batcher.Item, s.Items)
	for p := range items {
		items[p] = batcher.Item{RequestID: w.r.ID, Stage: i, Piece: p, Inputs: inputs}
		if len(s.After) == 0 {
			items[p].Key = w.r.Key
		}
	}
	rest := w.rest(i)
	domain, away := w.domain(i)
	return &batcher.Job{
		Items: items, Domain: domain, AwayBytes: away, ItemBytes: s.ItemBytes,
		AimBy: w.aim.Add(-rest), DieBy: w.r.DieBy.Add(-rest),
		Done: func(p int, r batcher.Result) { w.item(i, p, r) },
	}
}

// nearBytes of inputs in one failure domain draw a stage there; the results of
// smaller ones are better made where the request will run.
const nearBytes = 100_000

// domain is where the items of a stage are best made, and how much crosses
// domains if they are made elsewhere.
func (w *work) domain(stage int) (domain string, away int64) {
	s := &w.r.Stages[stage]
	bytes := map[string]int64{}
	domain, most := w.r.Domain, int64(nearBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range s.After {
		for _, r := range w.results[a] {
			if r.Domain == "" {
				continue
			}
			bytes[r.Domain] += w.r.Stages[a].ItemBytes
			if bytes[r.Domain] > most {
				domain, most = r.Domain, bytes[r.Domain]
			}
		}
	}
	away = int64(s.Items) * s.ItemBytes
	if len(bytes) > 0 {
		away = max(away, int64(s.Items)*bytes[domain])
	}
	return domain, away
}

// rest is the time that the stages behind a stage take at least.
func (w *work) rest(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(w.r.Stages); j++ {
		s := &w.r.Stages[j]
		for _, a := range s.After {
			if a != i {
				continue
			}
			d := w.rest(j)
			if svc, ok := w.k.service(s.Service); ok && s.Items > 0 {
				d += svc.CallTime
			}
			longest = max(longest, d)
		}
	}
	return longest
}

// item takes the outcome of one item. A batcher calls it with its own lock
// held, so what may call a batcher goes on in another goroutine.
func (w *work) item(stage, piece int, r batcher.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		go w.k.free(w.input(stage, r))
		return
	}
	if r.Reason != "" {
		go w.fail(&Error{Stage: stage, Reason: r.Reason})
		return
	}
	w.results[stage][piece] = r
	w.left[stage]--
	if w.left[stage] > 0 {
		return
	}
	w.done++
	w.took[stage] = w.k.clock.Now().Sub(w.began[stage])
	next := w.ready()
	go w.after(stage, next)
}

// after runs when a stage is complete.
func (w *work) after(stage int, next []int) {
	w.submit(next)
	w.freeUsed(stage)
	w.k.mu.Lock()
	w.k.release(w.r.Stages[stage:stage+1], w.late)
	w.k.mu.Unlock()
	w.k.pump()
}

// freeUsed gives up the results of stages whose followers are all complete.
func (w *work) freeUsed(stage int) {
	w.mu.Lock()
	var used []Input
	for _, a := range w.r.Stages[stage].After {
		if w.ended && w.err != nil || !w.followersComplete(a) {
			continue
		}
		for _, r := range w.results[a] {
			used = append(used, w.input(a, r))
		}
		w.results[a] = nil
	}
	w.mu.Unlock()
	w.k.free(used...)
}

func (w *work) followersComplete(stage int) bool {
	for i, s := range w.r.Stages {
		for _, a := range s.After {
			if a == stage && w.left[i] != 0 {
				return false
			}
		}
	}
	return true
}

func (w *work) input(stage int, r batcher.Result) Input {
	s := &w.r.Stages[stage]
	return Input{Handle: r.Handle, ServerID: r.ServerID, Service: s.Service, Bytes: s.ItemBytes, Domain: r.Domain}
}

// finishIfDone is called with w.mu held.
func (w *work) finishIfDone() {
	if w.done < len(w.r.Stages) || w.ended {
		return
	}
	w.ended = true
	for _, i := range w.r.last() {
		for _, r := range w.results[i] {
			w.inputs = append(w.inputs, w.input(i, r))
		}
	}
	close(w.over)
}

// fail ends the work; what was made is given up.
func (w *work) fail(e *Error) {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended, w.err = true, e
	var made []Input
	for i, list := range w.results {
		for _, r := range list {
			if r.Handle != "" {
				made = append(made, w.input(i, r))
			}
		}
	}
	var rest []Stage
	for i, s := range w.r.Stages {
		if w.left[i] != 0 {
			rest = append(rest, s)
		}
	}
	close(w.over)
	w.mu.Unlock()
	w.k.free(made...)
	w.k.mu.Lock()
	w.k.release(rest, w.late)
	w.k.mu.Unlock()
	w.k.pump()
}

// cancel ends the work for a request that is over; also what was just complete
// is given up.
func (w *work) cancel() {
	w.fail(&Error{Reason: batcher.Cancelled})
	w.mu.Lock()
	var made []Input
	if w.err == nil {
		made = w.inputs
	}
	w.mu.Unlock()
	w.k.free(made...)
}

// done gives up the results of a request, whose prompt was read or will not be.
func (k *Coordinator) done(m Made) {
	k.readings.done(m.Target, workKey{m.ID, m.Round})
	k.free(m.Inputs...)
}

// free gives up results at their servers.
func (k *Coordinator) free(list ...Input) {
	for _, in := range list {
		if in.Handle == "" {
			continue
		}
		if b := k.batchers(in.Service); b != nil {
			b.Free(in.ServerID, in.Handle, in.Bytes)
		}
	}
}
