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

// maxShardBytes bounds an encoded shard object, 64 KiB below the platform's limit
// for a value.
const maxShardBytes = objectapi.MaxValueBytes - 64<<10

// maxQueuedOutcomes bounds the outcomes of one shard that wait to be written
// with the next batch of claims; further ones are dropped.
const maxQueuedOutcomes = 4096

// action is the change that an operation makes to its record. The values are
// sent between hosts.
type action int

const (
	actionAdd            action = iota // make the claim
	actionRemove                       // release the claim; nothing ran
	actionReleasePartial               // release the claim; only repeatable stages ran
	actionRecordOutcome                // record the claim's outcome; does not start a write by itself
)

// verdict is the result of an operation. The values are sent between hosts.
type verdict int

const (
	verdictGranted verdict = iota // the claim is the requester's; for other actions than actionAdd: done, or nothing to do
	verdictTaken                  // another claim of the key is in effect
	verdictFailed                 // nothing was written
	verdictUnknown                // the operation may have been written, or may be later
)

// operation is a change to one claim that waits in a shard's queue.
type operation struct {
	action action
	record Record // the claim; only ID, Body, Owner and Seq are set for a release
	// minSeq is the lowest Seq of the earlier records that the operation may
	// supersede: the same owner made them for the same key and dispatched
	// nothing under them.
	minSeq uint64
	// forPeer: this host writes the operation on behalf of another host.
	// mayBeWritten: the operation was forwarded to another host, which may
	// have written it or may still do so.
	forPeer, mayBeWritten bool
	result                chan opResult // buffered, so that the committer never blocks on it
}

// opResult is the result of an operation.
type opResult struct {
	verdict verdict
	record  Record // the claim in effect, for verdictTaken and granted actionAdd
}

// committer writes claims with group commit: one conditional update of a shard's
// object carries many operations. While an update is in flight, the next batch
// collects in the shard's queue.
type committer struct {
	store    objectapi.Store
	clock    clock.Clock
	opts     Options
	limiter  *rate.Limiter
	counters *CommitCounters
	writers  *shardWriters // nil: this host writes all shards itself
	shards   []*shardQueue // by shard index
	// backoffUntil (Unix nanoseconds) is the end of the backoff after a store
	// failure. Until then requests are refused at once instead of each waiting
	// for a call of its own to fail.
	backoffUntil atomic.Int64
}

// newCommitter returns a committer without shardWriters.
func newCommitter(store objectapi.Store, clk clock.Clock, opts Options, counters *CommitCounters) *committer {
	c := &committer{store: store, clock: clk, opts: opts, counters: counters, limiter: rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst)}
	for range opts.Shards {
		c.shards = append(c.shards, &shardQueue{sealedParts: map[string]*sealedPart{}})
	}
	return c
}

// shardIndex returns the index of the shard that holds id. All hosts compute the
// same index.
func (c *committer) shardIndex(id ID) int { return int(uint(id[0])|uint(id[1])<<8) % len(c.shards) }

// objectKey returns the store key of the object of the shard with this index.
func objectKey(index int) string { return fmt.Sprintf("%s%04d", ObjectPrefix, index) }

// storeBackoff returns the remaining backoff and whether the store is in backoff.
func (c *committer) storeBackoff() (time.Duration, bool) {
	wait := time.Duration(c.backoffUntil.Load() - c.clock.Now().UnixNano())
	return wait, wait > 0
}

// submitAndWait submits one operation and waits for its result; it fails at once
// while the store is in backoff. If ctx ends first the result is verdictUnknown:
// the operation may still be written.
func (c *committer) submitAndWait(ctx context.Context, a action, r Record, minSeq uint64) opResult {
	if _, inBackoff := c.storeBackoff(); inBackoff {
		return opResult{verdict: verdictFailed}
	}
	return c.enqueueAndWait(ctx, &operation{action: a, record: r, minSeq: minSeq, result: make(chan opResult, 1)})
}

// enqueueAndWait is submitAndWait without the check for backoff.
func (c *committer) enqueueAndWait(ctx context.Context, op *operation) opResult {
	c.enqueue(c.shardIndex(op.record.ID), op)
	select {
	case res := <-op.result:
		return res
	case <-ctx.Done():
		return opResult{verdict: verdictUnknown}
	}
}

// sendResults sends each operation its result.
func sendResults(batch []*operation, results []opResult) {
	for i, op := range batch {
		op.result <- results[i]
	}
}

// sendVerdict sends v as the result of every operation.
func sendVerdict(batch []*operation, v verdict) {
	for _, op := range batch {
		op.result <- opResult{verdict: v}
	}
}

// maxCommitAttempts bounds the attempts to commit one batch. An attempt is
// repeated after a conflict with another host and after a lost response.
const maxCommitAttempts = 16

// commit applies batch to the shard with this index, whose queue is q, writes the
// changed shard, and sends each operation its result. It retries within
// maxCommitAttempts and CommitTimeout. If all attempts fail, every operation gets
// verdictUnknown if the batch may have been written or may be later, else
// verdictFailed.
func (c *committer) commit(index int, q *shardQueue, batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.CommitTimeout)
	defer cancel()
	mayBeWritten := false // an update with this batch may have taken effect
	for _, op := range batch {
		mayBeWritten = mayBeWritten || op.mayBeWritten
	}
	for range maxCommitAttempts {
		if c.limiter.Wait(ctx) != nil {
			break
		}
		justRead := q.cached == nil
		if justRead {
			if err := c.readShard(ctx, index, q); err != nil {
				c.startStoreBackoff()
				break
			}
		}
		next, results, changed, stale := q.cached.apply(batch, c.clock.Now(), c.opts.Retention)
		if stale && !justRead {
			// A claim of another host in the cached shard may have been
			// released since: read the shard again.
			q.cached = nil
			continue
		}
		if !changed {
			sendResults(batch, results)
			return
		}
		written, uncertain := c.writeShard(ctx, index, q, next)
		if written {
			sendResults(batch, results)
			return
		}
		mayBeWritten = mayBeWritten || uncertain
		if _, inBackoff := c.storeBackoff(); inBackoff {
			break
		}
	}
	q.cached = nil
	if mayBeWritten {
		sendVerdict(batch, verdictUnknown)
		return
	}
	sendVerdict(batch, verdictFailed)
}

// startStoreBackoff refuses claims without a call for StoreBackoff.
func (c *committer) startStoreBackoff() {
	c.backoffUntil.Store(c.clock.Now().Add(c.opts.StoreBackoff).UnixNano())
}

// readShard reads the shard's object and its sealed parts into q.cached and
// q.version. A shard without an object is empty.
func (c *committer) readShard(ctx context.Context, index int, q *shardQueue) error {
	c.counters.Reads.Add(1)
	obj, err := c.store.Get(ctx, objectKey(index))
	if errors.Is(err, objectapi.ErrNotFound) {
		q.cached, q.version = &shard{open: recordsByID{}}, 0
		return nil
	}
	if err != nil {
		return err
	}
	open, sealed, err := decodeShard(obj.Value)
	if err != nil {
		return err
	}
	parts, err := c.loadSealedParts(ctx, index, q, sealed)
	if err != nil {
		return err
	}
	q.cached, q.version = &shard{open: open, sealed: parts}, obj.Version
	return nil
}

// writeShard writes next if the shard's object still has version q.version.
// written reports whether it did, uncertain whether next may have been written.
// If the store's response is lost, the cached shard is discarded and uncertain is
// true. The next attempt then reads the shard: it either finds the batch's
// records there or writes them again under the version it read, which makes a
// delayed first update fail.
func (c *committer) writeShard(ctx context.Context, index int, q *shardQueue, next *shard) (written, uncertain bool) {
	next = c.sealOpenClaims(ctx, index, q, next)
	data, err := next.open.encode(next.sealed)
	if err != nil || len(data) > maxShardBytes {
		c.startStoreBackoff()
		return false, false
	}
	c.counters.Writes.Add(1)
	version, err := c.store.Put(ctx, objectKey(index), data, q.version)
	switch {
	case err == nil:
		c.removeUnreferenced(index, q, next)
		q.cached, q.version = next, version
		return true, true
	case errors.Is(err, objectapi.ErrConflict):
		c.counters.Conflicts.Add(1)
		q.cached = nil
		return false, false
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRateLimited), errors.Is(err, objectapi.ErrTooLarge):
		c.startStoreBackoff()
		return false, false
	default:
		c.counters.LostResponses.Add(1)
		q.cached = nil
		return false, true
	}
}
