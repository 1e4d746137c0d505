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
	queueLife = 30 * time.Second
	// giveUpTime is how long a writer tries to withdraw its set at the end.
	giveUpTime = 5 * time.Second
	// groupSize bounds the change sets of one release.
	groupSize = 400
	// headWait is the longest wait for somebody else's commit, in jittered
	// steps; the first writer to stop waiting commits the whole queue.
	headWait = 40 * time.Millisecond
	// committers is how many writers are expected to prepare a commit at the
	// same time, however long the queue is.
	committers = 2
)

// entry is a queued change set as stored on the platform.
type entry struct {
	Set     ChangeSet `json:"set"`
	Since   uint64    `json:"since"` // newest release when it was queued
	Expires time.Time `json:"expires"`
}

// queued is one writer's place in the queue.
type queued struct {
	p     *Publisher
	set   ChangeSet
	since uint64
	key   string
	// version of the head read last.
	version uint64
}

// join queues set and takes part in accepting the queue until the set is
// accepted or refused. Several hundred writers then need one write each and a
// few commits together, where single updates would fail against each other.
func (p *Publisher) join(ctx context.Context, set ChangeSet, since uint64) (Release, error) {
	q := &queued{p: p, set: set, since: since, key: queuePrefix + set.ID}
	e := entry{Set: set, Since: since, Expires: p.Clock.Now().Add(queueLife)}
	err := p.putNew(ctx, q.key, e)
	if errors.Is(err, objectapi.ErrTooLarge) {
		return p.alone(ctx, set)
	}
	if err != nil {
		return q.giveUp(ctx, fmt.Errorf("queue the change set: %w", err))
	}
	var last error
	for try := range p.attempts() {
		q.wait(ctx, try)
		if ctx.Err() != nil {
			last = ctx.Err()
			break
		}
		rel, done, err := q.step(ctx, try)
		if done {
			return rel, err
		}
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			last = err
		}
	}
	return q.giveUp(ctx, last)
}

// wait ends when the head moves or a random time has passed.
func (q *queued) wait(ctx context.Context, try int) {
	limit := headWait * time.Duration(min(try+1, 8))
	wait := time.Duration((0.1 + 0.9*q.p.Rand.Float64()) * float64(limit))
	if _, err := q.p.store().Watch(ctx, HeadKey, q.version, wait); err != nil {
		_ = q.p.pause(ctx, try+1)
	}
}

// step looks whether the set was accepted and otherwise tries to commit the
// queue. The head is read before the queue: withdraw depends on that order. Rows
// are read only by the few writers that prepare a commit.
func (q *queued) step(ctx context.Context, try int) (Release, bool, error) {
	head, obj, err := readHead(ctx, q.p.store())
	if err != nil {
		return Release{}, false, err
	}
	q.version = obj.Version
	if rel, ok, err := q.included(ctx, head); ok || err != nil {
		return rel, ok, err
	}
	sets, err := q.pending(ctx, head)
	if err != nil {
		return Release{}, false, err
	}
	if q.leaveToOthers(len(sets), try) {
		return Release{}, false, objectapi.ErrConflict
	}
	b, err := q.p.complete(ctx, head, obj)
	if errors.Is(err, ErrPlatformBehind) {
		return q.withdraw(ctx, err)
	}
	if err != nil {
		return Release{}, false, err
	}
	return q.commit(ctx, b, sets)
}

func (q *queued) commit(ctx context.Context, b base, sets []ChangeSet) (Release, bool, error) {
	g := q.p.merge(b.rel, sets)
	if err := g.refused[q.set.ID]; err != nil {
		return q.withdraw(ctx, err)
	}
	rel, err := q.p.commit(ctx, b, g)
	if errors.Is(err, objectapi.ErrUnknownOutcome) {
		return Release{}, true, fmt.Errorf("%w: %w", ErrPending, err)
	}
	if err != nil {
		return Release{}, errors.Is(err, objectapi.ErrTooLarge), err
	}
	q.remove(ctx)
	return rel, true, nil
}

// leaveToOthers draws lots among the writers in the queue, so that a few of them
// prepare a commit and not all. Each further try makes the draw likelier, so
// that a queue of dead writers cannot hold a living one up.
func (q *queued) leaveToOthers(waiting, try int) bool {
	return q.p.Rand.Float64()*float64(waiting) > float64(committers*(try+1))
}

// alone accepts a set that is too large for a queue entry.
func (p *Publisher) alone(ctx context.Context, set ChangeSet) (Release, error) {
	var last error
	for try := range p.attempts() {
		if err := p.pause(ctx, try); err != nil {
			return Release{}, errors.Join(err, last)
		}
		b, err := p.readRetrying(ctx)
		if err != nil {
			return Release{}, err
		}
		g := p.merge(b.rel, []ChangeSet{set})
		if err := g.refused[set.ID]; err != nil {
			return Release{}, err
		}
		rel, err := p.commit(ctx, b, g)
		if err == nil {
			return rel, nil
		}
		if errors.Is(err, objectapi.ErrUnknownOutcome) {
			return Release{}, fmt.Errorf("%w: %w", ErrPending, err)
		}
		last = err
	}
	return Release{}, fmt.Errorf("release not accepted after %d attempts: %w", p.attempts(), last)
}

// included looks for the set in the releases since it was queued.
func (q *queued) included(ctx context.Context, head Head) (Release, bool, error) {
	done, err := q.p.setsSince(ctx, head, q.since)
	if err != nil {
		return Release{}, false, err
	}
	number, ok := done[q.set.ID]
	if !ok {
		return Release{}, false, nil
	}
	q.remove(ctx)
	rel, err := q.p.at(ctx, head, number)
	return rel, true, err
}

// setsSince returns the change sets accepted after release since, with the
// number that each was accepted in.
func (p *Publisher) setsSince(ctx context.Context, head Head, since uint64) (map[string]uint64, error) {
	done := map[string]uint64{}
	var refs []Ref
	err := walk(ctx, p.store(), head, func(r Ref) bool {
		if r.Number > since {
			refs = append(refs, r)
		}
		return r.Number > since+1
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
			done[id] = ref.Number
		}
	}
	return done, nil
}

// pending returns the queued sets in the order in which they were queued.
// Expired ones are removed. A set that was accepted already is left out: its
// writer may have died before removing it, and accepting it again would bring
// back a row that somebody has deleted since.
func (q *queued) pending(ctx context.Context, head Head) ([]ChangeSet, error) {
	objs, err := q.p.store().List(ctx, queuePrefix)
	if err != nil {
		return nil, fmt.Errorf("read queue: %w", err)
	}
	sort.Slice(objs, func(i, j int) bool { return objs[i].Version < objs[j].Version })
	entries := []entry{{Set: q.set, Since: q.since}}
	oldest := q.since
	for _, o := range objs {
		var e entry
		if err := json.Unmarshal(o.Value, &e); err != nil || q.expired(e, head) {
			_ = q.p.store().Delete(ctx, o.Key, o.Version)
			continue
		}
		if e.Set.ID != q.set.ID && len(entries) < groupSize {
			entries = append(entries, e)
			oldest = min(oldest, e.Since)
		}
	}
	done, err := q.p.setsSince(ctx, head, oldest)
	if err != nil {
		return nil, err
	}
	var sets []ChangeSet
	for _, e := range entries {
		if _, ok := done[e.Set.ID]; !ok {
			sets = append(sets, e.Set)
		}
	}
	return sets, nil
}

// expired reports whether e is to be dropped: its life is over, or so many
// releases followed that reading back whether it was accepted costs too much.
func (q *queued) expired(e entry, head Head) bool {
	return q.p.Clock.Now().After(e.Expires) || e.Since+recentRefs < head.Number
}

func (q *queued) remove(ctx context.Context) {
	obj, err := q.p.store().Get(ctx, q.key)
	if err == nil {
		_ = q.p.store().Delete(ctx, q.key, obj.Version)
	}
}

// withdraw takes the set out of the queue and makes sure that nobody accepts it
// any more before the refusal is reported. A publisher that listed the queue
// before the removal built on a head read even earlier; once the head has a
// newer version its update fails. So: remove, read, fence.
func (q *queued) withdraw(ctx context.Context, refusal error) (Release, bool, error) {
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
	if rel, ok, err := q.included(ctx, head); ok || err != nil {
		return rel, ok, err
	}
	return Release{}, true, refusal
}

// giveUp ends a writer that ran out of attempts or time.
func (q *queued) giveUp(ctx context.Context, last error) (Release, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), giveUpTime)
	defer cancel()
	refusal := fmt.Errorf("release not accepted after %d attempts: %w", q.p.attempts(), last)
	rel, done, err := q.withdraw(ctx, refusal)
	if done {
		return rel, err
	}
	return Release{}, fmt.Errorf("%w: change set %s is queued until %s at the latest: %w (%w)",
		ErrPending, q.set.ID, queueLife, refusal, err)
}
