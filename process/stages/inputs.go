package stages

import (
	"time"

	"bilberrydale/process/batcher"
)

const (
	// scarceRoom is the share of a service's room below which what is left of it is scarce.
	scarceMemoryShare = 0.5
	// smallResult is the part of a server's room below which a result frees next to nothing.
	smallResultShare = 0.005
)

// lacksRoom tells whether the servers of a stage have little room for its results left.
func (k *Coordinator) resultMemoryScarce(s Stage) bool {
	svc, ok := k.service(s.Service)
	if !ok || float64(s.ResultBytes) < smallResultShare*float64(svc.ResultMemoryBytes) {
		return false
	}
	return svc.TotalResultBytes > 0 && float64(svc.FreeResultBytes) < scarceMemoryShare*float64(svc.TotalResultBytes)
}

// fetched gives up the inputs of a stage whose servers have fetched them, if those that
// made them lack room: kept to the end of the calls, the results of a stage fill its
// servers, whose calls are then half empty while items wait. It has a price, so that
// it is done under need only: an item that fails now finds its inputs gone, and the
// request's work is done anew, for which there has to be time.
func (w *requestWork) onInputsFetched(stage int, job *batcher.Job) {
	var scarce []int
	for _, a := range w.request.Stages[stage].DependsOn {
		if w.coordinator.resultMemoryScarce(w.request.Stages[a]) {
			scarce = append(scarce, a)
		}
	}
	w.mu.Lock()
	w.inputsFetched[stage] = true
	var used []Input
	for _, a := range scarce {
		if w.canRetry() && !w.ended && w.allSuccessors(a, func(i int) bool { return w.remaining[i] == 0 || w.inputsFetched[i] }) {
			used = append(used, w.takeResults(a)...)
		}
	}
	w.mu.Unlock()
	if len(used) > 0 {
		job.MarkInputsReleased()
	}
	w.coordinator.freeInputs(used...)
}

// repeatFactor: work takes longer when it is done anew, for the rest of the call in which
// an item failed.
const retryTimeFactor = 1.5

// mayRepeat tells whether the work can be done once more if an item fails now: it was not
// done before, and there is time for what it has taken so far and the rest.
func (w *requestWork) canRetry() bool {
	now := w.coordinator.clock.Now()
	takes := time.Duration(retryTimeFactor * float64(now.Sub(w.startedAt)))
	return !w.retried && now.Add(takes).Before(w.request.Deadline)
}

// freeUsed gives up the results of stages whose followers are all complete.
func (w *requestWork) freeConsumedResults(stage int) {
	w.mu.Lock()
	var used []Input
	for _, a := range w.request.Stages[stage].DependsOn {
		if w.ended && w.err != nil || !w.allSuccessors(a, func(i int) bool { return w.remaining[i] == 0 }) {
			continue
		}
		used = append(used, w.takeResults(a)...)
	}
	w.mu.Unlock()
	w.coordinator.freeInputs(used...)
}

// followers tells whether something holds for all stages that follow a stage. It is called
// with w.mu held.
func (w *requestWork) allSuccessors(stage int, holds func(i int) bool) bool {
	for i, s := range w.request.Stages {
		for _, a := range s.DependsOn {
			if a == stage && !holds(i) {
				return false
			}
		}
	}
	return true
}

// takeResults returns the results of a stage that are to be given up now. It is called
// with w.mu held.
func (w *requestWork) takeResults(stage int) []Input {
	var out []Input
	for _, r := range w.results[stage] {
		out = append(out, w.newInput(stage, r))
	}
	w.results[stage] = nil
	return out
}

func (w *requestWork) newInput(stage int, r batcher.Result) Input {
	s := &w.request.Stages[stage]
	return Input{Handle: r.Handle, ServerID: r.ServerID, Service: s.Service, Bytes: s.ResultBytes, Domain: r.Domain}
}
