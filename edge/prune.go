package edge

import (
	"context"
	"slices"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/peer"
)

// Entries of hosts that never come back stay in the platform's list, and all hosts
// would keep calling them. The first reachable host removes these entries.
const (
	pruneInterval = 15 * time.Second // between two checks of all listed hosts
	// lostHostTimeout is how long a host has to be unreachable before its entry is
	// removed. A restart takes seconds. A host that was only disconnected restores
	// its entry.
	lostHostTimeout = time.Minute
	// reachabilityTimeout is the time for a host's response to a ping.
	reachabilityTimeout = time.Second
)

// pruneEntries removes the entries of lost hosts and ended quarantines periodically until
// ctx ends.
func (h *Host) pruneEntries(ctx context.Context) error {
	unreachableSince := map[string]time.Time{}
	sweep := recordsSweep{severalAt: h.bootClock.Now()} // of the processes before
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(pruneInterval):
			h.removeLostHosts(ctx, unreachableSince)
			h.removeExpiredQuarantines(ctx)
			h.removeOutdatedWriters(ctx)
			h.removeExpiredRecords(ctx, &sweep)
		}
	}
}

// removeLostHosts calls every listed host and removes the entries of those that have been
// unreachable for lostHostTimeout. unreachableSince holds, by host name, the time of the
// first failed call; it is updated and has to be passed to the next call.
func (h *Host) removeLostHosts(ctx context.Context, unreachableSince map[string]time.Time) {
	listed := h.listedHosts.Load()
	if listed == nil || !h.isFirstReachable(ctx) {
		clear(unreachableSince)
		return
	}
	for name, entry := range *listed {
		if name == h.self.Host || h.isReachable(ctx, name) {
			delete(unreachableSince, name)
			continue
		}
		now := h.bootClock.Now()
		if unreachableSince[name].IsZero() {
			unreachableSince[name] = now
		}
		if now.Sub(unreachableSince[name]) < lostHostTimeout {
			continue
		}
		err := platform.UnregisterHost(ctx, h.store, name, entry.Revision)
		h.log.Info("entry host", "outcome", "lost; entry removed", "name", name, "silent_ms", now.Sub(unreachableSince[name]).Milliseconds(), "err", err)
		delete(unreachableSince, name)
	}
}

// isFirstKnown reports whether this host comes first, in the order of peer.Outranks, among the
// known hosts, reachable or not.
func (h *Host) isFirstKnown() bool {
	return !slices.ContainsFunc(h.mesh.Peers(), func(id peer.Identity) bool { return peer.Outranks(id, h.self) })
}

// isFirstReachable reports whether this host comes first, in the order of peer.Outranks,
// among the reachable hosts.
func (h *Host) isFirstReachable(ctx context.Context) bool {
	for _, id := range h.mesh.Peers() {
		if peer.Outranks(id, h.self) && h.isReachable(ctx, id.Host) {
			return false
		}
	}
	return true
}

// isReachable reports whether a host responds to a call within reachabilityTimeout.
func (h *Host) isReachable(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	return h.stages.Ping(ctx, name) == nil
}
