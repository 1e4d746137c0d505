package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch limits the sequences that run at the same time. Further sequences wait in
// a queue of limited length, ordered by priority and then by arrival.
type batch struct {
	mu            sync.Mutex // guards running, lastArrival and queue
	slots         int
	queueCapacity int
	running       int // sequences that hold a slot
	lastArrival   int // waiter.arrival of the sequence queued last
	queue         waiterHeap
}

// waiter is one sequence in the queue.
type waiter struct {
	priority, arrival int           // lower values first
	granted           chan struct{} // closed when the sequence gets a slot
	index             int           // in the heap; -1 after removal
}

// newBatch returns a batch with all slots free. A queueCapacity of 0 refuses every
// sequence without a free slot.
func newBatch(slots, queueCapacity int) *batch {
	return &batch{slots: slots, queueCapacity: queueCapacity}
}

// acquire takes a slot and waits for one if the queue is not full. It returns false
// if the queue is full or ctx ends first.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	if len(b.queue) >= b.queueCapacity {
		b.mu.Unlock()
		return false
	}
	b.lastArrival++
	w := &waiter{priority: priority, arrival: b.lastArrival, granted: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return b.cancelWait(w)
	}
}

// cancelWait removes w from the queue. It returns true if w was granted a slot in
// the meantime; the caller then holds the slot.
func (b *batch) cancelWait(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&b.queue, w.index)
	return false
}

// release returns a slot and grants it to the first sequence of the queue.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.queue).(*waiter)
	close(w.granted)
}

// counts returns the numbers of running and waiting sequences.
func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.queue)
}

// waiterHeap implements heap.Interface; the first element is the next to run.
type waiterHeap []*waiter

// Len implements heap.Interface.
func (q waiterHeap) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiterHeap) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q waiterHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiterHeap) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
