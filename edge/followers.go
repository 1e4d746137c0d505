package edge

import (
	"cmp"
	"slices"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/directory"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/peer"
	"bilberrydale/version/plan"
)

// Wait times of watches (long polls), as shares of the platform's time limits for
// applying a change. If a reader loses its connection to the platform, a host of its
// region learns of a change at the latest one watch wait, relayMargin, one request to
// the next reader and one retry pause later: 1.2 to 1.4 s in total. Each watch is a
// call that the platform counts, so shorter waits cost more calls.
const (
	configWaitShare  = 0.2                    // of the limit for configurations or revoked keys
	serversWaitShare = 0.24                   // of the limit for draining servers
	minWatchWait     = 200 * time.Millisecond // lower bound of both waits
	maxWatchWait     = 2 * time.Second        // upper bound of both waits
	// hostsWatchWait may be long: hosts notify each other when they start and stop,
	// so the platform's list only has to be correct eventually.
	hostsWatchWait = 2 * time.Second
	// responseTimeout is the time for a response, beyond the watch's own wait.
	responseTimeout = 700 * time.Millisecond
)

// Delays before the next watch after a change. Servers are replaced and hosts are
// restarted by dozens. Without a delay each of them would cost a response of the
// platform for each region, and a response of the readers for each host.
const (
	serversCoalesceShare = 0.03 // of the platform's drain bound
	hostsCoalesceDelay   = 500 * time.Millisecond
)

// Defaults for limits that the settings omit, as in the existing deployments.
const (
	defaultConfigBound = 2500 * time.Millisecond // for MaxConfigDelay
	defaultDrainBound  = 2500 * time.Millisecond // for MaxDrainDelay
)

// watchWait returns the wait time of a watch whose changes have to be applied within
// bound.
func watchWait(bound time.Duration, share float64) time.Duration {
	return min(max(time.Duration(share*float64(bound)), minWatchWait), maxWatchWait)
}

// configWatchWait returns the wait time of a watch on the configuration. It follows
// from the limit for applying a configuration or that for rejecting a revoked key,
// whichever is shorter.
func (h *Host) configWatchWait() time.Duration {
	bound := cmp.Or(h.settings.MaxConfigDelay, defaultConfigBound)
	if h.settings.StrictKeyRevocation {
		bound = min(bound, h.settings.MaxKeyRevocationDelay-keyFreshnessMargin)
	}
	return watchWait(bound, configWaitShare)
}

// drainBound returns the time after which a draining server may get no new requests.
func (h *Host) drainBound() time.Duration { return cmp.Or(h.settings.MaxDrainDelay, defaultDrainBound) }

// serversWatchWait returns the wait time of a watch on the backend servers.
func (h *Host) serversWatchWait() time.Duration { return watchWait(h.drainBound(), serversWaitShare) }

// serversCoalesceDelay returns the delay after a change of the backend servers.
func (h *Host) serversCoalesceDelay() time.Duration {
	return time.Duration(serversCoalesceShare * float64(h.drainBound()))
}

// hostSource returns the source of the list of entry hosts. The first list may be some
// seconds old, except at the first start of the whole system, when it would be empty.
func (h *Host) hostSource() objectwatch.Source[peer.Identity] {
	if h.settings.Bootstrap {
		return platform.HostSource(h.store)
	}
	return platform.StartupHostSource(h.store)
}

// createFollowers creates the followers of the platform's objects. Each reads through
// one entry host of its region, which reads from the platform.
func (h *Host) createFollowers() {
	h.platformMonitor = apihealth.New(apihealth.Options{Probe: h.store.Probe, Clock: h.bootClock, Rand: h.rand, OnChange: h.platformAvailabilityChanged, FullProbeRate: func() bool { return len(h.readers()) == 0 }})
	h.configFollower = newFollower(h, followed[plan.Config]{
		kind: "config", name: "configuration", source: platform.ConfigSource(h.store), wait: h.configWatchWait(),
		onChange: h.configChanged, onConfirmed: h.confirmConfig,
	})
	h.serverFollower = newFollower(h, followed[directory.Entry]{
		kind: "servers", name: "list of backend servers", source: platform.ServerSource(h.store), wait: h.serversWatchWait(),
		coalesceDelay: h.serversCoalesceDelay(), onChange: h.serversChanged, onConfirmed: h.confirmServers,
	})
	h.hostFollower = newFollower(h, followed[peer.Identity]{
		kind: "hosts", name: "list of entry hosts", source: h.hostSource(), wait: hostsWatchWait,
		coalesceDelay: hostsCoalesceDelay, onChange: h.hostsChanged,
	})
	h.createEvacuationFollower()
}

// followed describes a kind of platform objects that a host follows.
type followed[T any] struct {
	kind          string // in calls between hosts
	name          string // in log lines
	source        objectwatch.Source[T]
	wait          time.Duration // of a watch
	coalesceDelay time.Duration // after a response with changes; 0: none
	onChange      func(objects map[string]objectwatch.Object[T], origin string)
	onConfirmed   func(at time.Time) // nil: not needed
}

// newFollower returns a follower that reads through the readers of the region, and serves its
// copy to the other hosts.
func newFollower[T any](h *Host, f followed[T]) *objectwatch.Follower[T] {
	if f.onConfirmed == nil {
		f.onConfirmed = func(time.Time) {}
	}
	follower := objectwatch.New(objectwatch.Options[T]{
		Source: relaySource(h, f.kind, f.wait, f.source), Clock: h.bootClock, Rand: h.rand,
		WatchWait: f.wait, ResponseTimeout: responseTimeout, CoalesceDelay: f.coalesceDelay,
		OnChange: f.onChange, OnConfirmed: f.onConfirmed,
		OnLost:     func(err error) { h.logDependencyLost(f.name, err) },
		OnRegained: func(d time.Duration) { h.logDependencyRegained(f.name, d) },
	})
	follower.Serve(h.mesh, f.kind)
	return follower
}

// relayMargin is added to two watch waits to get the maximum accepted age of data
// from another host. It covers the round trip and a slow store.
const relayMargin = 500 * time.Millisecond

// relaySource returns a source that reads objects of a kind through the readers of the
// region, or directly from the platform where there is no reader. wait is the wait
// time of the watch.
func relaySource[T any](h *Host, kind string, wait time.Duration, direct objectwatch.Source[T]) objectwatch.Source[T] {
	return &objectwatch.PeerSource[T]{
		Kind: kind, Link: h.mesh, Direct: objectwatch.Monitored(h.platformMonitor, direct), Clock: h.bootClock, MaxAge: 2*wait + relayMargin,
		APIUnresponsive: h.platformMonitor.Unresponsive, Readers: h.readers,
	}
}

// maxReaders limits the hosts that are tried before the platform. If the platform
// rejects all of them, each host of the region reads for itself. With a third of the
// hosts rejected that happens in 1 of 9 cases with two readers, in 1 of 81 with four.
const maxReaders = 4

// readers returns the names of the entry hosts of this region through which this host
// reads the platform's objects, in failover order. It is empty if this host is the
// first itself, or if peers cannot be called yet.
func (h *Host) readers() []string {
	if h.peerSecret.Load() == nil {
		return nil
	}
	initializing := h.initializing()
	var readers []peer.Identity
	for _, id := range h.mesh.Peers() {
		if id.Region != h.self.Region || !peer.Outranks(id, h.self) || initializing && id.Cores <= h.self.Cores || h.stages.HasLeft(id) {
			continue
		}
		position, _ := slices.BinarySearchFunc(readers, id, func(a, b peer.Identity) int {
			if peer.Outranks(a, b) {
				return -1
			}
			return 1
		})
		readers = slices.Insert(readers, position, id)
		readers = readers[:min(len(readers), maxReaders)]
	}
	names := make([]string, len(readers))
	for i, id := range readers {
		names[i] = id.Host
	}
	return names
}

// initializing reports whether this host still lacks the configuration or the
// servers. Meanwhile it reads only through hosts with a larger processor share than
// its own: after a power loss the platform's list contains processes that no longer
// exist. By their listed ages, the hosts with the largest share would all wait for each
// other.
func (h *Host) initializing() bool { return h.plan.Load() == nil || h.directory.View().Count() == 0 }

// confirmConfig records that the configuration was current at the given time. The
// recorded time never decreases: a response through another host may be older than
// an earlier response.
func (h *Host) confirmConfig(at time.Time) {
	if h.configUnreadable.Load() {
		return // the active configuration is not the newest
	}
	h.configConfirmedAt.Store(max(h.configConfirmedAt.Load(), at.UnixNano()))
}

// configChanged activates a newer configuration. A configuration that cannot be decoded,
// or is older than the active one, is logged and ignored.
func (h *Host) configChanged(objects map[string]objectwatch.Object[plan.Config], trigger string) {
	o, ok := objects[platform.ConfigObjectName]
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
		// A delayed response may contain an older version; never go back to it.
		if o.Value.Version < old.Version {
			h.log.Warn("configuration", "outcome", "older than the one in force", "version", o.Value.Version, "in_force", old.Version)
		}
		return
	}
	p := plan.Compile(o.Value)
	h.batchers.setPlan(p)
	h.plan.Store(p)
	h.observeWriters()
	h.log.Info("configuration", "outcome", "in force", "version", p.Version, "revision", o.Revision, "by", trigger,
		"routes", len(o.Value.Routes), "accounts", len(o.Value.Accounts), "keys_required", p.KeysRequired())
}

// keyFreshnessMargin is subtracted from the platform's limit for accepting a revoked
// API key: a watch may have delivered nothing for a second before its response, and
// the request still has to be forwarded.
const keyFreshnessMargin = 1400 * time.Millisecond

// keysFresh reports whether the API keys of the active configuration may be accepted,
// and the time since they were confirmed (0 if they never were).
func (h *Host) keysFresh() (bool, time.Duration) {
	at := h.configConfirmedAt.Load()
	if at == 0 {
		return false, 0
	}
	age := time.Duration(h.bootClock.Now().UnixNano() - at)
	return !h.settings.StrictKeyRevocation || age < h.settings.MaxKeyRevocationDelay-keyFreshnessMargin, age
}

// platformAvailabilityChanged logs and counts that the platform's object API no longer
// responds to this host, or responds again. duration is the time without a response.
func (h *Host) platformAvailabilityChanged(unavailable bool, duration time.Duration) {
	if unavailable {
		h.meter.Add("platform_silences", 1)
		h.log.Warn("platform", "outcome", "silent; probed until it answers", "after_ms", duration.Milliseconds())
		return
	}
	h.log.Info("platform", "outcome", "answers again", "after_ms", duration.Milliseconds())
}

// logDependencyLost logs and counts that a source of platform objects is unavailable.
func (h *Host) logDependencyLost(dependency string, err error) {
	h.meter.Add("dependency_lost", 1)
	h.log.Warn("dependency lost", "what", dependency, "err", err)
}

// logDependencyRegained logs that a source of platform objects is available again.
func (h *Host) logDependencyRegained(dependency string, outage time.Duration) {
	h.log.Info("dependency regained", "what", dependency, "after_ms", outage.Milliseconds())
}
