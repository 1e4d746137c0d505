package gateway

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/balance"
	"bilberrydale/process/batcher"
	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/spill"
	"bilberrydale/process/stages"
	"bilberrydale/process/streamwriter"
)

// runStages runs the stages of the route and stores their results in the exchange.
func (x *exchange) runStages(ctx context.Context) error {
	if len(x.route.Stages) == 0 {
		return nil
	}
	if err := x.checkStageItems(); err != nil {
		return err
	}
	r := x.stageRequest()
	// After r.Deadline the results are of no use any more.
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, stopWatch := x.cancelBeforeShutdown(ctx)
	defer stopWatch()
	results, err := x.opts.Pool.Run(ctx, r)
	if !x.headersSent {
		x.logEntry.StageDuration = x.opts.Clock.Now().Sub(x.arrivedAt)
	}
	if err != nil && errors.Is(context.Cause(ctx), errShutdown) {
		return draining(errShutdown)
	}
	if err != nil {
		return x.stageError(err)
	}
	x.results = results
	x.inputHandles = results.Handles()
	x.preferredServer, x.kvSource = results.TargetID, results.FetchFrom
	x.inputDomain, x.inputDomainBytes = x.largestDomain(results)
	return nil
}

// errShutdown is the cancellation cause of stage work whose stream would be cut off by the
// shutdown of the process.
var errShutdown = errors.New("this host stops before the stream could end")

// cancelBeforeShutdown returns a context that is cancelled when the process is shutting down
// and the stream that follows the stages could no longer end before the shutdown deadline. A
// request that is refused now can be sent to another host; once started, its stream would be
// cut off. The returned function releases the watch.
func (x *exchange) cancelBeforeShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	streamTime := x.streamDurations.estimate(x.route.Name).upperEstimate()
	go func() {
		select {
		case <-x.opts.ShutdownStarted:
		case <-ctx.Done():
			return
		}
		select {
		case <-x.opts.Clock.After(x.opts.ShutdownDeadline().Add(-streamTime).Sub(x.opts.Clock.Now())):
			cancel(errShutdown)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// stageRequest describes the stage work of the request, with the time by which the results
// are needed to meet the target latency and the time after which they are of no use.
func (x *exchange) stageRequest() *stages.Request {
	r := &stages.Request{
		ID: x.clientRequest.AttemptID, Round: x.stageRound, InputKey: x.clientRequest.StageInputKey, RunDomain: x.predictedDomain(), HostDomain: x.opts.Domain,
		AllowedRegions: x.allowed, Worth: x.worth(), Account: x.account, Priority: x.stagePriority(), Continues: x.continues() || x.headersSent,
		Stages: make([]stages.Stage, len(x.route.Stages)),
	}
	for i, s := range x.route.Stages {
		r.Stages[i] = stages.Stage{Service: s.Service, DependsOn: s.DependsOn, ResultBytes: s.ResultBytes, Items: x.stageItems(i)}
	}
	x.setTargets(r)
	expected := x.streamDurations.estimate(x.route.Name)
	since := x.waitsSince()
	r.TargetTime = since.Add(x.route.TargetLatency - expected.toFirstEvent)
	r.Deadline = since.Add(x.abandonTime() - min(expected.toFirstEvent, x.abandonTime()/reserveDivisor))
	timeout := x.deadline.Sub(x.arrivedAt)
	if end := x.deadline.Add(-min(expected.upperEstimate(), timeout/reserveDivisor)); end.Before(r.Deadline) {
		r.Deadline = end
	}
	return r
}

// maxTargetServers is the number of servers offered for the request: two by prefix affinity
// and two by proximity.
const maxTargetServers = 4

// setTargets adds to r the servers on which the request may run after its stages, and how much
// prefill it needs there. The host that coordinates the stage work chooses one of them.
func (x *exchange) setTargets(r *stages.Request) {
	if len(x.clientRequest.PromptParts) == 0 {
		return // without prompt parts there is no shared prefix and no prefill that delays others
	}
	q := x.balanceQuery(nil)
	excluded := q.Exclude
	// By the end of the stages this host's share of a limit is another one.
	q.Exclude = func(s *directory.Server) bool {
		return s.RateLimit.Limit() != nil || s.RateLimit.Restricted(q.Now) || excluded(s)
	}
	for _, c := range balance.Rank(q, maxTargetServers) {
		r.Targets = append(r.Targets, stages.Target{ID: c.Server.ID, Domain: c.Server.Domain, Cost: c.Cost, Home: c.Home})
	}
	ownTokens := max(x.clientRequest.InputTokens-q.PrefixTokens, 0)
	r.Prompt = stages.Prompt{LongPrefix: q.AffinityKey, ShortPrefix: x.shorterPrefix(), CacheGain: q.AffinityDiscount(), SharedPrefill: q.PrefillTime(), FetchTime: x.kvTransferTime(q.PrefixTokens), OwnPrefill: time.Duration(ownTokens) * q.PrefillTimePerToken}
	if !x.writer.IsZero() {
		// Without these the host that chooses adds no server to the targets: those that have
		// the prefix may run other software than that which began the stream.
		r.Prompt.LongPrefix, r.Prompt.ShortPrefix = "", ""
	}
}

// reserveDivisor limits the time reserved for the stream to half of the time that the client
// waits. Stream durations are learned from streams that end. Streams that were in progress
// while the process was paused can raise the estimate above the whole deadline. Without this
// limit every request of the route would then be refused on arrival, and the estimate would
// never recover.
const reserveDivisor = 2

// checkStageItems refuses a request with more stage items than any host takes.
func (x *exchange) checkStageItems() error {
	left := stages.MaxItems
	for i := range x.route.Stages {
		if left -= min(x.stageItems(i), stages.MaxItems+1); left < 0 {
			return errkind.New(errkind.BadRequest, "the request has too many stage items")
		}
	}
	return nil
}

// stageItems returns the number of items of a stage: 1 if the client does not specify it.
func (x *exchange) stageItems(stage int) int {
	if stage < len(x.clientRequest.StageItems) {
		return x.clientRequest.StageItems[stage]
	}
	return 1
}

// Clients abandon a stream without a first event after the longest of these times.
const (
	minAbandonTime       = 2 * time.Second
	abandonLatencyFactor = 4 // times the target latency
	abandonGapFactor     = 8 // times the longest gap between events that is on time
)

// abandonTime returns how long the client of a stream waits for its first event.
func (x *exchange) abandonTime() time.Duration {
	return max(minAbandonTime, abandonLatencyFactor*x.route.TargetLatency, abandonGapFactor*x.route.MaxEventGap)
}

// waitsSince returns the time since which the client waits for an event.
func (x *exchange) waitsSince() time.Time {
	if x.lastEventAt.IsZero() {
		return x.arrivedAt
	}
	return x.lastEventAt
}

// predictedDomain returns the failure domain in which the request would currently run, which
// is the best place for its stage work. If stage work is queued there, a random share of the
// requests moves to other failure domains.
func (x *exchange) predictedDomain() string {
	q := x.balanceQuery(nil)
	u := x.opts.Rand.Float64()
	costs := map[string]time.Duration{} // by failure domain, which many servers share
	q.QueueingCost = func(domain string) time.Duration {
		cost, known := costs[domain]
		if !known {
			cost = spill.Cost(x.opts.Pool.ExpectedWait(domain, x.stagePriority()), u)
			costs[domain] = cost
		}
		return cost
	}
	if s := balance.Choose(q); s != nil {
		return s.Domain
	}
	return x.opts.Domain
}

// largestDomain returns the failure domain that holds most bytes of the stage results, and
// that number of bytes.
func (x *exchange) largestDomain(results stages.Results) (domain string, most int64) {
	view := x.opts.Directory.View()
	bytes := map[string]int64{} // by failure domain
	for _, in := range results.Inputs {
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

// stagePriority returns the priority of the stage work. A stream that its client takes up is more
// urgent than a new one, as what the client has of it is lost otherwise: before all others if it is
// known to have begun, here or by its records, else by one level, as each client can say so.
func (x *exchange) stagePriority() int {
	switch {
	case x.headersSent:
		return stages.PriorityBegun
	case !x.continues():
		return max(x.priority, 0)
	case x.logEntry.WriterSource == streamwriter.SourceOnlyOne:
		return max(x.priority-1, 0)
	}
	return stages.PriorityBegun
}

// priorityWeights scales the worth of a request, by its priority from 0. It does not change the order
// of requests at an owner that knows their priorities; an owner of a build that orders by worth alone
// learns of them by it.
var priorityWeights = []float64{2, 1.2, 0.7, 0.5}

// size returns the size of the request in tokens, with a generated token counting as ten prompt
// tokens; 0: the client does not say it.
func (x *exchange) size() float64 {
	return float64(x.clientRequest.InputTokens + 10*x.clientRequest.MaxOutputTokens)
}

// worth estimates the weight of one completed request relative to others: its size, scaled by
// priority.
func (x *exchange) worth() float64 {
	size := x.size()
	if x.continues() {
		size *= continuedWorthFactor
	}
	return max(size, 1) * priorityWeights[min(max(x.priority, 0), len(priorityWeights)-1)]
}

// Times after which a refused client may retry. An overloaded stage has capacity again after about
// two of its calls.
const (
	overloadedRetryAfter = 800 * time.Millisecond
	noServerRetryAfter   = time.Second
	// limitedRetryAfter is short, as each host may send a server that limits its requests
	// another one within a second.
	limitedRetryAfter = 200 * time.Millisecond
)

// stageError converts a *stages.Error into a *errkind.Error, and returns other errors
// unchanged.
func (x *exchange) stageError(err error) error {
	var stageErr *stages.Error
	if !errors.As(err, &stageErr) {
		return err
	}
	e := &errkind.Error{Kind: errkind.Overloaded, RetryAfter: x.jitter(overloadedRetryAfter), Detail: err.Error(), Cause: err}
	if stageErr.Reason == batcher.NoServer {
		e.Kind, e.RetryAfter = errkind.NoBackend, x.jitter(noServerRetryAfter)
	}
	if stageErr.RetryAfter > 0 {
		e.RetryAfter = x.retryAfterPause(stageErr.RetryAfter)
	}
	return e
}

// jitter returns a random duration between d and 2d, so that clients refused at the same
// time do not retry at the same time.
func (x *exchange) jitter(d time.Duration) time.Duration {
	return time.Duration((1 + x.opts.Rand.Float64()) * float64(d))
}
