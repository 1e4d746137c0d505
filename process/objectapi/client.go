package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/clock"
)

// ClientOptions configure a Client; zero values get the defaults.
type ClientOptions struct {
	Timeout time.Duration // for one call but watches; default 2 s
	Clock   clock.Clock   // default the system's
	Rand    clock.Rand
}

const (
	defaultCallTimeout = 2 * time.Second
	// watchGrace is what a watch may take beyond its own wait: the way there and
	// back and a slow answer.
	watchGrace = 2 * time.Second
)

// Client bounds the calls to a Store in time, holds them back after a refusal
// for their rate, repeats reads that got no answer, and counts. It is a Store
// itself.
type Client struct {
	store   Store
	timeout time.Duration
	pace    pace
	counts  counts
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
	return &Client{store: store, timeout: opts.Timeout, pace: pace{clock: opts.Clock, rand: opts.Rand}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (obj Object, err error) {
	err = c.read(ctx, func(ctx context.Context) error {
		obj, err = c.store.Get(ctx, key)
		return err
	})
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (list []Object, err error) {
	err = c.read(ctx, func(ctx context.Context) error {
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
	c.counts.writes.Add(1)
	err = c.call(ctx, c.timeout, func(ctx context.Context) error {
		version, err = c.store.Put(ctx, key, value, expect)
		return err
	})
	return version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	c.counts.writes.Add(1)
	return c.call(ctx, c.timeout, func(ctx context.Context) error { return c.store.Delete(ctx, key, expect) })
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (list []Object, err error) {
	c.counts.watches.Add(1)
	err = c.call(ctx, wait+watchGrace, func(ctx context.Context) error {
		list, err = c.store.Watch(ctx, prefix, after, wait)
		return err
	})
	return list, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, err error) {
	err = c.read(ctx, func(ctx context.Context) error {
		hosts, err = c.store.Hosts(ctx)
		return err
	})
	return hosts, err
}

// read sends a read, and once more on a new connection when no answer came: a
// kept-alive connection may have gone silent for good while new ones work, and
// each call on it would time out. An answer, also a refusal, is not repeated.
func (c *Client) read(ctx context.Context, send func(context.Context) error) error {
	c.counts.reads.Add(1)
	err := c.call(ctx, c.timeout/2, send)
	if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
		return err
	}
	c.counts.reads.Add(1)
	c.counts.retried.Add(1)
	return c.call(ctx, c.timeout/2, send)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, send func(context.Context) error) error {
	if !c.pace.allowed() {
		c.counts.held.Add(1)
		return ErrRateLimited
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := send(ctx)
	c.pace.answered(err)
	c.counts.failed(err)
	return err
}
