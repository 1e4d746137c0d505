package stages

import (
	"time"

	"bilberrydale/process/batcher"
)

const (
	// scarceMemoryShare is the share of a service's result memory: it is scarce if less is free.
	scarceMemoryShare = 0.5
	// smallResultShare is a share of a server's result memory: freeing a smaller result early
	// gains next to nothing.
	smallResultShare = 0.005
)

// resultMemoryScarce reports whether the servers of a stage have little free memory for its
// results. It is false if the results are small or the memory is unlimited.
func (k *Coordinator) resultMemoryScarce(s Stage) bool {
	svc, ok := k.service(s.Service)
	if !ok || float64(s.ResultBytes) < smallResultShare*float64(svc.ResultMemoryBytes) {
		return false
	}
	return svc.TotalResultBytes > 0 && float64(svc.FreeResultBytes) < scarceMemoryShare*float64(svc.TotalResultBytes)
}

// onInputsFetched frees the inputs of a stage whose servers have fetched them, if the servers that
// store them are short of result memory. job is the batcher job of the stage. Kept until the calls
// end, results of a stage fill its servers, whose calls are then half empty while items wait.
// Freeing early has a price and is therefore limited to scarce memory: an item that fails
// afterwards finds its inputs lost, and the request's work is repeated, for which there must be
// time.
func (w *requestWork) onInputsFetched(stage int, job *batcher.Job) {
	var scarce []int
	for _, dependency := range w.request.Stages[stage].DependsOn {
		if w.coordinator.resultMemoryScarce(w.request.Stages[dependency]) {
			scarce = append(scarce, dependency)
		}
	}
	w.mu.Lock()
	w.inputsFetched[stage] = true
	var used []Input
	for _, dependency := range scarce {
		if w.canRetry() && !w.ended && w.allSuccessors(dependency, func(i int) bool { return w.openItems[i] == 0 || w.inputsFetched[i] }) {
			used = append(used, w.takeResults(dependency)...)
		}
	}
	w.mu.Unlock()
	if len(used) > 0 {
		job.MarkInputsReleased()
	}
	w.coordinator.freeInputs(used...)
}

// retryTimeFactor is the time to allow for repeated work, relative to the time that the work has
// taken so far: it takes longer by the rest of the call in which an item failed.
const retryTimeFactor = 1.5

// canRetry reports whether the work can be repeated if an item fails now: it was not repeated
// before, and the deadline leaves time to repeat what it has taken so far, with the remainder
// of the current call.
func (w *requestWork) canRetry() bool {
	now := w.coordinator.clock.Now()
	needed := time.Duration(retryTimeFactor * float64(now.Sub(w.startedAt)))
	return !w.retried && now.Add(needed).Before(w.request.Deadline)
}

// freeConsumedResults is called after a stage is complete. It frees those of its inputs that no
// incomplete stage needs.
func (w *requestWork) freeConsumedResults(stage int) {
	w.mu.Lock()
	var used []Input
	for _, dependency := range w.request.Stages[stage].DependsOn {
		if w.ended && w.err != nil || !w.allSuccessors(dependency, func(i int) bool { return w.openItems[i] == 0 }) {
			continue
		}
		used = append(used, w.takeResults(dependency)...)
	}
	w.mu.Unlock()
	w.coordinator.freeInputs(used...)
}

// allSuccessors reports whether holds is true of every stage that depends on a stage. The
// caller holds w.mu.
func (w *requestWork) allSuccessors(stage int, holds func(i int) bool) bool {
	for _, i := range w.ticket.graph.successors[stage] {
		if !holds(i) {
			return false
		}
	}
	return true
}

// takeResults removes and returns the results of a stage, for the caller to free. The caller
// holds w.mu.
func (w *requestWork) takeResults(stage int) []Input {
	var out []Input
	for _, r := range w.results[stage] {
		out = append(out, w.newInput(stage, r))
	}
	w.results[stage] = nil
	return out
}

// newInput describes a result of a stage as an Input.
func (w *requestWork) newInput(stage int, r batcher.Result) Input {
	s := &w.request.Stages[stage]
	return Input{Handle: r.Handle, ServerID: r.ServerID, Service: s.Service, Bytes: s.ResultBytes, Domain: r.Domain}
}
