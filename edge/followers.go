package edge

import (
	"cmp"
	"slices"
	"time"

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
	configWaitShare  = 0.2
	serversWaitShare = 0.24
	minWatchWait     = 200 * time.Millisecond
	maxWatchWait     = 2 * time.Second
	// hostsWait: hosts tell each other when they come and leave; their list only
	// has to be right in the end.
	hostsWatchWait  = 2 * time.Second
	responseTimeout = 700 * time.Millisecond // beyond the watch's own wait
)

// Pauses after a change. Servers are replaced and hosts are restarted by dozens:
// without a pause each of them is an answer of the platform for each region, and of
// the readers for each host.
const (
	serversSettleDelayShare = 0.03 // of the platform's bound for servers that leave
	hostsSettleDelay        = 500 * time.Millisecond
)

// Bounds that hold where the settings give none, those of the deployments today.
const (
	defaultConfigBound = 2500 * time.Millisecond
	defaultDrainBound  = 2500 * time.Millisecond
)

func watchWait(bound time.Duration, share float64) time.Duration {
	return min(max(time.Duration(share*float64(bound)), minWatchWait), maxWatchWait)
}

// configWait is the wait of a watch on the configuration: the bound of its
// coming into force or that of a revoked key, whichever is shorter.
func (h *Host) configWatchWait() time.Duration {
	bound := cmp.Or(h.settings.ConfigBound, defaultConfigBound)
	if h.settings.StrictRevoke {
		bound = min(bound, h.settings.RevokeBound-keyFreshnessMargin)
	}
	return watchWait(bound, configWaitShare)
}

func (h *Host) drainBound() time.Duration { return cmp.Or(h.settings.DrainBound, defaultDrainBound) }

func (h *Host) serversWatchWait() time.Duration { return watchWait(h.drainBound(), serversWaitShare) }

func (h *Host) serversSettleDelay() time.Duration {
	return time.Duration(serversSettleDelayShare * float64(h.drainBound()))
}

// hostSource reads the entry hosts. Where the whole system starts for the first time,
// a list of some seconds ago would be empty.
func (h *Host) hostSource() follow.Source[peer.Identity] {
	if h.settings.FirstStart {
		return platform.HostSource(h.store)
	}
	return platform.HostSourceAtStart(h.store)
}

// wireBeliefs makes the followers. They ask one host of the region, which asks
// the platform.
func (h *Host) createFollowers() {
	h.reach = reach.New(reach.Options{Probe: h.store.Probe, Clock: h.bootClock, Rand: h.rand, OnChange: h.platformReachabilityChanged, FullProbeRate: func() bool { return len(h.readers()) == 0 }})
	configWait, serversWait := h.configWatchWait(), h.serversWatchWait()
	h.config = follow.New(follow.Options[plan.Config]{
		Source: relaySource(h, "config", configWait, platform.ConfigSource(h.store)), Clock: h.bootClock, Rand: h.rand,
		WatchWait: configWait, ResponseTimeout: responseTimeout, OnChange: h.configChanged,
		OnConfirmed: h.confirmConfig,
		OnLost:      func(err error) { h.logDependencyLost("configuration", err) },
		OnRegained:  func(d time.Duration) { h.logDependencyRegained("configuration", d) },
	})
	h.servers = follow.New(follow.Options[directory.Entry]{
		Source: relaySource(h, "servers", serversWait, platform.ServerSource(h.store)), Clock: h.bootClock, Rand: h.rand,
		WatchWait: serversWait, ResponseTimeout: responseTimeout, CoalesceDelay: h.serversSettleDelay(), OnChange: h.serversChanged,
		OnConfirmed: func(time.Time) {},
		OnLost:      func(err error) { h.logDependencyLost("list of backend servers", err) },
		OnRegained:  func(d time.Duration) { h.logDependencyRegained("list of backend servers", d) },
	})
	h.entryHosts = follow.New(follow.Options[peer.Identity]{
		Source: relaySource(h, "hosts", hostsWatchWait, h.hostSource()), Clock: h.bootClock, Rand: h.rand,
		WatchWait: hostsWatchWait, ResponseTimeout: responseTimeout, CoalesceDelay: hostsSettleDelay, OnChange: h.hostsChanged,
		OnConfirmed: func(time.Time) {}, OnLost: func(err error) { h.logDependencyLost("list of entry hosts", err) },
		OnRegained: func(d time.Duration) { h.logDependencyRegained("list of entry hosts", d) },
	})
	h.createEvacuationFollower()
	h.entryHosts.Serve(h.mesh, "hosts")
	h.config.Serve(h.mesh, "config")
	h.servers.Serve(h.mesh, "servers")
}

// relayRoom is what another host's knowledge may be older than two of its
// watches: the ways there and back, and a store that takes its time.
const relayMargin = 500 * time.Millisecond

func relaySource[T any](h *Host, kind string, wait time.Duration, direct follow.Source[T]) follow.Source[T] {
	return &follow.PeerSource[T]{
		Kind: kind, Link: h.mesh, Direct: follow.Monitored(h.reach, direct), Clock: h.bootClock, MaxAge: 2*wait + relayMargin,
		APIUnresponsive: h.reach.Unresponsive, Readers: h.readers,
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
	if h.peerSecret.Load() == nil {
		return nil
	}
	begins := h.initializing()
	var first []peer.Identity
	for _, id := range h.mesh.Peers() {
		if id.Region != h.self.Region || !peer.Before(id, h.self) || begins && id.Share <= h.self.Share || h.stages.HasLeft(id) {
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
func (h *Host) initializing() bool { return h.plan.Load() == nil || h.directory.View().Count() == 0 }

// configProved moves the time up to which the configuration is confirmed. An
// answer by way of another host may be older than one that came before it.
func (h *Host) confirmConfig(at time.Time) {
	if h.configUnreadable.Load() {
		return // what is in force is not the newest
	}
	h.configConfirmedAt.Store(max(h.configConfirmedAt.Load(), at.UnixNano()))
}

func (h *Host) configChanged(objects map[string]follow.Object[plan.Config], why string) {
	o, ok := objects[platform.NewestConfig]
	if !ok {
		return
	}
	h.configUnreadable.Store(o.Err != nil)
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
const keyFreshnessMargin = 1400 * time.Millisecond

// keysFresh tells whether the keys in force may be honoured.
func (h *Host) keysFresh() (bool, time.Duration) {
	at := h.configConfirmedAt.Load()
	if at == 0 {
		return false, 0
	}
	age := time.Duration(h.bootClock.Now().UnixNano() - at)
	return !h.settings.StrictRevoke || age < h.settings.RevokeBound-keyFreshnessMargin, age
}

// silenceChanged logs that the platform's object API has fallen silent for this
// host, or answers again.
func (h *Host) platformReachabilityChanged(silent bool, after time.Duration) {
	if silent {
		h.meter.Add("platform_silences", 1)
		h.log.Warn("platform", "outcome", "silent; probed until it answers", "after_ms", after.Milliseconds())
		return
	}
	h.log.Info("platform", "outcome", "answers again", "after_ms", after.Milliseconds())
}

func (h *Host) logDependencyLost(what string, err error) {
	h.meter.Add("dependency_lost", 1)
	h.log.Warn("dependency lost", "what", what, "err", err)
}

func (h *Host) logDependencyRegained(what string, after time.Duration) {
	h.log.Info("dependency regained", "what", what, "after_ms", after.Milliseconds())
}
