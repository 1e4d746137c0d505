package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/process/clock"
	"bilberrydale/process/platform"
)

// ObjectPrefix is the prefix of the shard objects' keys.
const ObjectPrefix = "claims/"

// maxShard leaves room below the platform's limit of a value.
const maxShard = platform.MaxValue - 64<<10

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
	first  uint64
	result chan opResult // buffered: the committer never waits for a reader
}

type opResult struct {
	verdict verdict
	other   Record // that stands, for taken and granted
}

// CommitCounters count the committer's platform calls and conflicts.
type CommitCounters struct {
	Reads, Writes, Conflicts, Lost, Claims atomic.Int64
}

// committer writes claims: many operations of one shard travel in one
// conditional update of the shard's object (group commit). While one update is
// on its way, the next batch gathers behind it.
type committer struct {
	store    platform.Store
	clock    clock.Clock
	opts     Options
	limiter  *rate.Limiter
	counters *CommitCounters
	shards   []*shardQueue
	// downUntil (unix ns) lets requests be refused at once during an outage
	// instead of each waiting for its own call to fail.
	downUntil atomic.Int64
}

// shardQueue gathers operations for one shard object.
type shardQueue struct {
	mu      sync.Mutex
	waiting []*operation
	marks   []*operation
	busy    bool

	// image and version are the last known content; only the goroutine that
	// set busy touches them.
	image   image
	version uint64
}

func newCommitter(store platform.Store, clk clock.Clock, opts Options, counters *CommitCounters) *committer {
	c := &committer{store: store, clock: clk, opts: opts, counters: counters, limiter: rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WriteBurst)}
	for range opts.Shards {
		c.shards = append(c.shards, &shardQueue{})
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
	op := &operation{action: a, record: r, first: first, result: make(chan opResult, 1)}
	c.submit(c.index(r.ID), op)
	select {
	case res := <-op.result:
		return res
	case <-ctx.Done():
		return opResult{verdict: undecided}
	}
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
		q.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.busy = false
			q.mu.Unlock()
			return
		}
		batch = append(batch, q.marks...)
		q.marks = nil
		q.mu.Unlock()
		c.commit(index, q, batch)
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
	if err := c.limiter.Wait(ctx); err != nil {
		replyAll(batch, failed)
		return
	}
	sent := false // an update of this batch may have taken effect
	for range maxTries {
		fresh := q.image == nil
		if fresh {
			if err := c.read(ctx, index, q); err != nil {
				c.unavailable()
				break
			}
		}
		next, results, changed, stale := q.image.apply(batch, c.clock.Now(), c.opts.Window)
		if stale && !fresh {
			// The copy in memory says taken, but the other claim may have
			// been given up since.
			q.image = nil
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
	q.image = nil
	if sent {
		replyAll(batch, undecided)
		return
	}
	replyAll(batch, failed)
}

func (c *committer) unavailable() {
	c.downUntil.Store(c.clock.Now().Add(c.opts.Backoff).UnixNano())
}

func (c *committer) read(ctx context.Context, index int, q *shardQueue) error {
	c.counters.Reads.Add(1)
	obj, err := c.store.Get(ctx, objectKey(index))
	if errors.Is(err, platform.ErrNotFound) {
		q.image, q.version = image{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	im, err := decodeImage(obj.Value)
	if err != nil {
		return err
	}
	q.image, q.version = im, obj.Version
	return nil
}

// write puts next if the shard is still the one that next was made from. An
// answer that was lost is not guessed: the image is dropped, the next round
// reads the shard and finds this batch's records there or writes them again
// under the version that it read, which makes a delayed first update fail.
func (c *committer) write(ctx context.Context, index int, q *shardQueue, next image) (done, mayHaveWritten bool) {
	data, err := next.encode()
	if err != nil || len(data) > maxShard {
		c.unavailable()
		return false, false
	}
	c.counters.Writes.Add(1)
	version, err := c.store.Put(ctx, objectKey(index), data, q.version)
	switch {
	case err == nil:
		q.image, q.version = next, version
		return true, true
	case errors.Is(err, platform.ErrConflict):
		c.counters.Conflicts.Add(1)
		q.image = nil
		return false, false
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrTooLarge):
		c.unavailable()
		return false, false
	default:
		c.counters.Lost.Add(1)
		q.image = nil
		return false, true
	}
}

// apply returns the shard after batch with the result of each operation.
// stale is true if a result rests on a record that this host did not write.
func (im image) apply(batch []*operation, now time.Time, window time.Duration) (next image, results []opResult, changed, stale bool) {
	next = im.expire(now, window)
	results = make([]opResult, len(batch))
	for i, op := range batch {
		r := op.record
		cur, ok := next[r.ID]
		switch {
		case op.action == add && (!ok || op.replaces(&cur) || cur.reopened(&r)):
			r.Part = r.Part || cur.Part || cur.Outcome == OutcomePart
			next[r.ID], results[i].other = r, r
			changed = true
		case op.action == add && !cur.same(&r):
			results[i] = opResult{taken, cur}
			stale = true
		case op.action == add:
			results[i].other = cur
		case op.action == remove && ok && op.replaces(&cur) && !cur.Part:
			delete(next, r.ID)
			changed = true
		case (op.action == remove || op.action == part) && ok && op.replaces(&cur) && cur.Outcome != OutcomePart:
			cur.Outcome = OutcomePart
			next[r.ID] = cur
			changed = true
		case op.action == mark && ok && cur.same(&r) && cur.Outcome != r.Outcome:
			cur.Outcome = r.Outcome
			next[r.ID] = cur
			changed = true
		}
	}
	return next, results, changed, stale
}

// replaces reports whether cur is an earlier record of the same owner and key
// under which nothing was dispatched.
func (op *operation) replaces(cur *Record) bool {
	if cur.Owner != op.record.Owner || cur.Seq < op.first {
		return false
	}
	return cur.Seq < op.record.Seq || (op.action != add && cur.Seq == op.record.Seq)
}
