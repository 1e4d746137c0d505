// Package edge assembles an entry host for a platform that stores the
// configuration and the list of backend servers in its object API. The command
// bilberryedge is a thin wrapper around it.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/clientconn"
	"bilberrydale/connection/serverpath"
	"bilberrydale/connection/upstream"
	"bilberrydale/platform"
	"bilberrydale/process/accountshare"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/clock"
	"bilberrydale/process/coldstart"
	"bilberrydale/process/current"
	"bilberrydale/process/directory"
	"bilberrydale/process/logging"
	"bilberrydale/process/metrics"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/peer"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/reach"
	"bilberrydale/process/retrylimit"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverspeed"
	"bilberrydale/process/stages"
	"bilberrydale/process/streamwriter"
	"bilberrydale/request/gateway"
	"bilberrydale/version/plan"
)

// Options configure an entry host.
type Options struct {
	Settings platform.Settings // in use until the process ends
	// Reload receives a value when the settings file has to be read again.
	Reload <-chan struct{}
	// ReadSettings reads the settings file. It is called for each value on Reload.
	ReadSettings func() (platform.Settings, error)
	// LogOutput receives the log lines.
	LogOutput io.Writer
	// DialServer opens TCP connections to backend servers; nil: that of net.Dialer.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
}

// Host is an entry host: it serves clients' requests, the balancer's readiness
// probes, calls of other entry hosts, and the operators' metrics and state page.
// Create it with New and call Run once.
type Host struct {
	opts      Options
	settings  platform.Settings // from opts
	clock     clock.Clock       // for requests and connections
	bootClock clock.Clock       // for the age of platform data; advances during system suspend
	rand      clock.Rand

	logWriter *logging.AsyncWriter // writes to opts.LogOutput in the background
	log       *log.Logger
	logLimits logLimits      // rate limits of lines about requests and stage work
	meter     *metrics.Meter // counters and gauges, served on /metrics

	store          *platform.StoreClient    // the platform's object API
	plan           current.Value[plan.Plan] // active configuration; not set before the first one
	directory      *directory.Directory     // backend servers
	configFollower *objectwatch.Follower[plan.Config]
	serverFollower *objectwatch.Follower[directory.Entry]
	hostFollower   *objectwatch.Follower[peer.Identity]
	// evacuationFollower is nil if the platform does not support evacuations.
	evacuationFollower *objectwatch.Follower[platform.Evacuation]
	// evacuationsListed is set after the first list of evacuations.
	evacuationsListed   atomic.Bool
	coldStart           *coldstart.Limiter
	serverLimits        *serverlimit.Limiter
	toldSpeeds          serverspeed.Told // what the servers of each service usually tell
	speedExchange       *serverspeed.Exchange
	guard               *quarantine.SharedGuard
	quarantineFollower  *objectwatch.Follower[quarantine.Quarantine]
	quarantinePublisher *quarantinePublisher
	writers             *streamwriter.Tracker
	writerFollower      *objectwatch.Follower[streamwriter.Registration]
	writersChanged      chan struct{} // receives a value after a change of what the tracker knows
	observing           sync.Mutex    // held while the tracker is passed what is listed
	// listedWriters holds the platform's last list of registrations, with their revisions; nil
	// before the first list.
	listedWriters      atomic.Pointer[map[streamwriter.Registration]objectwatch.Revision]
	serversConfirmedAt atomic.Int64 // bootClock time in nanoseconds; 0: never confirmed
	// serversFollowedSince is since when the list of servers has been confirmed without a gap, and
	// writersConfirmedAt when the registrations of stream writers were; as serversConfirmedAt.
	serversFollowedSince, writersConfirmedAt atomic.Int64
	// listedQuarantines holds the platform's last list of quarantined requests; nil before
	// the first list.
	listedQuarantines atomic.Pointer[[]objectwatch.Object[quarantine.Quarantine]]
	platformMonitor   *apihealth.Monitor // detects outages of the object API
	configConfirmedAt atomic.Int64       // bootClock time in nanoseconds; 0: never confirmed
	upstream          *upstream.Client
	reach             *reach.Tracker     // whether this host itself reaches backend servers
	serverClient      *serverpath.Client // sends requests by upstream or by way of other hosts
	retryLimiter      *retrylimit.Limiter
	shares            *accountshare.Shares
	batchers          *batchers
	stages            *stages.Pool
	gateway           *gateway.Gateway

	self       peer.Identity          // this host
	mesh       *peer.Mesh             // connections to the other entry hosts
	peerSecret atomic.Pointer[string] // shared by all entry hosts; nil until it is read from the platform
	// configUnreadable is set while the newest configuration cannot be decoded: the
	// API keys of the active configuration cannot be confirmed then.
	configUnreadable atomic.Bool
	hostsListed      chan struct{} // closed after the first list of entry hosts
	// listedHosts holds the platform's last list of entry hosts by name; nil before
	// the first list.
	listedHosts atomic.Pointer[map[string]objectwatch.Object[peer.Identity]]

	listeners       struct{ clients, ready, peers, metrics net.Listener }
	clientConns     *clientconn.Listener // is listeners.clients
	clientServer    *http.Server
	readinessServer *http.Server
	operatorServer  *http.Server              // metrics and state page
	started         chan struct{}             // closed once the host is ready for the first time
	stopping        atomic.Bool               // the shutdown has started
	stopRequested   chan struct{}             // closed when the shutdown starts
	stopDeadline    atomic.Pointer[time.Time] // when the remaining requests are aborted; nil before the shutdown
	balancerLeft    atomic.Bool               // the balancer has had the time to leave this host
	activeRequests  atomic.Int64              // client requests in flight, and those that this host sends for others
	stopCounts      stopCounts
	// requestsCtx is the parent of the contexts of clients' requests.
	requestsCtx context.Context
	cutRequests context.CancelCauseFunc // cancels requestsCtx
}

// New creates an entry host and opens its listeners. It fails if one of the
// configured addresses cannot be listened on. Serving starts with Run.
func New(opts Options) (*Host, error) {
	settings := opts.Settings
	h := &Host{
		opts: opts, settings: settings, clock: clock.System{}, bootClock: clock.Boot{}, rand: clock.SystemRand{},
		logWriter: logging.NewAsyncWriter(opts.LogOutput), meter: metrics.New(), store: platform.NewStoreClient(settings.StoreAddress),
		directory: directory.New(), started: make(chan struct{}), stopRequested: make(chan struct{}), hostsListed: make(chan struct{}),
	}
	h.requestsCtx, h.cutRequests = context.WithCancelCause(context.Background())
	h.log = logging.NewLogger(h.logWriter, settings.Host)
	h.logLimits = newLogLimits()
	h.store.OnCall(h.countPlatformCall)
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.createMesh()
	h.createServerPath()
	h.createFollowers()
	h.createStreamWriters()
	h.serverLimits = serverlimit.New(serverlimit.Options{
		Hosts: func() (string, []string) { return h.self.Host, h.knownHosts() }, Clock: h.clock, Link: h.mesh,
		Lookup: h.serverLimitState, OnChange: h.serverLimitChanged, OnBrittle: h.brittleChanged,
		OnLoan: func(requests int) { h.meter.Add("server_limit_borrowed", int64(requests)) },
	})
	h.batchers = newBatchers(h)
	h.stages = stages.NewPool(h.mesh, h.clock, stages.NewCoordinator(h.batchers.get, h.stageTarget, h.clock, h), h.stageRegion, h)
	h.retryLimiter = retrylimit.New(retrylimit.Options{
		Ratio: settings.RetryRatio, Window: settings.RetryWindow, Slack: settings.RetrySlack, Clock: h.clock,
		Hosts: func() int { return len(h.mesh.Peers()) + 1 + maxUnlistedHosts },
	})
	h.coldStart = coldstart.New(coldstart.Options{
		Self: settings.Host, Hosts: h.knownHosts, Clock: h.clock, Link: h.mesh,
		OnLoan: func(requests int) { h.meter.Add("cold_rate_borrowed", int64(requests)) },
	})
	h.createSpeedExchange()
	h.createGuard()
	h.createShares()
	h.gateway = gateway.New(gateway.Options{
		Domain: settings.Domain, OneWayLatency: h.delayTo, Plan: &h.plan, Directory: h.directory, Servers: h.serverClient, Headers: platform.Headers{},
		Pool: h.stages, RetryLimiter: h.retryLimiter, Shares: h.shares, ColdStart: h.coldStart, ServerLimits: h.serverLimits, Guard: h.guard, Writers: h.writers, Clock: h.clock, Rand: h.rand, KeysFresh: h.keysFresh,
		Started: h.started, ShuttingDown: h.stopping.Load, BalancerLeft: h.balancerLeft.Load,
		ShutdownStarted: h.stopRequested, ShutdownDeadline: func() time.Time { return *h.stopDeadline.Load() }, MemoryBytes: settings.MemoryBytes, Log: h.logRequest,
	})
	h.createHTTPServers()
	h.registerGauges()
	return h, nil
}

// countActive counts the requests in flight in activeRequests.
func (h *Host) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.activeRequests.Add(1)
		defer h.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// listen opens all listeners, or none if one of them fails.
func (h *Host) listen() error {
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"clients", h.settings.ClientAddress, &h.listeners.clients},
		{"readiness", h.settings.ReadinessAddress, &h.listeners.ready},
		{"peers", h.internalAddress(peerPort), &h.listeners.peers},
		{"metrics", h.internalAddress(metricsPort), &h.listeners.metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			h.closeListeners()
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		*l.to = listener
	}
	h.clientConns = &clientconn.Listener{TCPListener: h.listeners.clients.(*net.TCPListener), Limits: h.clientLimits}
	h.listeners.clients = h.clientConns
	return nil
}

// Offsets of this host's ports in the port range for traffic between hosts.
const (
	peerPort    = iota // calls of other entry hosts
	metricsPort        // metrics and state page
)

// internalAddress returns the listen address of a port for traffic between hosts.
// The system assigns a free port if the settings contain no port range.
func (h *Host) internalAddress(portIndex int) string {
	port := 0
	if h.settings.FirstInternalPort > 0 {
		port = h.settings.FirstInternalPort + portIndex
	}
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(port))
}

// closeListeners closes the listeners that are open.
func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.listeners.clients, h.listeners.ready, h.listeners.peers, h.listeners.metrics} {
		if l != nil {
			_ = l.Close() // no connection was accepted on it
		}
	}
}

// Addresses returns the addresses (host:port) for clients' requests, for the
// balancer's readiness probes, and for the metrics and the state page.
func (h *Host) Addresses() (clients, ready, metrics string) {
	return h.listeners.clients.Addr().String(), h.listeners.ready.Addr().String(), h.listeners.metrics.Addr().String()
}

// Limits of connections between hosts.
const (
	// peerTimeout is the time without received data after which a host counts as
	// unresponsive. It is short because a stage call waits meanwhile, which uses up part
	// of a target latency of two seconds.
	peerTimeout          = 900 * time.Millisecond
	peerPingInterval     = 300 * time.Millisecond // between pings, so that an idle peer is not taken for unresponsive
	peerHandshakeTimeout = 700 * time.Millisecond // for opening and authenticating a connection
	maxPeerHandlers      = 2048                   // calls of a peer that are handled concurrently
	// peerIdleTimeout closes unused connections, which cost both ends their pings.
	peerIdleTimeout = 10 * time.Second
)

// Run serves until ctx ends, then shuts down gracefully: requests in flight may
// finish within the platform's time to stop. It returns the first error of a
// component, or nil after a regular shutdown. It may be called once.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("start", "domain", h.settings.Domain, "callers", h.settings.ClientAddress, "incarnation", h.self.Incarnation)
	backgroundCtx, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	g, gctx := errgroup.WithContext(backgroundCtx)
	// The log writer ends last, so that lines about the shutdown are written.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		_ = h.logWriter.Run(logCtx) // always returns nil
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{h.clientServer, h.listeners.clients}, {h.readinessServer, h.listeners.ready}, {h.operatorServer, h.listeners.metrics}} {
		g.Go(func() error { return serve(s.server, s.listener) })
	}
	tasks := []func(context.Context) error{
		h.platformMonitor.Run, h.reach.Run, h.serverClient.Run, h.quarantinePublisher.run, h.afterHostsListed(h.quarantineFollower.Run), h.afterHostsListed(h.writerFollower.Run), h.registerWriters, h.writers.Run, h.afterHostsListed(h.configFollower.Run), h.afterHostsListed(h.serverFollower.Run), h.runPeers, h.sweepConnections, h.shares.Run, h.followServerSpeeds, h.watchReload, h.pruneEntries, h.watchStart,
	}
	if h.evacuationFollower != nil {
		tasks = append(tasks, h.afterHostsListed(h.evacuationFollower.Run))
	}
	for _, task := range tasks {
		g.Go(func() error { return task(gctx) })
	}
	h.batchers.start(gctx, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-gctx.Done(): // a component failed
		}
		defer cancelBackground()
		return h.shutdown()
	})
	err := g.Wait()
	h.log.Info("stop", "err", err, "log_lines_dropped", h.logWriter.Dropped())
	return err
}

// serve runs an HTTP server until it is shut down.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// sweepInterval is the time between two checks for expired idle connections to
// backend servers.
const sweepInterval = time.Second

// sweepConnections closes expired idle connections to backend servers periodically until ctx
// ends.
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

// startCheckInterval is the time between two checks whether the host is ready after its start.
const startCheckInterval = 10 * time.Millisecond

// watchStart closes h.started once the host is ready for the first time.
func (h *Host) watchStart(ctx context.Context) error {
	begun := h.clock.Now()
	for !h.isReady() {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(startCheckInterval):
		}
	}
	close(h.started)
	h.log.Info("ready", "after_ms", ms(h.clock.Now().Sub(begun)))
	return nil
}

// watchReload reads the settings again on each reload signal.
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

// reloadSettings checks that the settings file can be read and logs whether the
// addresses are unchanged. The settings in use stay.
func (h *Host) reloadSettings() {
	reloaded, err := h.opts.ReadSettings()
	if err != nil {
		h.log.Error("reload", "outcome", "refused; the settings in force stay", "err", err)
		return
	}
	h.log.Info("reload", "outcome", "read", "same_addresses", reloaded.ClientAddress == h.settings.ClientAddress && reloaded.ReadinessAddress == h.settings.ReadinessAddress)
}

// Assumed one-way network delays. The platform's settings contain failure domains
// and regions but no delays; these are the orders of magnitude in its deployments.
const (
	sameDomainDelay  = 200 * time.Microsecond
	sameRegionDelay  = 1500 * time.Microsecond
	otherRegionDelay = 20 * time.Millisecond
)

// delayTo returns the assumed network delay from this host to a failure domain.
func (h *Host) delayTo(domain string) time.Duration { return h.delayBetween(h.settings.Domain, domain) }

// delayBetween returns the assumed network delay between two failure domains.
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

// createHTTPServers creates the servers for clients' requests, for readiness probes, and for
// the metrics and the state page.
func (h *Host) createHTTPServers() {
	discardLog := stdlog.New(io.Discard, "", 0) // errors of client connections are not logged
	h.clientServer = &http.Server{
		Handler: h.countActive(h.gateway), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: plan.MaxHeaderBytes, ErrorLog: discardLog, ConnState: clientconn.StateChanged,
		BaseContext: func(net.Listener) context.Context { return h.requestsCtx },
	}
	h.readinessServer = &http.Server{Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerReadTimeout, ErrorLog: discardLog}
	operatorMux := http.NewServeMux()
	operatorMux.Handle("GET /metrics", h.meter)
	operatorMux.HandleFunc("GET /state", h.serveState)
	h.operatorServer = &http.Server{Handler: operatorMux, ReadHeaderTimeout: headerReadTimeout, ErrorLog: discardLog}
}
