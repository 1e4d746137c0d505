package pipeline

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/process/serverstate"
)

// recordServerOutcome records the result of an attempt in the state of its server, so
// that pickers avoid servers on which attempts fail. Cancelled attempts and responses with
// a status below 500 say nothing about the server and are not recorded. Neither is a
// broken connection: probe checks the server on a new connection and records that result.
func (x *execution) recordServerOutcome(ctx context.Context, a *attempt, start time.Time, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	now := x.Clock.Now()
	if outcome, ok := serverOutcome(err); ok {
		a.server.State.RecordOutcome(now, outcome, now.Sub(start))
	}
}

// serverOutcome returns the outcome that err implies for the health of the server, and
// false if it implies none.
func serverOutcome(err error) (serverstate.Outcome, bool) {
	var be *backend.Error
	switch {
	case err == nil:
		return serverstate.Succeeded, true
	case !errors.As(err, &be):
		return 0, false
	case be.Withheld:
		return 0, false
	case be.NotStarted || be.Paused:
		return serverstate.Overloaded, true
	case be.Delivery == backend.NotSent:
		return serverstate.Unreachable, true
	case be.Delivery == backend.Responded && be.Status >= http.StatusInternalServerError:
		return serverstate.Failed, true
	default:
		return 0, false
	}
}
