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

	"bilberrydale/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/drain"
	"bilberrydale/process/inforce"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/server"
	"bilberrydale/process/telemetry"
	"bilberrydale/version/snapshot"
)

// Host is one entry host.
type Host struct {
	opts        Options
	incarnation uint64
	log         *log.Logger
	clock       clock.Clock
	rand        clock.Rand

	store    objectapi.Store
	registry *server.Registry
	inForce  inforce.Value[snapshot.Snapshot]
	gate     drain.Gate
	tracer   trace.Tracer

	releases releasesPart
	members  membersPart
	policy   policyPart
	requests requestsPart

	leaving atomic.Bool // readiness is false; requests are still taken
	vars    expvar.Map  // of this host; served under "bilberry"

	// afterDrain runs in turn at shutdown, after the last request has ended or
	// the drain has taken too long, and while every actor still runs. What an
	// actor did at its own end would race with the end of the peers' actor.
	afterDrain []func(context.Context) error

	actors     []actor
	reloads    []chan os.Signal
	flushSpans func(context.Context) error
	callers    *http.Server
	admin      *http.Server
	listeners  [2]net.Listener
}

// actor is a part that runs until its context ends.
type actor struct {
	name string
	run  func(context.Context) error
}

// add registers an actor; each wire function adds its own.
func (h *Host) add(name string, run func(context.Context) error) {
	h.actors = append(h.actors, actor{name, run})
}

// New builds an entry host and opens its listeners, so that a port in use is
// an error before anything runs.
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
		registry: server.NewRegistry(),
	}
	// The order matters: later parts use what earlier ones made.
	if err := h.wireMembers(); err != nil {
		return nil, err
	}
	h.wireReleases()
	h.wirePolicy()
	h.wireRequests()
	h.publishVars()
	h.callers = &http.Server{
		Handler: h.callersHandler(), ReadHeaderTimeout: opts.ReadHeaderTimeout, ReadTimeout: opts.ReadTimeout,
		IdleTimeout: opts.IdleTimeout, MaxHeaderBytes: opts.MaxHeaderBytes, ErrorLog: h.serverLog("callers"),
	}
	h.admin = &http.Server{
		Handler: h.adminHandler(), ReadHeaderTimeout: opts.ReadHeaderTimeout, ReadTimeout: opts.ReadTimeout,
		IdleTimeout: opts.IdleTimeout, MaxHeaderBytes: opts.MaxHeaderBytes, ErrorLog: h.serverLog("admin"),
	}
	if err := h.listen(); err != nil {
		_ = h.members.listener.Close()
		return nil, err
	}
	return h, nil
}

// serverLog passes on what net/http reports of broken connections.
func (h *Host) serverLog(port string) *stdlog.Logger {
	return h.log.With("port", port).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
}

func (h *Host) listen() error {
	ports := []struct{ name, addr, cert, key string }{
		{"callers", h.opts.ListenAddress, h.opts.CertFile, h.opts.KeyFile},
		{"admin", h.opts.AdminAddress, h.opts.AdminCertFile, h.opts.AdminKeyFile},
	}
	for i, p := range ports {
		l, err := net.Listen("tcp", p.addr)
		if err == nil {
			h.listeners[i], err = h.secure(l, p.name, p.cert, p.key)
		}
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s: %w", p.name, err)
		}
	}
	h.add("certificate reloads", h.forwardReloads)
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range h.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the callers' and the operators' address.
func (h *Host) Addresses() (callers, admin string) {
	return h.listeners[0].Addr().String(), h.listeners[1].Addr().String()
}

// Run serves until ctx ends, then drains: readiness goes false, new requests
// are refused, and those in flight finish. The actors run to the end of the
// drain: a request in flight may still need a claim, a lease or a peer.
func (h *Host) Run(ctx context.Context) error {
	callers, admin := h.Addresses()
	h.log.Info("entry host started", "callers", callers, "admin", admin, "incarnation", h.incarnation)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, gctx := errgroup.WithContext(running)
	g.Go(func() error { return serve(h.callers, h.listeners[0]) })
	g.Go(func() error { return serve(h.admin, h.listeners[1]) })
	for _, a := range h.actors {
		g.Go(func() error {
			if err := a.run(gctx); err != nil {
				return fmt.Errorf("%s: %w", a.name, err)
			}
			return nil
		})
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-gctx.Done(): // a part failed
		}
		defer stop()
		return h.shutdown()
	})
	return g.Wait()
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
