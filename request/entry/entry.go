// Package entry is the HTTP handler for callers. It reads a request, matches its route,
// applies quarantine, admission and idempotency claims, runs the pipeline and writes the
// response.
package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"bilberrydale/process/admission"
	"bilberrydale/process/claim"
	"bilberrydale/process/clock"
	"bilberrydale/process/current"
	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/request/pipeline"
	"bilberrydale/version/snapshot"
)

// Headers are the names of the headers that callers send.
type Headers struct {
	RequestID string // id of the request, chosen by the caller; returned on the response
	Account   string // client account
	Timeout   string // a duration such as 2s; shortens the route's deadline
	Key       string // idempotency key or ticket
}

// DefaultHeaders returns the default names.
func DefaultHeaders() Headers {
	return Headers{RequestID: "X-Request-Id", Account: "X-Client-Account", Timeout: "X-Request-Timeout", Key: "Idempotency-Key"}
}

// TicketPath is the path at which callers get a ticket by POST.
const TicketPath = "/tickets"

// Limits are the maximum sizes of what a caller may send. Zero allows none.
type Limits struct {
	Body    int64 // bytes
	Key     int   // bytes of the idempotency key; a longer request id is replaced
	Account int   // bytes of the account name
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits { return Limits{Body: 4 << 20, Key: 256, Account: 128} }

// Handler is the http.Handler for callers. A process creates one; its fields must not
// change after the first request. All fields but LogLimit are required.
type Handler struct {
	InForce    *current.Value[snapshot.Snapshot] // the active release; its value is nil before the first one
	Runner     *pipeline.Runner
	Admission  admission.Admitter
	Claims     claim.Claims
	Quarantine quarantine.Guard
	Gate       *drain.Gate // closed while the host shuts down; counts requests in flight
	Clock      clock.Clock
	Log        *log.Logger
	LogLimit   *rate.Limiter // of log lines about errors; nil: unlimited
	Tracer     trace.Tracer
	Headers    Headers
	Limits     Limits
	Counters   *Counters
}

// callerRequest is the state of one request.
type callerRequest struct {
	*Handler
	w                http.ResponseWriter
	r                *http.Request
	id               string // sent by the caller, or generated; need not be unique
	backendRequestID string // unique; sent to backend servers
	account          string // client account; may be empty
	key              string // idempotency key or ticket; may be empty
	body             []byte
	snap             *snapshot.Snapshot
	route            *snapshot.Route // nil until it is matched
	admitted         admission.Request
	stream           *streamWriter // nil: the response is not streamed
	claimed          bool          // the claim is held and its outcome is not recorded yet
	neverRan         bool          // the claim was granted and proves that no earlier request with the key ran
	responseStarted  bool          // the headers of an unstreamed response have been written
	claimKey         claim.Key     // set with the route, also if the request needs no claim
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "entry "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c := &callerRequest{Handler: h, w: w, r: r.WithContext(ctx), id: r.Header.Get(h.Headers.RequestID), key: r.Header.Get(h.Headers.Key)}
	// Request ids of callers may repeat. Backend servers get a unique id instead, since a
	// misdelivered response could otherwise pass for the right one. It includes the
	// incarnation of this entry host.
	unique := uuid.NewString()
	c.backendRequestID = strconv.FormatUint(h.Runner.Incarnation, 36) + "-" + unique
	if c.id == "" || len(c.id) > h.Limits.Key {
		c.id = unique
	}
	span.SetAttributes(attribute.String("request.id", c.id))
	w.Header().Set(h.Headers.RequestID, c.id)
	defer c.recoverPanic()
	if !h.Gate.Enter() {
		c.writeError(errkind.New(errkind.Draining, "%s is shutting down", h.Runner.Host))
		return
	}
	defer h.Gate.Exit()
	if r.URL.Path == TicketPath && r.Method == http.MethodPost {
		c.mintTicket()
		return
	}
	if err := c.serve(); err != nil {
		c.writeError(err)
	}
}

// mayHaveRunEarlier reports whether an earlier request with the same key may have run. Before
// the claim is granted, this may be a resend whose first request ran on another entry host,
// so the error must not say "not run".
func (c *callerRequest) mayHaveRunEarlier(e *errkind.Error) bool {
	repeatable := c.route != nil && c.route.Repeatable
	return c.key != "" && !repeatable && !c.neverRan && e.Kind != errkind.KeyReused
}

// recoverPanic keeps a panic in one request from ending the process and with it all other
// requests in flight.
func (c *callerRequest) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // recovered value
		// If it were recovered, a truncated response would end like a complete one.
		panic(v)
	}
	c.Log.Error("request panicked", "request", c.id, "panic", v)
	if c.claimed {
		c.Claims.MarkUnknown(c.r.Context(), c.claimKey)
	}
	if c.responseStarted {
		panic(http.ErrAbortHandler)
	}
	c.writeError(&errkind.Error{Kind: errkind.Internal, Detail: "the entry host failed on this request", Dispatched: true})
}

// serve handles the request and writes its response, unless it returns an error.
func (c *callerRequest) serve() *errkind.Error {
	if err := c.readRequest(); err != nil {
		return err
	}
	now := c.Clock.Now()
	if err := c.matchRoute(now); err != nil {
		return err
	}
	subjects := quarantine.NewSubjects(quarantine.Fingerprint(c.claimKey.Body), nil).WithBeginning(c.body)
	if err := quarantine.Permit(c.Quarantine, subjects); err != nil {
		return errkind.From(err)
	}
	if err := c.Admission.Admit(now, &c.admitted); err != nil {
		return err
	}
	outcome := admission.Failed
	defer func() { c.Admission.Done(c.Clock.Now(), &c.admitted, outcome) }()
	if c.needsClaim() {
		done, err := c.acquireClaim()
		if done || err != nil {
			return err
		}
	}
	err := c.runPipeline(subjects)
	if err == nil {
		outcome = c.admissionOutcome()
	}
	return err
}

// admissionOutcome returns the outcome of a completed request for admission.
func (c *callerRequest) admissionOutcome() admission.Outcome {
	if c.Clock.Now().After(c.admitted.Deadline) {
		return admission.Late
	}
	return admission.Completed
}

// readRequest reads the headers and the body and checks their sizes.
func (c *callerRequest) readRequest() *errkind.Error {
	h := c.r.Header
	c.account = h.Get(c.Headers.Account)
	if len(c.account) > c.Limits.Account {
		return errkind.New(errkind.BadRequest, "header %s is over %d bytes", c.Headers.Account, c.Limits.Account)
	}
	if len(c.key) > c.Limits.Key {
		return errkind.New(errkind.BadRequest, "header %s is over %d bytes", c.Headers.Key, c.Limits.Key)
	}
	defer context.AfterFunc(c.r.Context(), c.interruptRead)()
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.Limits.Body))
	if err != nil {
		return c.bodyError(err)
	}
	c.body = body
	return nil
}

// interruptRead ends the reading from the caller at once.
func (c *callerRequest) interruptRead() {
	// Fails for writers without a connection, such as httptest.ResponseRecorder.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// bodyError returns the error of a request whose body was not read.
func (c *callerRequest) bodyError(err error) *errkind.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(c.r.Context()), drain.ErrDeadline):
		return errkind.New(errkind.Draining, "%w", drain.ErrDeadline)
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", c.Limits.Body)
	}
	return errkind.New(errkind.BadRequest, "the body could not be read: %w", err)
}

// matchRoute loads the active snapshot, which the request keeps to its end, finds the route
// and sets the deadline.
func (c *callerRequest) matchRoute(now time.Time) *errkind.Error {
	c.snap = c.InForce.Load()
	if c.snap == nil {
		return errkind.New(errkind.NotReady, "no release in force")
	}
	c.route = c.snap.Route(c.r.Method, c.r.URL.Path, c.r.Header)
	if c.route == nil {
		return errkind.New(errkind.NoRoute, "%s %s", c.r.Method, c.r.URL.Path)
	}
	timeout := c.route.Deadline.Std()
	if text := c.r.Header.Get(c.Headers.Timeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return errkind.New(errkind.BadRequest, "header %s: %q is not a duration such as 2s", c.Headers.Timeout, text)
		}
		timeout = min(timeout, d)
	}
	c.setWriteDeadline(timeout)
	c.admitted = admission.Request{Profile: c.route.Profile, Account: c.account, ArrivedAt: now, Deadline: now.Add(timeout)}
	content := quarantine.Content{Method: c.r.Method, URI: c.r.URL.RequestURI(), Body: [][]byte{c.body}}
	c.claimKey = claim.Key{Account: c.account, Key: c.key, Body: uint64(content.Fingerprint())}
	c.admitted.Fingerprint = c.claimKey.Body
	return nil
}

// needsClaim reports whether the request has a key and a stage that is not repeatable.
func (c *callerRequest) needsClaim() bool { return c.key != "" && !c.route.Repeatable }

// runPipeline executes the stages, settles the claim and writes the response, unless it
// returns an error.
func (c *callerRequest) runPipeline(subjects quarantine.Subjects) *errkind.Error {
	req := &pipeline.Request{
		ID: c.backendRequestID, Account: c.account, Key: c.key, Snapshot: c.snap,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), ContentType: c.r.Header.Get("Content-Type"), Body: c.body,
		Route: c.route, Admitted: &c.admitted, Subjects: subjects, CollectBody: c.claimed,
	}
	if c.wantsStream() {
		c.stream = &streamWriter{w: c.w}
		req.Sink = c.stream.write
	}
	res, err := c.Runner.Run(c.r.Context(), req)
	if res != nil && res.Late != nil {
		c.settleLateResult(res.Late)
		return err
	}
	c.settleClaim(res, err)
	if err != nil {
		return err
	}
	if c.stream == nil {
		c.writeResponse(http.StatusOK, res.ContentType, res.Body)
	}
	c.Counters.Completed.Add(1)
	c.recordCompletion()
	return nil
}

// writeJSON sends a complete response with the media type of JSON.
func (c *callerRequest) writeJSON(status int, body []byte) {
	c.writeResponse(status, "application/json", body)
}

// writeResponse sends a complete response. An empty contentType means JSON.
func (c *callerRequest) writeResponse(status int, contentType string, body []byte) {
	c.responseStarted = true
	if contentType == "" {
		contentType = "application/json"
	}
	c.w.Header().Set("Content-Type", contentType)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}
