package objectapi

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/clock"
)

// Patient is a Store that repeats calls which the platform refused for their
// rate, after a random wait that grows. Nothing was written by such a call, so
// repeating it is safe. It is for operators' commands: a procedure of several
// calls goes on where it was, and does not start again and spend the budget on
// the calls that it has done already.
type RetryingStore struct {
	Store
	Clock clock.Clock
	Rand  clock.Rand
	// Tries bounds the calls; default 30, about half a minute of waiting.
	MaxAttempts int
}

const (
	defaultTries = 30
	firstWait    = 100 * time.Millisecond
	longestWait  = 2 * time.Second
)

func (p RetryingStore) repeat(ctx context.Context, call func() error) error {
	tries := p.MaxAttempts
	if tries <= 0 {
		tries = defaultTries
	}
	var err error
	for try := range tries {
		if err = call(); !errors.Is(err, ErrRateLimited) {
			return err
		}
		limit := min(firstWait<<min(try, 8), longestWait)
		select {
		case <-ctx.Done():
			return err
		case <-p.Clock.After(time.Duration((0.1 + 0.9*p.Rand.Float64()) * float64(limit))):
		}
	}
	return err
}

// Get implements Store.
func (p RetryingStore) Get(ctx context.Context, key string) (obj Object, err error) {
	err = p.repeat(ctx, func() error {
		obj, err = p.Store.Get(ctx, key)
		return err
	})
	return obj, err
}

// List implements Store.
func (p RetryingStore) List(ctx context.Context, prefix string) (objs []Object, err error) {
	err = p.repeat(ctx, func() error {
		objs, err = p.Store.List(ctx, prefix)
		return err
	})
	return objs, err
}

// Put implements Store.
func (p RetryingStore) Put(ctx context.Context, key string, value []byte, expect uint64) (version uint64, err error) {
	err = p.repeat(ctx, func() error {
		version, err = p.Store.Put(ctx, key, value, expect)
		return err
	})
	return version, err
}

// Delete implements Store.
func (p RetryingStore) Delete(ctx context.Context, key string, expect uint64) error {
	return p.repeat(ctx, func() error { return p.Store.Delete(ctx, key, expect) })
}
