package objectwatch

import (
	"context"
	"sync/atomic"
	"time"
)

// WithInitialList returns a source that takes its first list from initial and everything
// else from next. A process that has just started may use a list that is cheaper and some
// seconds old, because it watches for changes from there.
func WithInitialList[T any](initial, next Source[T]) Source[T] {
	return &initialList[T]{initial: initial, next: next}
}

// initialList implements WithInitialList. Only a complete list counts as the first one.
type initialList[T any] struct {
	initial, next Source[T]
	listed        atomic.Bool // initial has returned the last page of a list
}

// List implements Source.
func (s *initialList[T]) List(ctx context.Context, after string) (Response[T], error) {
	if s.listed.Load() {
		return s.next.List(ctx, after)
	}
	resp, err := s.initial.List(ctx, after)
	if err == nil && resp.ContinueAfter == "" {
		s.listed.Store(true)
	}
	return resp, err
}

// Watch implements Source.
func (s *initialList[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	return s.next.Watch(ctx, from, wait)
}
