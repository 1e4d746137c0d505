package stages

import (
	"time"

	"bilberrydale/process/batcher"
)

// Service holds the options and the current capacity of one service.
type Service struct {
	batcher.Options
	batcher.Capacity
}

// pausedFor returns the time until a server wants calls of this host; 0: one does.
func (s *Service) pausedFor(now time.Time) time.Duration {
	if s.PausedUntil.IsZero() {
		return 0
	}
	return max(s.PausedUntil.Sub(now), 0)
}

// callOverhead is added to the time of a call: the usual wait for a server, and the round trip.
const callOverhead = 60 * time.Millisecond

// workAmount is an amount of work of one service: items and the size of their results.
type workAmount struct {
	items int
	bytes int64 // estimated size of the results of the items
}

// plus adds the work of a stage.
func (a workAmount) plus(s Stage) workAmount {
	return workAmount{a.items + s.Items, a.bytes + int64(s.Items)*s.ResultBytes}
}

// minus subtracts the work of a stage, down to zero.
func (a workAmount) minus(s Stage) workAmount {
	return workAmount{max(a.items-s.Items, 0), max(a.bytes-int64(s.Items)*s.ResultBytes, 0)}
}

// exceeds reports whether items or bytes are more than a share of limit; limit.bytes of 0 is
// unlimited.
func (a workAmount) exceeds(limit workAmount, share float64) bool {
	return float64(a.items) > share*float64(limit.items) || limit.bytes > 0 && float64(a.bytes) > share*float64(limit.bytes)
}

// inFlightLimit returns the amount of work that may be in flight at a stage: what the servers
// complete between the admission of a request and the end of that stage. Items and result
// bytes have separate limits (0 bytes: unlimited): otherwise items with small results would
// use up the server time that items with large results leave.
func (s *Service) inFlightLimit(at stagePosition) workAmount {
	inFlightTime := time.Duration(at.depth+1) * (s.fullCallTime() + callOverhead)
	if at.depth == 0 {
		inFlightTime += s.fullCallTime() // so that a full call is waiting when a server becomes idle
	}
	// A result occupies memory until the request runs or the next stage has fetched it.
	holdTime := 2*s.fullCallTime() + callOverhead + freeDelay
	if at.hasSuccessor {
		holdTime = s.fullCallTime() + callOverhead + batcher.InputFetchTime(s.fullCallTime()) + freeDelay
	}
	return workAmount{int(s.ItemsPerSecond * inFlightTime.Seconds()), int64(float64(s.TotalResultBytes) * inFlightTime.Seconds() / holdTime.Seconds())}
}

// fullCallTime is the duration of a full call. If fewer items were in flight than full calls
// hold, a service would not reach its capacity: under overload its servers were idle for a
// quarter of the time while requests waited for admission.
func (s *Service) fullCallTime() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// freeDelay is the time from the fetch of a result until its memory is free.
const freeDelay = 60 * time.Millisecond

// resultMemoryFull reports whether a first stage lacks memory for results of need bytes. Its
// servers keep results until the request runs; items that wait for memory there would
// block all items behind them.
func (s *Service) resultMemoryFull(need int64) bool {
	if s.TotalResultBytes <= 0 {
		return false
	}
	overcommit := int64(memoryOvercommitShare * float64(s.TotalResultBytes))
	return need > s.FreeResultBytes+overcommit && s.FreeResultBytes < s.TotalResultBytes
}

// memoryOvercommitShare of the total result memory is admitted before it is free, so that
// servers have work queued when results are freed.
const memoryOvercommitShare = 0.25
