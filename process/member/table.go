package member

import (
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
)

// record is what the table keeps of one other entry host.
type record struct {
	Peer
	heard     time.Time // last direct evidence of life; zero: gossip only
	gone      time.Time // when it was judged gone
	probeAt   time.Time // next probe of a gone host
	probeWait time.Duration
	checking  bool // a fresh connection is being tried
	announce  int  // heartbeats that still carry this news
}

// snapshot is one immutable state of the membership.
type snapshot struct {
	peers  []Peer // by host
	byHost map[string]Peer
	hash   uint64 // of everyone not gone, this host included
}

// table holds the records. Readers load the snapshot; writers take the lock,
// change records and publish the next snapshot.
type table struct {
	self peer.Identity
	max  int

	mu       sync.Mutex
	records  map[string]*record
	draining bool

	current  atomic.Pointer[snapshot]
	changeMu sync.Mutex // one notification at a time
	onChange []func()
}

func newTable(self peer.Identity, maxPeers int) *table {
	t := &table{self: self, max: maxPeers, records: map[string]*record{}}
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
	t.onChange = append(t.onChange, f)
}

func (t *table) notify() {
	t.changeMu.Lock()
	defer t.changeMu.Unlock()
	for _, f := range t.onChange {
		f()
	}
}

// update runs f under the lock; when f reports a change, the next snapshot is
// published and the listeners run.
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

func (t *table) publish() {
	s := &snapshot{byHost: make(map[string]Peer, len(t.records))}
	s.hash = fingerprint(t.self, t.draining)
	for host, r := range t.records {
		s.peers = append(s.peers, r.Peer)
		s.byHost[host] = r.Peer
		if r.State != Gone {
			s.hash ^= fingerprint(r.Identity, r.Draining)
		}
	}
	sort.Slice(s.peers, func(i, j int) bool { return s.peers[i].Host < s.peers[j].Host })
	t.current.Store(s)
}

func fingerprint(id peer.Identity, draining bool) uint64 {
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

// find returns the record for the incarnation, making or renewing it when id
// is news. It returns nil for an older incarnation, this host, or a full
// table.
func (t *table) find(id peer.Identity) (r *record, isNew bool) {
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
	if r == nil && len(t.records) >= t.max {
		return nil, false
	}
	r = &record{Peer: Peer{Identity: id}, announce: t.rounds()}
	t.records[id.Host] = r
	return r, true
}

// rounds is how many heartbeats carry a piece of news: enough to reach all
// hosts with high probability when each passes it on as often.
func (t *table) rounds() int {
	n := 4
	for size := len(t.records) + 1; size > 1; size >>= 1 {
		n += 2
	}
	return n
}

// heard records direct evidence: the peer's process proved itself or answered.
func (t *table) heard(id peer.Identity, draining bool, now time.Time) {
	t.update(func() bool {
		r, changed := t.find(id)
		if r == nil {
			return false
		}
		r.heard = now
		if r.State == Gone {
			t.probeDomain(r.Domain, now)
		}
		if r.State != Alive {
			r.State, changed = Alive, true
			r.announce = t.rounds()
		}
		if draining && !r.Draining {
			r.Draining, changed = true, true
			r.announce = t.rounds()
		}
		return changed
	})
}

// probeDomain brings forward the probes of a domain of which one host came
// back: most likely a cut has healed.
func (t *table) probeDomain(domain string, now time.Time) {
	for _, r := range t.records {
		if r.Domain == domain && r.State == Gone {
			r.probeAt = now
		}
	}
}

// gossip records what another host said. It returns hosts whose life should
// be checked on a fresh connection: no host is judged on gossip.
func (t *table) gossip(list []news, now time.Time, fresh time.Duration) (check []string) {
	t.update(func() bool {
		changed := false
		for _, n := range list {
			if n.Silent {
				if r := t.records[n.Identity.Host]; r != nil && r.Incarnation == n.Identity.Incarnation && r.State == Alive && now.Sub(r.heard) > fresh {
					check = append(check, n.Identity.Host)
				}
				continue
			}
			r, isNew := t.find(n.Identity)
			if r == nil {
				continue
			}
			changed = changed || isNew
			if n.Draining && !r.Draining {
				r.Draining, changed = true, true
				r.announce = t.rounds()
			}
			if r.State == Gone && now.Sub(r.gone) > fresh {
				r.probeAt = now
			}
		}
		return changed
	})
	return check
}

// beginCheck marks host as suspect and reports whether the caller is to check
// it on a fresh connection.
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

// endCheck records a check's outcome. Direct evidence that arrived during the
// check outweighs its failure: the heartbeat came on another connection.
func (t *table) endCheck(host string, began, now time.Time, alive bool, firstProbe, maxProbe time.Duration) {
	t.update(func() bool {
		r := t.records[host]
		if r == nil {
			return false
		}
		r.checking = false
		if alive || r.heard.After(began) {
			changed := r.State != Alive
			r.State = Alive
			return changed
		}
		r.probeWait = min(max(2*r.probeWait, firstProbe), maxProbe)
		r.probeAt = now.Add(r.probeWait)
		if r.State == Gone {
			return false
		}
		r.State, r.gone, r.probeWait = Gone, now, firstProbe
		r.announce = t.rounds()
		return true
	})
}

// probes returns at most limit gone hosts that are due, one a domain.
func (t *table) probes(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	domains := map[string]bool{}
	for host, r := range t.records {
		if len(out) < limit && r.State == Gone && !r.checking && !domains[r.Domain] && !r.probeAt.After(now) {
			out = append(out, host)
			domains[r.Domain] = true
		}
	}
	return out
}

// forget drops hosts that have been gone for long, and returns them.
func (t *table) forget(now time.Time, after time.Duration) []string {
	var out []string
	t.update(func() bool {
		for host, r := range t.records {
			if r.State == Gone && now.Sub(r.gone) > after {
				delete(t.records, host)
				out = append(out, host)
			}
		}
		return len(out) > 0
	})
	return out
}

// news is what one host tells another of a third.
type news struct {
	Identity peer.Identity
	Draining bool
	Silent   bool // the teller found it silent on a fresh connection
}

// takeNews returns up to limit pieces of news that still have to spread.
func (t *table) takeNews(limit int) []news {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []news
	for _, r := range t.records {
		if r.announce > 0 && len(out) < limit {
			r.announce--
			out = append(out, news{r.Identity, r.Draining, r.State == Gone})
		}
	}
	return out
}

// everyone returns all hosts not gone, this one included.
func (t *table) everyone() []news {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []news{{t.self, t.draining, false}}
	for _, r := range t.records {
		if r.State != Gone {
			out = append(out, news{Identity: r.Identity, Draining: r.Draining})
		}
	}
	return out
}

func (t *table) setDraining() {
	t.update(func() bool {
		changed := !t.draining
		t.draining = true
		return changed
	})
}
