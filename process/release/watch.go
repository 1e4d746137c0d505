package release

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/process/objectapi"
)

const maxWatchBackoff = time.Second

// watchState is what is known of this host's own line to the platform.
type watchState struct {
	answered time.Time // last answer of the platform; zero: it failed since
	head     uint64    // number of the head read last
	// trip is the time of a read of the platform. Half of it is how old a
	// change is when the watch tells of it.
	trip roundTrip
}

// roundTrip is the time of a call and its answer, smoothed.
type roundTrip time.Duration

// roundTripShare is the weight of a new measurement that is above the present
// one; a lower one counts at once, because only queueing makes it higher.
const roundTripShare = 16

func (r *roundTrip) measured(d time.Duration) {
	if *r == 0 || d < time.Duration(*r) {
		*r = roundTrip(d)
		return
	}
	*r += (roundTrip(d) - *r) / roundTripShare
}

// oneWay estimates the way of one message.
func (r roundTrip) oneWay() time.Duration { return min(time.Duration(r)/2, maxOneWay) }

func (f *Follower) measured(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch.trip.measured(d)
}

// platformAnsweredAt returns when the platform last answered this host; zero:
// it does not answer.
func (f *Follower) platformAnsweredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch.answered
}

// Watch follows the head object until ctx ends. Beside the long watch it asks
// for changes every CheckEvery, because a watch can go silent for good with its
// connection, and now and then reads the whole head, because a watch that starts
// after a version which a restored platform has not reached again would miss
// every release until then.
func (f *Follower) Watch(ctx context.Context) error {
	defer f.platformLost(nil)
	g, ctx := errgroup.WithContext(ctx)
	var seen atomic.Uint64 // version of the head object read last
	g.Go(func() error { return f.watchHead(ctx, &seen) })
	g.Go(func() error { return f.checkHead(ctx, &seen) })
	return g.Wait()
}

func (f *Follower) watchHead(ctx context.Context, seen *atomic.Uint64) error {
	failures := 0
	for ctx.Err() == nil {
		objs, err := f.opts.Store.Watch(ctx, HeadKey, seen.Load(), f.opts.WatchTimeout)
		if err == nil {
			f.platformAnswered()
			err = f.takeHeads(ctx, objs, seen)
		}
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.platformLost(err)
			f.backoff(ctx, &failures)
		}
	}
	return nil
}

func (f *Follower) takeHeads(ctx context.Context, objs []objectapi.Object, seen *atomic.Uint64) error {
	for _, o := range objs {
		head, err := decodeHead(o)
		if err == nil {
			err = f.takeHead(ctx, head)
		}
		if err != nil {
			return err
		}
		seen.Store(o.Version)
	}
	return nil
}

const (
	// fullCheck is how many checks one read of the whole head is worth: it has
	// some tens of KB, an answer without a change has none.
	fullCheck = 12
	checkWait = time.Millisecond
)

// checkHead asks for changes of the head now and then, as a back-up of the
// watch, which reports the platform's failures.
func (f *Follower) checkHead(ctx context.Context, seen *atomic.Uint64) error {
	for n := 1; ; n++ {
		// Jitter keeps the hosts from reading in step after an outage.
		wait := time.Duration((0.75 + 0.5*f.opts.Rand.Float64()) * float64(f.opts.PollInterval))
		select {
		case <-ctx.Done():
			return nil
		case <-f.opts.Clock.After(wait):
		}
		if n%fullCheck == 0 {
			if version, err := f.readHead(ctx); err == nil {
				seen.Store(version)
			}
			continue
		}
		asked := f.opts.Clock.Now()
		objs, err := f.opts.Store.Watch(ctx, HeadKey, seen.Load(), checkWait)
		if err != nil {
			continue
		}
		f.platformAnswered()
		f.measured(max(0, f.opts.Clock.Now().Sub(asked)-checkWait))
		_ = f.takeHeads(ctx, objs, seen)
	}
}

// readHead reads the head once and takes the release that it names. It returns
// the version of the head object.
func (f *Follower) readHead(ctx context.Context) (uint64, error) {
	asked := f.opts.Clock.Now()
	head, obj, err := readHead(ctx, f.opts.Store)
	if err != nil {
		return 0, err
	}
	f.platformAnswered()
	f.measured(f.opts.Clock.Now().Sub(asked))
	return obj.Version, f.takeHead(ctx, head)
}

// takeHead fetches the release of head if this host lacks it.
func (f *Follower) takeHead(ctx context.Context, head Head) error {
	f.compareHead(ctx, head)
	if !f.Needs(head.Number, head.Hash, "the platform") {
		return nil
	}
	f.mu.Lock()
	received := f.opts.Clock.Now().Add(-f.watch.trip.oneWay())
	f.mu.Unlock()
	rel, ok := f.fromDelta(head.Release, head.Delta)
	if !ok {
		var err error
		if rel, err = loadParts(ctx, f.opts.Store, head); err != nil {
			return err
		}
	}
	if err := f.Offer(rel, f.opts.Clock.Now().Sub(received), "the platform"); errors.Is(err, ErrCorrupt) {
		return err
	}
	return nil // a release that does not compile is a fault of its own
}

// compareHead tells operators when the platform knows less than this host, and
// records that on the platform, where publishers see it (see Floor). A stale
// read raises a floor that the true head has reached, which does no harm.
func (f *Follower) compareHead(ctx context.Context, head Head) {
	number, hash := f.Summary()
	f.mu.Lock()
	f.watch.head = head.Number
	f.mu.Unlock()
	if head.Number >= number {
		f.clearFault(faultBehind)
	} else {
		f.setFault(faultBehind, fmt.Errorf("%w: its head is release %d, here release %d is in force", ErrPlatformBehind, head.Number, number))
	}
	if head.Number > number || number == 0 || (head.Number == number && head.Hash == hash) {
		return
	}
	err := raiseFloor(ctx, f.opts.Store, HighWaterMark{Number: number, Hash: hash, Host: f.opts.Host})
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		f.setFault(faultPlatform, err)
	}
}

func (f *Follower) platformAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch.answered = f.opts.Clock.Now()
	f.faults.clear(faultPlatform)
}

func (f *Follower) platformLost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch.answered = time.Time{}
	f.faults.set(faultPlatform, err)
}

// backoff waits a random time that grows with the failures in a row.
func (f *Follower) backoff(ctx context.Context, failures *int) {
	limit := min(firstBackoff<<min(*failures, 10), maxWatchBackoff)
	*failures++
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(time.Duration((0.2 + 0.8*f.opts.Rand.Float64()) * float64(limit))):
	}
}
