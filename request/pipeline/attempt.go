package pipeline

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bilberrydale/connection/backend"
	"bilberrydale/process/kind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

// affinityBytes of a stage's input choose the server that has them cached.
const affinityBytes = 64

// attempt is one sending of a stage to one backend server.
type attempt struct {
	server *pick.Server
	number int
	alone  bool // a suspect of crashing servers
}

// choose picks the server of the next attempt, if the request may still run.
func (x *run) choose(ctx context.Context, st *snapshot.Stage, in []byte) (*attempt, *kind.Error) {
	if err := x.expired(ctx); err != nil {
		return nil, err
	}
	verdict, wait := x.Quarantine.Check(x.req.Fingerprint)
	if verdict == quarantine.Refused {
		e := kind.New(kind.Quarantined, "fingerprint %016x", uint64(x.req.Fingerprint))
		e.RetryAfter = wait
		return nil, e
	}
	alone := verdict == quarantine.Isolated && x.Isolator != nil
	info := pick.Info{
		Now: x.Clock.Now(), Rand: x.Rand, Bytes: len(in), Exclude: x.tried,
		Class: x.req.Route.Class, Affinity: xxhash.Sum64(in[:min(len(in), affinityBytes)]),
	}
	srv, err := x.pickServer(ctx, st, &info, alone)
	if err != nil {
		return nil, err
	}
	x.tried = append(x.tried, srv.State)
	x.number++
	x.req.Admitted.MayHaveQueued = !srv.Free(info.Now)
	return &attempt{server: srv, number: x.number, alone: alone}, nil
}

// pickServer asks the picker. A suspect runs on a server where no other
// suspect runs, so that a crash tells which of them caused it.
func (x *run) pickServer(ctx context.Context, st *snapshot.Stage, info *pick.Info, alone bool) (*pick.Server, *kind.Error) {
	if !alone {
		srv, err := st.Pool.Picker.Pick(info)
		if err != nil {
			return nil, kind.New(kind.NoBackend, "pool %s: %w", st.Pool.Name, err)
		}
		return srv, nil
	}
	for {
		free := x.Isolator.Released()
		try := *info
		try.Exclude = append(x.busy(st), info.Exclude...)
		srv, err := st.Pool.Picker.Pick(&try)
		if err == nil && x.Isolator.Acquire(srv.Name, x.req.Fingerprint) {
			return srv, nil
		}
		if err != nil && len(try.Exclude) == len(info.Exclude) {
			return nil, kind.New(kind.NoBackend, "pool %s: %w", st.Pool.Name, err)
		}
		select {
		case <-free:
		case <-ctx.Done():
			return nil, x.expired(ctx)
		}
	}
}

// busy returns the pool's servers on which a suspect runs.
func (x *run) busy(st *snapshot.Stage) []*server.State {
	var out []*server.State
	for _, s := range st.Pool.Picker.Servers() {
		if x.Isolator.HasSuspect(s.Name) {
			out = append(out, s.State)
		}
	}
	return out
}

// do sends one attempt with send and tells the quarantine how it ended.
func (x *run) do(ctx context.Context, st *snapshot.Stage, a *attempt, send func(context.Context) error) error {
	ctx, span := x.Tracer.Start(ctx, "stage "+st.Name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request.id", x.req.ID), attribute.String("pool", st.Pool.Name),
		attribute.String("server", a.server.Name), attribute.Int("attempt", a.number)))
	defer span.End()
	a.server.State.BeginRequest()
	defer a.server.State.EndRequest()
	x.Quarantine.BeginAttempt(x.req.Fingerprint, a.server.Name)
	began := x.Clock.Now()
	err := send(ctx)
	x.record(ctx, a, began, err)
	x.ended(a, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

// ended reports the attempt's end to the quarantine. A connection that broke is
// no proof that the server died: only a fresh connection that fails as well is.
func (x *run) ended(a *attempt, err error) {
	var be *backend.Error
	died := errors.As(err, &be) && be.ConnectionFailed && be.Delivery == backend.MaybeSent && !x.alive(a)
	x.Quarantine.EndAttempt(x.req.Fingerprint, a.server.Name, died)
	if x.Isolator == nil {
		return
	}
	if a.alone {
		x.Isolator.Release(a.server.Name)
	}
	if err == nil {
		x.Isolator.MarkAlive(a.server.Name)
	}
}

// answers is alive for one that only doubts a connection: doubts about the same
// server share a probe, so that a slow pool is not flooded with them. A death
// is judged by a probe of its own, begun after it.
func (x *run) answers(a *attempt) bool {
	v, _, _ := x.probes.Do(a.server.Address, func() (any, error) { return x.alive(a), nil })
	return v.(bool)
}

// alive asks the server on a fresh connection, whatever became of the request.
func (x *run) alive(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), x.Options.ProbeTimeout)
	defer cancel()
	if err := x.Backend.Probe(ctx, a.server.State); err != nil {
		x.Counters.ProbesFailed.Add(1)
		// No answer in time may be load; a refused connection is not.
		proof := server.Unreachable
		if ctx.Err() != nil {
			proof = server.Failed
		}
		a.server.State.RecordOutcome(x.Clock.Now(), proof, 0)
		return false
	}
	// The server lives: connections that lost their way to it would each cost
	// a later request its wait, but they are no mark against the server.
	x.Backend.CloseIdleConnections(a.server.State)
	return true
}

func (x *run) call(st *snapshot.Stage, a *attempt, in []byte) *backend.Call {
	path := st.Path
	if path == "" {
		path = "/"
	}
	return &backend.Call{
		Server: a.server.State, Path: path, RequestID: x.req.ID, Stage: st.Name, Attempt: a.number,
		Method: x.req.Method, URI: x.req.URI, ContentType: x.contentType,
		Host: x.Host, Incarnation: x.Incarnation, Body: in, Account: x.req.Account,
		Priority: x.req.Route.Priority, Key: operationKey(x.req.Account, x.req.Key),
	}
}

// operationKey names the operation to services that check repeats themselves.
// Two client accounts may choose the same key; known by it alone, one would be
// given the other's answer.
func operationKey(account, key string) string {
	if key == "" {
		return ""
	}
	return url.QueryEscape(account) + "/" + key
}

// sent notes what the attempt's end proves about execution.
func (x *run) sent(err error) {
	var be *backend.Error
	if !errors.As(err, &be) || be.Delivery != backend.NotSent {
		x.dispatched = true
	}
}

// mayTryAgain reports whether another attempt of the stage may follow err: not
// after a byte of a stage that must not be repeated may have left, and within
// the time left and the pool's budget of retries.
func (x *run) mayTryAgain(st *snapshot.Stage, err error) bool {
	var be *backend.Error
	if !errors.As(err, &be) {
		return false
	}
	if x.number >= maxAttemptNumber || len(x.tried) >= x.Options.MaxAttempts {
		return false
	}
	harmless := be.Delivery == backend.NotSent || be.NotStarted
	if !harmless && !st.Repeatable {
		return false
	}
	if be.Delivery == backend.Responded && !be.NotStarted && be.Status < 500 {
		return false
	}
	if be.Delivery == backend.NotSent {
		return true // it cost no server anything
	}
	return x.mayRetry(st)
}

// maxAttemptNumber bounds the attempts of all stages and resumptions together.
const maxAttemptNumber = 64

func (x *run) mayRetry(st *snapshot.Stage) bool {
	p := x.pool(st)
	if x.left() < time.Duration(p.firstByte.mean.Load()) || !p.budget.Allow() {
		x.Counters.RetriesDenied.Add(1)
		return false
	}
	x.Counters.Retries.Add(1)
	return true
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
	case be.Delivery == backend.NotSent || be.NotStarted:
		return kind.New(kind.NoBackend, "stage %s: %w", st.Name, err)
	case be.Delivery == backend.Responded && be.Status < 500:
		return kind.New(kind.BackendRefused, "stage %s: %w", st.Name, err)
	case !st.Repeatable:
		return kind.New(kind.OutcomeUnknown, "stage %s: %w", st.Name, err)
	default:
		return kind.New(kind.BackendFailed, "stage %s: %w", st.Name, err)
	}
}
