// Package pipeline executes the stages of a request's route in order, with retries,
// hedged attempts and stream resumption where a stage allows them. The state of an
// execution belongs to one request: the snapshot it started with, its attempts and its
// remaining time.
package pipeline

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/singleflight"

	"bilberrydale/connection/backend"
	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/snapshot"
)

// Runner executes requests. A process creates one; it is safe for concurrent use and
// must not be copied. All exported fields but Isolator, Limits and Counters have to be set.
type Runner struct {
	Backend     backend.Client
	Admission   admission.Admitter
	Quarantine  quarantine.Guard
	Isolator    quarantine.Isolator // nil: requests suspected of crashing servers are not isolated
	Limits      Limits              // limits that servers name; nil: they are not kept to
	Reach       Reach               // nil: this host is never cut off from servers
	Clock       clock.Clock
	Rand        clock.Rand
	Tracer      trace.Tracer
	Host        string // name of this entry host, sent to backend servers
	Incarnation uint64 // of this entry host, sent to backend servers
	Options     Options
	Counters    Counters

	pools  poolStates
	probes singleflight.Group // probes in progress, by server address
}

// Limits keeps to the limits that servers name. It is implemented by serverlimit.Limiter.
type Limits interface {
	// Allow reports whether a request may be sent to a server now. If so, it is counted.
	Allow(serverlimit.Server, *serverlimit.State) bool
	// Borrow asks the other hosts for a part of their shares of a server's limit, for a moment at
	// most. It returns whether this host may send a request now.
	Borrow(context.Context, serverlimit.Server, *serverlimit.State) bool
}

// Reach tells whether this host is cut off from all servers. It is implemented by reach.Tracker.
type Reach interface {
	// Check returns true if no server of a sample accepts a connection of this host.
	Check(ctx context.Context) bool
}

// Request is an admitted request.
type Request struct {
	ID          string // unique across all hosts and incarnations
	Account     string // client account; may be empty
	Key         string // idempotency key; may be empty
	Method      string // of the caller's request
	URI         string // path and query of the caller's request
	ContentType string // of Body
	Body        []byte
	Snapshot    *snapshot.Snapshot  // under which the request runs
	Route       *snapshot.Route     // of Snapshot
	Admitted    *admission.Request  // holds the deadline; updated while the request runs
	Subjects    quarantine.Subjects // to which crashes during the request are attributed
	// Sink receives the chunks of a streamed last stage. If it is nil, the response is
	// only collected in Result.Body.
	Sink func(backend.Chunk) error
	// CollectBody also collects the response in Result.Body when Sink is set, so that
	// it can be replayed to a resend.
	CollectBody bool
}

// Result is a complete response or, together with an error, describes what may have run.
type Result struct {
	ContentType string
	Body        []byte // empty if it was streamed to Sink and CollectBody is not set
	// NonRepeatableMayHaveRun is set if a stage that is not repeatable may have run.
	NonRepeatableMayHaveRun bool
	// Late, if set, receives the result of a non-repeatable stage that was still
	// running when Run returned an error.
	Late <-chan LateResult
}

// LateResult is the result of a stage that ended after Run returned.
type LateResult struct {
	Complete    bool   // Body is the complete response of the request
	ContentType string // of Body
	Body        []byte
	NotStarted  bool // the stage is known not to have run
}

// execution is the state of one request.
type execution struct {
	*Runner
	req                     *Request
	attempts                int                  // made so far, over all stages and resumptions
	dispatched              bool                 // a byte may have reached a backend server
	nonRepeatableMayHaveRun bool                 // see Result
	late                    <-chan LateResult    // see Result
	triedServers            []*serverstate.State // by the current stage, except those that may be picked again
	// pausedServers have wanted no requests of this host since the stage began.
	pausedServers map[*serverstate.State]bool
	// contentType is the media type of the current stage's input.
	contentType string
}

// output is the result of a stage: the input of the next one, or the response to the
// caller.
type output struct {
	contentType string
	body        []byte
}

// streamedContentType is the media type of a streamed response after collection.
const streamedContentType = "text/plain; charset=utf-8"

// nextInput returns the body of o as input of the next stage and records its media type.
func (x *execution) nextInput(o output) []byte {
	x.contentType = o.contentType
	return o.body
}

// Run executes the stages in order and returns the complete response, or the error to
// send to the caller. It ends at the request's deadline. The result is never nil.
func (r *Runner) Run(ctx context.Context, req *Request) (*Result, *errkind.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.Admitted.Deadline)
	defer cancel()
	x := &execution{Runner: r, req: req, contentType: req.ContentType}
	body := req.Body
	for i := range req.Route.Stages {
		out, err := x.runStage(ctx, &req.Route.Stages[i], body)
		if err != nil {
			err.Dispatched = err.Dispatched || x.dispatched
			return &Result{NonRepeatableMayHaveRun: x.nonRepeatableMayHaveRun, Late: x.late}, err
		}
		body = out
	}
	if r.Isolator != nil {
		r.Isolator.ClearSuspicion(req.Subjects)
	}
	return &Result{ContentType: x.contentType, Body: body, NonRepeatableMayHaveRun: x.nonRepeatableMayHaveRun}, nil
}

// runStage executes one stage, retries included, and reports its duration to admission.
func (x *execution) runStage(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *errkind.Error) {
	start := x.Clock.Now()
	x.Admission.StageStart(start, x.req.Admitted, st.Index)
	x.triedServers, x.pausedServers = nil, nil
	x.pool(st).retryBudget.RecordFirstAttempt()
	x.req.Admitted.StreamDuration = 0
	var out []byte
	var err *errkind.Error
	switch {
	case st.Stream:
		out, err = x.runStreamed(ctx, st, in)
	case st.Repeatable:
		out, err = x.runRepeatable(ctx, st, in)
	default:
		out, err = x.runOnce(ctx, st, in)
	}
	now := x.Clock.Now()
	x.Admission.StageDone(now, x.req.Admitted, st.Index, now.Sub(start), err == nil)
	return out, err
}

// isLastStage reports whether the output of st is the response to the caller.
func (x *execution) isLastStage(st *snapshot.Stage) bool {
	return st.Index == len(x.req.Route.Stages)-1
}

// timeLeft returns the time until the request's deadline.
func (x *execution) timeLeft() time.Duration { return x.req.Admitted.Deadline.Sub(x.Clock.Now()) }

// contextError returns the error for a request whose deadline has passed or whose caller
// has disconnected, and nil otherwise.
func (x *execution) contextError(ctx context.Context) *errkind.Error {
	switch err := ctx.Err(); {
	case err == nil && x.timeLeft() > 0:
		return nil
	case err == nil:
		// After a pause of the process, this code may run before the context's timer
		// fires. It must not start work that the caller has already timed out.
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed")
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed")
	case errors.Is(context.Cause(ctx), drain.ErrDeadline):
		return errkind.New(errkind.Draining, "%w", drain.ErrDeadline)
	default:
		return errkind.New(errkind.Cancelled, "the caller went away")
	}
}
