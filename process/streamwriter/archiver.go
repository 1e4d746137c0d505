package streamwriter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

const (
	// archiveSlots is the number of batches of a host. The oldest is replaced by the newest.
	archiveSlots = 32
	// spareSlots are those that have expired when they are replaced.
	spareSlots = 2
	// minArchiveInterval is the time between two writes of a host. Streams whose hosts are all killed
	// within it are lost; the shortest ones last a second.
	minArchiveInterval = 250 * time.Millisecond
	// fleetArchiveWrites bounds the writes of all hosts per second; the platform takes several hundred.
	fleetArchiveWrites = 50
	// storeTimeout bounds one write.
	storeTimeout = 2 * time.Second
	// maxPending bounds the records that wait to be written. Further streams are not archived.
	maxPending = 1 << 14
)

// archiver writes the records that it is given to the archive, in batches.
type archiver struct {
	opts    *Options
	started time.Time // time of day
	window  func() time.Duration
	added   chan struct{} // receives a value after records were added

	mu      sync.Mutex // guards pending
	pending []record

	// The fields below belong to run.
	slot    int64    // number of the slot of batch since the epoch
	batch   []record // in the archive, in slot
	lastErr error    // of the last write
}

// newArchiver returns an archiver. window returns the time within which all records expire.
func newArchiver(opts *Options, window func() time.Duration) *archiver {
	return &archiver{opts: opts, started: opts.TimeOfDay.Now(), window: window, added: make(chan struct{}, 1)}
}

// add adds records that are to be written soon.
func (a *archiver) add(list []record) {
	a.mu.Lock()
	a.pending = append(a.pending, list[:min(len(list), maxPending-len(a.pending))]...)
	a.mu.Unlock()
	a.wake()
}

// wake lets run write what is pending.
func (a *archiver) wake() {
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// takePending removes the records that are to be written, and returns those that have not expired.
func (a *archiver) takePending() []record {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, now := a.pending, a.opts.Clock.Now()
	a.pending = nil
	return slices.DeleteFunc(list, func(r record) bool { return !r.expiresAt.After(now) })
}

// run writes records until ctx ends.
func (a *archiver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.added:
		}
		a.write(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.opts.Clock.After(a.interval()):
		}
	}
}

// write adds the pending records to the batch of the present slot. Those that could not be written
// are written later.
func (a *archiver) write(ctx context.Context) {
	if slot := a.slotAt(a.opts.TimeOfDay.Now()); slot != a.slot {
		a.slot, a.batch = slot, nil
	}
	pending := a.takePending()
	if len(pending) == 0 {
		return
	}
	batch := append(a.batch[:len(a.batch):len(a.batch)], pending...)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.opts.Archive.Store(ctx, a.slotName(), a.newBatch(batch))
	if (err == nil) != (a.lastErr == nil) {
		a.opts.OnArchive(err)
	}
	if a.lastErr = err; err != nil {
		a.add(pending)
		return
	}
	a.batch = batch
}

// slotTime returns the length of a slot.
func (a *archiver) slotTime() time.Duration { return a.window() / (archiveSlots - spareSlots) }

// slotAt returns the number of the slot of a time of day.
func (a *archiver) slotAt(at time.Time) int64 { return at.UnixNano() / int64(a.slotTime()) }

// slotName returns the name of the present slot's batch. The slot in which this process started has
// one of its own, as the process before may have written a batch in it.
func (a *archiver) slotName() string {
	name := fmt.Sprintf("%s-%02d", a.opts.Link.Self().Host, a.slot%archiveSlots)
	if a.slot == a.slotAt(a.started) {
		name += fmt.Sprintf("-%x", a.started.UnixMilli())
	}
	return name
}

// newBatch returns the batch of records.
func (a *archiver) newBatch(list []record) Batch {
	out := Batch{Streams: map[Writer][]StreamKey{}}
	now, timeOfDay := a.opts.Clock.Now(), a.opts.TimeOfDay.Now()
	for _, r := range list {
		out.Streams[r.writer] = append(out.Streams[r.writer], newStreamKey(r.route, r.attemptID))
		if at := timeOfDay.Add(r.expiresAt.Sub(now)); at.After(out.ExpiresAt) {
			out.ExpiresAt = at
		}
	}
	return out
}

// interval returns the time between two writes of this host.
func (a *archiver) interval() time.Duration {
	hosts := map[string]int{a.opts.Link.Self().Domain: 1}
	for _, id := range a.opts.Link.Peers() {
		hosts[id.Domain]++
	}
	archivers := 0
	for _, n := range hosts {
		archivers += archiversOf(n)
	}
	return max(minArchiveInterval, time.Duration(archivers)*time.Second/fleetArchiveWrites)
}

// serveArchive handles methodArchive.
func (t *Tracker) serveArchive(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var list []recordMessage
	if err := peer.Unmarshal(payload, &list); err != nil {
		return nil, err
	}
	t.archiver.add(newRecords(list, t.opts.Clock.Now()))
	return peer.Marshal(nil)
}
