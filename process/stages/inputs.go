package stages

import (
	"time"

	"bilberrydale/process/batcher"
)

const (
	// scarceRoom is the share of a service's room below which what is left of it is scarce.
	scarceRoom = 0.5
	// smallResult is the part of a server's room below which a result frees next to nothing.
	smallResult = 0.005
)

// lacksRoom tells whether the servers of a stage have little room for its results left.
func (k *Coordinator) lacksRoom(s Stage) bool {
	svc, ok := k.service(s.Service)
	if !ok || float64(s.ResultBytes) < smallResult*float64(svc.ResultMemoryBytes) {
		return false
	}
	return svc.TotalResultBytes > 0 && float64(svc.FreeResultBytes) < scarceRoom*float64(svc.TotalResultBytes)
}

// fetched gives up the inputs of a stage whose servers have fetched them, if those that
// made them lack room: kept to the end of the calls, the results of a stage fill its
// servers, whose calls are then half empty while items wait. It has a price, so that
// it is done under need only: an item that fails now finds its inputs gone, and the
// request's work is done anew, for which there has to be time.
func (w *work) fetched(stage int, job *batcher.Job) {
	var scarce []int
	for _, a := range w.r.Stages[stage].DependsOn {
		if w.k.lacksRoom(w.r.Stages[a]) {
			scarce = append(scarce, a)
		}
	}
	w.mu.Lock()
	w.got[stage] = true
	var used []Input
	for _, a := range scarce {
		if w.mayRepeat() && !w.ended && w.followers(a, func(i int) bool { return w.left[i] == 0 || w.got[i] }) {
			used = append(used, w.takeResults(a)...)
		}
	}
	w.mu.Unlock()
	if len(used) > 0 {
		job.MarkInputsReleased()
	}
	w.k.free(used...)
}

// repeatFactor: work takes longer when it is done anew, for the rest of the call in which
// an item failed.
const repeatFactor = 1.5

// mayRepeat tells whether the work can be done once more if an item fails now: it was not
// done before, and there is time for what it has taken so far and the rest.
func (w *work) mayRepeat() bool {
	now := w.k.clock.Now()
	takes := time.Duration(repeatFactor * float64(now.Sub(w.start)))
	return !w.again && now.Add(takes).Before(w.r.Deadline)
}

// freeUsed gives up the results of stages whose followers are all complete.
func (w *work) freeUsed(stage int) {
	w.mu.Lock()
	var used []Input
	for _, a := range w.r.Stages[stage].DependsOn {
		if w.ended && w.err != nil || !w.followers(a, func(i int) bool { return w.left[i] == 0 }) {
			continue
		}
		used = append(used, w.takeResults(a)...)
	}
	w.mu.Unlock()
	w.k.free(used...)
}

// followers tells whether something holds for all stages that follow a stage. It is called
// with w.mu held.
func (w *work) followers(stage int, holds func(i int) bool) bool {
	for i, s := range w.r.Stages {
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
func (w *work) takeResults(stage int) []Input {
	var out []Input
	for _, r := range w.results[stage] {
		out = append(out, w.input(stage, r))
	}
	w.results[stage] = nil
	return out
}

func (w *work) input(stage int, r batcher.Result) Input {
	s := &w.r.Stages[stage]
	return Input{Handle: r.Handle, ServerID: r.ServerID, Service: s.Service, Bytes: s.ResultBytes, Domain: r.Domain}
}
