package loadreport

import (
	"context"
	"errors"
	"math/bits"
	"net"
	"time"

	"bilberrydale/process/membership"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
)

// serverStatus is the status of a backend server that hosts share by gossip.
// Version increases with each change, so that an outdated status does not
// override a newer one without comparing clocks of different hosts.
type serverStatus struct {
	Address         string // host:port; empty in serverRecord
	Version         uint64
	ReportedLeaving bool // by the server itself
	ListedLeaving   bool // by the platform's host list
	Down            bool // the sender's polls failed; others verify it
}

// leaving reports whether the server must not get new requests.
func (s *serverStatus) leaving() bool { return s.ReportedLeaving || s.ListedLeaving }

// statusesPerHeartbeat bounds the statuses in one heartbeat.
const statusesPerHeartbeat = 16

// updateStatus applies evidence of this host by change and, if that changes the
// status, shares the new one by gossip. It marks the poll of rec as ended.
func (p *Poller) updateStatus(rec *serverRecord, change func(*serverStatus)) {
	p.mu.Lock()
	before := rec.status
	change(&rec.status)
	rec.polling = false
	if !rec.status.Down {
		rec.failedConnects = 0
	}
	rec.down = rec.status.Down
	rec.nextCheck = p.opts.Clock.Now().Add(recheckIntervals * p.opts.Interval)
	changed := rec.status != before
	if changed {
		rec.status.Version++
		rec.pendingHeartbeats = p.gossipHeartbeats()
	}
	p.applyStatus(rec)
	p.mu.Unlock()
	if changed && p.opts.Monitor != nil {
		p.opts.Monitor.HeartbeatNow()
	}
}

// applyStatus copies the status of rec to the state that request routing reads.
// The caller holds the lock.
func (p *Poller) applyStatus(rec *serverRecord) {
	rec.target.State.SetLeaving(rec.status.leaving())
	rec.target.State.SetDown(rec.down)
}

// MarkLeaving records that a response of the server at address reported that it
// is leaving. Unknown addresses are ignored.
func (p *Poller) MarkLeaving(address string) {
	p.mu.Lock()
	rec := p.servers[address]
	p.mu.Unlock()
	if rec != nil {
		p.updateStatus(rec, func(s *serverStatus) { s.ReportedLeaving = true })
	}
}

// gossipHeartbeats returns the number of heartbeats that carry a status. It grows
// with the logarithm of the number of hosts.
func (p *Poller) gossipHeartbeats() int { return 6 + 2*bits.Len(uint(len(p.opts.View.Peers()))) }

// encodeStatuses returns the statuses for the next heartbeat; nil if there are
// none.
func (p *Poller) encodeStatuses() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []serverStatus
	for address, rec := range p.servers {
		if rec.pendingHeartbeats > 0 && len(out) < statusesPerHeartbeat {
			rec.pendingHeartbeats--
			s := rec.status
			s.Address = address
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return nil
	}
	data, err := peer.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// applyPeerStatuses applies statuses from another host. Leaving takes effect at
// once: a false one costs a little capacity, a late one sends work to a server
// that must not get any. Down is only a hint: a broken link of another host must
// not remove a healthy server here, so this host polls the server itself.
func (p *Poller) applyPeerStatuses(_ peer.Identity, data []byte) {
	var list []serverStatus
	if peer.Unmarshal(data, &list) != nil {
		return
	}
	updated := false
	p.mu.Lock()
	for _, s := range list {
		rec := p.servers[s.Address]
		if rec == nil || !supersedes(s, rec.status) {
			continue
		}
		s.Address = ""
		rec.status, rec.pendingHeartbeats, updated = s, p.gossipHeartbeats(), true
		if s.Down != rec.down && !rec.polling {
			rec.polling = true
			p.tasks.Go(func() { p.verifyDown(rec) })
		}
		p.applyStatus(rec)
	}
	p.mu.Unlock()
	if updated && p.opts.Monitor != nil {
		p.opts.Monitor.HeartbeatNow()
	}
}

// supersedes reports whether s replaces old. Of two concurrent changes with the
// same version, the one that keeps work away from the server wins.
func supersedes(s, old serverStatus) bool {
	if s.Version != old.Version {
		return s.Version > old.Version
	}
	return (s.leaving() && !old.leaving()) || (s.leaving() == old.leaving() && s.Down && !old.Down)
}

// verifyDown polls a server that other hosts reported as down or up again, on new
// connections: it is down if two polls cannot connect. The caller has set
// rec.polling.
func (p *Poller) verifyDown(rec *serverRecord) {
	down := true
	for attempt := 0; attempt < 2 && down; attempt++ {
		_, err := p.opts.Prober.Poll(context.Background(), rec.target.State.Address, true)
		down = errors.Is(err, ErrNoConnection)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rec.polling, rec.down = false, down
	rec.nextCheck = p.opts.Clock.Now().Add(recheckIntervals * p.opts.Interval)
	p.applyStatus(rec)
}

// readHostList applies the platform's host list. The list lags, so it is only an
// additional source: a server whose own report says leaving stays leaving
// regardless of the list.
func (p *Poller) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	p.Counters.HostListReads.Add(1)
	hosts, err := p.opts.ListHosts(ctx)
	if err != nil {
		return
	}
	byKey := make(map[string]objectapi.Host, 2*len(hosts))
	for _, h := range hosts {
		byKey[h.Name], byKey[h.Address] = h, h
	}
	p.mu.Lock()
	records := make([]*serverRecord, 0, len(p.servers))
	isServer := make(map[string]bool, 2*len(p.servers)) // by name and address
	for _, rec := range p.servers {
		records = append(records, rec)
		isServer[rec.target.State.Name], isServer[rec.target.State.Address] = true, true
	}
	p.seeds = p.seeds[:0:0]
	for _, h := range hosts {
		if !isServer[h.Name] && !isServer[h.Address] && h.State == objectapi.HostLive && hasPort(h.Address) {
			p.seeds = append(p.seeds, h.Address)
		}
	}
	p.mu.Unlock()
	for _, rec := range records {
		h, ok := byKey[rec.target.State.Address]
		if !ok {
			h, ok = byKey[rec.target.State.Name]
		}
		if ok {
			p.updateListedLeaving(rec, h.State == objectapi.HostLeaving)
		}
	}
}

// hasPort reports whether address is host:port.
func hasPort(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return err == nil
}

// updateListedLeaving records whether the server is leaving according to the platform's host
// list. It does nothing if that has not changed, since setListedLeaving increases the version
// of the status and sends it to the other hosts.
func (p *Poller) updateListedLeaving(rec *serverRecord, leaving bool) {
	p.mu.Lock()
	same := rec.status.ListedLeaving == leaving
	p.mu.Unlock()
	if !same {
		p.setListedLeaving(rec, leaving)
	}
}

// setListedLeaving changes the part of the status that comes from the host list.
// Unlike updateStatus it does not affect a poll in progress.
func (p *Poller) setListedLeaving(rec *serverRecord, leaving bool) {
	p.mu.Lock()
	rec.status.ListedLeaving = leaving
	rec.status.Version++
	rec.pendingHeartbeats = p.gossipHeartbeats()
	p.applyStatus(rec)
	p.mu.Unlock()
	if p.opts.Monitor != nil {
		p.opts.Monitor.HeartbeatNow()
	}
}

// maxSeeds bounds the addresses that Seeds returns. The list may contain many
// hosts that are not entry hosts.
const maxSeeds = 4

// Seeds returns up to maxSeeds random addresses (host:port) from the platform's
// host list at which entry hosts may run: live hosts that are not backend servers.
// The membership monitor connects to them to find the other entry hosts. An
// address may be returned twice. The result is empty on hosts that do not read the
// list.
func (p *Poller) Seeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.seeds) <= maxSeeds {
		return append([]string(nil), p.seeds...)
	}
	out := make([]string, maxSeeds)
	for i := range out {
		out[i] = p.seeds[p.opts.Rand.IntN(len(p.seeds))]
	}
	return out
}

// detectJoinedHosts records whether a host joined or restarted. Statuses spread
// only when they change; a host that starts, or returns from a network partition,
// after a server was marked leaving would never receive that status and would
// send the server work.
func (p *Poller) detectJoinedHosts() {
	next := map[string]uint64{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.opts.View.Peers() {
		if h.State == membership.Gone {
			continue
		}
		next[h.Host] = h.Incarnation
		if p.incarnations[h.Host] != h.Incarnation {
			p.hostJoined.Store(true)
		}
	}
	p.incarnations = next
}

// repeatStatuses spreads all leaving and down statuses again.
func (p *Poller) repeatStatuses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rec := range p.servers {
		if rec.status.leaving() || rec.status.Down {
			rec.pendingHeartbeats = max(rec.pendingHeartbeats, p.gossipHeartbeats())
		}
	}
}
