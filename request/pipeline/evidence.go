package pipeline

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/process/server"
)

// record tells the server's state how an attempt ended, so that pickers pass
// over servers on which attempts fail. An attempt that was cancelled, or that
// the server answered with a fault of the request, says nothing of the server.
// Nor does a connection that broke: alive asks on a fresh one and records that.
func (x *run) record(ctx context.Context, a *attempt, began time.Time, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	now := x.Clock.Now()
	if o, ok := evidence(err); ok {
		a.server.State.RecordOutcome(now, o, now.Sub(began))
	}
}

func evidence(err error) (server.Outcome, bool) {
	var be *backend.Error
	switch {
	case err == nil:
		return server.Succeeded, true
	case !errors.As(err, &be):
		return 0, false
	case be.NotStarted:
		return server.Overloaded, true
	case be.Delivery == backend.NotSent:
		return server.Unreachable, true
	case be.Delivery == backend.Responded && be.Status >= http.StatusInternalServerError:
		return server.Failed, true
	default:
		return 0, false
	}
}
