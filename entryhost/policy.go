package entryhost

import (
	"context"
	"expvar"
	"maps"
	"net/http"
	"slices"
	"time"

	"bilberrydale/connection/serverprobe"
	"bilberrydale/internal/settings"
	"bilberrydale/process/admission"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// PolicyOptions are the settings of admission control and server selection. Loads
// are in requests in flight per slot.
type PolicyOptions struct {
	TargetLoad           float64 // load at which admission control holds an overloaded pool
	BackgroundMaxLoad    float64 // load of a pool of the route from which background requests are refused
	RemoteSpilloverLoad  float64 // load of this region from which other regions are tried
	MinRemoteGainPerMB   float64 // load by which another region must be lower per billed megabyte of input
	RegionSubsetSize     int     // servers of a pool used in other failure domains of this region
	RemoteSubsetSize     int     // servers of a pool used in each other region
	LoadReportsPerSecond int     // reports polled from servers in other failure domains
}

func defaultPolicyOptions() PolicyOptions {
	a, p := admission.DefaultOptions(), pick.DefaultOptions("", "", "")
	return PolicyOptions{
		TargetLoad: a.TargetLoad, BackgroundMaxLoad: a.BackgroundMaxLoad, RemoteSpilloverLoad: p.RemoteSpilloverLoad, MinRemoteGainPerMB: p.MinRemoteGainPerMB,
		RegionSubsetSize: p.RegionSubsetSize, RemoteSubsetSize: p.RemoteSubsetSize, LoadReportsPerSecond: 2,
	}
}

func (o *PolicyOptions) registerSettings(set *settings.Set) {
	set.Float(&o.TargetLoad, "load-target", "load, in requests per slot, at which an overloaded pool is held", .5, 10)
	set.Float(&o.BackgroundMaxLoad, "background-below", "load that every pool must be below for background requests to start", 0, 10)
	set.Float(&o.RemoteSpilloverLoad, "remote-at", "load of this region from which other regions are tried", .5, 100)
	set.Float(&o.MinRemoteGainPerMB, "remote-per-mb", "load by which another region must be lower per billed megabyte of input", 0, 1000)
	set.Int(&o.RegionSubsetSize, "subset-region", "servers of a pool used in other failure domains of this region", 1, 1000)
	set.Int(&o.RemoteSubsetSize, "subset-remote", "servers of a pool used in each other region", 1, 1000)
	set.Int(&o.LoadReportsPerSecond, "load-reports", "load reports polled per second from servers in other failure domains", 1, 1000)
}

// policyComponents decide which requests are admitted. The pickers, which choose
// servers, are part of the snapshot.
type policyComponents struct {
	admitter   admission.Admitter // the controller, as the request path uses it
	controller *admission.Controller
}

// admissionInterval is the time between updates of the pools' loads in admission
// control. It may be short, since an update reads atomics only.
const admissionInterval = 100 * time.Millisecond

// policyVars holds the variables of each entry host in the process by its name.
var policyVars = expvar.NewMap("policy")

// wirePolicy adds admission control and the polling of load reports from other
// failure domains.
func (h *Host) wirePolicy() {
	opts := admission.DefaultOptions()
	opts.TargetLoad, opts.BackgroundMaxLoad = h.opts.Policy.TargetLoad, h.opts.Policy.BackgroundMaxLoad
	h.policy.controller = admission.NewController(opts, h.rand)
	h.policy.admitter = h.policy.controller
	h.addTask("admission", h.runAdmission)
	poller := &crossDomainPoller{
		prober: serverprobe.New(serverprobe.Options{Gate: h.serverGate()}), clock: h.clock, servers: h.crossDomainServers, pollsPerSecond: h.opts.Policy.LoadReportsPerSecond,
	}
	h.addTask("load reports of other failure domains", poller.Run)
	policyVars.Set(h.opts.Name, expvar.Func(func() any {
		return map[string]any{"pools": h.policy.controller.PoolStates(), "refusals": h.policy.controller.Refusals()}
	}))
}

// newPicker returns the picker for a pool of a new snapshot.
func (h *Host) newPicker(_ table.Pool, servers []pick.Server) pick.Picker {
	o := pick.DefaultOptions(h.opts.Name, h.opts.Domain, h.opts.Region)
	o.RemoteSpilloverLoad, o.MinRemoteGainPerMB = h.opts.Policy.RemoteSpilloverLoad, h.opts.Policy.MinRemoteGainPerMB
	o.RegionSubsetSize, o.RemoteSubsetSize = h.opts.Policy.RegionSubsetSize, h.opts.Policy.RemoteSubsetSize
	return pick.NewLocalityPicker(o, servers)
}

// runAdmission passes the pools' loads to admission control at each interval
// until ctx ends.
func (h *Host) runAdmission(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(admissionInterval):
			now := h.clock.Now()
			h.policy.controller.Tick(now, h.poolLoads(now))
		}
	}
}

// forEachPicker calls f for each pool in force that has a locality picker, in the
// order of pool names.
func (h *Host) forEachPicker(f func(pool string, p *pick.LocalityPicker)) {
	snap := h.inForce.Load()
	if snap == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		if p, ok := snap.Pools[name].Picker.(*pick.LocalityPicker); ok {
			f(name, p)
		}
	}
}

// poolLoads returns the load of each pool in force at now.
func (h *Host) poolLoads(now time.Time) []admission.PoolLoad {
	var out []admission.PoolLoad
	h.forEachPicker(func(pool string, p *pick.LocalityPicker) {
		l := p.Load(now)
		out = append(out, admission.PoolLoad{Pool: pool, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport, ProbesDue: l.ProbesDue})
	})
	return out
}

// crossDomainServers returns the servers in other failure domains that this host
// may use.
func (h *Host) crossDomainServers() []*serverstate.State {
	var out []*serverstate.State
	h.forEachPicker(func(_ string, p *pick.LocalityPicker) { out = append(out, p.EligibleOutsideDomain()...) })
	return out
}

// registerPolicyRoutes adds the admin route that explains decisions.
func (h *Host) registerPolicyRoutes(mux *http.ServeMux) {
	mux.Handle("GET /explain", h.requireAdminToken(h.serveExplain))
}
