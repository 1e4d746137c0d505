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
	return &initialList[T]{initial: first, next: then}
}

type initialList[T any] struct {
	initial, next Source[T]
	listed        atomic.Bool
}

// List implements Source.
func (b *initialList[T]) List(ctx context.Context, after string) (Response[T], error) {
	if b.listed.Load() {
		return b.next.List(ctx, after)
	}
	a, err := b.initial.List(ctx, after)
	if err == nil && a.ContinueAfter == "" {
		b.listed.Store(true)
	}
	return a, err
}

// Watch implements Source.
func (b *initialList[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	return b.next.Watch(ctx, from, wait)
}
