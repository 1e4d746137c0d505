package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// ObjectPrefix is the prefix of the shard objects' keys.
const ObjectPrefix = "claims/"

// maxShard leaves room below the platform's limit of a value.
const maxShard = objectapi.MaxValueBytes - 64<<10

// maxMarks bounds the outcomes that wait for a write to travel with.
const maxMarks = 4096

// action is what an operation does to its record.
type action int

const (
	add    action = iota // make the claim
	remove               // give it up; nothing ran
	part                 // give it up; stages that may be repeated ran
	mark                 // record its outcome; never causes a write by itself
)

// verdict is the result of an operation.
type verdict int

const (
	granted   verdict = iota // the record is, or for remove was, this owner's
	taken                    // another claim stands
	failed                   // nothing was written
	undecided                // it may have been written
)

type operation struct {
	action action
	record Record
	// first is the lowest Seq whose record an add may replace: this owner
	// made it for the same key and dispatched nothing under it.
	first uint64
	// here: another host asked this one to write it. sent: another host was
	// asked, and may have written it or may yet.
	here, sent bool
	result     chan opResult // buffered: the committer never waits for a reader
}

type opResult struct {
	verdict verdict
	other   Record // that stands, for taken and granted
}

// committer writes claims: many operations of one shard travel in one
// conditional update of the shard's object (group commit). While one update is
// on its way, the next batch gathers behind it.
type committer struct {
	store    objectapi.Store
	clock    clock.Clock
	opts     Options
	limiter  *rate.Limiter
	counters *CommitCounters
	homes    *homes // nil: this host writes for itself
	shards   []*shardQueue
	// downUntil (unix ns) lets requests be refused at once during an outage
	// instead of each waiting for its own call to fail.
	downUntil atomic.Int64
}

func newCommitter(store objectapi.Store, clk clock.Clock, opts Options, counters *CommitCounters) *committer {
	c := &committer{store: store, clock: clk, opts: opts, counters: counters, limiter: rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst)}
	for range opts.Shards {
		c.shards = append(c.shards, &shardQueue{loaded: map[string]*sealedPart{}})
	}
	return c
}

func (c *committer) index(id ID) int { return int(uint(id[0])|uint(id[1])<<8) % len(c.shards) }

func objectKey(index int) string { return fmt.Sprintf("%s%04d", ObjectPrefix, index) }

func (c *committer) down() (time.Duration, bool) {
	wait := time.Duration(c.downUntil.Load() - c.clock.Now().UnixNano())
	return wait, wait > 0
}

// run submits one operation and waits for its result. If ctx ends first the
// result is undecided: the operation may still be written.
func (c *committer) run(ctx context.Context, a action, r Record, first uint64) opResult {
	if _, down := c.down(); down {
		return opResult{verdict: failed}
	}
	return c.do(ctx, &operation{action: a, record: r, first: first, result: make(chan opResult, 1)})
}

func (c *committer) do(ctx context.Context, op *operation) opResult {
	c.submit(c.index(op.record.ID), op)
	select {
	case res := <-op.result:
		return res
	case <-ctx.Done():
		return opResult{verdict: undecided}
	}
}

func reply(batch []*operation, results []opResult) {
	for i, op := range batch {
		op.result <- results[i]
	}
}

func replyAll(batch []*operation, v verdict) {
	for _, op := range batch {
		op.result <- opResult{verdict: v}
	}
}

// maxTries bounds the conditional updates of one batch: conflicts with other
// hosts and answers that were lost.
const maxTries = 16

func (c *committer) commit(index int, q *shardQueue, batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.CommitTimeout)
	defer cancel()
	sent := false // an update of this batch may have taken effect
	for _, op := range batch {
		sent = sent || op.sent
	}
	for range maxTries {
		if c.limiter.Wait(ctx) != nil {
			break
		}
		fresh := q.copy == nil
		if fresh {
			if err := c.read(ctx, index, q); err != nil {
				c.unavailable()
				break
			}
		}
		next, results, changed, stale := q.copy.apply(batch, c.clock.Now(), c.opts.Retention)
		if stale && !fresh {
			// The copy in memory says taken, but the other claim may have
			// been given up since.
			q.copy = nil
			continue
		}
		if !changed {
			reply(batch, results)
			return
		}
		done, mayHaveWritten := c.write(ctx, index, q, next)
		if done {
			reply(batch, results)
			return
		}
		sent = sent || mayHaveWritten
		if _, down := c.down(); down {
			break
		}
	}
	q.copy = nil
	if sent {
		replyAll(batch, undecided)
		return
	}
	replyAll(batch, failed)
}

func (c *committer) unavailable() {
	c.downUntil.Store(c.clock.Now().Add(c.opts.StoreBackoff).UnixNano())
}

func (c *committer) read(ctx context.Context, index int, q *shardQueue) error {
	c.counters.Reads.Add(1)
	obj, err := c.store.Get(ctx, objectKey(index))
	if errors.Is(err, objectapi.ErrNotFound) {
		q.copy, q.version = &shardCopy{open: image{}}, 0
		return nil
	}
	if err != nil {
		return err
	}
	open, sealed, err := decodeImage(obj.Value)
	if err != nil {
		return err
	}
	parts, err := c.parts(ctx, index, q, sealed)
	if err != nil {
		return err
	}
	q.copy, q.version = &shardCopy{open: open, sealed: parts}, obj.Version
	return nil
}

// write puts next if the shard is still the one that next was made from. An
// answer that was lost is not guessed: the copy is dropped, the next round
// reads the shard and finds this batch's records there or writes them again
// under the version that it read, which makes a delayed first update fail.
func (c *committer) write(ctx context.Context, index int, q *shardQueue, next *shardCopy) (done, mayHaveWritten bool) {
	next = c.seal(ctx, index, q, next)
	data, err := next.open.encode(next.sealed)
	if err != nil || len(data) > maxShard {
		c.unavailable()
		return false, false
	}
	c.counters.Writes.Add(1)
	version, err := c.store.Put(ctx, objectKey(index), data, q.version)
	switch {
	case err == nil:
		c.drop(index, q, next)
		q.copy, q.version = next, version
		return true, true
	case errors.Is(err, objectapi.ErrConflict):
		c.counters.Conflicts.Add(1)
		q.copy = nil
		return false, false
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRateLimited), errors.Is(err, objectapi.ErrTooLarge):
		c.unavailable()
		return false, false
	default:
		c.counters.LostResponses.Add(1)
		q.copy = nil
		return false, true
	}
}
