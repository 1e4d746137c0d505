package gateway

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readAheadDelay is how long a client takes nothing before its stream is read on. Others cost
	// no goroutine.
	readAheadDelay = 100 * time.Millisecond
	// maxReadAheadBytes of a stream wait for its client. Most streams are shorter, so that their
	// servers are done.
	maxReadAheadBytes = 64 << 10
	// readAheadPartBytes are read at once.
	readAheadPartBytes = 4 << 10
	// budgetRecheckInterval is the time after which a stream that waits for the budget looks again.
	budgetRecheckInterval = 100 * time.Millisecond
	// readAheadMemoryShare of the memory of a process is for all streams together,
	// minReadAheadTotal at least.
	readAheadMemoryShare = 1.0 / 40
	minReadAheadTotal    = 2 << 20
)

// readAheadBudget counts the bytes of all streams that wait for their clients. A stream may always have
// readAheadPartBytes.
type readAheadBudget struct {
	max   int64
	bytes atomic.Int64
}

// newReadAheadBudget returns the budget of a process with a limit of memory in bytes; 0: not known.
func newReadAheadBudget(memoryBytes int64) *readAheadBudget {
	return &readAheadBudget{max: max(minReadAheadTotal, int64(readAheadMemoryShare*float64(memoryBytes)))}
}

// readAhead reads the response of a stream. While its client takes nothing, it reads on: a server
// cuts a response off that is not read for some seconds, and keeps a slot for it until then. Read,
// writing, written and stop are called by one goroutine.
type readAhead struct {
	source io.Reader
	budget *readAheadBudget
	timer  *time.Timer
	done   chan struct{} // closed when nobody reads ahead any more

	mu        sync.Mutex // guards the fields below
	changed   *sync.Cond // broadcast when waiting, err or stopped change
	isWriting bool       // the client is being written to
	started   bool       // source is read by run only
	waiting   bytes.Buffer
	err       error // of source, after waiting
	stopped   bool
}

// newReadAhead returns a readAhead of source.
func newReadAhead(source io.Reader, budget *readAheadBudget) *readAhead {
	r := &readAhead{source: source, budget: budget, done: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// writing is called before the client is written to.
func (r *readAhead) writing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isWriting = true
	switch {
	case r.started:
	case r.timer == nil:
		r.timer = time.AfterFunc(readAheadDelay, r.start)
	default:
		r.timer.Reset(readAheadDelay)
	}
}

// written is called when the client has been written to.
func (r *readAhead) written() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isWriting = false
	r.timer.Stop()
}

// start begins to read ahead, unless the client has taken what it was written.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isWriting && !r.started && !r.stopped {
		r.started = true
		go r.run()
	}
}

// run reads the source to its end.
func (r *readAhead) run() {
	defer close(r.done)
	part := make([]byte, readAheadPartBytes)
	for r.awaitRoom() {
		n, err := r.source.Read(part)
		r.mu.Lock()
		_, _ = r.waiting.Write(part[:n]) // cannot fail
		r.budget.bytes.Add(int64(n))
		r.err = err
		r.changed.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until more may be read. It returns false if nothing more is needed.
func (r *readAhead) awaitRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.stopped && r.waiting.Len() > 0 {
		switch {
		case r.waiting.Len() >= maxReadAheadBytes:
			r.changed.Wait()
		case r.budget.bytes.Load() >= r.budget.max:
			r.waitForBudget()
		default:
			return true
		}
	}
	return !r.stopped
}

// waitForBudget waits for a change or for budgetRecheckInterval: other streams do not tell that they have
// given memory back. The caller holds r.mu.
func (r *readAhead) waitForBudget() {
	defer time.AfterFunc(budgetRecheckInterval, r.changed.Broadcast).Stop()
	r.changed.Wait()
}

// Read implements io.Reader.
func (r *readAhead) Read(b []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		return r.source.Read(b)
	}
	defer r.mu.Unlock()
	for r.waiting.Len() == 0 && r.err == nil {
		r.changed.Wait()
	}
	if r.waiting.Len() == 0 {
		return 0, r.err
	}
	n, _ := r.waiting.Read(b) // it is not empty
	r.budget.bytes.Add(-int64(n))
	if r.waiting.Len() == 0 {
		r.waiting = bytes.Buffer{} // an empty one keeps its memory, which the budget does not count
	}
	r.changed.Broadcast()
	return n, nil
}

// stop ends the reading. cancel interrupts a Read of the source.
func (r *readAhead) stop(cancel context.CancelFunc) {
	r.mu.Lock()
	r.stopped = true
	started, ended := r.started, r.err != nil
	r.changed.Broadcast()
	r.mu.Unlock()
	if started {
		if !ended {
			cancel()
		}
		<-r.done
		r.budget.bytes.Add(-int64(r.waiting.Len()))
	}
}
