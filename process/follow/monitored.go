package follow

import (
	"context"
	"fmt"
	"time"

	"bilberrydale/process/reach"
)

// errUnheard has the follower list again.
var errWatchTimeout = fmt.Errorf("%w: the watch was not answered in time", ErrHistoryGone)

// Through returns a source that asks s as reach.Call does: its questions wait while
// the object API is silent. After a list that was lost in the silence another is asked
// for, and after a watch the follower lists again.
func Monitored[T any](r *reach.Monitor, s Source[T]) Source[T] { return monitored[T]{r, s} }

type monitored[T any] struct {
	monitor *reach.Monitor
	source  Source[T]
}

// List implements Source.
func (t monitored[T]) List(ctx context.Context, after string) (Response[T], error) {
	return reach.Call(ctx, t.monitor, 0, func(ctx context.Context, _ bool) (Response[T], error) { return t.source.List(ctx, after) })
}

// Watch implements Source.
func (t monitored[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	return reach.Call(ctx, t.monitor, wait, func(ctx context.Context, late bool) (Response[T], error) {
		if late {
			// What matters now is the proof that nothing has changed. A store that loses
			// its history may leave watches unanswered for seconds, and answers a list.
			return Response[T]{}, errWatchTimeout
		}
		return t.source.Watch(ctx, from, wait)
	})
}
