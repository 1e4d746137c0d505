package pipeline

import (
	"context"
	"errors"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bilberrydale/connection/backend"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

// affinityBytes is the length of the input prefix that is hashed for server affinity, so
// that inputs with a common prefix reach the server that has it cached.
const affinityBytes = 64

// attempt is one call of a stage on a backend server.
type attempt struct {
	server   *pick.Server
	number   int  // from 1, over all stages and resumptions of the request
	isolated bool // suspected of crashing servers: no other suspect runs on the server
}

// newAttempt picks the server of the next attempt. It fails if the deadline has passed,
// the request is in quarantine or no server is available. It waits for servers only if mayWait is set.
func (x *execution) newAttempt(ctx context.Context, st *snapshot.Stage, in []byte, mayWait bool) (*attempt, *errkind.Error) {
	if err := x.contextError(ctx); err != nil {
		return nil, err
	}
	decision, _, refused := quarantine.PermitAttempt(x.Quarantine, x.req.Subjects, x.attempts == 0)
	if refused != nil {
		return nil, errkind.From(refused)
	}
	isolated := decision.Verdict == quarantine.Isolated && x.Isolator != nil
	pickAttempt := pick.Attempt{
		Now: x.Clock.Now(), Rand: x.Rand, InputBytes: len(in), Exclude: x.triedServers,
		Class: x.req.Route.Class, PrefixHash: xxhash.Sum64(in[:min(len(in), affinityBytes)]),
	}
	srv, err := x.pickServerInTime(ctx, st, &pickAttempt, isolated, mayWait)
	if err != nil {
		return nil, err
	}
	x.triedServers = append(x.triedServers, srv.State)
	x.attempts++
	x.req.Admitted.MayHaveQueued = !srv.HasFreeSlot(pickAttempt.Now)
	return &attempt{server: srv, number: x.attempts, isolated: isolated}, nil
}

// pickServer picks a server of the stage's pool that takes another request of this host. It
// counts the request against the limit that the server has named.
func (x *execution) pickServer(ctx context.Context, st *snapshot.Stage, pickAttempt *pick.Attempt, isolated bool) (*pick.Server, *errkind.Error) {
	query, borrowed := *pickAttempt, false
	for {
		srv, err := x.pickIgnoringLimits(ctx, st, &query, isolated)
		switch {
		case err == nil && (x.Limits == nil || x.Limits.Allow(srv.State.Process(), &srv.State.RateLimit)):
			return srv, nil
		case err == nil:
			if isolated {
				x.Isolator.Release(srv.Name)
			}
			query.Exclude = append(query.Exclude[:len(query.Exclude):len(query.Exclude)], srv.State)
		case borrowed || !x.borrowAny(ctx, query.Exclude[len(pickAttempt.Exclude):]):
			return nil, err
		default:
			query, borrowed = *pickAttempt, true
		}
	}
}

// borrowAny borrows for the first of some servers that other hosts leave a part of their shares
// of. It returns false if there is none.
func (x *execution) borrowAny(ctx context.Context, limited []*serverstate.State) bool {
	return slices.ContainsFunc(limited, func(s *serverstate.State) bool {
		return x.Limits.Borrow(ctx, s.Process(), &s.RateLimit)
	})
}

// pickIgnoringLimits picks a server of the stage's pool. An isolated request gets a server on
// which no other suspect runs, so that a crash can be attributed to it; it waits until
// one is free.
func (x *execution) pickIgnoringLimits(ctx context.Context, st *snapshot.Stage, pickAttempt *pick.Attempt, isolated bool) (*pick.Server, *errkind.Error) {
	if !isolated {
		srv, err := st.Pool.Picker.Pick(pickAttempt)
		if err != nil {
			return nil, errkind.New(errkind.NoBackend, "pool %s: %w", st.Pool.Name, err)
		}
		return srv, nil
	}
	for {
		released := x.Isolator.Released()
		query := *pickAttempt
		query.Exclude = append(x.serversWithSuspects(st), pickAttempt.Exclude...)
		srv, err := st.Pool.Picker.Pick(&query)
		if err == nil && x.Isolator.Acquire(srv.Name, x.req.Subjects.Content()) {
			return srv, nil
		}
		if err != nil && len(query.Exclude) == len(pickAttempt.Exclude) {
			return nil, errkind.New(errkind.NoBackend, "pool %s: %w", st.Pool.Name, err)
		}
		select {
		case <-released:
		case <-ctx.Done():
			return nil, x.contextError(ctx)
		}
	}
}

// serversWithSuspects returns the pool's servers on which a suspect request runs.
func (x *execution) serversWithSuspects(st *snapshot.Stage) []*serverstate.State {
	var out []*serverstate.State
	for _, s := range st.Pool.Picker.Servers() {
		if x.Isolator.HasSuspect(s.Name) {
			out = append(out, s.State)
		}
	}
	return out
}

// sendAttempt calls send for one attempt, in a span of its own, and records the result
// in the server's state and in the quarantine.
func (x *execution) sendAttempt(ctx context.Context, st *snapshot.Stage, a *attempt, send func(context.Context) error) error {
	ctx, span := x.Tracer.Start(ctx, "stage "+st.Name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request.id", x.req.ID), attribute.String("pool", st.Pool.Name),
		attribute.String("server", a.server.Name), attribute.Int("attempt", a.number)))
	defer span.End()
	a.server.State.BeginRequest()
	defer a.server.State.EndRequest()
	x.Quarantine.BeginAttempt(x.req.Subjects, a.server.Name)
	start := x.Clock.Now()
	err := send(ctx)
	x.recordServerOutcome(ctx, a, start, err)
	x.endAttempt(a, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

// endAttempt reports the end of the attempt to the quarantine. A broken connection does
// not prove that the server crashed: it counts as a crash only if a new connection fails
// as well, and other servers can be reached.
func (x *execution) endAttempt(a *attempt, err error) {
	var be *backend.Error
	crashed := errors.As(err, &be) && be.ConnectionFailed && be.Delivery == backend.MaybeSent && !x.probe(a) && !x.cutOff()
	x.Quarantine.EndAttempt(x.req.Subjects, a.server.Name, crashed)
	if x.Isolator == nil {
		return
	}
	if a.isolated {
		x.Isolator.Release(a.server.Name)
	}
	if err == nil {
		x.Isolator.MarkAlive(a.server.Name)
	}
}

// cutOff reports whether this host reaches no server at all. It does not depend on the request's
// context.
func (x *execution) cutOff() bool {
	if x.Reach == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.Options.ProbeTimeout)
	defer cancel()
	return x.Reach.Check(ctx)
}

// probeShared probes the server of a stalled connection. Concurrent calls for the same
// server share one probe, so that a slow pool is not flooded with probes. Crash detection
// uses probe instead, which starts after the connection has failed.
func (x *execution) probeShared(a *attempt) bool {
	v, _, _ := x.probes.Do(a.server.Address, func() (any, error) { return x.probe(a), nil })
	return v.(bool)
}

// probe reports whether the server responds on a new connection. It does not depend on
// the request's context.
func (x *execution) probe(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), x.Options.ProbeTimeout)
	defer cancel()
	err := x.Backend.Probe(ctx, a.server.State)
	if errors.Is(err, backend.ErrPaused) {
		return true // it has not failed
	}
	if err != nil {
		x.Counters.ProbesFailed.Add(1)
		// A timeout may be due to load; a refused connection cannot be.
		outcome := serverstate.Unreachable
		if ctx.Err() != nil {
			outcome = serverstate.Failed
		}
		a.server.State.RecordOutcome(x.Clock.Now(), outcome, 0)
		return false
	}
	// The server responds, so its health is unaffected. Its idle connections may be
	// dead as well; each would cost a later request a timeout.
	x.Backend.CloseIdleConnections(a.server.State)
	return true
}

// newCall builds the backend call of an attempt.
func (x *execution) newCall(st *snapshot.Stage, a *attempt, in []byte) *backend.Call {
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

// operationKey returns the key by which services detect repeated operations. It includes
// the client account: two accounts may choose the same key, and one must not get the
// response of the other.
func operationKey(account, key string) string {
	if key == "" {
		return ""
	}
	return url.QueryEscape(account) + "/" + key
}

// recordDispatch records that a backend server may have received the request, unless err
// proves that it has not.
func (x *execution) recordDispatch(err error) {
	var be *backend.Error
	if !errors.As(err, &be) || be.Delivery != backend.NotSent {
		x.dispatched = true
	}
}

// acquireRetryAfter reports whether the stage may be attempted again after err, and takes
// a retry from the pool's budget unless nothing was sent to a server. The attempts are
// limited by maxAttemptNumber and Options.MaxAttempts. A non-repeatable stage is not
// attempted again once a byte of it may have been sent, unless the server did not start
// it. A response with a status below 500 is final, unless the server did not start the
// stage.
func (x *execution) acquireRetryAfter(st *snapshot.Stage, err error) bool {
	var be *backend.Error
	if !errors.As(err, &be) {
		return false
	}
	if x.attempts >= maxAttemptNumber || len(x.triedServers) >= x.Options.MaxAttempts {
		return false
	}
	notStarted := be.Delivery == backend.NotSent || be.NotStarted
	if !notStarted && !st.Repeatable {
		return false
	}
	if be.Delivery == backend.Responded && !be.NotStarted && be.Status < 500 {
		return false
	}
	if be.Delivery == backend.NotSent {
		return true // no server was loaded, so it is not charged to the budget
	}
	return x.acquireRetry(st)
}

// maxAttemptNumber limits the attempts of a request over all stages and resumptions.
const maxAttemptNumber = 64

// acquireRetry takes a retry from the pool's budget. It returns false if the budget is used up or
// the time left is shorter than the pool's mean delay to the first byte.
func (x *execution) acquireRetry(st *snapshot.Stage) bool {
	p := x.pool(st)
	if x.timeLeft() < time.Duration(p.firstByteDelay.mean.Load()) || !p.retryBudget.Allow() {
		x.Counters.RetriesDenied.Add(1)
		return false
	}
	x.Counters.Retries.Add(1)
	return true
}

// classifyError returns the error that the caller gets if no further attempt is made
// after err.
func (x *execution) classifyError(ctx context.Context, st *snapshot.Stage, err error) *errkind.Error {
	if ctxErr := x.contextError(ctx); ctxErr != nil {
		return ctxErr
	}
	var be *backend.Error
	switch {
	case !errors.As(err, &be):
		return errkind.New(errkind.Cancelled, "stage %s: %w", st.Name, err)
	case be.Delivery == backend.NotSent || be.NotStarted:
		return x.refuseForPause(st, errkind.New(errkind.NoBackend, "stage %s: %w", st.Name, err))
	case be.Delivery == backend.Responded && be.Status < 500:
		return errkind.New(errkind.BackendRefused, "stage %s: %w", st.Name, err)
	case !st.Repeatable:
		return errkind.New(errkind.OutcomeUnknown, "stage %s: %w", st.Name, err)
	default:
		return errkind.New(errkind.BackendFailed, "stage %s: %w", st.Name, err)
	}
}
