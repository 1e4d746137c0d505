package entryhost

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/clientconn"
	"bilberrydale/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/current"
	"bilberrydale/process/drain"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/serverstate"
	"bilberrydale/process/telemetry"
	"bilberrydale/version/snapshot"
)

// Host is an entry host: its listeners, its HTTP servers and the background
// tasks behind them.
type Host struct {
	opts        Options
	incarnation uint64 // start time in Unix nanoseconds; tells restarts with the same name apart
	log         *log.Logger
	clock       clock.Clock
	rand        clock.Rand

	store    objectapi.Store                  // object API of the platform
	registry *serverstate.Registry            // states of backend servers, kept over releases
	inForce  current.Value[snapshot.Snapshot] // snapshot of the release in force; empty before the first one
	gate     drain.Gate                       // counts requests in flight; closed when new ones are refused
	tracer   trace.Tracer

	releases   releaseComponents
	membership membershipComponents
	policy     policyComponents
	requests   requestComponents

	drainRequested atomic.Bool // not ready any more; requests are served until gate closes
	vars           expvar.Map  // served under "bilberry" at /debug/vars

	// afterDrain is called in order at shutdown, once the last request has ended
	// or the drain has timed out, and while all tasks still run. Work that a task
	// did at its own end would race with the end of the peer connections.
	afterDrain []func(context.Context) error

	tasks         []task
	certReloads   []chan os.Signal            // one for each certificate; see forwardReloadSignals
	flushSpans    func(context.Context) error // exports the remaining spans
	callersServer *http.Server
	adminServer   *http.Server
	listeners     [2]net.Listener         // callers, admin
	conns         [2]*clientconn.Listener // on which the listeners accept
	// requestsCtx is the parent of the contexts of requests.
	requestsCtx context.Context
	cutRequests context.CancelCauseFunc // cancels requestsCtx
}

// task is background work that runs until its context ends. An error from it
// shuts the host down.
type task struct {
	name string
	run  func(context.Context) error
}

// addTask registers a background task that Run starts. Each wire function adds
// the tasks of its components.
func (h *Host) addTask(name string, run func(context.Context) error) {
	h.tasks = append(h.tasks, task{name, run})
}

// New builds an entry host and opens its listeners, so that a port in use is
// reported before anything runs. It returns the errors of Options.Check and those
// of logging, tracing and listening. Call Run to serve.
func New(ctx context.Context, opts Options) (*Host, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	tel := telemetry.Options{
		Service: "bilberryd", Host: opts.Name, LogLevel: opts.LogLevel, LogJSON: opts.LogJSON,
		ExporterName: opts.SpanExporterName, Endpoint: opts.OTLPEndpoint, SampleRatio: opts.SpanSampleRatio, SpanExporter: opts.SpanExporter,
	}
	logger, err := telemetry.NewLog(tel)
	if err != nil {
		return nil, err
	}
	tracer, flush, err := telemetry.NewTracer(ctx, tel)
	if err != nil {
		return nil, err
	}
	h := &Host{
		opts: opts, incarnation: uint64(time.Now().UnixNano()), log: logger,
		clock: clock.System{}, rand: clock.SystemRand{}, flushSpans: flush, tracer: tracer,
		store:    objectapi.NewClient(platform.NewObjectStore(platform.NewStoreClientForURL(opts.PlatformURL, opts.PlatformToken)), objectapi.ClientOptions{}),
		registry: serverstate.NewRegistry(),
	}
	h.requestsCtx, h.cutRequests = context.WithCancelCause(context.Background())
	// The order matters: each step uses components that earlier steps created.
	if err := h.wireMembership(); err != nil {
		return nil, err
	}
	h.wireReleases()
	h.wirePolicy()
	h.wireRequests()
	h.publishVars()
	h.callersServer = &http.Server{
		Handler: h.callersHandler(), ReadHeaderTimeout: opts.ReadHeaderTimeout, ReadTimeout: opts.ReadTimeout,
		IdleTimeout: opts.IdleTimeout, MaxHeaderBytes: opts.MaxHeaderBytes, ErrorLog: h.httpErrorLog("callers"), ConnState: clientconn.StateChanged,
		BaseContext: func(net.Listener) context.Context { return h.requestsCtx },
	}
	h.adminServer = &http.Server{
		Handler: h.adminHandler(), ReadHeaderTimeout: opts.ReadHeaderTimeout, ReadTimeout: opts.ReadTimeout,
		IdleTimeout: opts.IdleTimeout, MaxHeaderBytes: opts.MaxHeaderBytes, ErrorLog: h.httpErrorLog("admin"), ConnState: clientconn.StateChanged,
	}
	if err := h.listen(); err != nil {
		_ = h.membership.listener.Close()
		return nil, err
	}
	return h, nil
}

// httpErrorLog returns a logger for the connection errors that net/http reports,
// at level debug.
func (h *Host) httpErrorLog(port string) *stdlog.Logger {
	return h.log.With("port", port).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
}

// listen opens the callers' and the admin port. On an error it closes those that it
// opened.
func (h *Host) listen() error {
	ports := []struct{ name, addr, cert, key string }{
		{"callers", h.opts.ListenAddress, h.opts.CertFile, h.opts.KeyFile},
		{"admin", h.opts.AdminAddress, h.opts.AdminCertFile, h.opts.AdminKeyFile},
	}
	for i, p := range ports {
		l, err := net.Listen("tcp", p.addr)
		if err == nil {
			h.conns[i] = &clientconn.Listener{TCPListener: l.(*net.TCPListener), Limits: h.connLimits, TLS: p.cert != ""}
			h.listeners[i], err = h.wrapTLS(h.conns[i], p.name, p.cert, p.key)
		}
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s: %w", p.name, err)
		}
	}
	h.addTask("certificate reloads", h.forwardReloadSignals)
	return nil
}

// connLimits returns the limits of connections of callers and operators.
func (h *Host) connLimits() clientconn.Limits {
	return clientconn.Limits{HeaderTimeout: h.opts.ReadHeaderTimeout, IdleTimeout: h.opts.IdleTimeout}
}

// closeListeners closes the listeners that are open.
func (h *Host) closeListeners() {
	for _, l := range h.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses, host:port, on which the host listens for
// callers and for operators.
func (h *Host) Addresses() (callers, admin string) {
	return h.listeners[0].Addr().String(), h.listeners[1].Addr().String()
}

// Run serves until ctx ends or a task fails, then drains: readiness turns
// false, new requests are refused after the drain delay, and those in flight
// finish or run into the drain timeout. The tasks run to the end of the drain,
// because a request in flight may still need a claim, a lease or a peer. Run is
// called once; it returns the first error of a server, a task or the shutdown.
func (h *Host) Run(ctx context.Context) error {
	callers, admin := h.Addresses()
	h.log.Info("entry host started", "callers", callers, "admin", admin, "incarnation", h.incarnation)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, gctx := errgroup.WithContext(running)
	g.Go(func() error { return serve(h.callersServer, h.listeners[0]) })
	g.Go(func() error { return serve(h.adminServer, h.listeners[1]) })
	for _, t := range h.tasks {
		g.Go(func() error {
			if err := t.run(gctx); err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
			return nil
		})
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-gctx.Done(): // a task or a server failed
		}
		defer stop()
		return h.shutdown()
	})
	return g.Wait()
}

// serve serves s on l until the server is shut down, which is not an error.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
