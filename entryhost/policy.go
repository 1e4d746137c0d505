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
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// PolicyOptions are the settings of the decisions under load.
type PolicyOptions struct {
	TargetLoad           float64
	BackgroundMaxLoad    float64
	RemoteSpilloverLoad  float64
	RemoteLoadPerMB      float64
	RegionSubsetSize     int
	RemoteSubsetSize     int
	LoadReportsPerSecond int
}

func defaultPolicyOptions() PolicyOptions {
	a, p := admission.DefaultOptions(), pick.DefaultOptions("", "", "")
	return PolicyOptions{
		TargetLoad: a.TargetLoad, BackgroundMaxLoad: a.BackgroundMaxLoad, RemoteSpilloverLoad: p.RemoteSpilloverLoad, RemoteLoadPerMB: p.RemoteLoadPerMB,
		RegionSubsetSize: p.RegionSubsetSize, RemoteSubsetSize: p.RemoteSubsetSize, LoadReportsPerSecond: 2,
	}
}

func (o *PolicyOptions) register(set *settings.Set) {
	set.Float(&o.TargetLoad, "load-target", "requests for a slot at which a full pool is held", .5, 10)
	set.Float(&o.BackgroundMaxLoad, "background-below", "load of every pool below which background requests start", 0, 10)
	set.Float(&o.RemoteSpilloverLoad, "remote-at", "load of the own region from which other regions are tried", .5, 100)
	set.Float(&o.RemoteLoadPerMB, "remote-per-mb", "load by which another region has to be better for each billed megabyte", 0, 1000)
	set.Int(&o.RegionSubsetSize, "subset-region", "servers of a pool used in other domains of the own region", 1, 1000)
	set.Int(&o.RemoteSubsetSize, "subset-remote", "servers of a pool used in each other region", 1, 1000)
	set.Int(&o.LoadReportsPerSecond, "load-reports", "load reports fetched a second from servers in other domains", 1, 1000)
}

// policyPart decides what to admit and where to run it.
type policyPart struct {
	admit   admission.Admitter
	control *admission.Controller
}

// tickEvery is how often loads are taken in; a tick reads atomics only.
const tickEvery = 100 * time.Millisecond

// policyVars shows every entry host of the process by name.
var policyVars = expvar.NewMap("policy")

func (h *Host) wirePolicy() {
	opts := admission.DefaultOptions()
	opts.TargetLoad, opts.BackgroundMaxLoad = h.opts.Policy.TargetLoad, h.opts.Policy.BackgroundMaxLoad
	h.policy.control = admission.NewController(opts, h.rand)
	h.policy.admit = h.policy.control
	h.add("admission", h.tick)
	loads := &outsideLoads{
		prober: serverprobe.New(serverprobe.Options{}), clock: h.clock, servers: h.outside, perSecond: h.opts.Policy.LoadReportsPerSecond,
	}
	h.add("loads outside", loads.Run)
	policyVars.Set(h.opts.Name, expvar.Func(func() any {
		return map[string]any{"pools": h.policy.control.PoolStates(), "refusals": h.policy.control.Refusals()}
	}))
}

// newPicker makes the picker of one pool of a new snapshot.
func (h *Host) newPicker(_ table.Pool, servers []pick.Server) pick.Picker {
	o := pick.DefaultOptions(h.opts.Name, h.opts.Domain, h.opts.Region)
	o.RemoteSpilloverLoad, o.RemoteLoadPerMB = h.opts.Policy.RemoteSpilloverLoad, h.opts.Policy.RemoteLoadPerMB
	o.RegionSubsetSize, o.RemoteSubsetSize = h.opts.Policy.RegionSubsetSize, h.opts.Policy.RemoteSubsetSize
	return pick.NewLocalityPicker(o, servers)
}

func (h *Host) tick(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(tickEvery):
			now := h.clock.Now()
			h.policy.control.Tick(now, h.loads(now))
		}
	}
}

// placed returns the pickers in force by pool, in a fixed order.
func (h *Host) placed(f func(pool string, p *pick.LocalityPicker)) {
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

func (h *Host) loads(now time.Time) []admission.PoolLoad {
	var out []admission.PoolLoad
	h.placed(func(pool string, p *pick.LocalityPicker) {
		l := p.Load(now)
		out = append(out, admission.PoolLoad{Pool: pool, Slots: l.Slots, InFlight: l.InFlight, OwnInFlight: l.OwnInFlight, ReportedInFlight: l.ReportedInFlight, OwnInFlightAtReport: l.OwnInFlightAtReport, ProbesDue: l.ProbesDue})
	})
	return out
}

// outside returns the servers of other domains that this host may use.
func (h *Host) outside() []*server.State {
	var out []*server.State
	h.placed(func(_ string, p *pick.LocalityPicker) { out = append(out, p.EligibleOutsideDomain()...) })
	return out
}

func (h *Host) adminPolicy(mux *http.ServeMux) {
	mux.Handle("GET /explain", h.authorized(h.explain))
}
