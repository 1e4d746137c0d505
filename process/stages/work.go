package stages

import (
	"sync"
	"time"

	"bilberrydale/process/batcher"
)

// requestWork is the state of one execution of a request's stages. Slices by stage are indexed as
// Request.Stages.
type requestWork struct {
	coordinator *Coordinator
	ticket      *Ticket
	request     *Request
	late        bool // as Ticket.Late, at the start of the execution
	retried     bool // results of the first execution were lost
	startedAt   time.Time
	targetTime  time.Time // of the final results: Request.TargetTime, or later if the request is late
	// minTimesAfter is the minimum duration of the stages that follow each stage.
	minTimesAfter []time.Duration
	finished      chan struct{} // closed when the work has succeeded or failed
	inputs        []Input       // results of the final stages
	err           error         // nil if the work has succeeded
	// mu guards the fields below, inputs and err.
	mu            sync.Mutex
	results       [][]batcher.Result // by stage and item; nil once takeResults has removed them
	openItems     []int              // items of each stage without outcome; -1: not started
	inputsFetched []bool             // by stage; its servers have fetched all inputs
	stageStarts   []time.Time        // by stage
	stageTimes    []time.Duration    // by stage; from its start to its last result
	doneStages    int                // number of complete stages
	ended         bool               // finished is closed
}

// startStages submits the stages that can start at once.
func (w *requestWork) startStages() {
	w.mu.Lock()
	for i := range w.openItems {
		w.openItems[i] = -1
	}
	ready := w.takeReadyStages()
	w.mu.Unlock()
	w.submit(ready)
}

// takeReadyStages marks the stages that can start now as started and returns the indexes of those
// with items. Stages without items complete at once. The caller holds w.mu.
func (w *requestWork) takeReadyStages() []int {
	var out []int
	for again := true; again; {
		again = false
		for i, s := range w.request.Stages {
			if w.openItems[i] != -1 || !w.allComplete(s.DependsOn) {
				continue
			}
			w.openItems[i] = s.Items
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

// allComplete reports whether all of some stages are complete. The caller holds w.mu.
func (w *requestWork) allComplete(stages []int) bool {
	for _, i := range stages {
		if w.openItems[i] != 0 {
			return false
		}
	}
	return true
}

// submit passes the items of stages, given by index, to the batchers of their services. If a
// service has no batcher, the work fails with NoServer.
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

// newJob returns the batcher job of a stage, whose dependencies are complete. Its target time and
// deadline are earlier than those of the work by the minimum duration of the stages that follow.
func (w *requestWork) newJob(i int) *batcher.Job {
	s := &w.request.Stages[i]
	var inputs []string
	w.mu.Lock()
	for _, dependency := range s.DependsOn {
		for _, r := range w.results[dependency] {
			inputs = append(inputs, r.Handle)
		}
	}
	w.mu.Unlock()
	items := make([]batcher.Item, s.Items)
	for piece := range items {
		items[piece] = batcher.Item{RequestID: w.request.ID, Stage: i, Piece: piece, Inputs: inputs}
		if len(s.DependsOn) == 0 {
			items[piece].Key = w.request.InputKey
		}
	}
	remaining := w.minTimesAfter[i]
	domain, remoteBytes := w.preferredDomain(i)
	job := &batcher.Job{
		Items: items, Domain: domain, RemoteBytes: remoteBytes, AllowedRegions: w.request.AllowedRegions, ResultBytes: s.ResultBytes,
		TargetTime: w.targetTime.Add(-remaining), Deadline: w.request.Deadline.Add(-remaining), Urgent: w.request.begun(),
		OnResult: func(piece int, r batcher.Result) { w.onItemResult(i, piece, r) },
	}
	if len(s.DependsOn) > 0 {
		job.OnInputsFetched = func() { go w.onInputsFetched(i, job) }
	}
	return job
}

// minDomainBytes of inputs in one failure domain move a stage to that domain; results of
// smaller inputs are better made where the request will run.
const minDomainBytes = 100_000

// preferredDomain returns the failure domain where the items of a stage are best made, and
// how many bytes cross domains if they are made elsewhere.
func (w *requestWork) preferredDomain(stage int) (domain string, remoteBytes int64) {
	s := &w.request.Stages[stage]
	bytes := map[string]int64{}
	domain, mostBytes := w.request.RunDomain, int64(minDomainBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, dependency := range s.DependsOn {
		for _, r := range w.results[dependency] {
			if r.Domain == "" {
				continue
			}
			bytes[r.Domain] += w.request.Stages[dependency].ResultBytes
			if bytes[r.Domain] > mostBytes {
				domain, mostBytes = r.Domain, bytes[r.Domain]
			}
		}
	}
	remoteBytes = int64(s.Items) * s.ResultBytes
	if len(bytes) > 0 {
		remoteBytes = max(remoteBytes, int64(s.Items)*bytes[domain])
	}
	return domain, remoteBytes
}

// onItemResult records the outcome of one item. The batcher calls it with its own lock held,
// so everything that may call a batcher runs in another goroutine.
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
	w.openItems[stage]--
	if w.openItems[stage] > 0 {
		return
	}
	w.doneStages++
	w.stageTimes[stage] = w.coordinator.clock.Now().Sub(w.stageStarts[stage])
	next := w.takeReadyStages()
	go w.onStageComplete(stage, next)
}

// onStageComplete starts the stages that became ready (next, by index), frees the inputs that no
// stage needs any more, and removes the complete stage from the work in flight.
func (w *requestWork) onStageComplete(stage int, next []int) {
	w.submit(next)
	w.freeConsumedResults(stage)
	w.coordinator.mu.Lock()
	w.coordinator.releaseStages(w.request.Stages[stage:stage+1], w.late)
	w.coordinator.mu.Unlock()
	w.coordinator.schedule()
}

// finishIfDone ends the work once all stages are complete. The caller holds w.mu.
func (w *requestWork) finishIfDone() {
	if w.doneStages < len(w.request.Stages) || w.ended {
		return
	}
	w.ended = true
	for _, i := range w.ticket.graph.finalStages() {
		for _, r := range w.results[i] {
			w.inputs = append(w.inputs, w.newInput(i, r))
		}
	}
	close(w.finished)
}

// fail ends the work with an error and frees the results so far. It does nothing if the work has
// ended.
func (w *requestWork) fail(e *Error) {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended, w.err = true, e
	var unused []Input
	for i, list := range w.results {
		for _, r := range list {
			if r.Handle != "" {
				unused = append(unused, w.newInput(i, r))
			}
		}
	}
	var unfinished []Stage
	finished := make([]bool, len(w.request.Stages))
	for i, s := range w.request.Stages {
		finished[i] = w.openItems[i] == 0
		if !finished[i] {
			unfinished = append(unfinished, s)
		}
	}
	close(w.finished)
	w.mu.Unlock()
	w.coordinator.freeInputs(unused...)
	w.coordinator.mu.Lock()
	w.coordinator.releaseStages(unfinished, w.late)
	if e.Reason == batcher.TooLate || e.Reason == batcher.NoServer {
		// Its items were not sent. An account whose requests end in the queue would lose its share by that.
		w.ticket.refund(func(stage int) bool { return finished[stage] })
	}
	w.coordinator.mu.Unlock()
	w.coordinator.schedule()
}

// cancel ends the work of a request that has ended. Results of work that has just completed
// are freed too.
func (w *requestWork) cancel() {
	w.fail(&Error{Reason: batcher.Cancelled})
	w.mu.Lock()
	var unused []Input
	if w.err == nil {
		unused = w.inputs
	}
	w.mu.Unlock()
	w.coordinator.freeInputs(unused...)
}
