package edge

import (
	"context"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/quarantine"
)

// suspectOwners is the number of hosts in each failure domain that count the crashes of a
// request. One is enough to count in a failure domain that is cut off, and few messages
// are sent when a server with many requests crashes.
const suspectOwners = 1

// quarantineShareTimeout is the time in which a host can open connections to all peers.
const quarantineShareTimeout = time.Second

// verdictWait is the time for which a request whose server crashed waits for the other hosts before
// it is sent again.
const verdictWait = 300 * time.Millisecond

// createGuard creates the guard against requests that crash backend servers, with the
// platform's store as its registry. A host that is stopped, suspended or cut off from its
// peers when a quarantine begins learns of it from there.
func (h *Host) createGuard() {
	opts := quarantine.DefaultOptions()
	opts.SuspectOwners, opts.ShareInBackground, opts.ShareTimeout, opts.VerdictWait = suspectOwners, true, quarantineShareTimeout, verdictWait
	h.guard = quarantine.NewSharedGuard(h.clock, h.rand, h.mesh, opts)
	h.quarantinePublisher = &quarantinePublisher{host: h, pending: make(chan quarantineWrite, maxPendingQuarantines)}
	h.guard.SetRegistry(h.quarantinePublisher)
	h.quarantineFollower = newFollower(h, followed[quarantine.Quarantine]{
		kind: "quarantines", name: "quarantines", source: platform.QuarantineSource(h.store), wait: hostsWatchWait, onChange: h.quarantinesChanged,
	})
}

// quarantinesChanged applies the platform's current list of quarantined requests.
func (h *Host) quarantinesChanged(objects map[string]objectwatch.Object[quarantine.Quarantine], trigger string) {
	listed := make([]objectwatch.Object[quarantine.Quarantine], 0, len(objects))
	quarantines := make([]quarantine.Quarantine, 0, len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("quarantine", "outcome", "entry left out", "name", name, "err", o.Err)
			continue
		}
		listed = append(listed, o)
		quarantines = append(quarantines, o.Value)
	}
	h.listedQuarantines.Store(&listed)
	h.guard.ApplyRegistered(quarantines)
	h.log.Info("quarantine", "outcome", "listed", "requests", len(listed), "by", trigger)
}

// removeExpiredQuarantines deletes the entries of quarantines that have ended. The first
// reachable host does that for all.
func (h *Host) removeExpiredQuarantines(ctx context.Context) {
	var expired []objectwatch.Object[quarantine.Quarantine]
	if listed := h.listedQuarantines.Load(); listed != nil {
		for _, o := range *listed {
			if h.guard.Expired(o.Value) {
				expired = append(expired, o)
			}
		}
	}
	if len(expired) == 0 || !h.isFirstReachable(ctx) {
		return
	}
	for _, o := range expired {
		err := platform.DeleteQuarantine(ctx, h.store, o.Value.Fingerprint, o.Revision)
		h.log.Info("quarantine", "outcome", "ended; entry removed", "fingerprint", o.Name, "err", err)
	}
}

// quarantinePublisher writes the quarantines that begin and end on this host to the platform.
// It implements quarantine.Registry.
type quarantinePublisher struct {
	host    *Host
	pending chan quarantineWrite
}

// quarantineWrite is the write of a quarantine, or its deletion.
type quarantineWrite struct {
	quarantine.Quarantine // its Fingerprint only, if deleted is set
	deleted               bool
}

// maxPendingQuarantines bounds the writes that wait. Further changes are known to the reachable
// peers only.
const maxPendingQuarantines = 256

// publishRetryDelay is the pause after a failed write. It is long enough for a platform that
// refuses calls beyond its rate.
const publishRetryDelay = time.Second

// Publish implements quarantine.Registry.
func (p *quarantinePublisher) Publish(q quarantine.Quarantine) {
	p.host.log.Warn("quarantine", "outcome", "begun", "fingerprint", q.Fingerprint, "subject", q.Kind, "crashes", q.Crashes)
	p.host.meter.Add("quarantines_begun", 1)
	p.enqueue(quarantineWrite{Quarantine: q})
}

// Withdraw implements quarantine.Registry.
func (p *quarantinePublisher) Withdraw(fp quarantine.Fingerprint) {
	p.host.log.Warn("quarantine", "outcome", "ended; an attempt completed", "fingerprint", fp)
	p.enqueue(quarantineWrite{Quarantine: quarantine.Quarantine{Fingerprint: fp}, deleted: true})
}

// enqueue adds a write.
func (p *quarantinePublisher) enqueue(w quarantineWrite) {
	select {
	case p.pending <- w:
	default:
		p.host.log.Error("quarantine", "outcome", "not written; too many wait", "fingerprint", w.Fingerprint)
	}
}

// run writes quarantines in order until ctx ends. Writes are repeated while the platform does
// not respond.
func (p *quarantinePublisher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-p.pending:
			p.write(ctx, w)
		}
	}
}

// write repeats a write until it has succeeded or the quarantine has ended.
func (p *quarantinePublisher) write(ctx context.Context, w quarantineWrite) {
	for ctx.Err() == nil && (w.deleted || !p.host.guard.Expired(w.Quarantine)) {
		_, err := apihealth.Call(ctx, p.host.platformMonitor, 0, func(ctx context.Context, _ bool) (struct{}, error) {
			ctx, cancel := context.WithTimeout(ctx, 2*responseTimeout)
			defer cancel()
			if w.deleted {
				return struct{}{}, platform.DeleteQuarantine(ctx, p.host.store, w.Fingerprint, 0)
			}
			return struct{}{}, platform.StoreQuarantine(ctx, p.host.store, w.Quarantine)
		})
		if err == nil {
			return
		}
		p.host.log.Warn("quarantine", "outcome", "not written yet", "fingerprint", w.Fingerprint, "deleted", w.deleted, "err", err)
		select {
		case <-ctx.Done():
		case <-p.host.clock.After(publishRetryDelay):
		}
	}
}
