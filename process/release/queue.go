package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"bilberrydale/process/objectapi"
)

const (
	// queueLife is how long a queued set may wait for its writer. A writer
	// that died must not have its edit accepted hours later.
	queueTTL = 30 * time.Second
	// giveUpTime is how long a writer tries to withdraw its set at the end.
	withdrawTimeout = 5 * time.Second
	// groupSize bounds the change sets of one release.
	maxGroupSize = 400
	// headWait is the longest wait for somebody else's commit, in jittered
	// steps; the first writer to stop waiting commits the whole queue.
	maxHeadWait = 40 * time.Millisecond
	// committers is how many writers are expected to prepare a commit at the
	// same time, however long the queue is.
	expectedCommitters = 2
)

// entry is a queued change set as stored on the platform.
type queueEntry struct {
	Set     ChangeSet `json:"set"`
	Since   uint64    `json:"since"` // newest release when it was queued
	Expires time.Time `json:"expires"`
}

// queued is one writer's place in the queue.
type queuedWriter struct {
	p     *Publisher
	set   ChangeSet
	since uint64
	key   string
	// version of the head read last.
	headVersion uint64
}

// join queues set and takes part in accepting the queue until the set is
// accepted or refused. Several hundred writers then need one write each and a
// few commits together, where single updates would fail against each other.
func (p *Publisher) commitQueued(ctx context.Context, set ChangeSet, sinceRelease uint64) (Release, error) {
	q := &queuedWriter{p: p, set: set, since: sinceRelease, key: queuePrefix + set.ID}
	e := queueEntry{Set: set, Since: sinceRelease, Expires: p.Clock.Now().Add(queueTTL)}
	err := p.putImmutable(ctx, q.key, e)
	if errors.Is(err, objectapi.ErrTooLarge) {
		return p.commitDirect(ctx, set)
	}
	if err != nil {
		return q.abandon(ctx, fmt.Errorf("queue the change set: %w", err))
	}
	var lastErr error
	for attempt := range p.maxAttempts() {
		q.awaitHeadChange(ctx, attempt)
		if ctx.Err() != nil {
			lastErr = ctx.Err()
			break
		}
		rel, done, err := q.attempt(ctx, attempt)
		if done {
			return rel, err
		}
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			lastErr = err
		}
	}
	return q.abandon(ctx, lastErr)
}

// wait ends when the head moves or a random time has passed.
func (q *queuedWriter) awaitHeadChange(ctx context.Context, attempt int) {
	limit := maxHeadWait * time.Duration(min(attempt+1, 8))
	wait := time.Duration((0.1 + 0.9*q.p.Rand.Float64()) * float64(limit))
	if _, err := q.p.store().Watch(ctx, HeadKey, q.headVersion, wait); err != nil {
		_ = q.p.waitBackoff(ctx, attempt+1)
	}
}

// step looks whether the set was accepted and otherwise tries to commit the
// queue. The head is read before the queue: withdraw depends on that order. Rows
// are read only by the few writers that prepare a commit.
func (q *queuedWriter) attempt(ctx context.Context, attempt int) (Release, bool, error) {
	head, obj, err := readHead(ctx, q.p.store())
	if err != nil {
		return Release{}, false, err
	}
	q.headVersion = obj.Version
	if rel, ok, err := q.findAccepted(ctx, head); ok || err != nil {
		return rel, ok, err
	}
	sets, err := q.pendingSets(ctx, head)
	if err != nil {
		return Release{}, false, err
	}
	if q.deferToOthers(len(sets), attempt) {
		return Release{}, false, objectapi.ErrConflict
	}
	base, err := q.p.loadBase(ctx, head, obj)
	if errors.Is(err, ErrPlatformBehind) {
		return q.withdraw(ctx, err)
	}
	if err != nil {
		return Release{}, false, err
	}
	return q.commit(ctx, base, sets)
}

func (q *queuedWriter) commit(ctx context.Context, base commitBase, sets []ChangeSet) (Release, bool, error) {
	group := q.p.mergeSets(base.rel, sets)
	if err := group.refused[q.set.ID]; err != nil {
		return q.withdraw(ctx, err)
	}
	rel, err := q.p.commit(ctx, base, group)
	if errors.Is(err, objectapi.ErrUnknownOutcome) {
		return Release{}, true, fmt.Errorf("%w: %w", ErrPending, err)
	}
	if err != nil {
		return Release{}, errors.Is(err, objectapi.ErrTooLarge), err
	}
	q.dequeue(ctx)
	return rel, true, nil
}

// leaveToOthers draws lots among the writers in the queue, so that a few of them
// prepare a commit and not all. Each further try makes the draw likelier, so
// that a queue of dead writers cannot hold a living one up.
func (q *queuedWriter) deferToOthers(queueLength, attempt int) bool {
	return q.p.Rand.Float64()*float64(queueLength) > float64(expectedCommitters*(attempt+1))
}

// alone accepts a set that is too large for a queue entry.
func (p *Publisher) commitDirect(ctx context.Context, set ChangeSet) (Release, error) {
	var lastErr error
	for attempt := range p.maxAttempts() {
		if err := p.waitBackoff(ctx, attempt); err != nil {
			return Release{}, errors.Join(err, lastErr)
		}
		base, err := p.readBaseWithRetry(ctx)
		if err != nil {
			return Release{}, err
		}
		group := p.mergeSets(base.rel, []ChangeSet{set})
		if err := group.refused[set.ID]; err != nil {
			return Release{}, err
		}
		rel, err := p.commit(ctx, base, group)
		if err == nil {
			return rel, nil
		}
		if errors.Is(err, objectapi.ErrUnknownOutcome) {
			return Release{}, fmt.Errorf("%w: %w", ErrPending, err)
		}
		lastErr = err
	}
	return Release{}, fmt.Errorf("release not accepted after %d attempts: %w", p.maxAttempts(), lastErr)
}

// included looks for the set in the releases since it was queued.
func (q *queuedWriter) findAccepted(ctx context.Context, head Head) (Release, bool, error) {
	accepted, err := q.p.acceptedSince(ctx, head, q.since)
	if err != nil {
		return Release{}, false, err
	}
	number, ok := accepted[q.set.ID]
	if !ok {
		return Release{}, false, nil
	}
	q.dequeue(ctx)
	rel, err := q.p.loadByNumber(ctx, head, number)
	return rel, true, err
}

// setsSince returns the change sets accepted after release since, with the
// number that each was accepted in.
func (p *Publisher) acceptedSince(ctx context.Context, head Head, sinceRelease uint64) (map[string]uint64, error) {
	accepted := map[string]uint64{}
	var refs []Ref
	err := walkHistory(ctx, p.store(), head, func(r Ref) bool {
		if r.Number > sinceRelease {
			refs = append(refs, r)
		}
		return r.Number > sinceRelease+1
	})
	if err != nil {
		return nil, err
	}
	for _, ref := range refs {
		record := head
		if ref.Number != head.Number {
			if record, err = readRecord(ctx, p.store(), ref); err != nil {
				return nil, err
			}
		}
		for _, id := range record.ChangeSetIDs {
			accepted[id] = ref.Number
		}
	}
	return accepted, nil
}

// pending returns the queued sets in the order in which they were queued.
// Expired ones are removed. A set that was accepted already is left out: its
// writer may have died before removing it, and accepting it again would bring
// back a row that somebody has deleted since.
func (q *queuedWriter) pendingSets(ctx context.Context, head Head) ([]ChangeSet, error) {
	objs, err := q.p.store().List(ctx, queuePrefix)
	if err != nil {
		return nil, fmt.Errorf("read queue: %w", err)
	}
	sort.Slice(objs, func(i, j int) bool { return objs[i].Version < objs[j].Version })
	entries := []queueEntry{{Set: q.set, Since: q.since}}
	oldestSince := q.since
	for _, o := range objs {
		var e queueEntry
		if err := json.Unmarshal(o.Value, &e); err != nil || q.expired(e, head) {
			_ = q.p.store().Delete(ctx, o.Key, o.Version)
			continue
		}
		if e.Set.ID != q.set.ID && len(entries) < maxGroupSize {
			entries = append(entries, e)
			oldestSince = min(oldestSince, e.Since)
		}
	}
	accepted, err := q.p.acceptedSince(ctx, head, oldestSince)
	if err != nil {
		return nil, err
	}
	var sets []ChangeSet
	for _, e := range entries {
		if _, ok := accepted[e.Set.ID]; !ok {
			sets = append(sets, e.Set)
		}
	}
	return sets, nil
}

// expired reports whether e is to be dropped: its life is over, or so many
// releases followed that reading back whether it was accepted costs too much.
func (q *queuedWriter) expired(e queueEntry, head Head) bool {
	return q.p.Clock.Now().After(e.Expires) || e.Since+maxRecentRefs < head.Number
}

func (q *queuedWriter) dequeue(ctx context.Context) {
	obj, err := q.p.store().Get(ctx, q.key)
	if err == nil {
		_ = q.p.store().Delete(ctx, q.key, obj.Version)
	}
}

// withdraw takes the set out of the queue and makes sure that nobody accepts it
// any more before the refusal is reported. A publisher that listed the queue
// before the removal built on a head read even earlier; once the head has a
// newer version its update fails. So: remove, read, fence.
func (q *queuedWriter) withdraw(ctx context.Context, reason error) (Release, bool, error) {
	obj, err := q.p.store().Get(ctx, q.key)
	if err == nil {
		err = q.p.store().Delete(ctx, q.key, obj.Version)
	}
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return Release{}, false, err
	}
	head, obj, err := readHead(ctx, q.p.store())
	if err == nil {
		err = q.p.fence(ctx, obj)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		head, _, err = readHead(ctx, q.p.store())
	}
	if err != nil {
		return Release{}, false, err
	}
	if rel, ok, err := q.findAccepted(ctx, head); ok || err != nil {
		return rel, ok, err
	}
	return Release{}, true, reason
}

// giveUp ends a writer that ran out of attempts or time.
func (q *queuedWriter) abandon(ctx context.Context, lastErr error) (Release, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	reason := fmt.Errorf("release not accepted after %d attempts: %w", q.p.maxAttempts(), lastErr)
	rel, done, err := q.withdraw(ctx, reason)
	if done {
		return rel, err
	}
	return Release{}, fmt.Errorf("%w: change set %s is queued until %s at the latest: %w (%w)",
		ErrPending, q.set.ID, queueTTL, reason, err)
}
