package stages

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
)

// workKey names the work of one request for another host.
type workKey struct {
	id    string
	round int
}

// shared is work for another host. That host asks again when its connection
// breaks; it then waits for the same work instead of having it done twice.
type remoteWork struct {
	done     chan struct{}
	response runResponse // once done is closed
	cancel   context.CancelFunc
}

// keptAnswer is how long an answer is kept for a host that did not get it: a
// silent connection is noticed and opened again within that time.
const responseTTL = 3 * time.Second

func (p *Pool) serveRun(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q runRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	if err := validateStages(q.Stages); err != nil {
		return nil, err
	}
	work := p.joinOrStart(&q)
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

// share returns the work for a request, which may be under way already; nil if
// this host takes none any more.
func (p *Pool) joinOrStart(q *runRequest) *remoteWork {
	key := workKey{q.ID, q.Round}
	p.mu.Lock()
	defer p.mu.Unlock()
	if work := p.remoteWork[key]; work != nil {
		return work
	}
	if p.leaving {
		return nil
	}
	die := time.Duration(q.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), max(die, 0))
	work := &remoteWork{done: make(chan struct{}), cancel: cancel}
	p.remoteWork[key] = work
	go func() {
		defer cancel()
		work.response = p.runLocally(ctx, q)
		work.response.MeanWaitMS = p.coordinator.MeanWait().Milliseconds()
		close(work.done)
		time.AfterFunc(responseTTL, func() {
			p.mu.Lock()
			delete(p.remoteWork, key)
			p.mu.Unlock()
		})
	}()
	return work
}

func (p *Pool) runLocally(ctx context.Context, q *runRequest) runResponse {
	now := p.clock.Now()
	made, err := p.coordinator.Run(ctx, &Request{
		ID: q.ID, Round: q.Round, InputKey: q.InputKey, RunDomain: q.RunDomain, HostDomain: q.HostDomain, AllowedRegions: q.AllowedRegions, Stages: q.Stages, Worth: q.Worth, Targets: q.Targets, Prompt: q.Prompt,
		TargetTime: now.Add(time.Duration(q.TargetMS) * time.Millisecond),
		Deadline:   now.Add(time.Duration(q.DeadlineMS) * time.Millisecond),
	})
	var failed *Error
	switch {
	case err == nil:
		return runResponse{Inputs: made.Inputs, TargetID: made.TargetID, FetchFrom: made.FetchFrom}
	case errors.As(err, &failed):
		return runResponse{Reason: failed.Reason, Stage: failed.Stage, RetryAfterMS: failed.RetryAfter.Milliseconds()}
	default: // of ctx: the time is over, or the request
		return runResponse{Reason: batcher.TooLate}
	}
}

var errStageOrder = errors.New("stages: a stage follows a later one")

func validateStages(list []Stage) error {
	for i, s := range list {
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errStageOrder
			}
		}
	}
	return nil
}
