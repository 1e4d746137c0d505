package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// KeyPrefix is the prefix of the lease objects' keys on the platform; the name
// of the failure domain follows.
const KeyPrefix = "bilberry/leases/"

// Options configure an Elector. A zero duration selects its default; the other
// fields are required.
type Options struct {
	Store objectapi.Store
	Clock clock.Clock
	Rand  clock.Rand
	Key   string // of the lease object: KeyPrefix and the failure domain
	Host  string // name of this host, written into the object for operators
	// IsCandidate reports whether this host should acquire the lease if it is
	// free. Only a few hosts of a domain are candidates, so that the others
	// send no requests to the platform.
	IsCandidate func() bool

	TTL time.Duration // of the lease after a renewal; default 15 s
	// MaxOrderDuration bounds one order from its check of the lease to its end;
	// default 3 s.
	MaxOrderDuration time.Duration
	// Margin is how long before the end of the TTL the holder stops acting. It
	// has to exceed MaxOrderDuration; the rest allows for clocks of unequal
	// rate. Default 5 s.
	Margin time.Duration
}

func (o *Options) setDefaults() {
	if o.TTL <= 0 {
		o.TTL = 15 * time.Second
	}
	if o.MaxOrderDuration <= 0 {
		o.MaxOrderDuration = 3 * time.Second
	}
	if o.Margin <= 0 {
		o.Margin = 5 * time.Second
	}
}

// record is the stored lease.
type record struct {
	Fence    uint64 `json:"fence"` // fencing number
	Host     string `json:"host"`
	Nonce    string `json:"nonce"`    // unique to each write
	TTL      int64  `json:"ttl"`      // milliseconds
	Released bool   `json:"released"` // the holder has stopped acting
}

// pendingWrite is a write of this host whose outcome may be unknown.
type pendingWrite struct {
	nonce  string // that of the stored record
	fence  uint64 // fencing number; 0: the write creates the object and acquires nothing
	sentAt time.Time
}

// maxPendingWrites bounds the writes whose response was lost and that may have
// taken effect. The oldest are dropped.
const maxPendingWrites = 16

// Elector acquires, renews and releases one lease. It implements Holder. Its
// methods are safe for concurrent use.
type Elector struct {
	opts   Options
	stepMu sync.Mutex // serializes Step and Release

	mu               sync.Mutex // guards held and highestSeenFence
	held             *heldLease // nil: not held; otherwise it may have expired
	highestSeenFence uint64     // highest fencing number reported by an engine

	// Guarded by stepMu.
	pendingWrites   []pendingWrite // oldest first
	observedVersion uint64         // version of the object at the last read; 0: not read
	observedAt      time.Time      // when that version was first read, by this host's clock
	observedTTL     time.Duration  // TTL of that version, at least that of Options
}

// heldLease is the lease that this host holds, or held until it expired.
type heldLease struct {
	fence         uint64    // fencing number
	version       uint64    // of the object
	renewalSentAt time.Time // taken before the last successful write was sent
}

// NewElector returns an elector that does not hold the lease.
func NewElector(opts Options) *Elector {
	opts.setDefaults()
	return &Elector{opts: opts}
}

var _ Holder = (*Elector)(nil)

// Held implements Holder. The TTL counts from before the last renewal was sent,
// so it ends before any candidate can see it end. The margin leaves enough time
// for an order that starts at now.
func (e *Elector) Held(now time.Time) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil || elapsed(e.held.renewalSentAt, now) >= e.opts.TTL-e.opts.Margin {
		return 0, false
	}
	return e.held.fence, true
}

// elapsed returns the longer of the times that the monotonic and the wall clock
// show. The monotonic clock stops while a virtual machine is suspended; a host
// that relied on it alone would act on a lease that expired long ago.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// Run calls Step repeatedly until ctx ends and returns nil. Waits are jittered by
// 10%.
func (e *Elector) Run(ctx context.Context) error {
	for {
		wait := e.Step(ctx)
		wait = time.Duration((0.9 + 0.2*e.opts.Rand.Float64()) * float64(wait))
		select {
		case <-ctx.Done():
			return nil
		case <-e.opts.Clock.After(wait):
		}
	}
}

// Step renews the lease if this host holds it, or tries to acquire it if this
// host is a candidate. It returns the wait until the next step. Failures of the
// platform are not reported; the next step tries again.
func (e *Elector) Step(ctx context.Context) time.Duration {
	e.stepMu.Lock()
	defer e.stepMu.Unlock()
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	renewInterval := (e.opts.TTL - e.opts.Margin) / 3
	if held != nil {
		if e.renew(ctx, *held) {
			return renewInterval
		}
		return renewInterval / 4
	}
	if !e.opts.IsCandidate() {
		e.observedVersion = 0
		return e.opts.TTL / 3
	}
	e.campaign(ctx)
	return e.opts.TTL / 3
}

// renew extends the lease and reports whether that succeeded. It does so even
// if the lease has expired: if the object is unchanged, no other host has held
// the lease since.
func (e *Elector) renew(ctx context.Context, held heldLease) bool {
	w := e.newWrite(held.fence)
	version, err := e.putRecord(ctx, w, held.version, false)
	switch {
	case err == nil:
		e.setHeld(w, version)
		return true
	case errors.Is(err, objectapi.ErrUnknownOutcome), errors.Is(err, objectapi.ErrConflict):
		e.resolveRenewal(ctx, held)
	}
	return false
}

// resolveRenewal reads the lease after a renewal that conflicted or whose
// response was lost, and keeps or drops the lease accordingly.
func (e *Elector) resolveRenewal(ctx context.Context, held heldLease) {
	obj, rec, err := e.getRecord(ctx)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		e.clearHeld()
	case err != nil, obj.Version == held.version:
	case e.findOwnWrite(rec) != nil:
		e.setHeld(*e.findOwnWrite(rec), obj.Version)
	default:
		e.clearHeld()
	}
}

// campaign reads the lease and acquires it if it is free: released, or
// unchanged for its TTL and the longest order since this host first read this
// version. Only this host's clock is used; clocks of different hosts are never
// compared.
func (e *Elector) campaign(ctx context.Context) {
	obj, rec, err := e.getRecord(ctx)
	if errors.Is(err, objectapi.ErrNotFound) {
		// Deleted, or never created. A holder of the deleted lease may still
		// act, so the new object has to expire like any other.
		_, _ = e.putRecord(ctx, e.newWrite(0), 0, false)
		return
	}
	if err != nil {
		return
	}
	now := e.opts.Clock.Now()
	if w := e.findOwnWrite(rec); w != nil && w.fence > 0 {
		e.setHeld(*w, obj.Version)
		return
	}
	if obj.Version != e.observedVersion {
		e.observedVersion, e.observedAt = obj.Version, now
		e.observedTTL = max(e.opts.TTL, time.Duration(rec.TTL)*time.Millisecond)
	}
	if !rec.Released && now.Sub(e.observedAt) < e.observedTTL+e.opts.MaxOrderDuration {
		return
	}
	e.acquire(ctx, obj, rec)
}

// acquire takes the free lease. The new fencing number exceeds the object's
// version as well as the previous number: versions of the store only increase,
// even when the object was deleted or restored with older content.
func (e *Elector) acquire(ctx context.Context, obj objectapi.Object, rec record) {
	e.mu.Lock()
	highestSeen := e.highestSeenFence
	e.mu.Unlock()
	w := e.newWrite(max(rec.Fence, obj.Version, highestSeen) + 1)
	version, err := e.putRecord(ctx, w, obj.Version, false)
	if err == nil {
		e.setHeld(w, version)
	}
}

// Release marks the lease as released, so that the next holder need not wait for
// its TTL. All orders of the caller must have ended. If the write fails, the
// lease expires instead.
func (e *Elector) Release(ctx context.Context) {
	e.stepMu.Lock()
	defer e.stepMu.Unlock()
	e.mu.Lock()
	held := e.held
	e.held = nil
	e.mu.Unlock()
	if held != nil {
		_, _ = e.putRecord(ctx, e.newWrite(held.fence), held.version, true)
		e.pendingWrites = nil
	}
}

// Invalidate drops the lease held with the fencing number fence after an engine
// has reported the higher number seen. Later numbers exceed seen, so that
// engines accept orders again after the platform was restored to an older state.
func (e *Elector) Invalidate(fence, seen uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highestSeenFence = max(e.highestSeenFence, seen)
	if e.held != nil && e.held.fence == fence {
		e.held = nil
	}
}

// setHeld records that the write w took effect as that version of the object.
func (e *Elector) setHeld(w pendingWrite, version uint64) {
	e.pendingWrites = nil
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = &heldLease{fence: w.fence, version: version, renewalSentAt: w.sentAt}
}

// clearHeld records that this host does not hold the lease.
func (e *Elector) clearHeld() {
	e.pendingWrites, e.observedVersion = nil, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = nil
}

// findOwnWrite returns the pending write that stored rec, or nil if rec was
// written by another host or is released.
func (e *Elector) findOwnWrite(rec record) *pendingWrite {
	for i := range e.pendingWrites {
		if e.pendingWrites[i].nonce == rec.Nonce && !rec.Released {
			return &e.pendingWrites[i]
		}
	}
	return nil
}

// newWrite adds a pending write. It is called before the write is sent, since
// the response may be lost.
func (e *Elector) newWrite(fence uint64) pendingWrite {
	w := pendingWrite{nonce: uuid.NewString(), fence: fence, sentAt: e.opts.Clock.Now()}
	if len(e.pendingWrites) >= maxPendingWrites {
		e.pendingWrites = e.pendingWrites[1:]
	}
	e.pendingWrites = append(e.pendingWrites, w)
	return w
}

// putRecord stores w if the object still has the version expect, and returns
// the new version.
func (e *Elector) putRecord(ctx context.Context, w pendingWrite, expect uint64, released bool) (uint64, error) {
	data, err := json.Marshal(record{Fence: w.fence, Host: e.opts.Host, Nonce: w.nonce, TTL: e.opts.TTL.Milliseconds(), Released: released})
	if err != nil {
		return 0, err
	}
	return e.opts.Store.Put(ctx, e.opts.Key, data, expect)
}

// getRecord reads the lease. An object that no elector has written yields a zero
// record, which expires and is replaced like any other.
func (e *Elector) getRecord(ctx context.Context) (objectapi.Object, record, error) {
	obj, err := e.opts.Store.Get(ctx, e.opts.Key)
	if err != nil {
		return obj, record{}, err
	}
	var rec record
	if err := json.Unmarshal(obj.Value, &rec); err != nil || !rec.plausible() {
		return obj, record{}, nil
	}
	return obj, rec, nil
}

const (
	// maxTTL is far longer than that of any build, in milliseconds.
	maxTTL = int64(time.Hour / time.Millisecond)
	// maxFence is far above all fencing numbers, which rise with the writes of a
	// store, and leaves room for those after it.
	maxFence = 1 << 62
)

// plausible reports whether an elector of some build may have written rec.
func (rec *record) plausible() bool {
	return rec.TTL >= 0 && rec.TTL <= maxTTL && rec.Fence <= maxFence
}
