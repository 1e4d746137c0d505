package replay

import (
	"container/heap"
	"time"
)

// eventLoop is a discrete-event loop in virtual time. Events run in the order of
// their time, and at the same time in the order in which they were scheduled.
type eventLoop struct {
	now     time.Duration // since the start of the replay
	seq     int           // of the event scheduled last
	pending eventQueue
}

// event is a function that runs at virtual time at. Events of the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// schedule runs a function at time t, or now if t has passed.
func (e *eventLoop) schedule(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.pending, event{max(t, e.now), e.seq, run})
}

// scheduleAfter runs a function d after now.
func (e *eventLoop) scheduleAfter(d time.Duration, run func()) { e.schedule(e.now+d, run) }

// run executes events, also those scheduled meanwhile, until none is left.
func (e *eventLoop) run() {
	for len(e.pending) > 0 {
		next := heap.Pop(&e.pending).(event)
		e.now = next.at
		next.run()
	}
}

// eventQueue implements heap.Interface; the first element is the next to run.
type eventQueue []event

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
