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
type shared struct {
	done   chan struct{}
	answer runAnswer // once done is closed
	cancel context.CancelFunc
}

// keptAnswer is how long an answer is kept for a host that did not get it: a
// silent connection is noticed and opened again within that time.
const keptAnswer = 3 * time.Second

func (p *Pool) serveRun(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q runRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	if err := check(q.Stages); err != nil {
		return nil, err
	}
	work := p.share(&q)
	if work == nil {
		return peer.Marshal(runAnswer{Reason: moved})
	}
	select {
	case <-work.done:
		return peer.Marshal(work.answer)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// share returns the work for a request, which may be under way already; nil if
// this host takes none any more.
func (p *Pool) share(q *runRequest) *shared {
	key := workKey{q.ID, q.Round}
	p.mu.Lock()
	defer p.mu.Unlock()
	if work := p.running[key]; work != nil {
		return work
	}
	if p.leaving {
		return nil
	}
	die := time.Duration(q.DieMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), max(die, 0))
	work := &shared{done: make(chan struct{}), cancel: cancel}
	p.running[key] = work
	go func() {
		defer cancel()
		work.answer = p.do(ctx, q)
		work.answer.WaitMS = p.local.MeanWait().Milliseconds()
		close(work.done)
		time.AfterFunc(keptAnswer, func() {
			p.mu.Lock()
			delete(p.running, key)
			p.mu.Unlock()
		})
	}()
	return work
}

func (p *Pool) do(ctx context.Context, q *runRequest) runAnswer {
	now := p.clock.Now()
	made, err := p.local.Run(ctx, &Request{
		ID: q.ID, Round: q.Round, InputKey: q.Key, RunDomain: q.Domain, HostDomain: q.From, AllowedRegions: q.Allowed, Stages: q.Stages, Worth: q.Worth, Targets: q.Targets, Prompt: q.Prompt,
		TargetTime: now.Add(time.Duration(q.AimMS) * time.Millisecond),
		Deadline:   now.Add(time.Duration(q.DieMS) * time.Millisecond),
	})
	var failed *Error
	switch {
	case err == nil:
		return runAnswer{Inputs: made.Inputs, Target: made.TargetID, Fetch: made.FetchFrom}
	case errors.As(err, &failed):
		return runAnswer{Reason: failed.Reason, Stage: failed.Stage, ReadyMS: failed.RetryAfter.Milliseconds()}
	default: // of ctx: the time is over, or the request
		return runAnswer{Reason: batcher.TooLate}
	}
}

var errBadStages = errors.New("stages: a stage follows a later one")

func check(list []Stage) error {
	for i, s := range list {
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errBadStages
			}
		}
	}
	return nil
}
