// Package edge wires an entry host on a platform that keeps configuration and
// backend servers in its object API. It is the library behind bilberryedge.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/upstream"
	"bilberrydale/platform"
	"bilberrydale/process/budget"
	"bilberrydale/process/clock"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/directory"
	"bilberrydale/process/follow"
	"bilberrydale/process/inforce"
	"bilberrydale/process/meter"
	"bilberrydale/process/peer"
	"bilberrydale/process/reach"
	"bilberrydale/process/record"
	"bilberrydale/process/stages"
	"bilberrydale/request/gateway"
	"bilberrydale/version/plan"
)

// Options configure an entry host.
type Options struct {
	Settings platform.Settings
	// Reload is sent a value when the settings file has changed.
	Reload <-chan struct{}
	// ReadSettings reads the file again.
	ReadSettings func() (platform.Settings, error)
	LogOutput    io.Writer // of the log
}

// Host is one entry host.
type Host struct {
	opts      Options
	settings  platform.Settings
	clock     clock.Clock // of requests
	bootClock clock.Clock // of beliefs; counts suspension
	rand      clock.Rand

	logWriter *record.AsyncWriter
	log       *log.Logger
	logLimits logLimits
	meter     *meter.Meter

	store      *platform.Store
	plan       inforce.Cell[plan.Plan]
	directory  *directory.Directory
	config     *follow.Follower[plan.Config]
	servers    *follow.Follower[directory.Entry]
	entryHosts *follow.Follower[peer.Identity]
	// evacuations is nil where the platform knows none.
	evacuations *follow.Follower[platform.Evacuation]
	// evacuationsKnown is set once they have been listed.
	evacuationsListed atomic.Bool
	coldStart         *coldstart.Limiter
	reach             *reach.Monitor
	configConfirmedAt atomic.Int64 // of the configuration, boot clock, nanoseconds; 0: never
	upstream          *upstream.Client
	budget            *budget.RetryLimiter
	batchers          *batchers
	stages            *stages.Pool
	gateway           *gateway.Gateway

	self       peer.Identity
	mesh       *peer.Mesh
	peerSecret atomic.Pointer[string]
	// unreadable: the newest configuration could not be read, so that the keys of
	// the one in force cannot be confirmed.
	configUnreadable atomic.Bool
	hostsListed      chan struct{} // closed once the platform has listed the entry hosts
	// listed are the hosts as the platform last listed them; nil: not yet.
	listedHosts atomic.Pointer[map[string]follow.Object[peer.Identity]]

	listeners     struct{ callers, ready, peers, metrics net.Listener }
	callers       *http.Server
	ready         *http.Server
	metrics       *http.Server
	stopping      atomic.Bool
	stopRequested chan struct{} // closed when the process is told to stop
	stopDeadline  atomic.Pointer[time.Time]
	// refuseLong is set when a stream that came now would be cut by the stop.
	refuseStreams  atomic.Bool
	activeRequests atomic.Int64
}

// New builds an entry host and opens its listeners.
func New(opts Options) (*Host, error) {
	set := opts.Settings
	h := &Host{
		opts: opts, settings: set, clock: clock.System{}, bootClock: clock.Boot{}, rand: clock.SystemRand{},
		logWriter: record.NewAsyncWriter(opts.LogOutput), meter: meter.New(), store: platform.NewStore(set.StoreAddress),
		directory: directory.New(), stopRequested: make(chan struct{}), hostsListed: make(chan struct{}),
	}
	h.log = record.NewLogger(h.logWriter, set.Host)
	h.logLimits = newLogLimits()
	h.store.OnCall(h.countPlatformCall)
	h.upstream = upstream.New(upstream.Options{
		ServerIdleTimeout: func(header http.Header) time.Duration {
			return platform.Headers{}.DecodeServerResponse(http.StatusOK, header).IdleTimeout
		},
		OnConnect: func(string) { h.meter.Add("upstream_connections_opened", 1) },
	})
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.createMesh()
	h.createFollowers()
	h.batchers = newBatchers(h)
	h.stages = stages.NewPool(h.mesh, h.clock, stages.NewCoordinator(h.batchers.get, h.stageTarget, h.clock, h), h.stageRegion, h)
	h.budget = budget.New(budget.Options{
		Ratio: set.RetryRatio, Window: set.RetryWindow, Slack: set.RetrySlack, Clock: h.clock,
		Hosts: func() int { return len(h.mesh.Peers()) + 1 + joiningHosts },
	})
	h.coldStart = coldstart.New(set.Host, h.knownHosts)
	h.gateway = gateway.New(gateway.Options{
		Domain: set.Domain, Distance: h.delayTo, Plan: &h.plan, Directory: h.directory, Upstream: h.upstream, Headers: platform.Headers{},
		Pool: h.stages, Budget: h.budget, ColdStart: h.coldStart, Clock: h.clock, Rand: h.rand, KeysFresh: h.keysFresh,
		ShuttingDown: h.stopping.Load, RefuseStreams: h.refuseStreams.Load,
		ShutdownStarted: h.stopRequested, ShutdownDeadline: func() time.Time { return *h.stopDeadline.Load() }, Log: h.logRequest,
	})
	h.createHTTPServers()
	h.registerGauges()
	return h, nil
}

// Bounds of the callers' connections. The platform's own limits are checked on
// requests; these only keep a stalled or oversized head from staying for good.
const (
	headerReadTimeout = 5 * time.Second
	clientIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func (h *Host) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.activeRequests.Add(1)
		defer h.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (h *Host) listen() error {
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"clients", h.settings.Callers, &h.listeners.callers},
		{"readiness", h.settings.Ready, &h.listeners.ready},
		{"peers", h.internalAddress(peerPort), &h.listeners.peers},
		{"metrics", h.internalAddress(metricsPort), &h.listeners.metrics},
	} {
		open, err := net.Listen("tcp", l.address)
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		*l.to = open
	}
	return nil
}

// Ports of this host among those for traffic between hosts.
const (
	peerPort = iota
	metricsPort
)

// internal is the address of a port for traffic between hosts; any free one if
// the settings name none.
func (h *Host) internalAddress(n int) string {
	port := 0
	if h.settings.FirstPort > 0 {
		port = h.settings.FirstPort + n
	}
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(port))
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.listeners.callers, h.listeners.ready, h.listeners.peers, h.listeners.metrics} {
		if l != nil {
			_ = l.Close() // nothing was accepted on it
		}
	}
}

// Addresses returns where clients, the balancer and metrics are served.
func (h *Host) Addresses() (callers, ready, metrics string) {
	return h.listeners.callers.Addr().String(), h.listeners.ready.Addr().String(), h.listeners.metrics.Addr().String()
}

// Bounds of connections between hosts. A host that says nothing for
// peerSilence is passed over: a call of a stage waits for it meanwhile, out of
// a target latency of two seconds.
const (
	peerTimeout          = 900 * time.Millisecond
	peerPingInterval     = 300 * time.Millisecond
	peerHandshakeTimeout = 700 * time.Millisecond
	maxPeerHandlers      = 2048
	// peerIdle: a connection costs both ends its pings.
	peerIdleTimeout = 10 * time.Second
)

// Run serves until ctx ends, then lets the requests in flight finish.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("start", "domain", h.settings.Domain, "callers", h.settings.Callers, "incarnation", h.self.Incarnation)
	background, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	g, gctx := errgroup.WithContext(background)
	// Lines about the stop itself are written after everything else.
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = h.logWriter.Run(writing) // returns no error
	}()
	defer func() {
		stopWriting()
		<-written
	}()
	for _, s := range []struct {
		server *http.Server
		on     net.Listener
	}{{h.callers, h.listeners.callers}, {h.ready, h.listeners.ready}, {h.metrics, h.listeners.metrics}} {
		g.Go(func() error { return serve(s.server, s.on) })
	}
	actors := []func(context.Context) error{
		h.reach.Run, h.afterHostsListed(h.config.Run), h.afterHostsListed(h.servers.Run), h.runPeers, h.sweepConnections, h.watchReload, h.pruneHosts,
	}
	if h.evacuations != nil {
		actors = append(actors, h.afterHostsListed(h.evacuations.Run))
	}
	for _, actor := range actors {
		g.Go(func() error { return actor(gctx) })
	}
	h.batchers.start(gctx, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-gctx.Done(): // a part failed
		}
		defer stopAll()
		return h.shutdown()
	})
	err := g.Wait()
	h.log.Info("stop", "err", err, "log_lines_dropped", h.logWriter.Dropped())
	return err
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// sweepEvery is how often idle connections are looked over.
const sweepInterval = time.Second

func (h *Host) sweepConnections(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(sweepInterval):
			h.upstream.CloseExpired()
		}
	}
}

func (h *Host) watchReload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.opts.Reload:
			h.reloadSettings()
		}
	}
}

func (h *Host) reloadSettings() {
	set, err := h.opts.ReadSettings()
	if err != nil {
		h.log.Error("reload", "outcome", "refused; the settings in force stay", "err", err)
		return
	}
	h.log.Info("reload", "outcome", "read", "same_addresses", set.Callers == h.settings.Callers && set.Ready == h.settings.Ready)
}

// Distances one way. The platform's settings tell places but not delays; these
// are the order of what its deployments have.
const (
	sameDomainDelay  = 200 * time.Microsecond
	sameRegionDelay  = 1500 * time.Microsecond
	otherRegionDelay = 20 * time.Millisecond
)

func (h *Host) delayTo(domain string) time.Duration { return h.delayBetween(h.settings.Domain, domain) }

func (h *Host) delayBetween(a, b string) time.Duration {
	switch {
	case a == b:
		return sameDomainDelay
	case h.settings.Regions[a] == h.settings.Regions[b]:
		return sameRegionDelay
	default:
		return otherRegionDelay
	}
}

func (h *Host) createHTTPServers() {
	quiet := stdlog.New(io.Discard, "", 0) // broken connections of clients are no event of ours
	h.callers = &http.Server{
		Handler: h.countActive(h.gateway), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: quiet,
	}
	h.ready = &http.Server{Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerReadTimeout, ErrorLog: quiet}
	operators := http.NewServeMux()
	operators.Handle("GET /metrics", h.meter)
	operators.HandleFunc("GET /state", h.serveState)
	h.metrics = &http.Server{Handler: operators, ReadHeaderTimeout: headerReadTimeout, ErrorLog: quiet}
}
