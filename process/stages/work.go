package stages

import (
	"sync"
	"time"

	"bilberrydale/process/batcher"
)

// work is the state of one request's stages.
type requestWork struct {
	coordinator   *Coordinator
	request       *Request
	late          bool
	retried       bool // results were gone the first time
	startedAt     time.Time
	targetTime    time.Time
	finished      chan struct{}
	inputs        []Input
	err           error
	mu            sync.Mutex
	results       [][]batcher.Result
	remaining     []int  // items of each stage without outcome; -1: not begun
	inputsFetched []bool // stages whose servers have fetched all inputs
	stageStarts   []time.Time
	stageTimes    []time.Duration // from the begin of each stage to its last result
	doneStages    int             // stages
	ended         bool
}

func (w *requestWork) startStages() {
	w.mu.Lock()
	for i := range w.remaining {
		w.remaining[i] = -1
	}
	ready := w.takeReadyStages()
	w.mu.Unlock()
	w.submit(ready)
}

// ready returns the stages that can begin now and marks them. It is called
// with w.mu held.
func (w *requestWork) takeReadyStages() []int {
	var out []int
	for again := true; again; {
		again = false
		for i, s := range w.request.Stages {
			if w.remaining[i] != -1 || !w.allComplete(s.DependsOn) {
				continue
			}
			w.remaining[i] = s.Items
			w.stageStarts[i] = w.coordinator.clock.Now()
			w.results[i] = make([]batcher.Result, s.Items)
			if s.Items == 0 {
				w.doneStages++
				again = true
				continue
			}
			out = append(out, i)
		}
	}
	w.finishIfDone()
	return out
}

func (w *requestWork) allComplete(stages []int) bool {
	for _, i := range stages {
		if w.remaining[i] != 0 {
			return false
		}
	}
	return true
}

func (w *requestWork) submit(stages []int) {
	for _, i := range stages {
		s := &w.request.Stages[i]
		b := w.coordinator.lookupBatcher(s.Service)
		if b == nil {
			w.fail(&Error{Stage: i, Reason: batcher.NoServer})
			return
		}
		b.Submit(w.newJob(i))
	}
}

func (w *requestWork) newJob(i int) *batcher.Job {
	s := &w.request.Stages[i]
	var inputs []string
	w.mu.Lock()
	for _, a := range s.DependsOn {
		for _, r := range w.results[a] {
			inputs = append(inputs, r.Handle)
		}
	}
	w.mu.Unlock()
	items := make([]batcher.Item, s.Items)
	for p := range items {
		items[p] = batcher.Item{RequestID: w.request.ID, Stage: i, Piece: p, Inputs: inputs}
		if len(s.DependsOn) == 0 {
			items[p].Key = w.request.InputKey
		}
	}
	rest := w.remainingTime(i)
	domain, away := w.preferredDomain(i)
	job := &batcher.Job{
		Items: items, Domain: domain, RemoteBytes: away, AllowedRegions: w.request.AllowedRegions, ResultBytes: s.ResultBytes,
		TargetTime: w.targetTime.Add(-rest), Deadline: w.request.Deadline.Add(-rest),
		OnResult: func(p int, r batcher.Result) { w.onItemResult(i, p, r) },
	}
	if len(s.DependsOn) > 0 {
		job.OnInputsFetched = func() { go w.onInputsFetched(i, job) }
	}
	return job
}

// nearBytes of inputs in one failure domain draw a stage there; the results of
// smaller ones are better made where the request will run.
const minDomainBytes = 100_000

// domain is where the items of a stage are best made, and how much crosses
// domains if they are made elsewhere.
func (w *requestWork) preferredDomain(stage int) (preferredDomain string, away int64) {
	s := &w.request.Stages[stage]
	bytes := map[string]int64{}
	preferredDomain, most := w.request.RunDomain, int64(minDomainBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range s.DependsOn {
		for _, r := range w.results[a] {
			if r.Domain == "" {
				continue
			}
			bytes[r.Domain] += w.request.Stages[a].ResultBytes
			if bytes[r.Domain] > most {
				preferredDomain, most = r.Domain, bytes[r.Domain]
			}
		}
	}
	away = int64(s.Items) * s.ResultBytes
	if len(bytes) > 0 {
		away = max(away, int64(s.Items)*bytes[preferredDomain])
	}
	return preferredDomain, away
}

// rest is the time that the stages behind a stage take at least.
func (w *requestWork) remainingTime(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(w.request.Stages); j++ {
		s := &w.request.Stages[j]
		for _, a := range s.DependsOn {
			if a != i {
				continue
			}
			d := w.remainingTime(j)
			if svc, ok := w.coordinator.service(s.Service); ok && s.Items > 0 {
				d += svc.CallTime
			}
			longest = max(longest, d)
		}
	}
	return longest
}

// item takes the outcome of one item. A batcher calls it with its own lock
// held, so what may call a batcher goes on in another goroutine.
func (w *requestWork) onItemResult(stage, piece int, r batcher.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		go w.coordinator.freeInputs(w.newInput(stage, r))
		return
	}
	if r.Reason != "" {
		go w.fail(&Error{Stage: stage, Reason: r.Reason})
		return
	}
	w.results[stage][piece] = r
	w.remaining[stage]--
	if w.remaining[stage] > 0 {
		return
	}
	w.doneStages++
	w.stageTimes[stage] = w.coordinator.clock.Now().Sub(w.stageStarts[stage])
	next := w.takeReadyStages()
	go w.onStageComplete(stage, next)
}

// after runs when a stage is complete.
func (w *requestWork) onStageComplete(stage int, next []int) {
	w.submit(next)
	w.freeConsumedResults(stage)
	w.coordinator.mu.Lock()
	w.coordinator.releaseStages(w.request.Stages[stage:stage+1], w.late)
	w.coordinator.mu.Unlock()
	w.coordinator.schedule()
}

// finishIfDone is called with w.mu held.
func (w *requestWork) finishIfDone() {
	if w.doneStages < len(w.request.Stages) || w.ended {
		return
	}
	w.ended = true
	for _, i := range w.request.finalStages() {
		for _, r := range w.results[i] {
			w.inputs = append(w.inputs, w.newInput(i, r))
		}
	}
	close(w.finished)
}

// fail ends the work; what was made is given up.
func (w *requestWork) fail(e *Error) {
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
				made = append(made, w.newInput(i, r))
			}
		}
	}
	var rest []Stage
	for i, s := range w.request.Stages {
		if w.remaining[i] != 0 {
			rest = append(rest, s)
		}
	}
	close(w.finished)
	w.mu.Unlock()
	w.coordinator.freeInputs(made...)
	w.coordinator.mu.Lock()
	w.coordinator.releaseStages(rest, w.late)
	w.coordinator.mu.Unlock()
	w.coordinator.schedule()
}

// cancel ends the work for a request that is over; also what was just complete
// is given up.
func (w *requestWork) cancel() {
	w.fail(&Error{Reason: batcher.Cancelled})
	w.mu.Lock()
	var made []Input
	if w.err == nil {
		made = w.inputs
	}
	w.mu.Unlock()
	w.coordinator.freeInputs(made...)
}
