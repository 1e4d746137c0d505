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
type platformState struct {
	lastResponse time.Time // last answer of the platform; zero: it failed since
	headNumber   uint64    // number of the head read last
	// trip is the time of a read of the platform. Half of it is how old a
	// change is when the watch tells of it.
	roundTrip roundTrip
}

// roundTrip is the time of a call and its answer, smoothed.
type roundTrip time.Duration

// roundTripShare is the weight of a new measurement that is above the present
// one; a lower one counts at once, because only queueing makes it higher.
const roundTripSmoothing = 16

func (r *roundTrip) update(d time.Duration) {
	if *r == 0 || d < time.Duration(*r) {
		*r = roundTrip(d)
		return
	}
	*r += (roundTrip(d) - *r) / roundTripSmoothing
}

// oneWay estimates the way of one message.
func (r roundTrip) oneWay() time.Duration { return min(time.Duration(r)/2, maxOneWayDelay) }

func (f *Follower) recordRoundTrip(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.roundTrip.update(d)
}

// platformAnsweredAt returns when the platform last answered this host; zero:
// it does not answer.
func (f *Follower) platformLastResponse() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform.lastResponse
}

// Watch follows the head object until ctx ends. Beside the long watch it asks
// for changes every CheckEvery, because a watch can go silent for good with its
// connection, and now and then reads the whole head, because a watch that starts
// after a version which a restored platform has not reached again would miss
// every release until then.
func (f *Follower) Watch(ctx context.Context) error {
	defer f.platformFailed(nil)
	g, ctx := errgroup.WithContext(ctx)
	var lastVersion atomic.Uint64 // version of the head object read last
	g.Go(func() error { return f.watchHead(ctx, &lastVersion) })
	g.Go(func() error { return f.pollHead(ctx, &lastVersion) })
	return g.Wait()
}

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

func (f *Follower) handleHeads(ctx context.Context, objs []objectapi.Object, lastVersion *atomic.Uint64) error {
	for _, o := range objs {
		head, err := decodeHead(o)
		if err == nil {
			err = f.handleHead(ctx, head)
		}
		if err != nil {
			return err
		}
		lastVersion.Store(o.Version)
	}
	return nil
}

const (
	// fullCheck is how many checks one read of the whole head is worth: it has
	// some tens of KB, an answer without a change has none.
	pollsPerFullRead = 12
	pollWait         = time.Millisecond
)

// checkHead asks for changes of the head now and then, as a back-up of the
// watch, which reports the platform's failures.
func (f *Follower) pollHead(ctx context.Context, lastVersion *atomic.Uint64) error {
	for poll := 1; ; poll++ {
		// Jitter keeps the hosts from reading in step after an outage.
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

// readHead reads the head once and takes the release that it names. It returns
// the version of the head object.
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

// takeHead fetches the release of head if this host lacks it.
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
	return nil // a release that does not compile is a fault of its own
}

// compareHead tells operators when the platform knows less than this host, and
// records that on the platform, where publishers see it (see Floor). A stale
// read raises a floor that the true head has reached, which does no harm.
func (f *Follower) checkPlatformBehind(ctx context.Context, head Head) {
	number, hash := f.Summary()
	f.mu.Lock()
	f.platform.headNumber = head.Number
	f.mu.Unlock()
	if head.Number >= number {
		f.clearFault(faultPlatformBehind)
	} else {
		f.setFault(faultPlatformBehind, fmt.Errorf("%w: its head is release %d, here release %d is in force", ErrPlatformBehind, head.Number, number))
	}
	if head.Number > number || number == 0 || (head.Number == number && head.Hash == hash) {
		return
	}
	err := raiseHighWaterMark(ctx, f.opts.Store, HighWaterMark{Number: number, Hash: hash, Host: f.opts.Host})
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		f.setFault(faultPlatformUnreachable, err)
	}
}

func (f *Follower) platformResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.lastResponse = f.opts.Clock.Now()
	f.faults.clear(faultPlatformUnreachable)
}

func (f *Follower) platformFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.lastResponse = time.Time{}
	f.faults.set(faultPlatformUnreachable, err)
}

// backoff waits a random time that grows with the failures in a row.
func (f *Follower) backoff(ctx context.Context, failures *int) {
	limit := min(initialBackoff<<min(*failures, 10), maxWatchBackoff)
	*failures++
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(time.Duration((0.2 + 0.8*f.opts.Rand.Float64()) * float64(limit))):
	}
}
