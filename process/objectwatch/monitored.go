package objectwatch

import (
	"context"
	"fmt"
	"time"

	"bilberrydale/process/apihealth"
)

// errWatchTimeout is returned in place of sending a watch again after an outage. It wraps
// ErrHistoryGone, so that the follower lists again.
var errWatchTimeout = fmt.Errorf("%w: no response to the watch in time", ErrHistoryGone)

// Monitored returns a source that sends the requests of s by way of apihealth.Call: they wait
// while the object API is unresponsive. A list that was lost in an outage is sent again;
// after a lost watch the follower lists again.
func Monitored[T any](m *apihealth.Monitor, s Source[T]) Source[T] { return monitored[T]{m, s} }

// monitored implements Monitored.
type monitored[T any] struct {
	monitor *apihealth.Monitor
	source  Source[T]
}

// List implements Source.
func (m monitored[T]) List(ctx context.Context, after string) (Response[T], error) {
	return apihealth.Call(ctx, m.monitor, 0, func(ctx context.Context, _ bool) (Response[T], error) { return m.source.List(ctx, after) })
}

// Watch implements Source.
func (m monitored[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	return apihealth.Call(ctx, m.monitor, wait, func(ctx context.Context, recovered bool) (Response[T], error) {
		if recovered {
			// The confirmation that nothing has changed is needed soon. A store that loses
			// its history may leave watches without a response for seconds, but responds to lists.
			return Response[T]{}, errWatchTimeout
		}
		return m.source.Watch(ctx, from, wait)
	})
}
