package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/clock"
)

// ClientOptions configure a Client. Zero values get the defaults.
type ClientOptions struct {
	// Timeout bounds each call except watches; a read includes its retry. Default
	// 2 s.
	Timeout time.Duration
	Clock   clock.Clock // default the system's
	Rand    clock.Rand  // default the system's
}

const (
	defaultCallTimeout = 2 * time.Second
	// watchGrace is added to the wait of a watch for its timeout: network round trip
	// and a slow response.
	watchGrace = 2 * time.Second
)

// Client implements Store on top of another Store. It adds a timeout to each
// call, pauses calls after the platform rate-limited one, retries reads that got
// no response, and counts calls.
type Client struct {
	store    Store
	timeout  time.Duration // ClientOptions.Timeout
	backoff  rateBackoff
	counters counters
}

// NewClient returns a client of store.
func NewClient(store Store, opts ClientOptions) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultCallTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Rand == nil {
		opts.Rand = clock.SystemRand{}
	}
	return &Client{store: store, timeout: opts.Timeout, backoff: rateBackoff{clock: opts.Clock, rand: opts.Rand}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (obj Object, err error) {
	err = c.sendRead(ctx, func(ctx context.Context) error {
		obj, err = c.store.Get(ctx, key)
		return err
	})
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (list []Object, err error) {
	err = c.sendRead(ctx, func(ctx context.Context) error {
		list, err = c.store.List(ctx, prefix)
		return err
	})
	return list, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (version uint64, err error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: %s has %d bytes", ErrTooLarge, key, len(value))
	}
	c.counters.writes.Add(1)
	err = c.call(ctx, c.timeout, func(ctx context.Context) error {
		version, err = c.store.Put(ctx, key, value, expect)
		return err
	})
	return version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	c.counters.writes.Add(1)
	return c.call(ctx, c.timeout, func(ctx context.Context) error { return c.store.Delete(ctx, key, expect) })
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (list []Object, err error) {
	c.counters.watches.Add(1)
	err = c.call(ctx, wait+watchGrace, func(ctx context.Context) error {
		list, err = c.store.Watch(ctx, prefix, after, wait)
		return err
	})
	return list, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, err error) {
	err = c.sendRead(ctx, func(ctx context.Context) error {
		hosts, err = c.store.Hosts(ctx)
		return err
	})
	return hosts, err
}

// sendRead sends a read, and retries it once on a new connection if no response
// arrived: a keep-alive connection may have stopped delivering while new ones
// work, and each call on it would time out. After a response, also a refusal, it
// does not retry.
func (c *Client) sendRead(ctx context.Context, send func(context.Context) error) error {
	c.counters.reads.Add(1)
	err := c.call(ctx, c.timeout/2, send)
	if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
		return err
	}
	c.counters.reads.Add(1)
	c.counters.retriedReads.Add(1)
	return c.call(ctx, c.timeout/2, send)
}

// call sends one call with a timeout. While calls are paused after a rate limit it
// returns ErrRateLimited instead.
func (c *Client) call(ctx context.Context, timeout time.Duration, send func(context.Context) error) error {
	if !c.backoff.allowed() {
		c.counters.notSent.Add(1)
		return ErrRateLimited
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := send(ctx)
	c.backoff.recordResult(err)
	c.counters.recordError(err)
	return err
}
