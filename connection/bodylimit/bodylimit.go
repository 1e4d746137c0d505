// Package bodylimit reads bodies of backend servers' responses into memory, within bounds of their
// size, of the size of all of them together, and of their progress.
package bodylimit

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// MaxBytes limits the body of a response that is read into memory.
	MaxBytes = 16 << 20
	// maxTotalBytes limits all such bodies of this host together. One of MaxBytes fits, with the
	// last block that is read into.
	maxTotalBytes = MaxBytes + blockBytes
	// freeBytes of each body are not counted.
	freeBytes = 32 << 10
	// MinProgressBytes have to arrive in each progress interval of a body, or its end.
	MinProgressBytes = 64
)

// Budget limits the memory for bodies of responses. Where it is used up, the largest body is
// given up: sound ones are short, those without end are not. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards total and bodies
	released *sync.Cond // broadcast when bytes are released, or a body is given up
	total    int64
	bodies   map[*reader]struct{} // of which bytes are counted
}

// NewBudget returns a Budget of which nothing is used.
func NewBudget() *Budget {
	b := &Budget{bodies: map[*reader]struct{}{}}
	b.released = sync.NewCond(&b.mu)
	return b
}

// reader reads the body of one response into memory.
type reader struct {
	budget   *Budget
	cancel   func() // interrupts the reading
	counted  int64  // bytes in the budget; guarded by its mu
	givenUp  bool   // guarded by the mu of budget
	progress *progressWatch
}

// ReadAll reads a body to its end, which interval bounds the progress of; 0: nothing does. cancel
// interrupts the reading. The error tells which bound was passed.
func (b *Budget) ReadAll(body io.Reader, interval time.Duration, cancel func()) (*Body, error) {
	r := &reader{budget: b, cancel: cancel, progress: watchProgress(interval, cancel)}
	defer r.release()
	data := &Body{}
	whole := false
	defer func() {
		if !whole {
			data.recycle()
		}
	}()
	for {
		if data.full() {
			if err := r.grow(data); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(data.space())
		data.add(n)
		r.progress.add(n)
		if data.size > MaxBytes {
			return nil, fmt.Errorf("the answer has over %d bytes", MaxBytes)
		}
		if err == io.EOF { // not one that is the cause of another error
			whole = true
			return data, nil
		}
		if err != nil {
			return nil, r.progress.explain(err)
		}
	}
}

// grow adds a block to a body, which is counted beyond freeBytes.
func (r *reader) grow(data *Body) error {
	switch data.size {
	case 0:
		data.grow(firstBlockBytes)
		return nil
	case firstBlockBytes:
		data.grow(freeBytes - firstBlockBytes)
		return nil
	}
	if err := r.reserve(blockBytes); err != nil {
		return err
	}
	data.grow(blockBytes)
	return nil
}

// reserve counts memory that a body is about to take. It waits for that of bodies that are given up,
// and returns an error if this one is.
func (r *reader) reserve(n int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[r] = struct{}{}
	for !r.givenUp && b.total+n > maxTotalBytes {
		if b.shrink(n); !r.givenUp {
			b.released.Wait()
		}
	}
	if r.givenUp {
		return fmt.Errorf("the answer has over %d bytes, and all answers over %d", r.counted, maxTotalBytes)
	}
	b.total += n
	r.counted += n
	return nil
}

// shrink gives up the largest bodies until the others are within the limit with n more bytes. The
// caller holds b.mu.
func (b *Budget) shrink(n int64) {
	for {
		kept := n
		var largest *reader
		for r := range b.bodies {
			if r.givenUp {
				continue
			}
			kept += r.counted
			if largest == nil || r.counted > largest.counted {
				largest = r
			}
		}
		if kept <= maxTotalBytes {
			return
		}
		largest.givenUp = true
		largest.cancel()
		b.released.Broadcast() // it may be waiting itself
	}
}

// release ends the reading.
func (r *reader) release() {
	r.progress.stop()
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= r.counted
	delete(b.bodies, r)
	b.released.Broadcast()
}
