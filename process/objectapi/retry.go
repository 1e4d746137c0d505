package objectapi

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/clock"
)

// RetryingStore is a Store that retries rate-limited calls with jittered
// exponential backoff. Such a call wrote nothing, so a retry is safe. It is meant
// for the operators' commands: a procedure of several calls continues where it
// was, and does not start again and spend the budget on calls that it has already
// made. Watch and Hosts are not retried. All fields but MaxAttempts are required.
type RetryingStore struct {
	Store
	Clock clock.Clock
	Rand  clock.Rand
	// MaxAttempts bounds the attempts of each call; default 30, about half a minute
	// of backoff.
	MaxAttempts int
}

const (
	defaultMaxAttempts = 30
	minRetryWait       = 100 * time.Millisecond // upper bound of the first backoff, which doubles
	maxRetryWait       = 2 * time.Second        // upper bound of all backoffs
)

// retry calls call until it is not rate-limited, the attempts are used up or ctx
// is done, and returns its last error.
func (s RetryingStore) retry(ctx context.Context, call func() error) error {
	attempts := s.MaxAttempts
	if attempts <= 0 {
		attempts = defaultMaxAttempts
	}
	var err error
	for attempt := range attempts {
		if err = call(); !errors.Is(err, ErrRateLimited) {
			return err
		}
		limit := min(minRetryWait<<min(attempt, 8), maxRetryWait)
		select {
		case <-ctx.Done():
			return err
		case <-s.Clock.After(time.Duration((0.1 + 0.9*s.Rand.Float64()) * float64(limit))):
		}
	}
	return err
}

// Get implements Store.
func (s RetryingStore) Get(ctx context.Context, key string) (obj Object, err error) {
	err = s.retry(ctx, func() error {
		obj, err = s.Store.Get(ctx, key)
		return err
	})
	return obj, err
}

// List implements Store.
func (s RetryingStore) List(ctx context.Context, prefix string) (objs []Object, err error) {
	err = s.retry(ctx, func() error {
		objs, err = s.Store.List(ctx, prefix)
		return err
	})
	return objs, err
}

// Put implements Store.
func (s RetryingStore) Put(ctx context.Context, key string, value []byte, expect uint64) (version uint64, err error) {
	err = s.retry(ctx, func() error {
		version, err = s.Store.Put(ctx, key, value, expect)
		return err
	})
	return version, err
}

// Delete implements Store.
func (s RetryingStore) Delete(ctx context.Context, key string, expect uint64) error {
	return s.retry(ctx, func() error { return s.Store.Delete(ctx, key, expect) })
}
