package edge

import (
	"context"
	"sync"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/streamwriter"
)

// recordArchive keeps which software began each stream on the platform. It implements
// streamwriter.Archive.
type recordArchive struct {
	host   *Host
	mu     sync.Mutex
	stored map[string]bool // batches that this process has stored
}

// Store implements streamwriter.Archive.
func (a *recordArchive) Store(ctx context.Context, name string, b streamwriter.Batch) error {
	a.mu.Lock()
	exists := a.stored[name]
	a.mu.Unlock()
	_, err := apihealth.Call(ctx, a.host.platformMonitor, 0, func(ctx context.Context, _ bool) (struct{}, error) {
		return struct{}{}, platform.StoreStreamRecords(ctx, a.host.store, name, b, exists)
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stored[name] = err == nil
	return err
}

// Load implements streamwriter.Archive.
func (a *recordArchive) Load(ctx context.Context) ([]streamwriter.Batch, error) {
	listed, err := platform.ListStreamRecords(ctx, a.host.store)
	if err != nil {
		return nil, err
	}
	out := make([]streamwriter.Batch, 0, len(listed))
	for _, r := range listed {
		if r.Err != nil {
			a.host.log.Warn("stream records", "outcome", "entry left out", "name", r.Name, "err", r.Err)
			continue
		}
		out = append(out, r.Value)
	}
	return out, nil
}

// logArchive implements streamwriter.Options.OnArchive.
func (h *Host) logArchive(err error) {
	if err != nil {
		h.log.Warn("stream records", "outcome", "not stored; tried again", "err", err)
		return
	}
	h.log.Info("stream records", "outcome", "stored again")
}

// logArchiveRead implements streamwriter.Options.OnArchiveRead.
func (h *Host) logArchiveRead(batches int, err error) {
	h.meter.Add("stream_records_read", 1)
	h.log.Info("stream records", "outcome", "read", "batches", batches, "err", err)
}

const (
	// recordsSweepInterval is the time between two removals of expired batches while routes have
	// several possible writers. Batches are replaced by their hosts, but for those of lost ones.
	recordsSweepInterval = 5 * time.Minute
	// recordsSweepDelay is the time after which no batch is left that has not expired, since routes
	// have had one possible writer each.
	recordsSweepDelay = 2 * streamwriter.DefaultWindow
)

// recordsSweep is the state of removeExpiredRecords.
type recordsSweep struct {
	severalAt time.Time // when a route last had several possible writers; zero: swept since
	sweptAt   time.Time
}

// due reports whether expired batches are to be removed now.
func (s *recordsSweep) due(several bool, now time.Time) bool {
	if several {
		s.severalAt = now
		return now.Sub(s.sweptAt) >= recordsSweepInterval
	}
	return !s.severalAt.IsZero() && now.Sub(s.severalAt) >= recordsSweepDelay
}

// removeExpiredRecords deletes batches of streams that no client takes up any more. The first
// reachable host does that for all.
func (h *Host) removeExpiredRecords(ctx context.Context, sweep *recordsSweep) {
	several := false
	for _, possible := range h.writers.Routes() {
		several = several || len(possible) > 1
	}
	now := h.bootClock.Now()
	if !sweep.due(several, now) || !h.isFirstReachable(ctx) {
		return
	}
	listed, err := platform.ListStreamRecords(ctx, h.store)
	if err != nil {
		h.log.Warn("stream records", "outcome", "not listed", "err", err)
		return
	}
	*sweep = recordsSweep{sweptAt: now}
	removed := 0
	for _, r := range listed {
		if r.Err == nil && h.clock.Now().Before(r.Value.ExpiresAt) {
			continue
		}
		if err := platform.DeleteStreamRecords(ctx, h.store, r); err != nil {
			h.log.Warn("stream records", "outcome", "not removed", "name", r.Name, "err", err)
			continue
		}
		removed++
	}
	h.log.Info("stream records", "outcome", "expired; removed", "batches", removed)
}
