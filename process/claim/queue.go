package claim

import (
	"context"
	"sync"
	"time"
)

// shardQueue gathers operations for one shard object.
type shardQueue struct {
	mu      sync.Mutex
	waiting []*operation
	marks   []*operation
	busy    bool

	// copy and version are the last known content, loaded the sealed parts
	// that were read; only the goroutine that set busy touches them.
	copy    *shardCopy
	version uint64
	loaded  map[string]*sealedPart
	written time.Time // start of the last update
}

func (c *committer) submit(index int, op *operation) {
	q := c.shards[index]
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, op)
	c.start(index, q)
}

// start is called with q.mu held.
func (c *committer) start(index int, q *shardQueue) {
	if !q.busy {
		q.busy = true
		go c.drain(index, q)
	}
}

// note queues an outcome to travel with the next write of its shard.
func (c *committer) note(r Record) {
	q := c.shards[c.index(r.ID)]
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.marks) < maxMarks {
		q.marks = append(q.marks, &operation{action: mark, record: r, result: make(chan opResult, 1)})
	}
}

// flush writes the outcomes that still wait, one update a shard. It is called
// at shutdown, so that a resend to another host learns that the key ran.
func (c *committer) flush(ctx context.Context) error {
	var waits []*operation
	for i, q := range c.shards {
		q.mu.Lock()
		if len(q.marks) > 0 {
			last := q.marks[len(q.marks)-1]
			q.marks = q.marks[:len(q.marks)-1]
			q.waiting = append(q.waiting, last)
			waits = append(waits, last)
			c.start(i, q)
		}
		q.mu.Unlock()
	}
	for _, op := range waits {
		select {
		case <-op.result:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *committer) drain(index int, q *shardQueue) {
	for {
		home := c.homes.of(index)
		if home == "" {
			c.space(q)
		}
		batch := q.take()
		if len(batch) == 0 {
			return
		}
		if home != "" && !isHere(batch) && c.homes.forward(home, batch) {
			continue
		}
		c.commit(index, q, batch)
	}
}

// space keeps updates of one shard apart, so that claims gather: the writes a
// second on the platform are bounded by the number of shards, whatever the
// number of requests and hosts. After a pause the next update goes out at once.
func (c *committer) space(q *shardQueue) {
	now := c.clock.Now()
	if wait := q.written.Add(c.opts.WriteInterval).Sub(now); wait > 0 {
		<-c.clock.After(wait)
		now = now.Add(wait)
	}
	q.written = now
}

// take returns what waits, or ends the queue's turn.
func (q *shardQueue) take() []*operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.waiting
	q.waiting = nil
	if len(batch) == 0 {
		q.busy = false
		return nil
	}
	batch = append(batch, q.marks...)
	q.marks = nil
	return batch
}

func isHere(batch []*operation) bool {
	for _, op := range batch {
		if op.here {
			return true
		}
	}
	return false
}
