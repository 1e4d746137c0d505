package gateway

import "time"

const (
	// maxStartWait is the time after the start of the process in which requests wait until the host
	// can serve them. Where all hosts start at once, the platform's lists take half of it.
	maxStartWait = 800 * time.Millisecond
	// maxStartWaiters bounds the requests that wait, and so their memory.
	maxStartWaiters = 256
	// startWaitDivisor is the part of a client's timeout that its request may wait: the client may
	// have to be refused in time to try another host.
	startWaitDivisor = 3
)

// awaitStart waits while the host has started only just now and does not know the configuration and
// the backend servers yet. A refusal would cost the client a pause that is longer than the wait, and
// one of its few retries.
func (x *exchange) awaitStart() {
	select {
	case <-x.opts.Started:
		return
	default:
	}
	wait := x.startedAt.Add(maxStartWait).Sub(x.arrivedAt)
	if d := x.clientRequest.Timeout; d > 0 {
		wait = min(wait, d/startWaitDivisor)
	}
	if wait <= 0 {
		return
	}
	defer x.startWaiters.Add(-1)
	if x.startWaiters.Add(1) > maxStartWaiters {
		return
	}
	select {
	case <-x.opts.Started:
	case <-x.opts.Clock.After(wait):
	case <-x.opts.ShutdownStarted:
	case <-x.r.Context().Done():
	}
}
