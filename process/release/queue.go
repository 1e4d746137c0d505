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
	// queueTTL is how long a change set may stay queued. The edit of a
	// publisher that died must not be accepted hours later.
	queueTTL = 30 * time.Second
	// withdrawTimeout bounds the withdrawal of a change set after the last
	// attempt.
	withdrawTimeout = 5 * time.Second
	// maxGroupSize bounds the change sets of one release.
	maxGroupSize = 400
	// maxHeadWait bounds the first wait for another publisher's commit. Waits
	// are jittered and grow with the attempts; the first publisher to stop
	// waiting commits the whole queue.
	maxHeadWait = 40 * time.Millisecond
	// expectedCommitters is the number of publishers expected to prepare a
	// commit at the same time, regardless of the queue length.
	expectedCommitters = 2
)

// queueEntry is a queued change set as stored on the platform.
type queueEntry struct {
	Set     ChangeSet `json:"set"`
	Since   uint64    `json:"since"` // number of the newest release when it was queued
	Expires time.Time `json:"expires"`
}

// queuedWriter is the publisher of one queued change set.
type queuedWriter struct {
	p     *Publisher
	set   ChangeSet
	since uint64 // see queueEntry.Since
	key   string // of the queue entry on the platform
	// headVersion is the version of the head object read last.
	headVersion uint64
}

// commitQueued queues set and takes part in committing the queue until the set
// is accepted or refused. Several hundred concurrent publishers then need one
// write each and a few commits together, where separate conditional updates
// would fail against each other.
func (p *Publisher) commitQueued(ctx context.Context, set ChangeSet, sinceRelease uint64) (Release, error) {
	q := &queuedWriter{p: p, set: set, since: sinceRelease, key: queuePrefix + set.ID}
	e := queueEntry{Set: set, Since: sinceRelease, Expires: p.Clock.Now().Add(queueTTL)}
	err := p.putImmutable(ctx, q.key, e)
	if errors.Is(err, objectapi.ErrTooLarge) {
		return p.commitDirect(ctx, set)
	}
	if err != nil {
		return q.abandon(ctx, fmt.Errorf("queue change set: %w", err))
	}
	var lastErr error
	for attempt := range p.maxAttempts() {
		q.awaitHeadChange(ctx, attempt)
		if ctx.Err() != nil {
			lastErr = ctx.Err()
			break
		}
		rel, done, err := q.tryCommit(ctx, attempt)
		if done {
			return rel, err
		}
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			lastErr = err
		}
	}
	return q.abandon(ctx, lastErr)
}

// awaitHeadChange waits until the head changes or a random time has passed, whose
// bound grows with attempt.
func (q *queuedWriter) awaitHeadChange(ctx context.Context, attempt int) {
	limit := maxHeadWait * time.Duration(min(attempt+1, 8))
	wait := time.Duration((0.1 + 0.9*q.p.Rand.Float64()) * float64(limit))
	if _, err := q.p.store().Watch(ctx, HeadKey, q.headVersion, wait); err != nil {
		_ = q.p.waitBackoff(ctx, attempt+1)
	}
}

// tryCommit checks whether the set was accepted and otherwise tries to commit the
// queue. It reports whether the outcome is final. The head is read before the
// queue; withdraw depends on that order. Rows are read only by the few
// publishers that prepare a commit.
func (q *queuedWriter) tryCommit(ctx context.Context, attempt int) (Release, bool, error) {
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

// commit merges sets into base and commits them, or withdraws the own set if it
// is refused. It reports whether the outcome is final.
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

// deferToOthers decides at random whether to leave this commit to others, so
// that only a few of the queued publishers prepare one. Each further attempt
// makes deferring less likely, so that entries of dead publishers cannot hold
// up a live one.
func (q *queuedWriter) deferToOthers(queueLength, attempt int) bool {
	return q.p.Rand.Float64()*float64(queueLength) > float64(expectedCommitters*(attempt+1))
}

// commitDirect commits a set that is too large for a queue entry. Its errors are
// those of Apply, or that of the last attempt.
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
	return Release{}, fmt.Errorf("change set not accepted after %d attempts: %w", p.maxAttempts(), lastErr)
}

// findAccepted returns the release that accepted the set since it was queued,
// and whether there is one.
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

// acceptedSince returns the IDs of the change sets accepted after release
// sinceRelease, each with the number of its release.
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

// pendingSets returns the queued sets, the own one first and then in queue
// order, at most maxGroupSize. It removes expired entries. Sets that were
// already accepted are left out: their publisher may have died before removing
// the entry, and accepting it again would restore a row that has been deleted
// since.
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

// expired reports whether to drop e: its TTL is over, or so many releases have
// followed that checking whether it was accepted needs too many reads.
func (q *queuedWriter) expired(e queueEntry, head Head) bool {
	return q.p.Clock.Now().After(e.Expires) || e.Since+maxRecentRefs < head.Number
}

// dequeue removes the queue entry. A failure leaves it to expire.
func (q *queuedWriter) dequeue(ctx context.Context) {
	obj, err := q.p.store().Get(ctx, q.key)
	if err == nil {
		_ = q.p.store().Delete(ctx, q.key, obj.Version)
	}
}

// withdraw removes the set from the queue and ensures that nobody accepts it
// any more before reason is reported as the refusal. A publisher that listed
// the queue before the removal builds on a head read even earlier; once the
// head has a newer version, its update fails. Hence the order: remove the
// entry, read the head, fence it. It reports whether the outcome is final; the
// set may turn out to be accepted.
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

// abandon withdraws the set of a publisher that ran out of attempts or time. It
// returns the release if the set turns out to be accepted, ErrPending if the
// withdrawal fails, and otherwise an error that wraps lastErr.
func (q *queuedWriter) abandon(ctx context.Context, lastErr error) (Release, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	reason := fmt.Errorf("change set not accepted after %d attempts: %w", q.p.maxAttempts(), lastErr)
	rel, done, err := q.withdraw(ctx, reason)
	if done {
		return rel, err
	}
	return Release{}, fmt.Errorf("%w: change set %s stays queued for at most %s: %w (withdrawal: %w)",
		ErrPending, q.set.ID, queueTTL, reason, err)
}
