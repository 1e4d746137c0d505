package edge

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/peerconn"
	"bilberrydale/platform"
	"bilberrydale/process/directory"
	"bilberrydale/process/follow"
	"bilberrydale/process/peer"
	"bilberrydale/process/reach"
	"bilberrydale/version/plan"
)

// Waits of the watches, as shares of the platform's bounds for what they tell: a
// change is learned of at the latest a wait after the host that asks for others
// lost the platform, and relayRoom, another question to its substitute and a
// pause later, 1.2 to 1.4 s in all. Each watch is a call that the platform counts.
const (
	configShare  = 0.2
	serversShare = 0.24
	leastWait    = 200 * time.Millisecond
	longestWait  = 2 * time.Second
	// hostsWait: hosts tell each other when they come and leave; their list only
	// has to be right in the end.
	hostsWait  = 2 * time.Second
	answerWait = 700 * time.Millisecond // beyond the watch's own wait
)

// Pauses after a change. Servers are replaced and hosts are restarted by dozens:
// without a pause each of them is an answer of the platform for each region, and of
// the readers for each host.
const (
	serversSettleShare = 0.03 // of the platform's bound for servers that leave
	hostsSettle        = 500 * time.Millisecond
)

// Bounds that hold where the settings give none, those of the deployments today.
const (
	defaultConfigBound = 2500 * time.Millisecond
	defaultDrainBound  = 2500 * time.Millisecond
)

func watchWait(bound time.Duration, share float64) time.Duration {
	return min(max(time.Duration(share*float64(bound)), leastWait), longestWait)
}

// configWait is the wait of a watch on the configuration: the bound of its
// coming into force or that of a revoked key, whichever is shorter.
func (h *Host) configWait() time.Duration {
	bound := cmp.Or(h.set.ConfigBound, defaultConfigBound)
	if h.set.StrictRevoke {
		bound = min(bound, h.set.RevokeBound-keysMargin)
	}
	return watchWait(bound, configShare)
}

func (h *Host) drainBound() time.Duration { return cmp.Or(h.set.DrainBound, defaultDrainBound) }

func (h *Host) serversWait() time.Duration { return watchWait(h.drainBound(), serversShare) }

func (h *Host) serversSettle() time.Duration {
	return time.Duration(serversSettleShare * float64(h.drainBound()))
}

// hostSource reads the entry hosts. Where the whole system starts for the first time,
// a list of some seconds ago would be empty.
func (h *Host) hostSource() follow.Source[peer.Identity] {
	if h.set.FirstStart {
		return platform.HostSource(h.store)
	}
	return platform.HostSourceAtStart(h.store)
}

// wireBeliefs makes the followers. They ask one host of the region, which asks
// the platform.
func (h *Host) wireBeliefs() {
	h.reach = reach.New(reach.Options{Probe: h.store.Probe, Clock: h.boot, Rand: h.rand, Changed: h.silenceChanged, Waited: func() bool { return len(h.readers()) == 0 }})
	configWait, serversWait := h.configWait(), h.serversWait()
	h.config = follow.New(follow.Options[plan.Config]{
		Source: relay(h, "config", configWait, platform.ConfigSource(h.store)), Clock: h.boot, Rand: h.rand,
		Wait: configWait, Answer: answerWait, Changed: h.configChanged,
		Proved:   h.configProved,
		Lost:     func(err error) { h.lost("configuration", err) },
		Regained: func(d time.Duration) { h.regained("configuration", d) },
	})
	h.servers = follow.New(follow.Options[directory.Entry]{
		Source: relay(h, "servers", serversWait, platform.ServerSource(h.store)), Clock: h.boot, Rand: h.rand,
		Wait: serversWait, Answer: answerWait, Settle: h.serversSettle(), Changed: h.serversChanged,
		Proved:   func(time.Time) {},
		Lost:     func(err error) { h.lost("list of backend servers", err) },
		Regained: func(d time.Duration) { h.regained("list of backend servers", d) },
	})
	h.entryHosts = follow.New(follow.Options[peer.Identity]{
		Source: relay(h, "hosts", hostsWait, h.hostSource()), Clock: h.boot, Rand: h.rand,
		Wait: hostsWait, Answer: answerWait, Settle: hostsSettle, Changed: h.hostsChanged,
		Proved: func(time.Time) {}, Lost: func(err error) { h.lost("list of entry hosts", err) },
		Regained: func(d time.Duration) { h.regained("list of entry hosts", d) },
	})
	h.wireEvacuations()
	h.entryHosts.Serve(h.mesh, "hosts")
	h.config.Serve(h.mesh, "config")
	h.servers.Serve(h.mesh, "servers")
}

// relayRoom is what another host's knowledge may be older than two of its
// watches: the ways there and back, and a store that takes its time.
const relayRoom = 500 * time.Millisecond

func relay[T any](h *Host, kind string, wait time.Duration, direct follow.Source[T]) follow.Source[T] {
	return &follow.Relay[T]{
		Kind: kind, Link: h.mesh, Direct: follow.Through(h.reach, direct), Clock: h.boot, MaxAge: 2*wait + relayRoom,
		Silent: h.reach.Silent, Readers: h.readers,
	}
}

// maxReaders bounds the hosts that are asked before the platform. Where it turns all of
// them away, each host of the region asks for itself: of two, a third of the hosts being
// turned away, in 1 of 9 cases, of four in 1 of 81.
const maxReaders = 4

// readers are the hosts of this region that ask the platform for the others, in
// the order in which they stand in for each other. None if this host is the
// first, or if the peers cannot be called yet.
func (h *Host) readers() []string {
	if h.secret.Load() == nil {
		return nil
	}
	begins := h.begins()
	var first []peer.Identity
	for _, id := range h.mesh.Peers() {
		if id.Region != h.self.Region || !peer.Before(id, h.self) || begins && id.Share <= h.self.Share || h.stages.Left(id) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, id, func(a, b peer.Identity) int {
			if peer.Before(a, b) {
				return -1
			}
			return 1
		})
		first = slices.Insert(first, at, id)
		first = first[:min(len(first), maxReaders)]
	}
	names := make([]string, len(first))
	for i, id := range first {
		names[i] = id.Host
	}
	return names
}

// begins reports whether this host still has to get the configuration and the
// servers. It asks only hosts stronger than itself then: after a loss of power the
// platform's list tells of processes that are gone, and by their ages the strong
// hosts would all wait for each other.
func (h *Host) begins() bool { return h.plan.Load() == nil || h.directory.View().Count() == 0 }

// meetPatience is how long a host that has just begun waits for the list of entry
// hosts before it asks the platform for everything itself.
const meetPatience = 2 * hostsSettle

// onceMet runs an actor once the other hosts are known, or cannot be had soon: what
// they know is not asked of the platform by each host of a fleet that starts.
func (h *Host) onceMet(actor func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-h.met:
		case <-h.clock.After(meetPatience):
		case <-ctx.Done():
		}
		return actor(ctx)
	}
}

// configProved moves the time up to which the configuration is confirmed. An
// answer by way of another host may be older than one that came before it.
func (h *Host) configProved(at time.Time) {
	if h.unreadable.Load() {
		return // what is in force is not the newest
	}
	h.confirmed.Store(max(h.confirmed.Load(), at.UnixNano()))
}

func (h *Host) configChanged(objects map[string]follow.Object[plan.Config], why string) {
	o, ok := objects[platform.NewestConfig]
	if !ok {
		return
	}
	h.unreadable.Store(o.Err != nil)
	if o.Err != nil {
		h.log.Error("configuration", "outcome", "not readable; the one in force stays", "revision", o.Revision, "err", o.Err)
		return
	}
	old := h.plan.Load()
	if old != nil && o.Value.Version <= old.Version {
		// A process never goes back: an answer of before may come late.
		if o.Value.Version < old.Version {
			h.log.Warn("configuration", "outcome", "older than the one in force", "version", o.Value.Version, "in_force", old.Version)
		}
		return
	}
	p := plan.Compile(o.Value)
	h.batchers.setPlan(p)
	h.plan.Store(p)
	h.log.Info("configuration", "outcome", "in force", "version", p.Version, "revision", o.Revision, "by", why,
		"routes", len(o.Value.Routes), "accounts", len(o.Value.Accounts))
}

// keysMargin is kept below the platform's bound for a revoked key: a watch may
// have delivered nothing for a second before its answer, and the request still
// has to be sent on.
const keysMargin = 1400 * time.Millisecond

// keysFresh tells whether the keys in force may be honoured.
func (h *Host) keysFresh() (bool, time.Duration) {
	at := h.confirmed.Load()
	if at == 0 {
		return false, 0
	}
	age := time.Duration(h.boot.Now().UnixNano() - at)
	return !h.set.StrictRevoke || age < h.set.RevokeBound-keysMargin, age
}

func (h *Host) serversChanged(objects map[string]follow.Object[directory.Entry], why string) {
	before := h.directory.View()
	entries := make([]directory.Entry, 0, len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("backend server", "outcome", "entry left out", "id", name, "revision", o.Revision, "err", o.Err)
			continue
		}
		e := o.Value
		e.Region = h.set.Regions[e.Domain]
		entries = append(entries, e)
	}
	h.directory.Replace(entries, h.clock.Now())
	h.logServers(before, h.directory.View(), why)
	h.batchers.updateServers()
}

func (h *Host) logServers(before, after *directory.View, why string) {
	for _, s := range after.All() {
		old := before.Server(s.ID)
		if old == nil || old.Draining != s.Draining || old.Born != s.Born {
			h.log.Info("backend server", "outcome", state(s), "id", s.ID, "service", s.Service, "address", s.Address, "domain", s.Domain, "by", why)
		}
	}
	for _, s := range before.All() {
		if after.Server(s.ID) == nil {
			h.log.Info("backend server", "outcome", "gone", "id", s.ID, "service", s.Service, "by", why)
		}
	}
}

func state(s *directory.Server) string {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

// joinPause is the pause after a failed step of joining.
const joinPause = 300 * time.Millisecond

// joinPeers registers this host with the platform and opens the peer port.
func (h *Host) joinPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.register(ctx)
		if err == nil {
			break
		}
		h.log.Warn("peers", "outcome", "not registered yet", "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(joinPause):
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	opts, err := h.peerOptions()
	if err != nil {
		return err
	}
	defer h.mesh.Close()
	server := &peerconn.Server{
		Options: opts, Serve: h.mesh.Dispatch, Accepted: h.mesh.Accepted,
		Refused: func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { h.awaitOthers(ctx); return h.entryHosts.Run(ctx) })
	g.Go(func() error { return server.Run(ctx, h.listeners.peers) })
	return g.Wait()
}

// awaitOthers lets the hosts of a system that starts for the first time register
// themselves before they are listed: otherwise each of them is told of each other one.
func (h *Host) awaitOthers(ctx context.Context) {
	if !h.set.FirstStart {
		return
	}
	select {
	case <-ctx.Done():
	case <-h.clock.After(hostsSettle):
	}
}

func (h *Host) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*answerWait)
	defer cancel()
	if h.secret.Load() == nil {
		var offer [16]byte
		if _, err := rand.Read(offer[:]); err != nil {
			return err
		}
		secret, err := reach.Ask(ctx, h.reach, 0, func(ctx context.Context, _ bool) (string, error) {
			return platform.PeerSecret(ctx, h.store, hex.EncodeToString(offer[:]), h.set.FirstStart)
		})
		if err != nil {
			return err
		}
		h.secret.Store(&secret)
	}
	_, err := reach.Ask(ctx, h.reach, 0, func(ctx context.Context, _ bool) (struct{}, error) {
		return struct{}{}, platform.RegisterHost(ctx, h.store, h.self, h.set.FirstStart)
	})
	return err
}

func (h *Host) hostsChanged(objects map[string]follow.Object[peer.Identity], why string) {
	listed := make(map[string]follow.Object[peer.Identity], len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("entry host", "outcome", "entry left out", "name", name, "err", o.Err)
			continue
		}
		listed[name] = o
		h.mesh.Learn(o.Value)
	}
	before := h.listed.Swap(&listed)
	if before == nil {
		close(h.met)
		h.stages.Hello()
		h.stages.Met()
		return
	}
	for _, id := range h.mesh.Peers() {
		was, ok := (*before)[id.Host]
		// A host that came back has told so itself before the list did.
		if _, is := listed[id.Host]; !is && ok && was.Value.Incarnation == id.Incarnation {
			h.log.Info("entry host", "outcome", "gone", "name", id.Host, "by", why)
			h.forgetLater(id)
		}
	}
	if _, is := listed[h.self.Host]; !is && !h.stopping.Load() {
		// Another host took this one for lost, while it was cut off.
		h.log.Warn("entry host", "outcome", "own entry is gone; registered again", "by", why)
		go h.registerAgain()
	}
}

func (h *Host) registerAgain() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerWait)
	defer cancel()
	if err := h.register(ctx); err != nil {
		h.log.Warn("peers", "outcome", "not registered again", "err", err)
	}
}

// forgetLater drops a host that is no longer listed once it must have stopped.
// It takes its entry back before its last requests are done, and closing its
// connections then would cut the stage work of those.
func (h *Host) forgetLater(id peer.Identity) {
	time.AfterFunc(h.set.StopBound, func() {
		for _, now := range h.mesh.Peers() {
			if now.Host == id.Host && now.Incarnation == id.Incarnation {
				h.mesh.Forget(id.Host)
			}
		}
	})
}

// silenceChanged logs that the platform's object API has fallen silent for this
// host, or answers again.
func (h *Host) silenceChanged(silent bool, after time.Duration) {
	if silent {
		h.meter.Add("platform_silences", 1)
		h.log.Warn("platform", "outcome", "silent; probed until it answers", "after_ms", after.Milliseconds())
		return
	}
	h.log.Info("platform", "outcome", "answers again", "after_ms", after.Milliseconds())
}

func (h *Host) lost(what string, err error) {
	h.meter.Add("dependency_lost", 1)
	h.log.Warn("dependency lost", "what", what, "err", err)
}

func (h *Host) regained(what string, after time.Duration) {
	h.log.Info("dependency regained", "what", what, "after_ms", after.Milliseconds())
}
