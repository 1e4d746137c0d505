// Package entry is the callers' side: it reads one HTTP request, decides
// whether it may start, runs it and writes its one answer.
package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
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
	"bilberrydale/process/drain"
	"bilberrydale/process/inforce"
	"bilberrydale/process/kind"
	"bilberrydale/process/quarantine"
	"bilberrydale/request/pipeline"
	"bilberrydale/version/snapshot"
)

// Headers are the names of the callers' headers.
type Headers struct {
	RequestID string
	Account   string
	Timeout   string // a duration such as 2s; shortens the route's deadline
	Key       string
}

// DefaultHeaders returns the customary names.
func DefaultHeaders() Headers {
	return Headers{RequestID: "X-Request-Id", Account: "X-Client-Account", Timeout: "X-Request-Timeout", Key: "Idempotency-Key"}
}

// TicketPath is where a caller gets a ticket with POST.
const TicketPath = "/tickets"

// Limits bound what a caller may send.
type Limits struct {
	Body    int64 // bytes
	Key     int   // bytes of the idempotency key
	Account int   // bytes of the account name
}

// DefaultLimits returns the default bounds.
func DefaultLimits() Limits { return Limits{Body: 4 << 20, Key: 256, Account: 128} }

// Handler serves callers. It is made once for the process.
type Handler struct {
	InForce    *inforce.Value[snapshot.Snapshot]
	Runner     *pipeline.Runner
	Admission  admission.Admitter
	Claims     claim.Claims
	Quarantine quarantine.Guard
	Gate       *drain.Gate
	Clock      clock.Clock
	Log        *log.Logger
	LogLimit   *rate.Limiter // of lines about error answers; nil: none
	Tracer     trace.Tracer
	Headers    Headers
	Limits     Limits
	Counters   *Counters
}

// call is the state of one request at the entry.
type call struct {
	*Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string // the caller's, for its own use
	hopID    string // unique; travels on each hop
	account  string
	key      string
	body     []byte
	snap     *snapshot.Snapshot
	route    *snapshot.Route
	admitted admission.Request
	stream   *streamWriter
	claimed  bool // the claim is held and not settled
	fresh    bool // the claim was granted to this send
	answered bool // the answer's head has been written
	claimKey claim.Key
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "entry "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c := &call{Handler: h, w: w, r: r.WithContext(ctx), id: r.Header.Get(h.Headers.RequestID), key: r.Header.Get(h.Headers.Key)}
	// Two callers may send the same id, or one caller the same id twice. The
	// id of the hops has to tell them apart, or a crossed answer would pass
	// for the right one; it also names this incarnation.
	unique := uuid.NewString()
	c.hopID = strconv.FormatUint(h.Runner.Incarnation, 36) + "-" + unique
	if c.id == "" || len(c.id) > h.Limits.Key {
		c.id = unique
	}
	span.SetAttributes(attribute.String("request.id", c.id))
	w.Header().Set(h.Headers.RequestID, c.id)
	defer c.recovered()
	if !h.Gate.Enter() {
		c.refuse(kind.New(kind.Draining, "%s is shutting down", h.Runner.Host))
		return
	}
	defer h.Gate.Exit()
	if r.URL.Path == TicketPath && r.Method == http.MethodPost {
		c.mint()
		return
	}
	if err := c.serve(); err != nil {
		c.refuse(err)
	}
}

// mayHaveRunEarlier reports whether another send of the same key can have run
// for all this host knows. Until the claim is granted a refusal may answer a
// resend whose first send ran elsewhere, so it must not say "not run".
func (c *call) mayHaveRunEarlier(e *kind.Error) bool {
	repeatable := c.route != nil && c.route.Repeatable
	return c.key != "" && !repeatable && !c.fresh && e.Kind != kind.KeyReused
}

// recovered keeps a panic of one request from ending the process and with it
// every other request in flight.
func (c *call) recovered() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // recovered value
		// Swallowed, it would let a cut answer end as if it were whole.
		panic(v)
	}
	c.Log.Error("request panicked", "request", c.id, "panic", v)
	if c.claimed {
		c.Claims.MarkUnknown(c.r.Context(), c.claimKey)
	}
	if c.answered {
		panic(http.ErrAbortHandler)
	}
	c.refuse(&kind.Error{Kind: kind.Internal, Detail: "the entry host failed on this request", Dispatched: true})
}

func (c *call) serve() *kind.Error {
	if err := c.read(); err != nil {
		return err
	}
	now := c.Clock.Now()
	if err := c.match(now); err != nil {
		return err
	}
	fp := quarantine.Fingerprint(c.claimKey.Body)
	if v, wait := c.Quarantine.Check(fp); v == quarantine.Refused {
		e := kind.New(kind.Quarantined, "fingerprint %016x", uint64(fp))
		e.RetryAfter = wait
		return e
	}
	if err := c.Admission.Admit(now, &c.admitted); err != nil {
		return err
	}
	outcome := admission.Failed
	defer func() { c.Admission.Done(c.Clock.Now(), &c.admitted, outcome) }()
	if c.needsClaim() {
		done, err := c.claim()
		if done || err != nil {
			return err
		}
	}
	err := c.run(fp)
	if err == nil {
		outcome = c.outcome()
	}
	return err
}

func (c *call) outcome() admission.Outcome {
	if c.Clock.Now().After(c.admitted.Deadline) {
		return admission.Late
	}
	return admission.Completed
}

// read takes the caller's headers and body within their bounds.
func (c *call) read() *kind.Error {
	h := c.r.Header
	c.account = h.Get(c.Headers.Account)
	if len(c.account) > c.Limits.Account {
		return kind.New(kind.BadRequest, "header %s is over %d bytes", c.Headers.Account, c.Limits.Account)
	}
	if len(c.key) > c.Limits.Key {
		return kind.New(kind.BadRequest, "header %s is over %d bytes", c.Headers.Key, c.Limits.Key)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.Limits.Body))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return kind.New(kind.TooLarge, "the body is over %d bytes", c.Limits.Body)
		}
		return kind.New(kind.BadRequest, "the body could not be read: %w", err)
	}
	c.body = body
	return nil
}

// match finds the route in the snapshot that this request keeps to its end.
func (c *call) match(now time.Time) *kind.Error {
	c.snap = c.InForce.Load()
	if c.snap == nil {
		return kind.New(kind.NotReady, "no release in force")
	}
	c.route = c.snap.Route(c.r.Method, c.r.URL.Path, c.r.Header)
	if c.route == nil {
		return kind.New(kind.NoRoute, "%s %s", c.r.Method, c.r.URL.Path)
	}
	limit := c.route.Deadline.Std()
	if text := c.r.Header.Get(c.Headers.Timeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return kind.New(kind.BadRequest, "header %s: %q is not a duration such as 2s", c.Headers.Timeout, text)
		}
		limit = min(limit, d)
	}
	c.boundWrites(limit)
	c.admitted = admission.Request{Profile: c.route.Profile, Account: c.account, ArrivedAt: now, Deadline: now.Add(limit)}
	c.claimKey = claim.Key{Account: c.account, Key: c.key, Body: c.bodyHash()}
	c.admitted.Fingerprint = c.claimKey.Body
	return nil
}

func (c *call) bodyHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.r.Method + " " + c.r.URL.RequestURI() + "\n")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

func (c *call) needsClaim() bool { return c.key != "" && !c.route.Repeatable }

func (c *call) run(fp quarantine.Fingerprint) *kind.Error {
	req := &pipeline.Request{
		ID: c.hopID, Account: c.account, Key: c.key, Snapshot: c.snap,
		Method: c.r.Method, URI: c.r.URL.RequestURI(), ContentType: c.r.Header.Get("Content-Type"), Body: c.body,
		Route: c.route, Admitted: &c.admitted, Fingerprint: fp, CollectBody: c.claimed,
	}
	if c.wantsStream() {
		c.stream = &streamWriter{w: c.w}
		req.Sink = c.stream.write
	}
	res, err := c.Runner.Run(c.r.Context(), req)
	if res != nil && res.Late != nil {
		c.settleLate(res.Late)
		return err
	}
	c.settle(res, err)
	if err != nil {
		return err
	}
	if c.stream == nil {
		c.write(http.StatusOK, res.ContentType, res.Body)
	}
	c.Counters.Completed.Add(1)
	c.recordWhole()
	return nil
}

func (c *call) answer(status int, body []byte) { c.write(status, "application/json", body) }

func (c *call) write(status int, contentType string, body []byte) {
	c.answered = true
	if contentType == "" {
		contentType = "application/json"
	}
	c.w.Header().Set("Content-Type", contentType)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}
