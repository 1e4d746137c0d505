package follow

import (
	"sync"
	"time"
)

// history is what a follower tells others: its copy, the changes of late, and
// when it last made sure of them.
type history[T any] struct {
	mu          sync.Mutex
	objects     map[string]Object[T]
	version     uint64 // how often objects changed
	compressed  compressedList
	revision    Revision
	batches     []batch[T]
	trimmedTo   Revision // changes up to here are no longer kept
	confirmedAt time.Time
	changed     chan struct{} // closed at each change
	listed      chan struct{} // closed at the first list
}

type batch[T any] struct {
	revision Revision
	objects  []Object[T]
}

// staleAfter without a proof tells a lost source from the pace of the watches.
const staleAfter = time.Second

// keptBatches bounds the changes of late; who needs older ones lists again.
const maxBatches = 256

// reset and add take the proof along: a host that is told of a list or a change without
// it would hold that for as old as the proof before, and turn to the object API itself.
func (h *history[T]) reset(objects []Object[T], from Revision, proved time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = later(h.confirmedAt, proved)
	h.objects = make(map[string]Object[T], len(objects))
	for _, o := range objects {
		h.objects[o.Name] = o
	}
	select {
	case <-h.listed:
	default:
		close(h.listed)
	}
	h.revision, h.trimmedTo, h.batches = from, from, nil
	h.version++
	h.notify()
}

func (h *history[T]) add(objects []Object[T], at Revision, proved time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = later(h.confirmedAt, proved)
	for _, o := range objects {
		if o.Deleted {
			delete(h.objects, o.Name)
		} else {
			h.objects[o.Name] = o
		}
	}
	h.revision = at
	h.version++
	h.batches = append(h.batches, batch[T]{at, objects})
	if len(h.batches) > maxBatches {
		h.trimmedTo = h.batches[0].revision
		h.batches = h.batches[1:]
	}
	h.notify()
}

// wake is called with h.mu held.
func (h *history[T]) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *history[T]) confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Sub(h.confirmedAt) > staleAfter {
		h.notify() // other hosts may wait for just this
	}
	h.confirmedAt = later(h.confirmedAt, at)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// list returns the copy; ok is false before the first list.
func (h *history[T]) list() (objects []Object[T], from Revision, proved time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot(), h.revision, h.confirmedAt, h.objects != nil
}

// all is called with h.mu held.
func (h *history[T]) snapshot() (objects []Object[T]) {
	for _, o := range h.objects {
		objects = append(objects, o)
	}
	return objects
}

// news is what a history tells of the time after a revision.
type update[T any] struct {
	objects     []Object[T]
	revision    Revision
	confirmedAt time.Time
	changed     chan struct{} // closed at the next change
	listed      bool          // false: nothing is known yet
	trimmed     bool          // the changes are no longer kept
}

func (h *history[T]) since(from Revision) update[T] {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := update[T]{revision: h.revision, confirmedAt: h.confirmedAt, changed: h.changed, listed: h.objects != nil}
	n.trimmed = n.listed && from < h.trimmedTo
	for _, b := range h.batches {
		if b.revision > from {
			n.objects = append(n.objects, b.objects...)
		}
	}
	return n
}
