package report

import (
	"context"
	"errors"
	"math/bits"
	"net"
	"time"

	"bilberrydale/process/member"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/peer"
)

// sign is what hosts tell each other of one backend server. Version rises with
// each change, so that older news does not undo newer; no clocks of different
// hosts are compared.
type sign struct {
	Address  string
	Version  uint64
	Reported bool // the server itself says that it leaves
	Listed   bool // the platform's list says that it leaves
	Down     bool // the teller's probes failed; only a hint to others
}

func (s *sign) leaving() bool { return s.Reported || s.Listed }

// maxSigns bounds the signs on one heartbeat.
const maxSigns = 16

// observe applies this host's own evidence and spreads it if it is new.
func (w *Poller) observe(k *known, change func(*sign)) {
	w.mu.Lock()
	before := k.sign
	change(&k.sign)
	k.busy = false
	if !k.sign.Down {
		k.missed = 0
	}
	k.down = k.sign.Down
	k.checkAt = w.opts.Clock.Now().Add(recheckIntervals * w.opts.Interval)
	changed := k.sign != before
	if changed {
		k.sign.Version++
		k.spread = w.spreads()
	}
	w.apply(k)
	w.mu.Unlock()
	if changed && w.opts.Monitor != nil {
		w.opts.Monitor.HeartbeatNow()
	}
}

func (w *Poller) apply(k *known) {
	k.target.State.SetLeaving(k.sign.leaving())
	k.target.State.SetDown(k.down)
}

// Leaving records that an answer of the server said that it leaves.
func (w *Poller) MarkLeaving(address string) {
	w.mu.Lock()
	k := w.known[address]
	w.mu.Unlock()
	if k != nil {
		w.observe(k, func(s *sign) { s.Reported = true })
	}
}

// spreads is how many heartbeats carry a sign.
func (w *Poller) spreads() int { return 6 + 2*bits.Len(uint(len(w.opts.View.Peers()))) }

func (w *Poller) produceSigns() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []sign
	for address, k := range w.known {
		if k.spread > 0 && len(out) < maxSigns {
			k.spread--
			s := k.sign
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

// consumeSigns takes what another host saw. Leaving is believed at once, since
// being wrong costs a little capacity and being late breaks a promise. Down is
// a hint: another host's broken link must not take a healthy server out here,
// so this host probes by itself.
func (w *Poller) consumeSigns(_ peer.Identity, data []byte) {
	var list []sign
	if peer.Unmarshal(data, &list) != nil {
		return
	}
	news := false
	w.mu.Lock()
	for _, s := range list {
		k := w.known[s.Address]
		if k == nil || !newer(s, k.sign) {
			continue
		}
		s.Address = ""
		k.sign, k.spread, news = s, w.spreads(), true
		if s.Down != k.down && !k.busy {
			k.busy = true
			w.work.Go(func() { w.verify(k) })
		}
		w.apply(k)
	}
	w.mu.Unlock()
	if news && w.opts.Monitor != nil {
		w.opts.Monitor.HeartbeatNow()
	}
}

// newer orders signs; of two made at once the one that keeps work away wins.
func newer(s, old sign) bool {
	if s.Version != old.Version {
		return s.Version > old.Version
	}
	return (s.leaving() && !old.leaving()) || (s.leaving() == old.leaving() && s.Down && !old.Down)
}

// verify probes a server of which others say that it died or came back.
func (w *Poller) verify(k *known) {
	down := true
	for try := 0; try < 2 && down; try++ {
		_, err := w.opts.Prober.Poll(context.Background(), k.target.State.Address, true)
		down = errors.Is(err, ErrNoConnection)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k.busy, k.down = false, down
	k.checkAt = w.opts.Clock.Now().Add(recheckIntervals * w.opts.Interval)
	w.apply(k)
}

// list takes in the platform's host list. It lags, so it only adds signs: a
// server that its own report calls leaving stays so whatever the list says.
func (w *Poller) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	w.Counters.HostListReads.Add(1)
	hosts, err := w.opts.ListHosts(ctx)
	if err != nil {
		return
	}
	byKey := make(map[string]objectapi.Host, 2*len(hosts))
	for _, h := range hosts {
		byKey[h.Name], byKey[h.Address] = h, h
	}
	w.mu.Lock()
	all := make([]*known, 0, len(w.known))
	servers := make(map[string]bool, 2*len(w.known))
	for _, k := range w.known {
		all = append(all, k)
		servers[k.target.State.Name], servers[k.target.State.Address] = true, true
	}
	w.seeds = w.seeds[:0:0]
	for _, h := range hosts {
		if !servers[h.Name] && !servers[h.Address] && h.State == objectapi.HostLive && hasPort(h.Address) {
			w.seeds = append(w.seeds, h.Address)
		}
	}
	w.mu.Unlock()
	for _, k := range all {
		h, ok := byKey[k.target.State.Address]
		if !ok {
			h, ok = byKey[k.target.State.Name]
		}
		if ok {
			w.listed(k, h.State == objectapi.HostLeaving)
		}
	}
}

func hasPort(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return err == nil
}

func (w *Poller) listed(k *known, leaving bool) {
	w.mu.Lock()
	same := k.sign.Listed == leaving
	w.mu.Unlock()
	if !same {
		w.observeListed(k, leaving)
	}
}

// observeListed changes the list's part of the sign and leaves a poll that is
// under way alone.
func (w *Poller) observeListed(k *known, leaving bool) {
	w.mu.Lock()
	k.sign.Listed = leaving
	k.sign.Version++
	k.spread = w.spreads()
	w.apply(k)
	w.mu.Unlock()
	if w.opts.Monitor != nil {
		w.opts.Monitor.HeartbeatNow()
	}
}

// maxSeeds bounds the listed addresses tried at once. The list may hold many
// hosts that are no entry hosts.
const maxSeeds = 4

// Seeds returns a few addresses of the platform's list, chosen at random, at
// which entry hosts may be.
func (w *Poller) Seeds() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.seeds) <= maxSeeds {
		return append([]string(nil), w.seeds...)
	}
	out := make([]string, maxSeeds)
	for i := range out {
		out[i] = w.seeds[w.opts.Rand.IntN(len(w.seeds))]
	}
	return out
}

// noteJoined takes note when a host comes that was not there before. Signs
// spread once, when they change; a host that starts, or comes back from a cut,
// after a server was found leaving would never hear of it and send it work.
func (w *Poller) noteJoined() {
	next := map[string]uint64{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.opts.View.Peers() {
		if p.State == member.Gone {
			continue
		}
		next[p.Host] = p.Incarnation
		if w.present[p.Host] != p.Incarnation {
			w.joined.Store(true)
		}
	}
	w.present = next
}

// repeatSigns lets the signs that keep work away spread once more.
func (w *Poller) repeatSigns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.known {
		if k.sign.leaving() || k.sign.Down {
			k.spread = max(k.spread, w.spreads())
		}
	}
}
