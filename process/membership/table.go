package membership

import (
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
)

// peerRecord is the table's state of one other entry host.
type peerRecord struct {
	Peer
	lastContact       time.Time     // last direct evidence that it is alive; zero: gossip only
	goneAt            time.Time     // when it was declared gone
	nextProbe         time.Time     // next probe of a gone host
	probeBackoff      time.Duration // between probes of a gone host; doubles with each failure
	checking          bool          // a check on a new connection is in progress
	doubted           bool          // reported as unresponsive soon after the last contact, without another one since
	pendingHeartbeats int           // number of heartbeats that still have to carry the record by gossip
}

// snapshot is one immutable state of the membership.
type snapshot struct {
	peers  []Peer // sorted by host name
	byHost map[string]Peer
	hash   uint64 // of all hosts not gone, including this one; equal on hosts that agree
}

// table holds the state of the other entry hosts as seen by this one, and
// implements View. Readers load the current snapshot; writers modify the records
// under mu and publish the next snapshot.
type table struct {
	self     peer.Identity
	maxPeers int // bound of records; further hosts are ignored

	mu       sync.Mutex             // guards records and draining
	records  map[string]*peerRecord // by host name
	draining bool                   // this host takes no new requests

	current   atomic.Pointer[snapshot]
	changeMu  sync.Mutex // guards listeners and serializes their calls
	listeners []func()
}

// newTable returns the table of host self, without other hosts.
func newTable(self peer.Identity, maxPeers int) *table {
	t := &table{self: self, maxPeers: maxPeers, records: map[string]*peerRecord{}}
	t.publish()
	return t
}

// Peers implements View.
func (t *table) Peers() []Peer { return append([]Peer(nil), t.current.Load().peers...) }

// Lookup implements View.
func (t *table) Lookup(host string) (Peer, bool) {
	p, ok := t.current.Load().byHost[host]
	return p, ok
}

// OnChange implements View.
func (t *table) OnChange(f func()) {
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	t.listeners = append(t.listeners, f)
}

// notify calls the listeners after a change. The caller must not hold t.mu.
func (t *table) notify() {
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	for _, f := range t.listeners {
		f()
	}
}

// update runs f under the lock. If f reports a change, it publishes the next
// snapshot and calls the listeners.
func (t *table) update(f func() bool) {
	t.mu.Lock()
	changed := f()
	if changed {
		t.publish()
	}
	t.mu.Unlock()
	if changed {
		t.notify()
	}
}

// publish replaces the current snapshot. The caller holds the lock.
func (t *table) publish() {
	s := &snapshot{byHost: make(map[string]Peer, len(t.records))}
	s.hash = hashMember(t.self, t.draining)
	for host, r := range t.records {
		s.peers = append(s.peers, r.Peer)
		s.byHost[host] = r.Peer
		if r.State != Gone {
			s.hash ^= hashMember(r.Identity, r.Draining)
		}
	}
	sort.Slice(s.peers, func(i, j int) bool { return s.peers[i].Host < s.peers[j].Host })
	t.current.Store(s)
}

// hashMember returns the contribution of one host to the hash of a snapshot.
func hashMember(id peer.Identity, draining bool) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(id.Host)
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], id.Incarnation)
	if draining {
		tail[8] = 1
	}
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// findOrAdd returns the record of id. It adds one for an unknown host and
// replaces that of an older incarnation; isNew reports both. It returns nil if
// id is an older incarnation, this host or has no name, or if the table is full.
// The caller holds the lock.
func (t *table) findOrAdd(id peer.Identity) (r *peerRecord, isNew bool) {
	if id.Host == "" || id.Host == t.self.Host {
		return nil, false
	}
	r = t.records[id.Host]
	if r != nil && id.Incarnation < r.Incarnation {
		return nil, false
	}
	if r != nil && id.Incarnation == r.Incarnation {
		return r, false
	}
	if r == nil && len(t.records) >= t.maxPeers {
		return nil, false
	}
	r = &peerRecord{Peer: Peer{Identity: id}, pendingHeartbeats: t.gossipHeartbeats()}
	t.records[id.Host] = r
	return r, true
}

// gossipHeartbeats returns the number of heartbeats that carry an update. It
// grows with the logarithm of the number of hosts: enough to reach all of them
// with high probability if each host repeats the update as often.
func (t *table) gossipHeartbeats() int {
	n := 4
	for size := len(t.records) + 1; size > 1; size >>= 1 {
		n += 2
	}
	return n
}

// recordContact records direct evidence that a peer is alive: it authenticated
// itself on a connection, called this host or responded to a call. draining set
// means that the peer takes no new requests; it stays so for the incarnation.
func (t *table) recordContact(id peer.Identity, draining bool, now time.Time) {
	t.update(func() bool {
		r, changed := t.findOrAdd(id)
		if r == nil {
			return false
		}
		r.lastContact, r.doubted = now, false
		if r.State == Gone {
			t.scheduleDomainProbes(r.Domain, now)
		}
		if r.State != Alive {
			r.State, changed = Alive, true
			r.pendingHeartbeats = t.gossipHeartbeats()
		}
		if draining && !r.Draining {
			r.Draining, changed = true, true
			r.pendingHeartbeats = t.gossipHeartbeats()
		}
		return changed
	})
}

// scheduleDomainProbes makes the probes of all gone hosts of a domain due. It
// is called when one of them is reachable again: most likely a network partition
// has healed. The caller holds the lock.
func (t *table) scheduleDomainProbes(domain string, now time.Time) {
	for _, r := range t.records {
		if r.Domain == domain && r.State == Gone {
			r.nextProbe = now
		}
	}
}

// applyGossip records updates of another host. It returns the hosts to check on a
// new connection: no host is declared gone on gossip alone. After a contact less than
// recent ago, a host that is reported as unresponsive is only doubted; see dueDoubts.
func (t *table) applyGossip(updates []memberUpdate, now time.Time, recent time.Duration) (toCheck []string) {
	t.update(func() bool {
		changed := false
		for _, u := range updates {
			if u.Unresponsive {
				r := t.records[u.Identity.Host]
				if r == nil || r.Incarnation != u.Identity.Incarnation || r.State != Alive {
					continue
				}
				if r.doubted = now.Sub(r.lastContact) <= recent; !r.doubted {
					toCheck = append(toCheck, u.Identity.Host)
				}
				continue
			}
			r, isNew := t.findOrAdd(u.Identity)
			if r == nil {
				continue
			}
			changed = changed || isNew
			if u.Draining && !r.Draining {
				r.Draining, changed = true, true
				r.pendingHeartbeats = t.gossipHeartbeats()
			}
			if r.State == Gone && now.Sub(r.goneAt) > recent {
				r.nextProbe = now
			}
		}
		return changed
	})
	return toCheck
}

// beginCheck marks host as suspect and reports whether the caller has to check
// it on a new connection; false if it is unknown or another check is running.
func (t *table) beginCheck(host string) bool {
	begin := false
	t.update(func() bool {
		r := t.records[host]
		if r == nil || r.checking {
			return false
		}
		r.checking, begin = true, true
		if r.State != Alive {
			return false
		}
		r.State = Suspect
		return true
	})
	return begin
}

// finishCheck records the outcome of a check that started at startedAt. If it
// failed, the host is gone; firstProbe and maxProbe bound the backoff between
// probes of it. Direct
// evidence that arrived since then outweighs a failure: the host reached this
// one on another connection.
func (t *table) finishCheck(host string, startedAt, now time.Time, alive bool, firstProbe, maxProbe time.Duration) {
	t.update(func() bool {
		r := t.records[host]
		if r == nil {
			return false
		}
		r.checking = false
		if alive || r.lastContact.After(startedAt) {
			changed := r.State != Alive
			r.State = Alive
			return changed
		}
		r.probeBackoff = min(max(2*r.probeBackoff, firstProbe), maxProbe)
		r.nextProbe = now.Add(r.probeBackoff)
		if r.State == Gone {
			return false
		}
		r.State, r.goneAt, r.probeBackoff = Gone, now, firstProbe
		r.pendingHeartbeats = t.gossipHeartbeats()
		return true
	})
}

// dueDoubts returns the doubted hosts without contact for longer than recent, and ends their doubts. Reports
// spread for a few heartbeats only, so that none may come later.
func (t *table) dueDoubts(now time.Time, recent time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for host, r := range t.records {
		if r.doubted && now.Sub(r.lastContact) > recent {
			r.doubted = false
			out = append(out, host)
		}
	}
	return out
}

// dueProbes returns up to limit gone hosts whose probe is due, at most one per
// domain.
func (t *table) dueProbes(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	domains := map[string]bool{}
	for host, r := range t.records {
		if len(out) < limit && r.State == Gone && !r.checking && !domains[r.Domain] && !r.nextProbe.After(now) {
			out = append(out, host)
			domains[r.Domain] = true
		}
	}
	return out
}

// removeGone removes the hosts that have been gone for longer than after and
// returns their names.
func (t *table) removeGone(now time.Time, after time.Duration) []string {
	var out []string
	t.update(func() bool {
		for host, r := range t.records {
			if r.State == Gone && now.Sub(r.goneAt) > after {
				delete(t.records, host)
				out = append(out, host)
			}
		}
		return len(out) > 0
	})
	return out
}

// memberUpdate is the state of one host, as gossip carries it.
type memberUpdate struct {
	Identity     peer.Identity
	Draining     bool
	Unresponsive bool // new connections of the sender to the host failed
}

// pendingUpdates returns up to limit updates that still have to spread, and
// counts down their remaining heartbeats.
func (t *table) pendingUpdates(limit int) []memberUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []memberUpdate
	for _, r := range t.records {
		if r.pendingHeartbeats > 0 && len(out) < limit {
			r.pendingHeartbeats--
			out = append(out, memberUpdate{r.Identity, r.Draining, r.State == Gone})
		}
	}
	return out
}

// liveMembers returns all hosts that are not gone, including this one.
func (t *table) liveMembers() []memberUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []memberUpdate{{t.self, t.draining, false}}
	for _, r := range t.records {
		if r.State != Gone {
			out = append(out, memberUpdate{Identity: r.Identity, Draining: r.Draining})
		}
	}
	return out
}

// setDraining marks this host as draining in the hash and the member list that it
// sends.
func (t *table) setDraining() {
	t.update(func() bool {
		changed := !t.draining
		t.draining = true
		return changed
	})
}
