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
	// maxTotalBytes limits all such bodies of this host together, if its memory is not known or
	// small. One of MaxBytes fits, with the last block that is read into.
	maxTotalBytes = MaxBytes + blockBytes
	// maxRoomWait limits the wait for room while servers are not read from. They cut a response off
	// that is not read for some seconds.
	maxRoomWait = 2 * time.Second
	// freeBytes of each body are not counted.
	freeBytes = 32 << 10
	// MinProgressBytes have to arrive in each progress interval of a body, or its end.
	MinProgressBytes = 64
)

// Budget limits the memory for bodies of responses. Where it is used up, the largest body is
// given up: sound ones are short, those without end are not. Those that clients do not read go before. It
// is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards the fields below
	released *sync.Cond // broadcast when bytes are released, or a body is given up
	max      int64
	total    int64
	bodies   map[*reader]struct{} // of which bytes are counted
	unread   int64                // bodies given up as their clients did not read them
}

// NewBudget returns a Budget of a process with a limit of memory in bytes; 0: not known.
func NewBudget(memoryBytes int64) *Budget {
	b := &Budget{max: max(maxTotalBytes, int64(memoryShare*float64(memoryBytes))), bodies: map[*reader]struct{}{}}
	b.released = sync.NewCond(&b.mu)
	return b
}

// reader reads the body of one response into memory.
type reader struct {
	budget   *Budget
	progress *progressWatch

	// The fields below are guarded by the mu of budget.
	cancel     func() // interrupts the reading, or the delivery
	counted    int64  // bytes in the budget
	givenUp    bool
	whole      bool // it has been read
	delivering bool // it is being written to the client
	delivery   transfer
}

// ReadAll reads a body to its end, which interval bounds the progress of; 0: nothing does. cancel
// interrupts the reading. The error tells which bound was passed. The memory is no longer counted when
// it returns.
func (b *Budget) ReadAll(body io.Reader, interval time.Duration, cancel func()) (*Body, error) {
	data, err := b.Read(body, interval, cancel)
	if err == nil {
		data.Release()
	}
	return data, err
}

// Read is like ReadAll, but the memory counts until the caller releases the body.
func (b *Budget) Read(body io.Reader, interval time.Duration, cancel func()) (*Body, error) {
	r := &reader{budget: b, cancel: cancel, progress: watchProgress(interval, cancel)}
	data := &Body{}
	err := r.readAll(body, data)
	r.progress.stop()
	if err == nil && r.counted > 0 {
		err = r.end()
	}
	if err != nil {
		data.recycle()
		r.release()
		return nil, err
	}
	if r.counted > 0 {
		data.reader, data.release = r, r.release
	}
	return data, nil
}

// readAll reads up to the end of the body.
func (r *reader) readAll(body io.Reader, data *Body) error {
	for {
		if data.full() {
			if err := r.grow(data); err != nil {
				return err
			}
		}
		n, err := body.Read(data.space())
		data.add(n)
		r.progress.add(n)
		if data.size > MaxBytes {
			return fmt.Errorf("the answer has over %d bytes", MaxBytes)
		}
		if err == io.EOF { // not one that is the cause of another error
			return nil
		}
		if err != nil {
			return r.progress.explain(err)
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
	data.growPooled()
	return nil
}

// reserve counts memory that a body is about to take. It waits for that of bodies that are given up or
// on their way to clients, and returns an error if this one is given up or the wait takes too long.
func (r *reader) reserve(n int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[r] = struct{}{}
	var waitBegan time.Time
	for !r.givenUp && b.total+n > b.max {
		now := time.Now()
		if waitBegan.IsZero() {
			waitBegan = now
		}
		if now.Sub(waitBegan) >= maxRoomWait {
			return fmt.Errorf("the answer has over %d bytes, and others on their way to clients left no room within %s", r.counted, maxRoomWait)
		}
		if b.shrink(n, now); !r.givenUp {
			b.awaitRelease()
			r.progress.add(MinProgressBytes) // the server is not read from
		}
	}
	if r.givenUp {
		return fmt.Errorf("the answer has over %d bytes, and all answers over %d", r.counted, b.max)
	}
	b.total += n
	r.counted += n
	return nil
}

// awaitRelease waits until bytes are released, at most for recheckInterval. The caller holds b.mu.
func (b *Budget) awaitRelease() {
	timer := time.AfterFunc(recheckInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.released.Broadcast()
	})
	defer timer.Stop()
	b.released.Wait()
}

// shrink gives up bodies until the others are within the limit with n more bytes: first those that
// clients do not read, then the largest that are read from servers, if these alone are too many. The
// caller holds b.mu.
func (b *Budget) shrink(n int64, now time.Time) {
	for {
		kept, reading := n, n
		var largest *reader
		var delivered []*reader
		var transfers []transfer
		for r := range b.bodies {
			if r.givenUp {
				continue
			}
			kept += r.counted
			switch {
			case r.whole && r.delivering:
				delivered, transfers = append(delivered, r), append(transfers, r.delivery)
			case !r.whole:
				reading += r.counted
				if largest == nil || r.counted > largest.counted {
					largest = r
				}
			}
		}
		if kept <= b.max {
			return
		}
		if i := leastHopeful(transfers, now); i >= 0 {
			b.giveUp(delivered[i])
			b.unread++
			continue
		}
		if reading <= b.max {
			return
		}
		b.giveUp(largest)
	}
}

// giveUp interrupts the reading or the delivery of a body. The caller holds b.mu.
func (b *Budget) giveUp(r *reader) {
	r.givenUp = true
	r.cancel()
	b.released.Broadcast() // it may be waiting itself
}

// end records that a body is whole. It returns an error if it was given up.
func (r *reader) end() error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.givenUp {
		return fmt.Errorf("the answer has over %d bytes, and all answers over %d", r.counted, b.max)
	}
	r.whole = true
	return nil
}

// release gives the memory back.
func (r *reader) release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= r.counted
	delete(b.bodies, r)
	b.released.Broadcast()
}

// BudgetStats are figures for operators.
type BudgetStats struct {
	Bytes    int64 // reserved now
	MaxBytes int64
	Unread   int64 // bodies given up as their clients did not read them, since the start
}

// Stats returns the current figures.
func (b *Budget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetStats{Bytes: b.total, MaxBytes: b.max, Unread: b.unread}
}
