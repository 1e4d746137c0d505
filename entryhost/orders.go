package entryhost

import (
	"expvar"
	"maps"
	"slices"
	"time"

	"bilberrydale/connection/engineorder"
	"bilberrydale/internal/settings"
	"bilberrydale/process/lease"
	"bilberrydale/process/member"
	"bilberrydale/process/order"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// MembersOptions are the settings of membership and orders.
type MembershipOptions struct {
	AdvertiseAddress string  // address that peers dial; empty: the listening one
	OrdersPerSecond  float64 // orders a second in a failure domain
	// LeaseTTL is how long one renewal of the lease to give orders lasts. The
	// next holder waits a fifth more.
	LeaseTTL time.Duration
}

func defaultMembersOptions() MembershipOptions {
	return MembershipOptions{OrdersPerSecond: 1, LeaseTTL: 15 * time.Second}
}

// Parts of the lease's TTL. An order and its reading back end within the
// longest order, which is below the margin that the holder leaves.
const (
	marginPart       = 3
	longestOrderPart = 5
	orderTimeoutPart = 11
)

func (o *MembershipOptions) register(set *settings.Set) {
	set.String(&o.AdvertiseAddress, "peer-advertise", "peer address that other entry hosts dial, host:port; default the one listened on", nil)
	set.Float(&o.OrdersPerSecond, "order-rate", "orders a second to the engines of the failure domain, within the weight store's rate", 0.01, 1000)
	set.Duration(&o.LeaseTTL, "lease-ttl", "duration of one renewal of the lease to give orders", 5*time.Second, 10*time.Minute)
}

// leaseCandidates is how many hosts of a domain try for its lease. The others
// make no call to the platform for it.
const leaseCandidates = 2

// membersVars shows every entry host of the process by name.
var membersVars = expvar.NewMap("members")

// giveOrders lets one host of the failure domain order its engines.
func (h *Host) giveOrders(m *member.Monitor) {
	self := h.members.link.Self()
	p, ttl := &h.members, h.opts.Membership.LeaseTTL
	p.lease = lease.NewElector(lease.Options{
		Store: h.store, Clock: h.clock, Rand: h.rand, Key: lease.KeyPrefix + h.opts.Domain, Host: h.opts.Name,
		IsCandidate: func() bool { return !h.gate.Closed() && member.IsOwner(m, self, "lease", leaseCandidates) },
		TTL:         ttl, Margin: ttl / marginPart, MaxOrderDuration: ttl / longestOrderPart,
	})
	p.orders = order.New(order.Options{
		Lease: p.lease, Clock: h.clock, Sender: engineorder.New(), OrdersPerSecond: h.opts.Membership.OrdersPerSecond,
		Targets: h.engineTargets, Timeout: ttl / orderTimeoutPart,
	})
	h.add("lease", p.lease.Run)
	h.add("orders", p.orders.Run)
	membersVars.Set(h.opts.Name, expvar.Func(h.membersStatus))
}

// engineTargets returns what the tables want of the engines of this failure
// domain. A pool stays on its earlier model version until enough servers have
// the accepted one, so both are wanted until then; without the second, the
// switch would wait for a load that nobody ordered. An engine in several pools
// gets the models of all.
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

// modelTable is the model of each engine pool of one release.
type modelTable struct {
	hash   string
	models map[string]string
}

// acceptedModels returns the models of the newest release by pool. Rows are
// decoded once a release.
func (h *Host) acceptedModels() map[string]string {
	rel, _ := h.releases.follower.Current()
	if t := h.members.accepted.Load(); t != nil && t.hash == rel.Hash {
		return t.models
	}
	tables, err := table.DecodeRows(rel.Rows)
	if err != nil {
		return nil // the release is not in force here either
	}
	t := &modelTable{hash: rel.Hash, models: map[string]string{}}
	for _, p := range tables.Pools {
		if p.Kind == table.Engine {
			t.models[p.Name] = p.Model.String()
		}
	}
	h.members.accepted.Store(t)
	return t.models
}

// modelHeld reports whether a pool in force still has an earlier model than the
// release says. The gate's own flag does not tell: compiling the release in
// force while the next one waits for its switch clears what the next one set,
// and the pool would stay on the earlier model for good.
func (h *Host) modelHeld() bool {
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

func (h *Host) membersStatus() any {
	p := &h.members
	fence, held := p.lease.Held(h.clock.Now())
	states := map[member.State]int{}
	for _, other := range p.view.Peers() {
		states[other.State]++
	}
	hb, rep, ord := &p.monitor.Counters, &p.servers.Counters, &p.orders.Counters
	return map[string]any{
		"alive": states[member.Alive], "suspect": states[member.Suspect], "gone": states[member.Gone],
		"heartbeats_sent": hb.Sent.Load(), "heartbeats_received": hb.Received.Load(), "heartbeats_failed": hb.Failed.Load(),
		"checks": hb.Checks.Load(), "judged_gone": hb.DeclaredGone.Load(), "pulls": hb.Pulls.Load(),
		"polls": rep.Polls.Load(), "host_list_reads": rep.HostListReads.Load(), "loads_shared": rep.LoadsShared.Load(), "loads_shared_bytes": rep.LoadsSharedBytes.Load(),
		"lease_held": held, "lease_fence": fence,
		"orders_sent": ord.Sent.Load(), "orders_confirmed": ord.Confirmed.Load(), "orders_failed": ord.Failed.Load(), "orders_stopped": ord.LeaseNotHeld.Load(),
	}
}
