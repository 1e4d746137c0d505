package objectwatch

import (
	"slices"
	"sync"
	"time"
)

// history is what a follower serves to other hosts: its copy, the recent changes, and the
// time of the last confirmation.
type history[T any] struct {
	mu          sync.Mutex           // guards all fields except compressed, lastSent and listed
	objects     map[string]Object[T] // by name; nil before the first list
	version     uint64               // incremented with each change of objects
	compressed  compressedList
	lastSent    compressedChanges[T]
	revision    Revision      // of objects
	batches     []batch       // recent changes, oldest first
	trimmedTo   Revision      // changes up to this revision are no longer kept
	confirmedAt time.Time     // last time at which objects were known to be current; zero: never
	changed     chan struct{} // closed and replaced at each change
	listed      chan struct{} // closed at the first list
}

// batch records which objects a response changed, and the revision that the changes lead to. It
// holds no values: older versions of large objects would fill the memory, and no host needs them.
type batch struct {
	revision Revision
	changes  []change
}

// change is one changed object of a batch.
type change struct {
	name     string
	revision Revision // of the write or the deletion
}

// staleAfter is the time without confirmation that indicates a lost source; the normal
// interval between watch responses is shorter.
const staleAfter = time.Second

// maxBatches is the number of recent batches that are kept. A host that needs older
// changes has to list again.
const maxBatches = 256

// reset replaces the copy. Like add, it stores the time of confirmation in the same step:
// a host that received a list or change without it would consider the data as old as the
// previous confirmation and turn to the object API.
func (h *history[T]) reset(objects []Object[T], revision Revision, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = later(h.confirmedAt, confirmedAt)
	h.objects = make(map[string]Object[T], len(objects))
	for _, o := range objects {
		h.objects[o.Name] = o
	}
	select {
	case <-h.listed:
	default:
		close(h.listed)
	}
	h.revision, h.trimmedTo, h.batches = revision, revision, nil
	h.version++
	h.notify()
}

// add applies a batch of changes that leads to a revision.
func (h *history[T]) add(objects []Object[T], revision Revision, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = later(h.confirmedAt, confirmedAt)
	for _, o := range objects {
		if o.Deleted {
			delete(h.objects, o.Name)
		} else {
			h.objects[o.Name] = o
		}
	}
	h.revision = revision
	h.version++
	h.batches = append(h.batches, batch{revision, changesOf(objects)})
	if len(h.batches) > maxBatches {
		h.trimmedTo = h.batches[0].revision
		h.batches = h.batches[1:]
	}
	h.notify()
}

// changesOf returns the records of changes.
func changesOf[T any](objects []Object[T]) []change {
	changes := make([]change, len(objects))
	for i, o := range objects {
		changes[i] = change{o.Name, o.Revision}
	}
	return changes
}

// notify wakes all waiting requests. It has to be called with h.mu held.
func (h *history[T]) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// confirm records that the copy contained every change made before at. A time before the
// recorded one has no effect.
func (h *history[T]) confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.Sub(h.confirmedAt) > staleAfter {
		h.notify() // hosts may be waiting for a fresh confirmation
	}
	h.confirmedAt = later(h.confirmedAt, at)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// list returns the copy, its revision and the time of its last confirmation; ok is false
// before the first list.
func (h *history[T]) list() (objects []Object[T], revision Revision, confirmedAt time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot(), h.revision, h.confirmedAt, h.objects != nil
}

// snapshot returns all objects. It has to be called with h.mu held.
func (h *history[T]) snapshot() (objects []Object[T]) {
	for _, o := range h.objects {
		objects = append(objects, o)
	}
	return objects
}

// update holds the changes after a revision.
type update[T any] struct {
	objects     []Object[T]   // the last change of each changed object, oldest first; empty: none
	revision    Revision      // that the changes lead to
	confirmedAt time.Time     // last confirmation of the copy
	changed     chan struct{} // closed at the next change
	listed      bool          // false: the first list has not arrived yet
	trimmed     bool          // changes after the requested revision are no longer kept
}

// since returns the changes after a revision.
func (h *history[T]) since(from Revision) update[T] {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := update[T]{revision: h.revision, confirmedAt: h.confirmedAt, changed: h.changed, listed: h.objects != nil}
	u.trimmed = u.listed && from < h.trimmedTo
	u.objects = h.lastChanges(from)
	return u
}

// lastChanges returns the last change of each object that has changed after a revision, oldest
// first. It has to be called with h.mu held.
func (h *history[T]) lastChanges(from Revision) (objects []Object[T]) {
	seen := map[string]bool{}
	for _, b := range slices.Backward(h.batches) {
		if b.revision <= from {
			break
		}
		for _, c := range slices.Backward(b.changes) {
			if !seen[c.name] {
				seen[c.name] = true
				objects = append(objects, h.lastChange(c))
			}
		}
	}
	slices.Reverse(objects)
	return objects
}

// lastChange returns the last change of an object, of which c is the record. It has to be called
// with h.mu held.
func (h *history[T]) lastChange(c change) Object[T] {
	if o, ok := h.objects[c.name]; ok {
		return o
	}
	return Object[T]{Name: c.name, Revision: c.revision, Deleted: true}
}
