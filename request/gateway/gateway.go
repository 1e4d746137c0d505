// Package gateway serves one client request on a platform: it finds the route
// and the client account, has the stages' items made, sends the request to one
// backend server and passes the answer on. It keeps what may be repeated apart
// from what may not, and says "not run" only where that is certain.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bilberrydale/connection/upstream"
	"bilberrydale/process/clock"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/directory"
	"bilberrydale/process/inforce"
	"bilberrydale/process/kind"
	"bilberrydale/process/residency"
	"bilberrydale/process/stages"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// Options are what a Gateway needs; all are required.
type Options struct {
	Domain    string // failure domain of this host
	Distance  func(domain string) time.Duration
	Plan      *inforce.Cell[plan.Plan]
	Directory *directory.Directory
	Upstream  *upstream.Client
	Headers   wire.Headers // of the platform
	Pool      *stages.Pool
	Budget    RetryBudget
	ColdStart *coldstart.Limiter
	Clock     clock.Clock
	Rand      clock.Rand
	// KeysFresh reports whether the keys of the plan in force are recent enough
	// to be honoured, and the age of that knowledge.
	KeysFresh func() (ok bool, age time.Duration)
	// Closing reports whether the process is about to stop.
	ShuttingDown func() bool
	// RefuseLong reports whether streams would be cut by the stop of the process.
	RefuseStreams func() bool
	// Stopping is closed when the process is told to stop; StopEnd tells from
	// then on when requests will be cut.
	ShutdownStarted  <-chan struct{}
	ShutdownDeadline func() time.Time
	Log              func(*LogEntry)
}

// Budget bounds the sends beyond the first of each request, by service.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRetry(service string) bool
}

// Gateway is the handler of clients' requests.
type Gateway struct {
	opts  Options
	times streamTimes
	reads readTimes
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// Record is what is logged of one request.
type LogEntry struct {
	ID                string
	Route             string
	Account           string
	Service           string
	PlanVersion       int64
	Status            int
	Kind              kind.Kind // empty: a backend server's answer
	Ran               kind.Ran
	Detail            string
	Server            string
	Attempts          int
	Duration          time.Duration
	StageDuration     time.Duration
	TimeToFirstByte   time.Duration // from arrival; 0: none
	DeadlineRemaining time.Duration // of the client's deadline, at the end
	RetryAfter        time.Duration
	Resumptions       int
	KeyAge            time.Duration // of the knowledge that the key holds
}

// exchange is one request on its way.
type exchange struct {
	*Gateway
	w         http.ResponseWriter
	r         *http.Request
	client    wire.ClientRequest
	plan      *plan.Plan
	route     *plan.Route
	account   string
	priority  int
	service   string
	allowed   residency.Set // regions in which it may be served
	body      []byte
	start     time.Time
	aim       time.Time
	deadline  time.Time
	made      stages.Results // inputs that are not yet freed
	round     int            // how often the inputs were made again
	inputs    []string
	target    string // server chosen for the first attempt; empty: none
	fetch     string // server that has read the shared part of the prompt; empty: none known
	near      string // failure domain that holds most of the inputs
	nearBytes int64
	rec       LogEntry
	begun     bool      // the head of the answer is on its way
	abort     bool      // the answer has to end as incomplete
	sent      bool      // a backend server may have run the request
	arrived   bool      // it may have reached one, which ran it or not
	firstAt   time.Time // of the first event
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Gateway: g, w: w, r: r, start: g.opts.Clock.Now(), client: g.opts.Headers.DecodeClientRequest(r.Header)}
	x.rec.ID = x.client.AttemptID
	if err := x.serve(); err != nil {
		x.answerError(kind.From(err))
	}
	x.freeInputs()
	x.rec.Duration = g.opts.Clock.Now().Sub(x.start)
	if !x.deadline.IsZero() {
		x.rec.DeadlineRemaining = x.deadline.Sub(g.opts.Clock.Now())
	}
	g.opts.Log(&x.rec)
	if x.abort {
		// Ending the handler would mark the answer as whole.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) serve() error {
	if err := x.admit(); err != nil {
		return err
	}
	if err := x.servable(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := x.runStages(ctx); err != nil {
		return x.final(ctx, err)
	}
	if x.route.Kind == plan.Stream {
		return x.final(ctx, x.stream(ctx))
	}
	return x.final(ctx, x.plain(ctx))
}

// admit finds route and account and sets the request's times.
func (x *exchange) admit() error {
	p := x.opts.Plan.Load()
	if p == nil {
		return kind.New(kind.NotReady, "no configuration yet")
	}
	x.plan, x.rec.PlanVersion = p, p.Version
	x.route = p.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return kind.New(kind.NoRoute, "no route for host %q and path %q", x.r.Host, x.r.URL.Path)
	}
	x.rec.Route = x.route.Name
	if x.route.Kind == plan.Stream && x.opts.RefuseStreams() {
		return &kind.Error{Kind: kind.Draining, Detail: "this host stops before a stream could end", RetryAfter: drainingRetry}
	}
	x.priority = x.route.Priority
	x.allowed.RouteRegions = x.route.Regions
	if err := x.authorize(); err != nil {
		return err
	}
	if x.client.AttemptID == "" {
		return kind.New(kind.BadRequest, "the request has no id")
	}
	wait := x.route.Timeout
	if d := x.client.Timeout; d > 0 && (wait <= 0 || d < wait) {
		wait = d
	}
	if wait <= 0 {
		wait = defaultWait
	}
	x.deadline = x.start.Add(wait)
	x.aim = x.start.Add(x.route.TargetLatency)
	x.service = x.route.PickService(x.opts.Rand.Float64())
	x.rec.Service = x.service
	x.opts.Budget.RecordRequest(x.service)
	return nil
}

// defaultWait bounds a request for which neither client nor route says how long
// it may take.
const defaultWait = 30 * time.Second

func (x *exchange) authorize() error {
	if x.route.Public || !x.plan.HasAccounts() {
		return nil
	}
	fresh, age := x.opts.KeysFresh()
	x.rec.KeyAge = age
	if !fresh {
		return kind.New(kind.KeysNotFresh, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	a := x.plan.AccountByKey(x.client.APIKey)
	if a == nil {
		return kind.New(kind.UnknownKey, "no account of configuration %d holds the key", x.plan.Version)
	}
	x.account, x.rec.Account = a.Name, a.Name
	x.allowed.AccountRegions = a.Regions
	if a.HasPriority {
		x.priority = a.Priority
	}
	return nil
}

func (x *exchange) readBody() error {
	limit := x.plan.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if x.r.ContentLength > limit {
		return kind.New(kind.TooLarge, "the body has %d bytes, over %d", x.r.ContentLength, limit)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		x.abort = true
		return &kind.Error{Kind: kind.Cancelled, Detail: "the body did not arrive", Cause: err}
	}
	if int64(len(body)) > limit {
		return kind.New(kind.TooLarge, "the body is over %d bytes", limit)
	}
	x.body = body
	return nil
}

// defaultBody bounds bodies where the configuration does not: 4 MiB.
const defaultBody = 4 << 20

// final turns what ended a request into its answer's error.
func (x *exchange) final(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.r.Context().Err() != nil {
		x.abort = true
		return &kind.Error{Kind: kind.Cancelled, Detail: "the client left", Dispatched: x.sent, Cause: err}
	}
	var known *kind.Error
	if errors.As(err, &known) {
		known.Dispatched = known.Dispatched || x.sent
		return known
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) && !x.sent {
		k := kind.Overloaded
		if x.sent {
			k = kind.DeadlineExceeded
		}
		return &kind.Error{Kind: k, Detail: "the deadline has passed", Dispatched: x.sent, Cause: err}
	}
	k := kind.NoBackend
	if x.sent {
		k = kind.BackendFailed
	}
	return &kind.Error{Kind: k, Detail: err.Error(), Dispatched: x.sent, Cause: err}
}

func (x *exchange) freeInputs() {
	x.opts.Pool.Free(x.made)
	x.made = stages.Results{}
}
