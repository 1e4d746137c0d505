package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/process/batcher"
	"bilberrydale/process/kind"
	"bilberrydale/version/plan"
)

// runStages has the results made that the request needs, in the order in which
// stages need each other.
func (x *exchange) runStages(ctx context.Context) error {
	stages := x.route.Stages
	if len(stages) == 0 {
		return nil
	}
	run := &stageRun{x: x, done: make([]chan struct{}, len(stages)), made: make([]batcher.Made, len(stages))}
	for i := range run.done {
		run.done[i] = make(chan struct{})
	}
	g, gctx := errgroup.WithContext(ctx)
	for i := range stages {
		g.Go(func() error { return run.stage(gctx, i) })
	}
	err := g.Wait()
	x.rec.StageTook = x.opts.Clock.Now().Sub(x.start)
	last := map[int]bool{}
	for _, i := range x.route.LastStages() {
		last[i] = true
	}
	for i, m := range run.made {
		if last[i] && err == nil {
			x.made = append(x.made, m)
			x.inputs = append(x.inputs, handles(m)...)
			x.near = run.domainOf(m)
			continue
		}
		x.opts.Pool.Free(m)
	}
	return err
}

type stageRun struct {
	x    *exchange
	done []chan struct{} // closed when the stage has its results
	mu   sync.Mutex
	made []batcher.Made
}

// pieces is the number of items of a stage; a stage that the client does not
// mention has one.
func (r *stageRun) pieces(i int) int {
	if i < len(r.x.client.Pieces) {
		return r.x.client.Pieces[i]
	}
	return 1
}

func (r *stageRun) stage(ctx context.Context, i int) error {
	stage := &r.x.route.Stages[i]
	for _, a := range stage.After {
		select {
		case <-r.done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	n := r.pieces(i)
	if n == 0 {
		close(r.done[i])
		return nil
	}
	made, err := r.x.opts.Pool.Run(ctx, stage.Service, r.job(i, stage, n))
	r.mu.Lock()
	r.made[i] = made
	r.mu.Unlock()
	if err != nil {
		return err
	}
	for _, res := range made.Results {
		if res.Reason != "" {
			return r.x.stageError(i, stage, res)
		}
	}
	close(r.done[i])
	return nil
}

func (r *stageRun) job(i int, stage *plan.Stage, n int) batcher.Job {
	x := r.x
	var inputs []string
	r.mu.Lock()
	for _, a := range stage.After {
		inputs = append(inputs, handles(r.made[a])...)
	}
	r.mu.Unlock()
	items := make([]batcher.Item, n)
	for p := range items {
		items[p] = batcher.Item{RequestID: x.client.AttemptID, Stage: i, Piece: p, Inputs: inputs}
		if len(stage.After) == 0 {
			items[p].Key = x.client.PieceKey
		}
	}
	rest := x.restAfter(i)
	return batcher.Job{
		Items: items, Domain: x.opts.Domain, Worth: x.worth(), ItemBytes: stage.ResultBytes,
		AimBy: x.aim.Add(-rest), DieBy: x.deadline.Add(-rest),
	}
}

func handles(m batcher.Made) []string {
	out := make([]string, 0, len(m.Results))
	for _, r := range m.Results {
		if r.Handle != "" {
			out = append(out, r.Handle)
		}
	}
	return out
}

func (r *stageRun) domainOf(m batcher.Made) string {
	if len(m.Results) == 0 {
		return r.x.opts.Domain
	}
	if s := r.x.opts.Directory.View().Server(m.Results[0].ServerID); s != nil {
		return s.Domain
	}
	return r.x.opts.Domain
}

// restAfter is the time that the request needs after a stage: the longest chain
// of stages behind it, with calls that are fuller than half, and the first
// event of the engine.
func (x *exchange) restAfter(i int) time.Duration {
	var chain func(int) time.Duration
	chain = func(i int) time.Duration {
		var longest time.Duration
		for j := i + 1; j < len(x.route.Stages); j++ {
			for _, a := range x.route.Stages[j].After {
				if a == i {
					longest = max(longest, x.stageTime(j)+chain(j))
				}
			}
		}
		return longest
	}
	return chain(i) + x.firsts.expect(x.route.Name)
}

// stageWait is the usual wait for a call of a stage.
const stageWait = 60 * time.Millisecond

func (x *exchange) stageTime(i int) time.Duration {
	s := x.plan.Service(x.route.Stages[i].Service)
	if s == nil || s.Batch == nil || i < len(x.client.Pieces) && x.client.Pieces[i] == 0 {
		return 0
	}
	return s.Batch.CallTime + time.Duration(s.Batch.MaxItems/2)*s.Batch.ItemTime + stageWait
}

// urgency weighs requests by priority: an urgent one counts for more than its
// size alone, one of the last rank for less.
var urgency = []float64{2, 1.2, 0.7, 0.5}

// worth estimates what a request is worth relative to others. A generation is
// worth its size, in which a generated token counts as ten that are read.
func (x *exchange) worth() float64 {
	size := float64(x.client.InputTokens + 10*x.client.MaxOutput)
	return max(size, 1) * urgency[min(max(x.priority, 0), len(urgency)-1)]
}

// Waits after which a client may come back. A stage that is too full now is
// worth another try after about two calls of it.
const (
	overloadedRetry = 800 * time.Millisecond
	noServerRetry   = time.Second
)

func (x *exchange) stageError(i int, stage *plan.Stage, r batcher.Result) error {
	e := &kind.Error{Kind: kind.Overloaded, RetryAfter: x.spread(overloadedRetry)}
	if r.Reason == batcher.NoServer {
		e.Kind, e.RetryAfter = kind.NoBackend, x.spread(noServerRetry)
	}
	if r.Ready > 0 {
		e.RetryAfter = x.spread(r.Ready)
	}
	e.Detail = fmt.Sprintf("stage %d (%s): %s", i, stage.Service, r.Reason)
	return e
}

// spread parts the clients that are refused together, so that they do not come
// back together.
func (x *exchange) spread(d time.Duration) time.Duration {
	return time.Duration((1 + x.opts.Rand.Float64()) * float64(d))
}
