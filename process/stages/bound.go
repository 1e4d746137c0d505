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
const callWait = 60 * time.Millisecond

// amount is work of one service: items and the size of their results.
type amount struct {
	items int
	bytes int64
}

func (a amount) with(s Stage) amount {
	return amount{a.items + s.Items, a.bytes + int64(s.Items)*s.ResultBytes}
}

func (a amount) without(s Stage) amount {
	return amount{max(a.items-s.Items, 0), max(a.bytes-int64(s.Items)*s.ResultBytes, 0)}
}

// over tells whether it is more than a share of a bound.
func (a amount) over(bound amount, share float64) bool {
	return float64(a.items) > share*float64(bound.items) || bound.bytes > 0 && float64(a.bytes) > share*float64(bound.bytes)
}

// position is where a stage stands in the work of a request.
type position struct {
	depth    int  // stages before it, on the longest chain
	followed bool // another stage uses its results; if none does, the request itself
}

// bound is how much of a service may be under way at a stage: what its servers finish in
// the time from the begin of a request to the end of that stage. Items and the room of
// their results have a bound each (bytes of 0: none): items with small results would
// otherwise use up what large ones leave of the time.
func (s Service) bound(at position) amount {
	under := time.Duration(at.depth+1) * (s.call() + callWait)
	if at.depth == 0 {
		under += s.call() // so that a full call waits when a server is free
	}
	// A result holds its room until the request runs, or the stage behind has fetched it.
	hold := 2*s.call() + callWait + freeing
	if at.followed {
		hold = s.call() + callWait + batcher.InputFetchTime(s.call()) + freeing
	}
	return amount{int(s.ItemsPerSecond * under.Seconds()), int64(float64(s.TotalResultBytes) * under.Seconds() / hold.Seconds())}
}

// call is the time of a full call. With fewer items under way than full calls hold,
// a service never makes what it could: in an overload its servers stood idle for a
// quarter of their time while requests waited to be begun.
func (s Service) call() time.Duration {
	return s.CallTime + time.Duration(s.MaxItems)*s.ItemTime
}

// freeing is the time from a result being fetched to its room being free.
const freeing = 60 * time.Millisecond

// full tells whether a first stage lacks room for results of need bytes. Its servers
// keep results until the request runs; items that wait for room there would
// hold up all behind them.
func (s Service) full(need int64) bool {
	if s.TotalResultBytes <= 0 {
		return false
	}
	lent := int64(roomLent * float64(s.TotalResultBytes))
	return need > s.FreeResultBytes+lent && s.FreeResultBytes < s.TotalResultBytes
}

// roomLent is room that is given away before it is free, so that a server finds
// work waiting when results are given up.
const roomLent = 0.25
