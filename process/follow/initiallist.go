package follow

import (
	"context"
	"sync/atomic"
	"time"
)

// Begin returns a source that takes its first list from one source and all else from
// another. A process that has just begun can do with a list that is cheap and some
// seconds old, as it watches for changes from there.
func WithInitialList[T any](first, then Source[T]) Source[T] {
	return &begin[T]{first: first, then: then}
}

type begin[T any] struct {
	first, then Source[T]
	begun       atomic.Bool
}

// List implements Source.
func (b *begin[T]) List(ctx context.Context, after string) (Response[T], error) {
	if b.begun.Load() {
		return b.then.List(ctx, after)
	}
	a, err := b.first.List(ctx, after)
	if err == nil && a.ContinueAfter == "" {
		b.begun.Store(true)
	}
	return a, err
}

// Watch implements Source.
func (b *begin[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	return b.then.Watch(ctx, from, wait)
}
