package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/clock"
	"bilberrydale/process/drain"
	"bilberrydale/process/inforce"
	"bilberrydale/process/platform"
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

	store    platform.Store
	registry *server.Registry
	inForce  inforce.Cell[snapshot.Snapshot]
	gate     drain.Gate
	tracer   trace.Tracer

	releases releasesPart
	members  membersPart
	policy   policyPart
	requests requestsPart

	actors     []actor
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
		Export: opts.Spans, Endpoint: opts.SpansTo, Sample: opts.SpansShare,
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
		store:    platform.NewHTTP(platform.HTTPOptions{BaseURL: opts.Platform, Token: opts.PlatformToken}),
		registry: server.NewRegistry(),
	}
	// The order matters: later parts use what earlier ones made.
	if err := h.wireMembers(); err != nil {
		return nil, err
	}
	h.wireReleases()
	h.wirePolicy()
	h.wireRequests()
	h.callers = &http.Server{
		Handler: h.requests.handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10,
	}
	h.admin = &http.Server{Handler: h.adminHandler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 32 << 10}
	return h, h.listen()
}

func (h *Host) listen() error {
	for i, addr := range []string{h.opts.Listen, h.opts.Admin} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		h.listeners[i] = l
	}
	return nil
}

// Addresses returns the callers' and the operators' address.
func (h *Host) Addresses() (callers, admin string) {
	return h.listeners[0].Addr().String(), h.listeners[1].Addr().String()
}

// Run serves until ctx ends, then drains: readiness goes false, new requests
// are refused, and those in flight finish.
func (h *Host) Run(ctx context.Context) error {
	callers, admin := h.Addresses()
	h.log.Info("entry host started", "callers", callers, "admin", admin, "incarnation", h.incarnation)
	g, gctx := errgroup.WithContext(ctx)
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
		<-gctx.Done()
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

func (h *Host) shutdown() error {
	h.log.Info("draining", "active", h.gate.Active())
	h.gate.Close()
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.DrainTimeout)
	defer cancel()
	err := h.gate.Wait(ctx)
	if err != nil {
		err = fmt.Errorf("drain: %d requests still in flight: %w", h.gate.Active(), err)
	}
	err = errors.Join(err, h.callers.Shutdown(ctx), h.admin.Shutdown(ctx), h.flushSpans(ctx))
	h.log.Info("stopped", "err", err)
	return err
}

// Drain closes the gate on an operator's order; the process keeps running.
func (h *Host) Drain() { h.gate.Close() }
