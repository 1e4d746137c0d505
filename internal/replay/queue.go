package replay

import (
	"container/heap"
	"time"
)

// events is the virtual clock: actions in order of time, then of scheduling.
type events struct {
	now  time.Duration
	seq  int
	list eventHeap
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

func (e *events) at(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.list, event{max(t, e.now), e.seq, run})
}

func (e *events) after(d time.Duration, run func()) { e.at(e.now+d, run) }

// run executes every event in turn.
func (e *events) run() {
	for len(e.list) > 0 {
		next := heap.Pop(&e.list).(event)
		e.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
