package claim

import (
	"context"
	"sync"
	"time"
)

// shardQueue collects operations on one shard until they are written in a batch.
type shardQueue struct {
	mu         sync.Mutex   // guards operations, outcomes and processing
	operations []*operation // wait for the next batch
	outcomes   []*operation // written with the next batch; start no batch by themselves
	processing bool         // processQueue is running

	// cached and version are the shard's content as last read or written, nil
	// if it must be read; sealedParts are its sealed parts by name. Only the
	// goroutine that set processing accesses these and lastWrite.
	cached      *shard
	version     uint64
	sealedParts map[string]*sealedPart
	lastWrite   time.Time // start of the last update
}

// enqueue adds an operation to the queue of the shard with this index.
func (c *committer) enqueue(index int, op *operation) {
	q := c.shards[index]
	q.mu.Lock()
	defer q.mu.Unlock()
	q.operations = append(q.operations, op)
	c.startProcessing(index, q)
}

// startProcessing starts processQueue if it is not running. q.mu must be held.
func (c *committer) startProcessing(index int, q *shardQueue) {
	if !q.processing {
		q.processing = true
		go c.processQueue(index, q)
	}
}

// queueOutcome queues the outcome of a claim for the next write of its shard. It
// drops the outcome if maxQueuedOutcomes are queued.
func (c *committer) queueOutcome(r Record) {
	q := c.shards[c.shardIndex(r.ID)]
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.outcomes) < maxQueuedOutcomes {
		q.outcomes = append(q.outcomes, &operation{action: actionRecordOutcome, record: r, result: make(chan opResult, 1)})
	}
}

// flushOutcomes writes the queued outcomes, one update per shard. It is called at
// shutdown, so that a resend to another host gets the outcome. It returns the
// error of ctx if that ends first.
func (c *committer) flushOutcomes(ctx context.Context) error {
	var flushed []*operation
	for i, q := range c.shards {
		q.mu.Lock()
		if len(q.outcomes) > 0 {
			last := q.outcomes[len(q.outcomes)-1]
			q.outcomes = q.outcomes[:len(q.outcomes)-1]
			q.operations = append(q.operations, last)
			flushed = append(flushed, last)
			c.startProcessing(i, q)
		}
		q.mu.Unlock()
	}
	for _, op := range flushed {
		select {
		case <-op.result:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// processQueue commits the queue's operations batch by batch, here or by the
// shard's writer, and returns when the queue is empty.
func (c *committer) processQueue(index int, q *shardQueue) {
	for {
		writer := c.writers.writerOf(index)
		if writer == "" {
			c.waitWriteInterval(q)
		}
		batch := q.takeBatch()
		if len(batch) == 0 {
			return
		}
		if writer != "" && !hasPeerOperation(batch) && c.writers.forward(writer, batch) {
			continue
		}
		c.commit(index, q, batch)
	}
}

// waitWriteInterval waits until WriteInterval has passed since the shard's last
// update, so that claims collect into batches: the number of shards then bounds
// the writes per second on the platform, whatever the number of requests and
// hosts. After an idle period the next update is sent at once.
func (c *committer) waitWriteInterval(q *shardQueue) {
	now := c.clock.Now()
	if wait := q.lastWrite.Add(c.opts.WriteInterval).Sub(now); wait > 0 {
		<-c.clock.After(wait)
		now = now.Add(wait)
	}
	q.lastWrite = now
}

// takeBatch removes and returns the queued operations with the queued outcomes. If
// there are no operations, it marks the queue as not being processed and returns
// nil; the outcomes stay queued.
func (q *shardQueue) takeBatch() []*operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.operations
	q.operations = nil
	if len(batch) == 0 {
		q.processing = false
		return nil
	}
	batch = append(batch, q.outcomes...)
	q.outcomes = nil
	return batch
}

// hasPeerOperation reports whether batch has an operation that another host
// forwarded to this one. Such a batch is not forwarded again.
func hasPeerOperation(batch []*operation) bool {
	for _, op := range batch {
		if op.forPeer {
			return true
		}
	}
	return false
}
