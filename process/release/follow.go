package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/platform"
)

// Install puts a release in force on this entry host. It is called with rising
// numbers only, by one goroutine at a time. An error leaves the earlier
// release in force.
type Install func(Release) error

// Follower keeps an entry host on the newest release it has seen from any
// source. Offer may be called by the platform watch and by peers alike.
type Follower struct {
	store   platform.Store
	clock   clock.Clock
	install Install

	mu      sync.Mutex
	current Release
	refused uint64 // newest number that did not install
	lastErr error
}

const (
	watchWait  = 20 * time.Second
	retryPause = 200 * time.Millisecond
)

// NewFollower returns a follower that installs releases through install.
func NewFollower(store platform.Store, c clock.Clock, install Install) *Follower {
	return &Follower{store: store, clock: c, install: install}
}

// Current returns the release in force and whether there is one.
func (f *Follower) Current() (Release, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current.Number > 0
}

// LastError returns why the newest offered release is not in force, if so.
func (f *Follower) LastError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastErr
}

// Offer installs rel if its number is above the one in force. A stale read of
// the platform or a late peer offers a lower number: it is ignored, so that an
// accepted configuration never reverts on this host.
func (f *Follower) Offer(rel Release) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rel.Number <= f.current.Number {
		return nil
	}
	if err := rel.Verify(); err != nil {
		return err
	}
	if err := f.install(rel); err != nil {
		f.refused, f.lastErr = rel.Number, fmt.Errorf("install release %d: %w", rel.Number, err)
		return f.lastErr
	}
	f.current, f.lastErr = rel, nil
	return nil
}

// Run watches the head object until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		objs, err := f.store.Watch(ctx, HeadKey, after, watchWait)
		if err != nil {
			f.sleep(ctx)
			continue
		}
		for _, o := range objs {
			if err := f.fetch(ctx, o); err != nil && !errors.Is(err, ErrInvalid) {
				f.sleep(ctx)
				break
			}
			after = max(after, o.Version)
		}
	}
	return nil
}

func (f *Follower) fetch(ctx context.Context, obj platform.Object) error {
	var head Head
	if err := json.Unmarshal(obj.Value, &head); err != nil {
		return fmt.Errorf("decode head: %w", err)
	}
	cur, _ := f.Current()
	if head.Number <= cur.Number {
		return nil
	}
	rel, err := Load(ctx, f.store, obj)
	if err != nil {
		return err
	}
	return f.Offer(rel)
}

func (f *Follower) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(retryPause):
	}
}
