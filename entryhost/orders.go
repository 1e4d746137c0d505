package entryhost

import (
	"expvar"
	"maps"
	"slices"
	"time"

	"bilberrydale/connection/engineorder"
	"bilberrydale/internal/settings"
	"bilberrydale/process/lease"
	"bilberrydale/process/membership"
	"bilberrydale/process/order"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// MembershipOptions are the settings of membership, of the order lease and of
// orders to engines.
type MembershipOptions struct {
	AdvertiseAddress string  // address that other entry hosts dial, host:port; empty: the listener's address
	OrdersPerSecond  float64 // limit of orders to all engines of a failure domain; bounds how fast they load weights
	// LeaseTTL is the duration of one renewal of the lease that allows a host to
	// send orders. Another host takes the lease over only after this and a fifth more
	// without a renewal, or once the lease is released.
	LeaseTTL time.Duration
}

func defaultMembershipOptions() MembershipOptions {
	return MembershipOptions{OrdersPerSecond: 1, LeaseTTL: 15 * time.Second}
}

// Divisors of the lease's TTL. An order and the read that confirms it end
// within TTL/maxOrderDivisor. This is below the margin TTL/leaseMarginDivisor
// before expiry at which the holder stops sending orders.
const (
	leaseMarginDivisor  = 3
	maxOrderDivisor     = 5
	orderTimeoutDivisor = 11 // timeout of each of the two calls
)

func (o *MembershipOptions) registerSettings(set *settings.Set) {
	set.String(&o.AdvertiseAddress, "peer-advertise", "peer address that other entry hosts dial, host:port; default: the listener's address", nil)
	set.Float(&o.OrdersPerSecond, "order-rate", "limit of orders per second to the engines of the failure domain; keep it within the rate of the weight store", 0.01, 1000)
	set.Duration(&o.LeaseTTL, "lease-ttl", "duration of one renewal of the lease for sending orders", 5*time.Second, 10*time.Minute)
}

// leaseCandidateCount is the number of hosts of a failure domain that try to
// acquire its lease. The others make no calls to the platform for it.
const leaseCandidateCount = 2

// membershipVars holds the variables of each entry host in the process by its
// name.
var membershipVars = expvar.NewMap("members")

// wireOrders adds the lease of the failure domain and, for its holder, the sending
// of orders to the domain's engines.
func (h *Host) wireOrders(monitor *membership.Monitor) {
	self := h.membership.link.Self()
	p, ttl := &h.membership, h.opts.Membership.LeaseTTL
	p.elector = lease.NewElector(lease.Options{
		Store: h.store, Clock: h.clock, Rand: h.rand, Key: lease.KeyPrefix + h.opts.Domain, Host: h.opts.Name,
		IsCandidate: func() bool {
			return !h.gate.Closed() && membership.IsOwner(monitor, self, "lease", leaseCandidateCount)
		},
		TTL: ttl, Margin: ttl / leaseMarginDivisor, MaxOrderDuration: ttl / maxOrderDivisor,
	})
	p.orderManager = order.New(order.Options{
		Lease: p.elector, Clock: h.clock, Sender: engineorder.New(h.serverGate()), OrdersPerSecond: h.opts.Membership.OrdersPerSecond,
		Targets: h.engineTargets, Timeout: ttl / orderTimeoutDivisor,
	})
	h.addTask("lease", p.elector.Run)
	h.addTask("orders", p.orderManager.Run)
	membershipVars.Set(h.opts.Name, expvar.Func(h.membershipStatus))
}

// engineTargets returns the desired state of each engine of this failure domain.
// A pool stays on its current model version until enough servers have loaded the
// one of the accepted release. Until then both are desired: without the new one,
// the switch would wait for a load that no host orders. An engine in several
// pools gets the models of all of them.
func (h *Host) engineTargets() []order.Target {
	snap := h.inForce.Load()
	if snap == nil {
		return nil
	}
	accepted := h.acceptedModels()
	byAddress := map[string]*order.Target{}
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		models := []string{snap.Pools[name].Model.String()}
		if next, ok := accepted[name]; ok {
			models = append(models, next)
		}
		h.addEngines(byAddress, snap.Pools[name], models)
	}
	var out []order.Target
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		t := byAddress[address]
		slices.Sort(t.Models)
		t.Models = slices.Compact(t.Models)
		out = append(out, *t)
	}
	return out
}

// releaseModels holds the models of the engine pools of one release.
type releaseModels struct {
	hash   string            // of the release
	byPool map[string]string // model by pool name
}

// acceptedModels returns the model of each engine pool of the newest accepted
// release, by pool name. The rows of a release are decoded once. The result is
// nil if they cannot be decoded.
func (h *Host) acceptedModels() map[string]string {
	rel, _ := h.releases.follower.Current()
	if t := h.membership.modelCache.Load(); t != nil && t.hash == rel.Hash {
		return t.byPool
	}
	tables, err := table.DecodeRows(rel.Rows)
	if err != nil {
		return nil // compilation fails as well, so the release is not in force here
	}
	t := &releaseModels{hash: rel.Hash, byPool: map[string]string{}}
	for _, p := range tables.Pools {
		if p.Kind == table.Engine {
			t.byPool[p.Name] = p.Model.String()
		}
	}
	h.membership.modelCache.Store(t)
	return t.byPool
}

// modelHeldBack reports whether a pool in force has another model than the
// accepted release names. modelGate.pending alone is not enough: recompiling the
// release in force while the next one waits for its activation clears the flag
// that the next one set, and the pool would keep the earlier model forever.
func (h *Host) modelHeldBack() bool {
	snap := h.inForce.Load()
	if snap == nil {
		return false
	}
	for name, model := range h.acceptedModels() {
		if p := snap.Pools[name]; p != nil && p.Model.String() != model {
			return true
		}
	}
	return false
}

// addEngines adds the engines of p that are in this failure domain and usable to
// byAddress, and the models to their targets. The role of an engine is that of the
// first of its pools that has one.
func (h *Host) addEngines(byAddress map[string]*order.Target, p *snapshot.Pool, models []string) {
	if p.Kind != table.Engine {
		return
	}
	for _, s := range p.Picker.Servers() {
		if s.Domain != h.opts.Domain || !s.State.Usable() {
			continue
		}
		t := byAddress[s.Address]
		if t == nil {
			t = &order.Target{Name: s.Name, Address: s.Address, ChecksFencing: p.Fencing}
			if l := s.State.Load(); l != nil {
				t.LastReported = &order.State{Models: l.Models, Role: l.Role}
			}
			byAddress[s.Address] = t
		}
		t.Models = append(t.Models, models...)
		if t.Role == "" {
			t.Role = p.Role
		}
	}
}

// membershipStatus returns the variables of membership, load reports and orders.
func (h *Host) membershipStatus() any {
	p := &h.membership
	fence, held := p.elector.Held(h.clock.Now())
	states := map[membership.State]int{}
	for _, peer := range p.view.Peers() {
		states[peer.State]++
	}
	hb, rep, ord := &p.monitor.Counters, &p.reportPoller.Counters, &p.orderManager.Counters
	return map[string]any{
		"alive": states[membership.Alive], "suspect": states[membership.Suspect], "gone": states[membership.Gone],
		"heartbeats_sent": hb.Sent.Load(), "heartbeats_received": hb.Received.Load(), "heartbeats_failed": hb.Failed.Load(),
		"checks": hb.Checks.Load(), "judged_gone": hb.DeclaredGone.Load(), "pulls": hb.Pulls.Load(),
		"polls": rep.Polls.Load(), "host_list_reads": rep.HostListReads.Load(), "loads_shared": rep.LoadsShared.Load(), "loads_shared_bytes": rep.LoadsSharedBytes.Load(),
		"lease_held": held, "lease_fence": fence,
		"orders_sent": ord.Sent.Load(), "orders_confirmed": ord.Confirmed.Load(), "orders_failed": ord.Failed.Load(), "orders_stopped": ord.LeaseNotHeld.Load(),
	}
}
