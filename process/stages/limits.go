package stages

import (
	"time"

	"bilberrydale/process/batcher"
)

// Service is what admission knows of one service.
type Service struct {
	batcher.Options
	batcher.Capacity
}

// callWait is the usual wait for a server, with the way there and back.
const callOverhead = 60 * time.Millisecond

// amount is work of one service: items and the size of their results.
type workAmount struct {
	items int
	bytes int64
}

func (a workAmount) plus(s Stage) workAmount {
	return workAmount{a.items + s.Items, a.bytes + int64(s.Items)*s.ResultBytes}
}

func (a workAmount) minus(s Stage) workAmount {
	return workAmount{max(a.items-s.Items, 0), max(a.bytes-int64(s.Items)*s.ResultBytes, 0)}
}

// over tells whether it is more than a share of a bound.
func (a workAmount) exceeds(bound workAmount, share float64) bool {
	return float64(a.items) > share*float64(bound.items) || bound.bytes > 0 && float64(a.bytes) > share*float64(bound.bytes)
}

// position is where a stage stands in the work of a request.
type stagePosition struct {
	depth        int  // stages before it, on the longest chain
	hasSuccessor bool // another stage uses its results; if none does, the request itself
}

// bound is how much of a service may be under way at a stage: what its servers finish in
// the time from the begin of a request to the end of that stage. Items and the room of
// their results have a bound each (bytes of 0: none): items with small results would
// otherwise use up what large ones leave of the time.
func (s Service) inFlightLimit(at stagePosition) workAmount {
	under := time.Duration(at.depth+1) * (s.fullCallTime() + callOverhead)
	if at.depth == 0 {
		under += s.fullCallTime() // so that a full call waits when a server is free
	}
	// A result holds its room until the request runs, or the stage behind has fetched it.
	hold := 2*s.fullCallTime() + callOverhead + freeDelay
	if at.hasSuccessor {
		hold = s.fullCallTime() + callOverhead + batcher.InputFetchTime(s.fullCallTime()) + freeDelay
	}
	return workAmount{int(s.ItemsPerSecond * under.Seconds()), int64(float64(s.TotalResultBytes) * under.Seconds() / hold.Seconds())}
}

// call is the time of a full call. With fewer items under way than full calls hold,
// a service never makes what it could: in an overload its servers stood idle for a
// quarter of their time while requests waited to be begun.
func (s Service) fullCallTime() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// freeing is the time from a result being fetched to its room being free.
const freeDelay = 60 * time.Millisecond

// full tells whether a first stage lacks room for results of need bytes. Its servers
// keep results until the request runs; items that wait for room there would
// hold up all behind them.
func (s Service) resultMemoryFull(need int64) bool {
	if s.TotalResultBytes <= 0 {
		return false
	}
	lent := int64(memoryOvercommitShare * float64(s.TotalResultBytes))
	return need > s.FreeResultBytes+lent && s.FreeResultBytes < s.TotalResultBytes
}

// roomLent is room that is given away before it is free, so that a server finds
// work waiting when results are given up.
const memoryOvercommitShare = 0.25
