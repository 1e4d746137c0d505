// Package pipeline runs one request through the stages of its route. It lives
// for that request: it holds the snapshot the request began under, the
// attempts made and the time left.
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
	"bilberrydale/process/kind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/server"
	"bilberrydale/version/snapshot"
)

// Runner runs requests. It is made once for the process and is safe for
// concurrent use.
type Runner struct {
	Backend     backend.Client
	Admission   admission.Admitter
	Quarantine  quarantine.Guard
	Isolator    quarantine.Isolator // nil: suspects run like any request
	Clock       clock.Clock
	Rand        clock.Rand
	Tracer      trace.Tracer
	Host        string // this entry host's name and incarnation, sent on each hop
	Incarnation uint64
	Options     Options
	Counters    Counters

	pools  pools
	probes singleflight.Group
}

// Request is one admitted request.
type Request struct {
	ID          string // unique over all hosts and incarnations
	Account     string
	Key         string
	Method      string // of the caller's request
	URI         string // path and query of the caller's request
	ContentType string // of Body
	Body        []byte
	Snapshot    *snapshot.Snapshot
	Route       *snapshot.Route
	Admitted    *admission.Request
	Fingerprint quarantine.Fingerprint
	// Sink receives the chunks of a streamed last stage; nil: the answer is
	// only collected.
	Sink func(backend.Chunk) error
	// Keep collects the whole answer beside the Sink, for resends.
	CollectBody bool
}

// Result is a whole answer, or with an error what is known of the run.
type Result struct {
	ContentType string
	Body        []byte // empty when it went to the Sink and Keep was not set
	// Started is true if a stage that must not be repeated may have run.
	NonRepeatableMayHaveRun bool
	// Pending, with an error, brings the outcome of such a stage that still
	// runs after the caller was answered.
	Late <-chan LateResult
}

// Late is the outcome of a stage that the caller no longer waits for.
type LateResult struct {
	Complete    bool // Body is the request's whole answer
	ContentType string
	Body        []byte
	NotStarted  bool // it cannot have run
}

// run is the state of one request.
type run struct {
	*Runner
	req        *Request
	number     int  // of attempts made
	dispatched bool // a byte may have reached a backend server
	started    bool // of a stage that must not be repeated
	pending    <-chan LateResult
	tried      []*server.State // of the present stage
	// contentType is that of the present stage's input.
	contentType string
}

// output is what a stage gives to the next one, or to the caller.
type output struct {
	contentType string
	body        []byte
}

// streamedType is the type of a streamed answer that was collected.
const streamedType = "text/plain; charset=utf-8"

// took makes an output the input of the next stage.
func (x *run) took(o output) []byte {
	x.contentType = o.contentType
	return o.body
}

// Run executes every stage in turn and returns the whole answer or the one
// error that the caller gets. The result is never nil.
func (r *Runner) Run(ctx context.Context, req *Request) (*Result, *kind.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.Admitted.Deadline)
	defer cancel()
	x := &run{Runner: r, req: req, contentType: req.ContentType}
	body := req.Body
	for i := range req.Route.Stages {
		out, err := x.stage(ctx, &req.Route.Stages[i], body)
		if err != nil {
			err.Dispatched = err.Dispatched || x.dispatched
			return &Result{NonRepeatableMayHaveRun: x.started, Late: x.pending}, err
		}
		body = out
	}
	if r.Isolator != nil {
		r.Isolator.ClearSuspicion(req.Fingerprint)
	}
	return &Result{ContentType: x.contentType, Body: body, NonRepeatableMayHaveRun: x.started}, nil
}

// stage runs one stage, with retries where they are allowed.
func (x *run) stage(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	start := x.Clock.Now()
	x.Admission.StageStart(start, x.req.Admitted, st.Index)
	x.tried = nil
	x.pool(st).budget.RecordFirstAttempt()
	x.req.Admitted.StreamDuration = 0
	var out []byte
	var err *kind.Error
	switch {
	case st.Stream:
		out, err = x.stream(ctx, st, in)
	case st.Repeatable:
		out, err = x.repeat(ctx, st, in)
	default:
		out, err = x.once(ctx, st, in)
	}
	now := x.Clock.Now()
	x.Admission.StageDone(now, x.req.Admitted, st.Index, now.Sub(start), err == nil)
	return out, err
}

// last reports whether the answer of st is the answer of the request.
func (x *run) last(st *snapshot.Stage) bool { return st.Index == len(x.req.Route.Stages)-1 }

// left returns the time until the request's deadline.
func (x *run) left() time.Duration { return x.req.Admitted.Deadline.Sub(x.Clock.Now()) }

func (x *run) expired(ctx context.Context) *kind.Error {
	switch err := ctx.Err(); {
	case err == nil && x.left() > 0:
		return nil
	case err == nil:
		// A process that was paused may run again before its timers do. It
		// must not start what its caller, and others, have given up.
		return kind.New(kind.DeadlineExceeded, "the deadline passed")
	case errors.Is(err, context.DeadlineExceeded):
		return kind.New(kind.DeadlineExceeded, "the deadline passed")
	default:
		return kind.New(kind.Cancelled, "the caller went away")
	}
}
