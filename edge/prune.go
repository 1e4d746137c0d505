package edge

import (
	"context"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/peer"
)

// Entries of hosts that were lost for good stay in the platform's store, and
// each host would go on calling them. One host looks after them.
const (
	pruneInterval = 15 * time.Second
	// lostAfter is how long a host has to be unreachable to count as lost; a
	// restart takes seconds. One that was only cut off registers itself again.
	lostHostTimeout     = time.Minute
	reachabilityTimeout = time.Second
)

func (h *Host) pruneHosts(ctx context.Context) error {
	silent := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(pruneInterval):
			h.removeLostHosts(ctx, silent)
		}
	}
}

// pruneOnce asks every listed host and removes the entries of those that have
// not answered for long. silent keeps since when.
func (h *Host) removeLostHosts(ctx context.Context, silent map[string]time.Time) {
	listed := h.listedHosts.Load()
	if listed == nil || !h.isFirstReachable(ctx) {
		clear(silent)
		return
	}
	for name, o := range *listed {
		if name == h.self.Host || h.isReachable(ctx, name) {
			delete(silent, name)
			continue
		}
		now := h.bootClock.Now()
		if silent[name].IsZero() {
			silent[name] = now
		}
		if now.Sub(silent[name]) < lostHostTimeout {
			continue
		}
		err := platform.UnregisterHost(ctx, h.store, name, o.Revision)
		h.log.Info("entry host", "outcome", "lost; entry removed", "name", name, "silent_ms", now.Sub(silent[name]).Milliseconds(), "err", err)
		delete(silent, name)
	}
}

// firstOfAll tells whether this is the first host of those that answer.
func (h *Host) isFirstReachable(ctx context.Context) bool {
	for _, id := range h.mesh.Peers() {
		if peer.Before(id, h.self) && h.isReachable(ctx, id.Host) {
			return false
		}
	}
	return true
}

func (h *Host) isReachable(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	return h.stages.Ping(ctx, name) == nil
}
