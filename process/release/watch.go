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

// maxWatchBackoff bounds the delay between failed watch or fetch attempts.
const maxWatchBackoff = time.Second

// platformState is the state of this host's own connection to the platform.
type platformState struct {
	lastResponse time.Time // last response; zero: the last watch failed or ended
	headNumber   uint64    // release number of the head read last
	// roundTrip is the smoothed round-trip time of a read. Half of it is the
	// estimated age of a change when the watch reports it.
	roundTrip roundTrip
}

// roundTrip is a smoothed round-trip time of calls.
type roundTrip time.Duration

// roundTripSmoothing is the inverse weight of a sample above the current
// estimate. A lower sample replaces the estimate at once, because only queueing
// makes a sample higher.
const roundTripSmoothing = 16

// update adds a sample to the estimate.
func (r *roundTrip) update(d time.Duration) {
	if *r == 0 || d < time.Duration(*r) {
		*r = roundTrip(d)
		return
	}
	*r += (roundTrip(d) - *r) / roundTripSmoothing
}

// oneWay estimates the one-way delay of a message as half the round trip, at
// most maxOneWayDelay.
func (r roundTrip) oneWay() time.Duration { return min(time.Duration(r)/2, maxOneWayDelay) }

// recordRoundTrip adds d as a sample of the round-trip time to the platform.
func (f *Follower) recordRoundTrip(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.roundTrip.update(d)
}

// platformLastResponse returns when the platform last responded to this host; zero
// if the last watch failed or none runs.
func (f *Follower) platformLastResponse() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform.lastResponse
}

// Watch follows the head object, which names the newest accepted release, until
// ctx ends, and then returns nil. In addition to the long watch it polls for
// changes every PollInterval, because a watch can hang forever with its
// connection. Every pollsPerFullRead polls it reads the whole head: a platform
// that was restored has lower versions, and a watch from the last version seen
// would miss every release until the versions reach it again.
func (f *Follower) Watch(ctx context.Context) error {
	defer f.platformFailed(nil)
	g, ctx := errgroup.WithContext(ctx)
	var lastVersion atomic.Uint64 // version of the head object read last
	g.Go(func() error { return f.watchHead(ctx, &lastVersion) })
	g.Go(func() error { return f.pollHead(ctx, &lastVersion) })
	return g.Wait()
}

// watchHead watches the head object for versions above lastVersion, which
// pollHead sets too, and handles them. It backs off after failures and returns
// nil when ctx ends.
func (f *Follower) watchHead(ctx context.Context, lastVersion *atomic.Uint64) error {
	failures := 0
	for ctx.Err() == nil {
		objs, err := f.opts.Store.Watch(ctx, HeadKey, lastVersion.Load(), f.opts.WatchTimeout)
		if err == nil {
			f.platformResponded()
			err = f.handleHeads(ctx, objs, lastVersion)
		}
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.platformFailed(err)
			f.backoff(ctx, &failures)
		}
	}
	return nil
}

// handleHeads handles versions of the head object in order and advances
// lastVersion after each. It stops at the first error. Objects whose keys only
// begin as that of the head are passed over.
func (f *Follower) handleHeads(ctx context.Context, objs []objectapi.Object, lastVersion *atomic.Uint64) error {
	for _, o := range objs {
		if o.Key == HeadKey {
			head, err := decodeHead(o)
			if err == nil {
				err = f.handleHead(ctx, head)
			}
			if err != nil {
				return err
			}
		}
		lastVersion.Store(o.Version)
	}
	return nil
}

const (
	// pollsPerFullRead is the number of polls per read of the whole head, which
	// has some tens of KB; a poll without a change transfers none.
	pollsPerFullRead = 12
	// pollWait is how long a poll waits on the platform for a change.
	pollWait = time.Millisecond
)

// pollHead polls the head at intervals as a backup of the watch. It ignores
// failures, which the watch reports, and returns nil when ctx ends.
func (f *Follower) pollHead(ctx context.Context, lastVersion *atomic.Uint64) error {
	for poll := 1; ; poll++ {
		// Jitter prevents the hosts from polling in lockstep after an outage.
		wait := time.Duration((0.75 + 0.5*f.opts.Rand.Float64()) * float64(f.opts.PollInterval))
		select {
		case <-ctx.Done():
			return nil
		case <-f.opts.Clock.After(wait):
		}
		if poll%pollsPerFullRead == 0 {
			if version, err := f.readHead(ctx); err == nil {
				lastVersion.Store(version)
			}
			continue
		}
		start := f.opts.Clock.Now()
		objs, err := f.opts.Store.Watch(ctx, HeadKey, lastVersion.Load(), pollWait)
		if err != nil {
			continue
		}
		f.platformResponded()
		f.recordRoundTrip(max(0, f.opts.Clock.Now().Sub(start)-pollWait))
		_ = f.handleHeads(ctx, objs, lastVersion)
	}
}

// readHead reads the head once, handles it and returns the version of the head
// object.
func (f *Follower) readHead(ctx context.Context) (uint64, error) {
	start := f.opts.Clock.Now()
	head, obj, err := readHead(ctx, f.opts.Store)
	if err != nil {
		return 0, err
	}
	f.platformResponded()
	f.recordRoundTrip(f.opts.Clock.Now().Sub(start))
	return obj.Version, f.handleHead(ctx, head)
}

// handleHead fetches and offers the release of head if this host needs it. It
// returns an error only if the release could not be read or is corrupt, so that
// it is read again.
func (f *Follower) handleHead(ctx context.Context, head Head) error {
	f.checkPlatformBehind(ctx, head)
	if !f.Needs(head.Number, head.Hash, "the platform") {
		return nil
	}
	f.mu.Lock()
	changedAt := f.opts.Clock.Now().Add(-f.platform.roundTrip.oneWay())
	f.mu.Unlock()
	rel, ok := f.applyHeadDelta(head.Release, head.Delta)
	if !ok {
		var err error
		if rel, err = loadRows(ctx, f.opts.Store, head); err != nil {
			return err
		}
	}
	if err := f.Offer(rel, f.opts.Clock.Now().Sub(changedAt), "the platform"); errors.Is(err, ErrCorrupt) {
		return err
	}
	return nil // Offer has recorded a compile error as a fault
}

// checkPlatformBehind records a fault if the platform has an earlier release
// than this host, and raises the high-water mark if it has an earlier or a
// different one, so that publishers detect it. A stale read can raise the mark
// to a release that the actual head has already reached; that has no effect.
func (f *Follower) checkPlatformBehind(ctx context.Context, head Head) {
	number, hash := f.Summary()
	f.mu.Lock()
	f.platform.headNumber = head.Number
	f.mu.Unlock()
	if head.Number >= number {
		f.clearFault(faultPlatformBehind)
	} else {
		f.setFault(faultPlatformBehind, fmt.Errorf("%w: its head is release %d, this host has release %d", ErrPlatformBehind, head.Number, number))
	}
	if head.Number > number || number == 0 || (head.Number == number && head.Hash == hash) {
		return
	}
	err := raiseHighWaterMark(ctx, f.opts.Store, HighWaterMark{Number: number, Hash: hash, Host: f.opts.Host})
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		f.setFault(faultPlatformUnreachable, err)
	}
}

// platformResponded records a response of the platform.
func (f *Follower) platformResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.lastResponse = f.opts.Clock.Now()
	f.faults.clear(faultPlatformUnreachable)
}

// platformFailed records that the watch failed with err, or ended if err is
// nil.
func (f *Follower) platformFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.lastResponse = time.Time{}
	f.faults.set(faultPlatformUnreachable, err)
}

// backoff waits for a random delay, whose bound doubles with each consecutive
// failure from initialBackoff up to maxWatchBackoff, or until ctx ends, and
// increments failures.
func (f *Follower) backoff(ctx context.Context, failures *int) {
	limit := min(initialBackoff<<min(*failures, 10), maxWatchBackoff)
	*failures++
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(time.Duration((0.2 + 0.8*f.opts.Rand.Float64()) * float64(limit))):
	}
}
