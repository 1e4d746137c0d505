// Package pipeline runs one request through the stages of its route. It lives
// for that request: it holds the snapshot the request began under, the
// attempts made and the time left.
package pipeline

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bilberrydale/connection/backend"
	"bilberrydale/process/admission"
	"bilberrydale/process/clock"
	"bilberrydale/process/kind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

// Runner runs requests. It is made once for the process and is safe for
// concurrent use.
type Runner struct {
	Backend     backend.Caller
	Admission   admission.Admitter
	Quarantine  quarantine.Guard
	Clock       clock.Clock
	Rand        clock.Rand
	Tracer      trace.Tracer
	Host        string // this entry host's name and incarnation, sent on each hop
	Incarnation uint64
}

// Request is one admitted request.
type Request struct {
	ID          string
	Account     string
	Key         string
	Body        []byte
	Snapshot    *snapshot.Snapshot
	Route       *snapshot.Route
	Admitted    *admission.Request
	Fingerprint quarantine.Fingerprint
	// Sink receives the chunks of a streamed last stage; nil: the answer is
	// collected whole.
	Sink func(backend.Chunk) error
}

// Result is a whole answer.
type Result struct {
	Body []byte // empty when it went to the Sink
}

const maxAttempts = 3

// run is the state of one request.
type run struct {
	*Runner
	req        *Request
	dispatched bool  // a byte may have reached a backend server
	offset     int64 // bytes of the streamed answer that the caller has
}

// Run executes every stage in turn and returns the whole answer or the one
// error that the caller gets.
func (r *Runner) Run(ctx context.Context, req *Request) (*Result, *kind.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.Admitted.Deadline)
	defer cancel()
	x := &run{Runner: r, req: req}
	body := req.Body
	for i := range req.Route.Stages {
		out, err := x.stage(ctx, &req.Route.Stages[i], body)
		if err != nil {
			err.Dispatched = err.Dispatched || x.dispatched
			return nil, err
		}
		body = out
	}
	return &Result{Body: body}, nil
}

// stage runs one stage, with retries where they are allowed.
func (x *run) stage(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	start := x.Clock.Now()
	x.Admission.StageStart(start, x.req.Admitted, st.Index)
	out, err := x.attempts(ctx, st, in)
	now := x.Clock.Now()
	x.Admission.StageDone(now, x.req.Admitted, st.Index, now.Sub(start), err == nil)
	return out, err
}

func (x *run) attempts(ctx context.Context, st *snapshot.Stage, in []byte) ([]byte, *kind.Error) {
	var tried []*server.State
	var last *kind.Error
	for attempt := range maxAttempts {
		if err := x.expired(ctx); err != nil {
			return nil, err
		}
		info := pick.Info{Now: x.Clock.Now(), Rand: x.Rand, Bytes: len(in), Exclude: tried}
		srv, err := st.Pool.Picker.Pick(&info)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, kind.New(kind.NoBackend, "pool %s: %w", st.Pool.Name, err)
		}
		out, callErr := x.attempt(ctx, st, srv, attempt, in)
		if callErr == nil {
			return out, nil
		}
		last = x.classify(ctx, st, callErr)
		if !x.mayRepeat(st, callErr) {
			return nil, last
		}
		tried = append(tried, srv.State)
	}
	return nil, last
}

func (x *run) expired(ctx context.Context) *kind.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return kind.New(kind.DeadlineExceeded, "the deadline passed")
	default:
		return kind.New(kind.Cancelled, "the caller went away")
	}
}

// attempt sends the stage to one backend server.
func (x *run) attempt(ctx context.Context, st *snapshot.Stage, srv *pick.Server, n int, in []byte) ([]byte, error) {
	ctx, span := x.Tracer.Start(ctx, "stage "+st.Name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request.id", x.req.ID), attribute.String("pool", st.Pool.Name),
		attribute.String("server", srv.Name), attribute.Int("attempt", n)))
	defer span.End()
	srv.State.Begin()
	defer srv.State.End()
	x.Quarantine.Begin(x.req.Fingerprint, srv.Name)
	out, err := x.send(ctx, st, x.call(st, srv, n, in))
	var be *backend.Error
	errors.As(err, &be)
	x.Quarantine.End(x.req.Fingerprint, srv.Name, be != nil && be.Reset)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		if be == nil || be.Sent != backend.NotSent {
			x.dispatched = true
		}
		return nil, err
	}
	x.dispatched = true
	return out, nil
}

func (x *run) call(st *snapshot.Stage, srv *pick.Server, n int, in []byte) *backend.Call {
	path := st.Path
	if path == "" {
		path = "/"
	}
	return &backend.Call{
		Server: srv.State, Path: path, RequestID: x.req.ID, Stage: st.Name, Attempt: n,
		Host: x.Host, Incarnation: x.Incarnation, Body: in, Account: x.req.Account,
		Priority: x.req.Route.Priority, Key: x.req.Key, Resume: x.offset,
	}
}

func (x *run) send(ctx context.Context, st *snapshot.Stage, c *backend.Call) ([]byte, error) {
	if !st.Stream {
		reply, err := x.Backend.Do(ctx, c)
		if err != nil {
			return nil, err
		}
		return reply.Body, nil
	}
	var whole []byte
	err := x.Backend.Stream(ctx, c, func(ch backend.Chunk) error {
		if x.req.Sink == nil {
			whole = append(whole, ch.Data...)
			return nil
		}
		if err := x.req.Sink(ch); err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
		x.offset += int64(len(ch.Data))
		return nil
	})
	return whole, err
}

// mayRepeat reports whether another attempt cannot run the stage twice, or may
// run it twice without harm.
func (x *run) mayRepeat(st *snapshot.Stage, err error) bool {
	if x.offset > 0 {
		// The caller has seen part of this answer; another run could differ.
		return false
	}
	var be *backend.Error
	if !errors.As(err, &be) {
		return false
	}
	if be.Sent == backend.NotSent || be.Refused {
		return true
	}
	return st.Repeatable && be.Sent == backend.MaySent
}

// classify turns a failed attempt into the error that the caller gets if no
// other attempt follows.
func (x *run) classify(ctx context.Context, st *snapshot.Stage, err error) *kind.Error {
	if gone := x.expired(ctx); gone != nil {
		return gone
	}
	var be *backend.Error
	switch {
	case !errors.As(err, &be):
		return kind.New(kind.Cancelled, "stage %s: %w", st.Name, err)
	case x.offset > 0:
		return kind.New(kind.StreamCut, "stage %s: %w", st.Name, err)
	case be.Sent == backend.Answered && !be.Refused:
		e := kind.New(kind.BackendRefused, "stage %s: %w", st.Name, err)
		e.RanYes = be.Status < 500 && !st.Repeatable && be.Status != 400
		return e
	case be.Sent == backend.NotSent || be.Refused:
		return kind.New(kind.NoBackend, "stage %s: %w", st.Name, err)
	case !st.Repeatable:
		return kind.New(kind.OutcomeUnknown, "stage %s: %w", st.Name, err)
	default:
		return kind.New(kind.BackendFailed, "stage %s: %w", st.Name, err)
	}
}
