package gateway

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/batcher"
	"bilberrydale/process/kind"
	"bilberrydale/process/stages"
)

// runStages has the results made that the request needs.
func (x *exchange) runStages(ctx context.Context) error {
	if len(x.route.Stages) == 0 {
		return nil
	}
	r := x.stageRequest()
	// Nobody may wait longer than the work can be of use.
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, leave := x.untilStop(ctx)
	defer leave()
	made, err := x.opts.Pool.Run(ctx, r)
	x.rec.StageDuration = x.opts.Clock.Now().Sub(x.start)
	if err != nil && errors.Is(context.Cause(ctx), errStops) {
		return &kind.Error{Kind: kind.Draining, Detail: errStops.Error(), RetryAfter: drainingRetry, Cause: err}
	}
	if err != nil {
		return x.stageError(err)
	}
	x.made = made
	x.inputs = made.Handles()
	x.target, x.fetch = made.TargetID, made.FetchFrom
	x.near, x.nearBytes = x.domainOf(made)
	return nil
}

var errStops = errors.New("this host stops before the stream could end")

// untilStop ends ctx when the process has been told to stop and the stream that
// follows could no longer end before it does: refused now, the request can go to
// another host; begun, it would be cut.
func (x *exchange) untilStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	takes := x.times.expect(x.route.Name).total()
	go func() {
		select {
		case <-x.opts.ShutdownStarted:
		case <-ctx.Done():
			return
		}
		select {
		case <-x.opts.Clock.After(x.opts.ShutdownDeadline().Add(-takes).Sub(x.opts.Clock.Now())):
			cancel(errStops)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

func (x *exchange) stageRequest() *stages.Request {
	r := &stages.Request{
		ID: x.client.AttemptID, Round: x.round, InputKey: x.client.StageInputKey, RunDomain: x.likelyDomain(), HostDomain: x.opts.Domain,
		AllowedRegions: x.allowed, Worth: x.worth(),
		Stages: make([]stages.Stage, len(x.route.Stages)),
	}
	for i, s := range x.route.Stages {
		r.Stages[i] = stages.Stage{Service: s.Service, DependsOn: s.DependsOn, ResultBytes: s.ResultBytes, Items: x.items(i)}
	}
	x.setTargets(r)
	takes := x.times.expect(x.route.Name)
	r.TargetTime = x.aim.Add(-takes.first)
	r.Deadline = x.start.Add(x.patience() - min(takes.first, x.patience()/reserveDivisor))
	wait := x.deadline.Sub(x.start)
	if end := x.deadline.Add(-min(takes.total(), wait/reserveDivisor)); end.Before(r.Deadline) {
		r.Deadline = end
	}
	return r
}

// maxTargets is the number of servers to choose from: two for the shared part and two
// near ones.
const maxTargets = 4

// setTargets names the servers on which the request may run, for the host that does
// its stage work to choose from.
func (x *exchange) setTargets(r *stages.Request) {
	if len(x.client.PromptParts) == 0 {
		return // nothing is read that others would wait for
	}
	q := x.query(nil)
	for _, c := range balance.Rank(q, maxTargets) {
		r.Targets = append(r.Targets, stages.Target{ID: c.Server.ID, Domain: c.Server.Domain, Cost: c.Cost, Home: c.Home})
	}
	own := max(x.client.InputTokens-q.PrefixTokens, 0)
	r.Prompt = stages.Prompt{LongPrefix: q.AffinityKey, ShortPrefix: x.prefix(), CacheGain: q.AffinityDiscount(), SharedPrefill: q.PrefillTime(), FetchTime: x.fetchTime(q.PrefixTokens), OwnPrefill: time.Duration(own) * q.PrefillTimePerToken}
}

// reserveDivisor: at most half of a client's time is kept for the stream. What streams
// take is learned from those that end. Streams over a pause of the process may teach more
// than the whole deadline: without this bound every request of the route would be refused
// on arrival, and nothing new would be learned.
const reserveDivisor = 2

// items is the number of items of a stage; a stage that the client does not
// mention has one.
func (x *exchange) items(stage int) int {
	if stage < len(x.client.StageItems) {
		return x.client.StageItems[stage]
	}
	return 1
}

// Clients leave a stream that has not begun after the longest of these.
const (
	leastPatience   = 2 * time.Second
	patienceLatency = 4 // times the target latency
	patienceGap     = 8 // times the longest pause between events
)

// patience is how long the client of a stream waits for its first event.
func (x *exchange) patience() time.Duration {
	return max(leastPatience, patienceLatency*x.route.TargetLatency, patienceGap*x.route.MaxEventGap)
}

// likelyDomain is where the request will run if nothing changes: its inputs are
// best made there. Where stage work waits, a part of the requests goes elsewhere.
func (x *exchange) likelyDomain() string {
	q := x.query(nil)
	part := 2 * x.opts.Rand.Float64()
	costs := map[string]time.Duration{} // of the few domains, for many servers
	q.QueueingCost = func(domain string) time.Duration {
		cost, known := costs[domain]
		if !known {
			cost = time.Duration(part * float64(min(x.opts.Pool.ExpectedWait(domain), maxBusyWait)) / busyDivisor)
			costs[domain] = cost
		}
		return cost
	}
	if s := balance.Choose(q); s != nil {
		return s.Domain
	}
	return x.opts.Domain
}

const (
	// maxBusyWait: a longer wait tells no more; all requests that can go
	// elsewhere do.
	maxBusyWait = 400 * time.Millisecond
	// busyDivisor makes a wait a cost: at the longest wait four of five requests
	// whose server is free to choose go to another region, 40 ms away there and
	// back, at a quarter of it one of five. All at once would only move the wait.
	busyDivisor = 4
)

// domainOf is the failure domain that holds most of the results, and how much.
func (x *exchange) domainOf(m stages.Results) (domain string, most int64) {
	view := x.opts.Directory.View()
	bytes := map[string]int64{}
	for _, in := range m.Inputs {
		s := view.Server(in.ServerID)
		if s == nil {
			continue
		}
		bytes[s.Domain] += in.Bytes
		if bytes[s.Domain] > most {
			domain, most = s.Domain, bytes[s.Domain]
		}
	}
	return domain, most
}

// urgency weighs requests by priority: an urgent one counts for more than its
// size alone, one of the last rank for less.
var urgency = []float64{2, 1.2, 0.7, 0.5}

// worth estimates what a request is worth relative to others. A generation is
// worth its size, in which a generated token counts as ten that are read.
func (x *exchange) worth() float64 {
	size := float64(x.client.InputTokens + 10*x.client.MaxOutputTokens)
	return max(size, 1) * urgency[min(max(x.priority, 0), len(urgency)-1)]
}

// Waits after which a client may come back. A stage that is too full now is
// worth another try after about two calls of it.
const (
	overloadedRetry = 800 * time.Millisecond
	noServerRetry   = time.Second
	// coldRetry: each host may send a cold server another request within a second.
	coldRetry = 200 * time.Millisecond
)

func (x *exchange) stageError(err error) error {
	var failed *stages.Error
	if !errors.As(err, &failed) {
		return err
	}
	e := &kind.Error{Kind: kind.Overloaded, RetryAfter: x.spread(overloadedRetry), Detail: err.Error(), Cause: err}
	if failed.Reason == batcher.NoServer {
		e.Kind, e.RetryAfter = kind.NoBackend, x.spread(noServerRetry)
	}
	if failed.RetryAfter > 0 {
		e.RetryAfter = x.spread(failed.RetryAfter)
	}
	return e
}

// spread parts the clients that are refused together, so that they do not come
// back together.
func (x *exchange) spread(d time.Duration) time.Duration {
	return time.Duration((1 + x.opts.Rand.Float64()) * float64(d))
}
