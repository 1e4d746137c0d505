package stages

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
)

// workKey identifies the stage work of one round of a request.
type workKey struct {
	id    string
	round int
}

// remoteWork is work for another host. If its connection breaks, that host retries and waits
// for the same work instead of running it twice.
type remoteWork struct {
	done     chan struct{}      // closed when the work has ended
	response runResponse        // set before done is closed; not to be read earlier
	cancel   context.CancelFunc // cancels the work; may be called after its end
}

// responseTTL is how long a response is kept for a host that did not receive it: the host
// detects an unresponsive connection and reconnects within that time.
const responseTTL = 3 * time.Second

// serveRun handles methodRun. It responds once the work has ended; if ctx ends earlier, the work
// continues.
func (p *Pool) serveRun(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q runRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	return p.runForPeer(ctx, q.request(p.clock.Now()))
}

// serveRunFor handles methodRunFor as serveRun handles methodRun.
func (p *Pool) serveRunFor(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q accountRunRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	return p.runForPeer(ctx, q.request(p.clock.Now()))
}

// runForPeer runs the work of another host's request, or joins it if it is running already, and
// returns the encoded response.
func (p *Pool) runForPeer(ctx context.Context, r *Request) ([]byte, error) {
	if err := validateStages(r.Stages); err != nil {
		return nil, err
	}
	work := p.joinOrStart(r)
	if work == nil {
		return peer.Marshal(runResponse{Reason: reasonMoved})
	}
	select {
	case <-work.done:
		return peer.Marshal(work.response)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// joinOrStart returns the work for a request, which may already be running; nil if this host
// is shutting down and accepts no new work.
func (p *Pool) joinOrStart(r *Request) *remoteWork {
	key := workKey{r.ID, r.Round}
	p.mu.Lock()
	defer p.mu.Unlock()
	if work := p.remoteWork[key]; work != nil {
		return work
	}
	if p.leaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(r.Deadline.Sub(p.clock.Now()), 0))
	work := &remoteWork{done: make(chan struct{}), cancel: cancel}
	p.remoteWork[key] = work
	go func() {
		defer cancel()
		work.response = p.runLocally(ctx, r)
		work.response.ExpectedWaitMS = p.coordinator.ExpectedWait(r.Priority).Milliseconds()
		close(work.done)
		time.AfterFunc(responseTTL, func() {
			p.mu.Lock()
			delete(p.remoteWork, key)
			p.mu.Unlock()
		})
	}()
	return work
}

// runLocally runs the work of another host's request on this host.
func (p *Pool) runLocally(ctx context.Context, r *Request) runResponse {
	results, err := p.coordinator.Run(ctx, r)
	var failed *Error
	switch {
	case err == nil:
		return runResponse{Inputs: results.Inputs, TargetID: results.TargetID, FetchFrom: results.FetchFrom}
	case errors.As(err, &failed):
		return runResponse{Reason: failed.Reason, Stage: failed.Stage, RetryAfterMS: failed.RetryAfter.Milliseconds()}
	default: // ctx's error: the deadline has passed, or the request was cancelled
		return runResponse{Reason: batcher.TooLate}
	}
}

// MaxItems is the number of items in all stages of one request above which a host refuses it. The
// memory for the items is taken when the work starts, and no request of this size ends in time.
const MaxItems = 1 << 14

var (
	errStageOrder   = errors.New("stages: a stage follows a later one")
	errTooManyItems = errors.New("stages: a stage has less than no items, or the request too many")
)

// validateStages checks that stages depend on earlier stages only, and that their items are not more
// than MaxItems.
func validateStages(list []Stage) error {
	left := MaxItems
	for i, s := range list {
		for _, dependency := range s.DependsOn {
			if dependency < 0 || dependency >= i {
				return errStageOrder
			}
		}
		if s.Items < 0 || s.Items > left {
			return errTooManyItems
		}
		left -= s.Items
	}
	return nil
}
