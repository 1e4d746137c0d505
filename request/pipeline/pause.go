package pipeline

import (
	"context"
	"slices"
	"time"

	"bilberrydale/process/errkind"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

const (
	// pauseStep is the time between two looks at a server that takes few requests at first.
	pauseStep = 25 * time.Millisecond
	// Callers that are refused return within this part of a pause, and at least minReturnSpread,
	// after its end, so that they do not return all at once.
	returnSpreadDivisor = 5
	minReturnSpread     = 50 * time.Millisecond
)

// pickServerInTime is pickServer. If all servers of the pool want no requests of this host, it waits
// until the first one does, if the stage can be of use to the caller then and mayWait is set.
func (x *execution) pickServerInTime(ctx context.Context, st *snapshot.Stage, query *pick.Attempt, isolated, mayWait bool) (*pick.Server, *errkind.Error) {
	for {
		srv, err := x.pickServer(ctx, st, query, isolated)
		if err == nil || err.Kind != errkind.NoBackend {
			return srv, err
		}
		wait, paused := x.pausedFor(st)
		if !paused {
			return nil, err
		}
		if !mayWait || wait+x.expectedDelay(st) > x.timeLeft() {
			return nil, x.refuseForPause(st, err)
		}
		select {
		case <-ctx.Done():
			return nil, x.contextError(ctx)
		case <-x.Clock.After(wait):
		}
		x.triedServers = slices.DeleteFunc(x.triedServers, func(s *serverstate.State) bool { return x.pausedServers[s] })
		query.Now, query.Exclude = x.Clock.Now(), x.triedServers
	}
}

// expectedDelay returns the mean delay of the first byte of a stage.
func (x *execution) expectedDelay(st *snapshot.Stage) time.Duration {
	return time.Duration(x.pool(st).firstByteDelay.mean.Load())
}

// pausedFor returns the time until the first server of the stage's pool wants requests of this host.
// It returns false if one does, or if the request has failed on all others.
func (x *execution) pausedFor(st *snapshot.Stage) (wait time.Duration, paused bool) {
	now := x.Clock.Now()
	for _, s := range st.Pool.Picker.Servers() {
		p := s.State.Pauses.Pause(now)
		if p != nil {
			if x.pausedServers == nil {
				x.pausedServers = map[*serverstate.State]bool{}
			}
			x.pausedServers[s.State] = true
		}
		if !s.State.Usable() || !x.pausedServers[s.State] {
			continue
		}
		until := pauseStep
		if p != nil {
			until = p.Until.Sub(now)
		}
		if !paused || until < wait {
			wait, paused = until, true
		}
	}
	return wait, paused
}

// refuseForPause sets when the caller may retry after err if no server of the pool wants requests of
// this host now.
func (x *execution) refuseForPause(st *snapshot.Stage, err *errkind.Error) *errkind.Error {
	if wait, paused := x.pausedFor(st); paused {
		err.RetryAfter = wait + time.Duration(x.Rand.Float64()*float64(wait/returnSpreadDivisor+minReturnSpread))
	}
	return err
}
