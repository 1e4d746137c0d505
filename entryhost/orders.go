package entryhost

import (
	"expvar"
	"maps"
	"slices"

	"bilberrydale/connection/engineorder"
	"bilberrydale/internal/settings"
	"bilberrydale/process/lease"
	"bilberrydale/process/member"
	"bilberrydale/process/order"
	"bilberrydale/version/snapshot"
	"bilberrydale/version/table"
)

// MembersOptions are the settings of membership and orders.
type MembersOptions struct {
	Advertise string  // address that peers dial; empty: the listening one
	OrderRate float64 // orders a second in a failure domain
}

func defaultMembersOptions() MembersOptions { return MembersOptions{OrderRate: 1} }

func (o *MembersOptions) register(set *settings.Set) {
	set.String(&o.Advertise, "peer-advertise", "peer address that other entry hosts dial, host:port; default the one listened on", nil)
	set.Float(&o.OrderRate, "order-rate", "orders a second to the engines of the failure domain, within the weight store's rate", 0.01, 1000)
}

// leaseCandidates is how many hosts of a domain try for its lease. The others
// make no call to the platform for it.
const leaseCandidates = 2

// membersVars shows every entry host of the process by name.
var membersVars = expvar.NewMap("members")

// giveOrders lets one host of the failure domain order its engines.
func (h *Host) giveOrders(m *member.Monitor) {
	self := h.members.link.Self()
	p := &h.members
	p.lease = lease.NewKeeper(lease.Options{
		Store: h.store, Clock: h.clock, Rand: h.rand, Key: lease.Prefix + h.opts.Domain, Host: h.opts.Name,
		Candidate: func() bool { return !h.gate.Closed() && member.First(m, self, "lease", leaseCandidates) },
	})
	p.orders = order.New(order.Options{
		Lease: p.lease, Clock: h.clock, Sender: engineorder.New(), Rate: h.opts.Members.OrderRate,
		Targets: h.engineTargets,
	})
	h.add("lease", p.lease.Run)
	h.add("orders", p.orders.Run)
	membersVars.Set(h.opts.Name, expvar.Func(h.membersStatus))
}

// engineTargets returns what the tables in force want of the engines of this
// failure domain. An engine in several pools gets the models of all.
func (h *Host) engineTargets() []order.Target {
	snap := h.inForce.Load()
	if snap == nil {
		return nil
	}
	byAddress := map[string]*order.Target{}
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		h.addEngines(byAddress, snap.Pools[name])
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

func (h *Host) addEngines(byAddress map[string]*order.Target, p *snapshot.Pool) {
	if p.Kind != table.Engine {
		return
	}
	for _, s := range p.Picker.Servers() {
		if s.Domain != h.opts.Domain || !s.State.Usable() {
			continue
		}
		t := byAddress[s.Address]
		if t == nil {
			t = &order.Target{Name: s.Name, Address: s.Address, Fencing: p.Fencing}
			if l := s.State.Load(); l != nil {
				t.Reported = &order.State{Models: l.Models, Role: l.Role}
			}
			byAddress[s.Address] = t
		}
		t.Models = append(t.Models, p.Model.String())
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
		"checks": hb.Checks.Load(), "judged_gone": hb.Judged.Load(), "pulls": hb.Pulls.Load(),
		"polls": rep.Polls.Load(), "host_list_reads": rep.Lists.Load(), "loads_shared": rep.Shared.Load(), "loads_shared_bytes": rep.SharedBytes.Load(),
		"lease_held": held, "lease_fence": fence,
		"orders_sent": ord.Sent.Load(), "orders_confirmed": ord.Confirmed.Load(), "orders_failed": ord.Failed.Load(), "orders_stopped": ord.Stopped.Load(),
	}
}
