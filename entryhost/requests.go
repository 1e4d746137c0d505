package entryhost

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/settings"
	"bilberrydale/process/claim"
	"bilberrydale/process/membership"
	"bilberrydale/process/peer"
	"bilberrydale/process/quarantine"
	"bilberrydale/process/reach"
	"bilberrydale/process/serverlimit"
	"bilberrydale/process/serverstate"
	"bilberrydale/request/entry"
	"bilberrydale/request/pipeline"
)

// requestComponents serve callers' requests.
type requestComponents struct {
	guard    *quarantine.SharedGuard // quarantine list, shared with the other entry hosts
	limits   *serverlimit.Limiter    // of backend servers
	claims   *claim.Manager          // of idempotency keys
	counters entry.Counters
	handler  http.Handler // of the routes, without the health path and the limit of requests in flight
}

// wireRequests adds the request path: quarantine, claims, the pipeline runner and
// the entry handler.
func (h *Host) wireRequests() {
	p := &h.requests
	link := reachableLink{h.membership.link, h.membership.view}
	p.guard = quarantine.NewSharedGuard(h.clock, h.rand, link, h.opts.Requests.Quarantine)
	h.addTask("quarantine", p.guard.Run)
	p.claims = claim.New(claim.Config{
		Host: h.opts.Name, Incarnation: h.incarnation, Store: h.store, Clock: h.clock,
		Link: link, Options: h.opts.Requests.Claims,
	})
	h.afterDrain = append(h.afterDrain, h.flushClaims)
	p.limits = serverlimit.New(serverlimit.Options{
		Hosts: h.knownHosts, Clock: h.clock, Link: link, Lookup: h.serverLimitState, OnChange: h.logServerLimit, OnBrittle: h.logBrittle,
	})
	serverReach := reach.New(reach.Options{Clock: h.clock, Sample: h.sampleServers, Dial: dialServer, OnChange: h.logReach})
	h.addTask("reach", serverReach.Run)
	runner := &pipeline.Runner{
		Backend: backend.NewHTTPClient(backend.HTTPOptions{
			Headers: h.opts.Requests.BackendHeaders, Gate: h.serverGate(), OnLeaving: h.markServerLeaving,
			OnResponse: func(s *serverstate.State, r serverlimit.Response) { p.limits.Observe(s.Process(), &s.RateLimit, r) },
		}),
		Limits: p.limits, Reach: serverReach, Admission: h.policy.admitter, Quarantine: p.guard,
		Clock: h.clock, Rand: h.rand, Tracer: h.tracer, Host: h.opts.Name, Incarnation: h.incarnation,
		Options: h.opts.Requests.Pipeline, Isolator: p.guard,
	}
	requestsVars.Set(h.opts.Name, expvar.Func(func() any {
		return map[string]any{"attempts": runner.Counters.Map(), "claims": p.claims.Counters.Map(), "quarantine": p.guard.List()}
	}))
	p.handler = &entry.Handler{
		InForce: &h.inForce, Runner: runner, Admission: h.policy.admitter, Claims: p.claims, Quarantine: p.guard,
		Gate: &h.gate, Clock: h.clock, Log: h.log, LogLimit: rate.NewLimiter(rate.Limit(h.opts.RefusalLogsPerSecond), h.opts.RefusalLogsPerSecond), Tracer: h.tracer,
		Headers: h.opts.Headers, Limits: h.opts.entryLimits(), Counters: &p.counters,
	}
}

// reachableLink is a peer.Link that leaves out peers with the state membership.Gone. A
// call to such a peer waits for a response until it times out: as the owner of a
// shard, the peer would delay each claim there, and many of them would hold up
// messages to the peers that are alive.
type reachableLink struct {
	peer.Link
	view membership.View
}

// Peers implements peer.Link.
func (l reachableLink) Peers() []peer.Identity {
	return slices.DeleteFunc(slices.Clone(l.Link.Peers()), func(id peer.Identity) bool {
		p, ok := l.view.Lookup(id.Host)
		return ok && p.State == membership.Gone
	})
}

// requestsVars holds the variables of each entry host in the process by its name.
var requestsVars = expvar.NewMap("requests")

// markServerLeaving records that a response of s reported that s is leaving; the
// report poller passes it on to the other entry hosts.
func (h *Host) markServerLeaving(s *serverstate.State) {
	h.membership.reportPoller.MarkLeaving(s.Address)
}

// knownHosts returns the name of this host, and those of all known hosts including it.
func (h *Host) knownHosts() (self string, all []string) {
	all = []string{h.opts.Name}
	for _, id := range h.membership.link.Peers() {
		all = append(all, id.Host)
	}
	return h.opts.Name, all
}

// serverLimitState returns the state of the limit of a backend server, or nil if this host does
// not know the server.
func (h *Host) serverLimitState(server serverlimit.Server) *serverlimit.State {
	s := h.registry.Lookup(server)
	if s == nil {
		return nil
	}
	return &s.RateLimit
}

// logServerLimit logs a limit that a backend server names, or that it names none any more.
func (h *Host) logServerLimit(c serverlimit.Change) {
	h.log.Info("limit of a backend server", "server", c.Server.ID, "limited", c.Limited, "requests_per_second", c.PerSecond, "told_by", c.From)
}

// sampleServers returns the addresses of up to n known backend servers in random order.
func (h *Host) sampleServers(n int) []string {
	var all []string
	h.registry.Each(func(s *serverstate.State) {
		all = append(all, s.Address)
		i := h.rand.IntN(len(all))
		all[i], all[len(all)-1] = all[len(all)-1], all[i]
	})
	return all[:min(n, len(all))]
}

// serverDialTimeout bounds the opening of a connection that shows whether a server is reached.
const serverDialTimeout = 300 * time.Millisecond

// dialServer opens a connection to a server and closes it.
func dialServer(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: serverDialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// logReach logs that this host reaches no backend server any more, or again.
func (h *Host) logReach(c reach.Change) {
	h.log.Info("backend servers", "cut_off", c.CutOff, "asked", c.Sampled, "after", c.After)
}

// logBrittle logs that a backend server falls over if it refuses too much, or no longer.
func (h *Host) logBrittle(c serverlimit.BrittleChange) {
	h.log.Info("brittle backend server", "server", c.Server.ID, "brittle", c.Brittle, "refusals_per_second", c.MaxRefusals, "told_by", c.From)
}

// claimFlushTimeout bounds the last write of claim outcomes at shutdown.
const claimFlushTimeout = 2 * time.Second

// flushClaims stores the outcomes of claims on the platform, so that retries sent
// to other hosts find which keys have run. A failure is logged only; the error is
// always nil.
func (h *Host) flushClaims(ctx context.Context) error {
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimFlushTimeout)
	defer cancel()
	if err := h.requests.claims.Flush(flush); err != nil {
		h.log.Warn("outcomes of claims not written", "err", err)
	}
	return nil
}

// registerRequestRoutes adds the admin routes that list quarantined requests and lift
// a quarantine.
func (h *Host) registerRequestRoutes(mux *http.ServeMux) {
	mux.Handle("GET /quarantine", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.requests.guard.List())
	}))
	mux.Handle("DELETE /quarantine/{fingerprint}", h.requireAdminToken(func(w http.ResponseWriter, r *http.Request) {
		var fp quarantine.Fingerprint
		if err := fp.UnmarshalText([]byte(r.PathValue("fingerprint"))); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !h.requests.guard.Lift(fp) {
			http.Error(w, "no such request in quarantine", http.StatusNotFound)
		}
	}))
}

// RequestOptions are the settings of the request path behind the callers' port.
type RequestOptions struct {
	Claims         claim.Options
	Quarantine     quarantine.Options
	Pipeline       pipeline.Options
	BackendHeaders backend.Headers // names of the headers sent to and received from backend servers
}

// DefaultRequestOptions returns the defaults of the request path.
func DefaultRequestOptions() RequestOptions {
	return RequestOptions{
		Claims: claim.DefaultOptions(), Quarantine: quarantine.DefaultOptions(), Pipeline: pipeline.DefaultOptions(),
		BackendHeaders: backend.DefaultHeaders(),
	}
}

func (o *RequestOptions) registerSettings(set *settings.Set) {
	set.Int(&o.Claims.Shards, "claim-shards", "number of objects that store the claims; must be equal on all entry hosts", 1, 4096)
	set.Duration(&o.Claims.Retention, "claim-window", "time for which the platform keeps a claim", time.Minute, 24*time.Hour)
	set.Duration(&o.Claims.WriteInterval, "claim-spacing", "minimum time between writes of one claim object", 0, time.Minute)
	set.Float(&o.Claims.WritesPerSecond, "claim-writes", "limit of this host's writes of claim objects per second", 0.1, 1000)
	set.Duration(&o.Claims.TicketTTL, "ticket-life", "time from minting a ticket to its latest first use", time.Second, 24*time.Hour)
	set.Duration(&o.Claims.ResponseTTL, "answer-time", "time for which a response is kept for retries with the same key", time.Second, 24*time.Hour)
	set.Int(&o.Quarantine.MaxCrashes, "quarantine-deaths", "crashes of backend servers after which a request is quarantined", 1, 100)
	set.Duration(&o.Quarantine.QuarantineDuration, "quarantine-term", "duration of a quarantine", time.Second, 24*time.Hour)
	set.Int(&o.Pipeline.MaxAttempts, "attempts", "maximum attempts of one stage", 1, 10)
	set.Float(&o.Pipeline.RetryRatio, "retry-share", "retries per first attempt, for each pool", 0, 1)
	o.BackendHeaders.Each(func(setting string, name *string, description string) {
		set.String(name, "server-header-"+setting, "backend servers' header: "+description, backend.CheckHeader)
	})
	set.Duration(&o.Pipeline.MinStallTimeout, "min-silence", "lower bound of the time without progress after which a connection counts as stalled", time.Millisecond, time.Minute)
}
