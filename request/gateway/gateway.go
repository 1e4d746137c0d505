// Package gateway handles client requests on a platform. For each request it matches the
// route, authenticates the client account, runs the route's stages, sends the request to
// one backend server and relays the response. It retries only requests whose route permits
// it or that provably did not run, and reports "not run" to the client only if that is
// certain.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberrydale/connection/bodylimit"
	"bilberrydale/connection/upstream"
	"bilberrydale/process/clock"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/current"
	"bilberrydale/process/directory"
	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/residency"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverspeed"
	"bilberrydale/process/stages"
	"bilberrydale/process/streamwriter"
	"bilberrydale/process/waitline"
	"bilberrydale/request/wire"
	"bilberrydale/version/plan"
)

// Options configures a Gateway. All fields but MemoryBytes are required.
type Options struct {
	Domain        string                            // failure domain of this entry host
	OneWayLatency func(domain string) time.Duration // one-way network latency to a failure domain
	Plan          *current.Value[plan.Plan]         // active configuration; not set: requests are refused
	Directory     *directory.Directory              // backend servers
	Servers       ServerClient
	Headers       wire.Headers // header format of the platform
	Pool          *stages.Pool // runs the stages
	RetryLimiter  RetryLimiter
	Shares        AccountShares
	ColdStart     *coldstart.Limiter   // limits requests to cold servers
	ServerLimits  *serverlimit.Limiter // limits that servers name
	Guard         quarantine.Guard     // refuses requests that crash backend servers
	Writers       StreamWriters
	Clock         clock.Clock
	Rand          clock.Rand
	// KeysFresh reports whether the API keys of the current plan were confirmed recently enough
	// to be accepted, and the time since that confirmation.
	KeysFresh func() (ok bool, age time.Duration)
	// Started is closed once the host can serve requests after the start of the process.
	Started <-chan struct{}
	// ShuttingDown reports whether the process is shutting down. Responses then carry
	// "Connection: close".
	ShuttingDown func() bool
	// BalancerLeft reports whether the balancer has had the time to leave this host since the shutdown
	// started.
	BalancerLeft func() bool
	// ShutdownStarted is closed when the shutdown starts. From then on, ShutdownDeadline
	// returns the time at which the contexts of the remaining requests are cancelled with
	// drain.ErrDeadline.
	ShutdownStarted  <-chan struct{}
	ShutdownDeadline func() time.Time
	MemoryBytes      int64 // memory limit of the process; 0: not known
	// Log is called once for each request, at its end.
	Log func(*LogEntry)
}

// ServerClient sends requests to backend servers. Its errors are those of upstream.Client.
type ServerClient interface {
	// Do sends a request to a server's address (host:port) once and returns when the response
	// headers have arrived.
	Do(ctx context.Context, address string, req *upstream.Request) (*upstream.Response, error)
	// Probe opens a connection to a server. syscall.ECONNREFUSED in the chain of its error
	// proves that the server's process has ended.
	Probe(ctx context.Context, address string) error
	// ProbeProcess returns nil if the process that a request is for still responds. An error proves
	// nothing.
	ProbeProcess(ctx context.Context, address string, req *upstream.Request) error
	// CloseIdle is called after a failure of a server, or of the way to it.
	CloseIdle(address string)
}

// StreamWriters remembers which software began each stream, and tells it where a client takes a
// stream up. It is implemented by streamwriter.Tracker.
type StreamWriters interface {
	// Begin is called before the first event of a stream is sent to the client.
	Begin(attemptID, route string, w streamwriter.Writer, ttl time.Duration)
	// MayBegin reports whether streams that clients may take up may begin at a writer now.
	MayBegin(w streamwriter.Writer) bool
	// Resolve returns the writer of a stream and how it is known, or a streamwriter.ErrUnknown.
	Resolve(ctx context.Context, q streamwriter.Query) (streamwriter.Writer, streamwriter.Source, error)
}

// RetryLimiter limits, per service, the attempts of requests beyond the first.
type RetryLimiter interface {
	// RecordRequest counts a new request, which adds to the retry budget of its service.
	RecordRequest(service string)
	// AllowRetry takes a retry from the retry budget of the service. It returns false if none
	// is left.
	AllowRetry(service string) bool
	// ReturnRetry gives back a retry for which no attempt was made.
	ReturnRetry(service string)
}

// Gateway is the http.Handler for client requests. It is safe for concurrent use.
type Gateway struct {
	opts             Options
	streamDurations  streamDurations
	requestDurations requestDurations
	startedAt        time.Time    // creation of the gateway
	startWaiters     atomic.Int64 // requests in awaitStart
	pauseWaiters     atomic.Int64 // requests in awaitPause
	bodies           *bodylimit.Budget
	lines            waitingLines
	questions        singleflight.Group // of askServer, by process of a server
	sweptVersion     atomic.Int64       // of the newest plan for which lines were swept
	uploads          *bodylimit.Uploads
	readAhead        *readAheadBudget
	prefillTimes     prefillTimes
	statedCosts      statedCosts
	usualTimes       serverspeed.Kinds
	balanceSeed      uint64 // see balance.Query.Seed
}

// New returns a Gateway with the given options.
func New(opts Options) *Gateway {
	return &Gateway{
		opts: opts, startedAt: opts.Clock.Now(), balanceSeed: opts.Rand.Uint64(),
		bodies: bodylimit.NewBudget(opts.MemoryBytes), uploads: bodylimit.NewUploads(opts.MemoryBytes), readAhead: newReadAheadBudget(opts.MemoryBytes),
	}
}

// LogEntry is the access log entry of one request.
type LogEntry struct {
	ID                string
	Route             string                 // empty: no route matched
	Account           string                 // empty: none, or not identified
	Service           string                 // that the request itself runs on; empty: refused before it was chosen
	PlanVersion       int64                  // configuration version
	Status            int                    // of the response; 0: none was sent
	Kind              errkind.Kind           // empty: the response of a backend server was relayed
	Ran               errkind.Ran            // whether a backend server ran the request
	Detail            string                 // reason of an error
	Server            string                 // ID of the last backend server that the request was sent to
	Attempts          int                    // sends to backend servers
	Outcomes          AttemptOutcomes        // of these, but for those with a response
	SilencesAwaited   int                    // times that the run of a stream was kept as its server answered nobody
	Fingerprint       quarantine.Fingerprint // of the content; 0: the body was not read
	PromptParts       []string               // IDs of the parts of the prompt
	ServerCrashes     int                    // attempts during which the server crashed
	Trial             bool                   // the request is in quarantine, and this was its trial
	Duration          time.Duration
	StageDuration     time.Duration // from arrival to the end of the stage work
	TimeToFirstByte   time.Duration // since arrival; 0: no byte was sent
	DeadlineRemaining time.Duration // until the deadline, at the end of the request; negative: exceeded
	RetryAfter        time.Duration // sent to the client; 0: none
	// Waited is the time in the line of the service for room at a server.
	Waited time.Duration
	// WaitOutcome is how the last wait in that line ended.
	WaitOutcome         waitline.Outcome
	StreamInterruptions int           // attempts whose stream broke off, resumed or not
	KeyAge              time.Duration // time since the API keys were last confirmed
	CarriedBy           string        // host by way of which the last response came; empty: directly
	// BodyEnd is how the end of the last response's body was marked; empty: no response.
	BodyEnd upstream.BodyEnd
	Events  int // events sent to the client
	// EventVersions are the software versions of the servers whose events were sent to the
	// client, each once. More than one in a stream is a fault.
	EventVersions []string
	LastEventID   string // event after which the client continues a stream; empty: from the start
	// FirstAttemptID is the client's attempt that began that stream; empty: not specified.
	FirstAttemptID string
	// WriterSource is how the writer of that stream is known.
	WriterSource    streamwriter.Source
	AnswerUnread    bool // the answer was broken off as the client did not read it
	IncompleteBytes int  // bytes after the last complete event of the last stream
	// Failures are what went wrong in attempts, in order, at most maxNotedFailures.
	Failures []string
}

// AttemptOutcomes counts the attempts without a response by what proves that they have not run.
type AttemptOutcomes struct {
	NotSent  int // no byte was sent
	Refused  int // their servers state it
	Unproven int // nothing does
}

// count counts an attempt that ended with err.
func (o *AttemptOutcomes) count(err error) {
	switch {
	case err == nil:
	case errors.Is(err, errNotSent):
		o.NotSent++
	case errors.Is(err, errNotRun):
		o.Refused++
	default:
		o.Unproven++
	}
}

// maxNotedFailures bounds LogEntry.Failures.
const maxNotedFailures = 8

// noteFailure adds to Failures.
func (e *LogEntry) noteFailure(text string) {
	if len(e.Failures) < maxNotedFailures {
		e.Failures = append(e.Failures, text)
	}
}

// exchange is the state of one request while it is handled.
type exchange struct {
	*Gateway
	w                http.ResponseWriter
	clientConn       *http.ResponseController // of w
	r                *http.Request
	clientRequest    wire.ClientRequest // decoded headers of r
	route            *plan.Route
	services         *plan.Services      // of the configuration of the route
	maxBodyBytes     int64               // of that configuration; 0: not set
	account          string              // name of the client account; empty: none
	priority         int                 // of the client account or the route; 0: most urgent
	service          string              // that the request itself runs on, after its stages
	allowed          residency.Set       // regions in which the request may be served
	writer           streamwriter.Writer // of the stream, once it has begun
	body             *bodylimit.Body     // of the client's request; nil: empty
	answers          []*bodylimit.Body   // of servers, read into memory
	bodyUnread       bool                // a part of the body was not read
	subjects         quarantine.Subjects // to which crashes during the request are attributed
	arrivedAt        time.Time
	firstSentAt      time.Time      // zero: not sent to a server yet
	targetTime       time.Time      // arrival plus target latency
	deadline         time.Time      // the request is cancelled then
	results          stages.Results // stage results that are not yet freed
	stageRound       int            // number of times the stages were rerun
	inputHandles     []string       // handles of the stage results
	inputsReleased   bool           // the request has had stage results that it needs again for another attempt
	preferredServer  string         // ID of the server chosen with the stage results; empty: none
	kvSource         string         // ID of a server that has the KV cache of the shared prompt prefix; empty: unknown
	inputDomain      string         // failure domain that holds most bytes of the stage results; empty: none
	inputDomainBytes int64          // number of these bytes in inputDomain
	logEntry         LogEntry
	askedBefore      time.Duration    // for which the client has probably been asking before this attempt
	headersSent      bool             // the response headers have been written
	abort            bool             // the connection has to be aborted, as the response is incomplete
	mayHaveRun       bool             // a backend server may have run the request
	shared           bool             // admitted by Options.Shares, without a final outcome so far
	sharedCost       float64          // of which Options.Shares was told
	noRoom           bool             // recordNoRoom has counted the request
	refusedForRoom   bool             // a server has refused the request for want of room
	reachedServer    bool             // the request may have reached a backend server, whether or not it ran
	firstEventAt     time.Time        // when the headers of a stream were written, with its first event
	lastEventAt      time.Time        // when the last event of a stream was written
	turn             *waitline.Ticket // with which the request left the line and that it has not used yet; nil: none
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the response
// cannot be completed.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Gateway: g, w: w, clientConn: http.NewResponseController(w), r: r, arrivedAt: g.opts.Clock.Now(), clientRequest: g.opts.Headers.DecodeClientRequest(r.Header)}
	x.logEntry.ID = x.clientRequest.AttemptID
	x.logEntry.LastEventID, x.logEntry.FirstAttemptID = x.clientRequest.LastEventID, x.clientRequest.FirstAttemptID
	defer x.releaseBodies()
	if err := x.serve(); err != nil {
		x.writeError(errkind.From(err))
	}
	x.freeResults()
	x.logEntry.Duration = g.opts.Clock.Now().Sub(x.arrivedAt)
	if !x.deadline.IsZero() {
		x.logEntry.DeadlineRemaining = x.deadline.Sub(g.opts.Clock.Now())
	}
	g.opts.Log(&x.logEntry)
	if x.abort {
		x.abortResponse()
	}
}

// abortResponse panics with http.ErrAbortHandler, as a normal return would mark the response as
// complete. A client of HTTP/1.0 takes the end of its connection for the end of the response; it
// gets a reset.
func (x *exchange) abortResponse() {
	if x.headersSent && !x.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0) // fails only if the connection is closed already
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// serve handles the request up to the end of the response. The caller reports a non-nil error
// to the client.
func (x *exchange) serve() error {
	x.awaitStart()
	if err := x.admit(); err != nil {
		return err
	}
	if err := x.checkServable(); err != nil {
		return err
	}
	if err := x.takeAccountShare(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	for _, part := range x.clientRequest.PromptParts {
		x.logEntry.PromptParts = append(x.logEntry.PromptParts, part.ID)
	}
	x.subjects = quarantine.NewSubjects(x.fingerprint(), x.logEntry.PromptParts)
	x.logEntry.Fingerprint = x.subjects.Content()
	if err := quarantine.Permit(x.opts.Guard, x.subjects); err != nil {
		return notSent(err)
	}
	if err := x.refuseIfCutOff(); err != nil { // the body may have taken long
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := x.runStages(ctx); err != nil {
		return x.classifyError(ctx, err)
	}
	err := x.serveBackend(ctx)
	if x.mayHaveRun {
		x.recordTaken()
		if x.route.Kind != plan.Stream {
			x.requestDurations.observe(x.route.Name, x.opts.Clock.Now().Sub(x.firstSentAt))
		}
	}
	if err == nil && x.logEntry.Status < http.StatusMultipleChoices {
		x.clearSuspicion()
	}
	return x.classifyError(ctx, err)
}

// serveBackend sends the request to backend servers after its stages and relays the response.
func (x *exchange) serveBackend(ctx context.Context) error {
	if x.route.Kind == plan.Stream {
		return x.serveStream(ctx)
	}
	return x.serveBuffered(ctx)
}

// admit matches the route, authorizes the client account, and sets the deadline, the target
// time, the service and, for a stream that the client takes up, its writer. The error is the reason for which the request is refused.
func (x *exchange) admit() error {
	p := x.opts.Plan.Load()
	if p == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	x.services, x.maxBodyBytes, x.logEntry.PlanVersion = p.Services(), p.Limits.MaxBodyBytes, p.Version
	x.sweepLines(p)
	if limit, n := p.Limits.MaxHeaderBytes, headerBytes(x.r.Header); limit > 0 && n > limit {
		return errkind.New(errkind.HeadersTooLarge, "the headers have %d bytes, over %d", n, limit)
	}
	x.route = p.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return errkind.New(errkind.NoRoute, "no route for host %q and path %q", x.r.Host, x.r.URL.Path)
	}
	x.logEntry.Route = x.route.Name
	x.priority = x.route.Priority
	x.allowed.RouteRegions = x.route.Regions
	if err := x.authorize(p); err != nil {
		return err
	}
	if x.clientRequest.AttemptID == "" {
		return errkind.New(errkind.BadRequest, "the request has no id")
	}
	timeout := x.route.Timeout
	if d := x.clientRequest.Timeout; d > 0 && (timeout <= 0 || d < timeout) {
		timeout = d
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrivedAt.Add(timeout)
	x.targetTime = x.arrivedAt.Add(x.route.TargetLatency)
	if err := x.refuseIfCutOff(); err != nil {
		return err
	}
	if err := x.chooseService(); err != nil {
		return err
	}
	x.logEntry.Service = x.service
	x.opts.RetryLimiter.RecordRequest(x.service)
	return nil
}

// headerBytes returns the size of headers as sent.
func headerBytes(h http.Header) (n int) {
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// defaultTimeout applies to requests for which neither the client nor the route sets a
// timeout.
const defaultTimeout = 30 * time.Second

// authorize finds the client account by the API key, unless none is required.
func (x *exchange) authorize(p *plan.Plan) error {
	if x.route.Public || !p.KeysRequired() {
		return nil
	}
	fresh, age := x.opts.KeysFresh()
	x.logEntry.KeyAge = age
	if !fresh {
		return errkind.New(errkind.KeysNotFresh, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	a := p.AccountByKey(x.clientRequest.APIKey)
	if a == nil {
		return errkind.New(errkind.UnknownKey, "no account of configuration %d holds the key", p.Version)
	}
	x.account, x.logEntry.Account = a.Name, a.Name
	x.allowed.AccountRegions = a.Regions
	if a.HasPriority {
		x.priority = a.Priority
	}
	return nil
}

// classifyError converts the error that ended a request into a *errkind.Error, and marks the
// response as aborted if the client has disconnected.
func (x *exchange) classifyError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.cutByShutdown() {
		e := draining(drain.ErrDeadline)
		e.Dispatched = x.mayHaveRun
		return e
	}
	if x.r.Context().Err() != nil {
		x.abort = true
		detail := "the client left"
		if x.logEntry.AnswerUnread {
			detail = "the client did not read its stream"
		}
		return &errkind.Error{Kind: errkind.Cancelled, Detail: detail, Dispatched: x.mayHaveRun, Cause: err}
	}
	var known *errkind.Error
	if errors.As(err, &known) {
		known.Dispatched = known.Dispatched || x.mayHaveRun
		return known
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) && !x.mayHaveRun {
		k := errkind.Overloaded
		if x.mayHaveRun {
			k = errkind.DeadlineExceeded
		}
		return &errkind.Error{Kind: k, Detail: "the deadline has passed", Dispatched: x.mayHaveRun, Cause: err}
	}
	k := errkind.NoBackend
	if x.mayHaveRun {
		k = errkind.BackendFailed
	}
	return &errkind.Error{Kind: k, Detail: err.Error(), Dispatched: x.mayHaveRun, Cause: err}
}

// freeResults releases the stage results that the request still holds.
func (x *exchange) freeResults() {
	x.opts.Pool.Free(x.results)
	x.results = stages.Results{}
}
