package edge

import (
	"context"
	"slices"
	"time"

	"bilberrydale/platform"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/streamwriter"
	"bilberrydale/version/plan"
)

// createStreamWriters creates the tracker of the software that writes streams, with the platform's
// store as its memory of what was before all hosts have started again.
func (h *Host) createStreamWriters() {
	h.writersChanged = make(chan struct{}, 1)
	h.writers = streamwriter.New(streamwriter.Options{
		Link: h.mesh, Clock: h.bootClock, TimeOfDay: h.clock, Fresh: h.writersFresh, OnChange: h.logPossibleWriters,
		Archive: &recordArchive{host: h, stored: map[string]bool{}}, OnArchive: h.logArchive, OnArchiveRead: h.logArchiveRead,
	})
	h.writerFollower = newFollower(h, followed[streamwriter.Registration]{
		kind: "streamwriters", name: "stream writers", source: platform.StreamWriterSource(h.store), wait: hostsWatchWait, onChange: h.registrationsChanged,
		onConfirmed: h.confirmWriters,
	})
}

// writersFresh implements streamwriter.Options.Fresh.
func (h *Host) writersFresh() bool {
	now := h.bootClock.Now().UnixNano()
	recent := func(at int64) bool { return at > 0 && time.Duration(now-at) <= streamwriter.MaxAge }
	// What this host has not seen listed itself has to be registered: versions that had left before it
	// began to follow the servers.
	registered := h.writersConfirmedAt.Load() >= h.serversFollowedSince.Load()-int64(streamwriter.MaxAge)
	return h.listedWriters.Load() != nil && registered && recent(h.configConfirmedAt.Load()) && recent(h.serversConfirmedAt.Load())
}

// confirmServers records that the list of servers was current at the given time. After a gap, versions
// may have come and gone unseen.
func (h *Host) confirmServers(at time.Time) {
	before := h.serversConfirmedAt.Load()
	if at.UnixNano()-before > int64(streamwriter.MaxAge) {
		h.serversFollowedSince.Store(at.UnixNano())
	}
	h.serversConfirmedAt.Store(max(before, at.UnixNano()))
}

// confirmWriters records that the list of registrations was current at the given time.
func (h *Host) confirmWriters(at time.Time) {
	h.writersConfirmedAt.Store(max(h.writersConfirmedAt.Load(), at.UnixNano()))
}

// observeWriters passes the present configuration and servers to the tracker. What is read last is
// passed last.
func (h *Host) observeWriters() {
	h.observing.Lock()
	defer h.observing.Unlock()
	p := h.plan.Load()
	if p == nil {
		return
	}
	services := map[string][]string{} // by route
	var longest time.Duration
	for r := range p.Routes() {
		if r.Kind != plan.Stream {
			continue
		}
		for _, t := range r.Targets {
			services[r.Name] = append(services[r.Name], t.Service)
		}
		longest = max(longest, r.Timeout)
	}
	versions := map[string][]string{} // by service
	for _, s := range h.directory.View().All() {
		if !slices.Contains(versions[s.Service], s.Writer.Version) {
			versions[s.Service] = append(versions[s.Service], s.Writer.Version)
		}
	}
	h.writers.Observe(services, versions, triesPerStream*longest)
	select {
	case h.writersChanged <- struct{}{}:
	default:
	}
}

// triesPerStream is the number of attempts of the longest duration over which a client may spread
// one stream.
const triesPerStream = 2

// registrationsChanged applies the platform's current list of registrations.
func (h *Host) registrationsChanged(objects map[string]objectwatch.Object[streamwriter.Registration], _ string) {
	listed := make(map[streamwriter.Registration]objectwatch.Revision, len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("stream writers", "outcome", "entry left out", "name", name, "err", o.Err)
			continue
		}
		listed[o.Value] = o.Revision
	}
	h.listedWriters.Store(&listed)
	list := make([]streamwriter.Registration, 0, len(listed))
	for r := range listed {
		list = append(list, r)
	}
	h.writers.SetRegistered(list)
}

// logPossibleWriters implements streamwriter.Options.OnChange.
func (h *Host) logPossibleWriters(route string, possible []streamwriter.Writer) {
	h.meter.Add("stream_writers_changed", 1)
	h.log.Info("stream writers", "outcome", "possible", "route", route, "writers", writerTexts(possible))
}

// writerTexts returns the services and versions of writers for operators.
func writerTexts(list []streamwriter.Writer) []string {
	out := make([]string, len(list))
	for i, w := range list {
		out[i] = w.Service + " " + w.Version
	}
	return out
}

const (
	// writersInterval is how often facts about writers are reconsidered without a change.
	writersInterval = 2 * time.Second
	// registerWritersDelay is the time after which a host registers what the host that comes
	// first has not.
	registerWritersDelay = time.Second
)

// registerWriters keeps the platform's registrations complete until ctx ends.
func (h *Host) registerWriters(ctx context.Context) error {
	missingSince := map[streamwriter.Registration]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.writersChanged:
		case <-h.clock.After(writersInterval):
			h.observeWriters()
		}
		if h.listedWriters.Load() == nil {
			continue
		}
		missingSince = h.missingRegistrations(missingSince)
		now, first := h.clock.Now(), h.isFirstKnown()
		for r, since := range missingSince {
			if first || now.Sub(since) >= registerWritersDelay {
				h.registerWriter(ctx, r)
			}
		}
	}
}

// missingRegistrations returns the facts that the platform lacks, each with the time since when: the
// one in before, or now.
func (h *Host) missingRegistrations(before map[streamwriter.Registration]time.Time) map[streamwriter.Registration]time.Time {
	out := map[streamwriter.Registration]time.Time{}
	for _, r := range h.writers.Unregistered() {
		out[r] = h.clock.Now()
		if since, known := before[r]; known {
			out[r] = since
		}
	}
	return out
}

// registerWriter writes a registration. One that fails is written with the next change, or after
// writersInterval.
func (h *Host) registerWriter(ctx context.Context, r streamwriter.Registration) {
	_, err := apihealth.Call(ctx, h.platformMonitor, 0, func(ctx context.Context, _ bool) (struct{}, error) {
		ctx, cancel := context.WithTimeout(ctx, 2*responseTimeout)
		defer cancel()
		return struct{}{}, platform.StoreStreamWriter(ctx, h.store, r)
	})
	h.log.Info("stream writers", "outcome", "registered", "service", r.Service, "version", r.Version, "route", r.Route, "err", err)
}

// removeOutdatedWriters deletes the registrations that no stream needs any more. The first
// reachable host does that for all.
func (h *Host) removeOutdatedWriters(ctx context.Context) {
	listed := h.listedWriters.Load()
	outdated := h.writers.Outdated()
	if listed == nil || len(outdated) == 0 || !h.writersFresh() || !h.isFirstReachable(ctx) {
		return
	}
	for _, r := range outdated {
		err := platform.DeleteStreamWriter(ctx, h.store, r, (*listed)[r])
		h.log.Info("stream writers", "outcome", "registration removed", "service", r.Service, "version", r.Version, "route", r.Route, "err", err)
	}
}
