package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch admits sequences to a limited number of slots, by priority and then by
// arrival.
type batch struct {
	mu      sync.Mutex
	slots   int
	maxWait int
	running int
	seq     int
	waiting waitQueue
}

type waiting struct {
	priority, seq int
	ready         chan struct{}
	index         int
}

func newBatch(slots, queue int) *batch { return &batch{slots: slots, maxWait: queue} }

// enter takes a slot, waiting for one if the queue has room.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	if len(b.waiting) >= b.maxWait {
		b.mu.Unlock()
		return false
	}
	b.seq++
	w := &waiting{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.abandon(w)
	}
}

// abandon leaves the queue; a slot granted meanwhile is kept.
func (b *batch) abandon(w *waiting) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&b.waiting, w.index)
	return false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiting)
	close(w.ready)
}

func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

type waitQueue []*waiting

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiting)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
