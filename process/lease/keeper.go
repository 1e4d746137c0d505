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

// Prefix of the lease objects' keys on the platform; the domain follows.
const KeyPrefix = "bilberry/leases/"

// Options configure a Keeper; zero values get the defaults.
type Options struct {
	Store objectapi.Store
	Clock clock.Clock
	Rand  clock.Rand
	Key   string
	Host  string // written into the object for operators
	// Candidate reports whether this host should take the lease if it is
	// free. Only a few hosts of a domain do, so that the others cost the
	// platform nothing.
	IsCandidate func() bool

	TTL time.Duration // of one renewal; default 15 s
	// LongestOrder bounds one order from its check of the lease to its end;
	// default 3 s.
	MaxOrderDuration time.Duration
	// Margin is how long before the end of the TTL the holder stops. It has to
	// be above LongestOrder; the rest covers clocks of unequal rate. Default
	// 5 s.
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

// object is the lease as stored.
type object struct {
	Fence    uint64 `json:"fence"`
	Host     string `json:"host"`
	Nonce    string `json:"nonce"`    // of this write
	TTL      int64  `json:"ttl"`      // milliseconds
	Released bool   `json:"released"` // the holder has stopped acting
}

// write is one write of this host whose fate may be unknown.
type write struct {
	nonce string
	fence uint64
	sent  time.Time
}

// maxPending bounds the writes whose answers were lost and whose effect may
// still show.
const maxPending = 16

// Keeper takes, renews and loses one lease. It implements Holder.
type Elector struct {
	opts Options
	step sync.Mutex // one step at a time

	mu    sync.Mutex
	held  *holding
	floor uint64 // highest number that an engine said it has seen

	// Only a step uses what follows.
	pending []write
	seen    uint64    // version of the object last read
	seenAt  time.Time // when it was first read, by this host's clock
	seenTTL time.Duration
}

// holding is a lease that this host holds or held last.
type holding struct {
	fence   uint64
	version uint64
	from    time.Time // before the last renewal was sent
}

// NewKeeper returns a keeper that holds nothing.
func NewElector(opts Options) *Elector {
	opts.setDefaults()
	return &Elector{opts: opts}
}

var _ Holder = (*Elector)(nil)

// Held implements Holder. The time counts from before the last renewal was
// sent, so it ends before the platform's and the next holder's count can, and
// the margin is left for an order that begins now.
func (k *Elector) Held(now time.Time) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil || elapsed(k.held.from, now) >= k.opts.TTL-k.opts.Margin {
		return 0, false
	}
	return k.held.fence, true
}

// elapsed is the longer of what the monotonic and the wall clock show: the
// monotonic one stands still while a virtual machine is suspended, and a host
// that trusted it would act on a lease that ended long ago.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// Run steps until ctx ends.
func (k *Elector) Run(ctx context.Context) error {
	for {
		wait := k.Step(ctx)
		wait = time.Duration((0.9 + 0.2*k.opts.Rand.Float64()) * float64(wait))
		select {
		case <-ctx.Done():
			return nil
		case <-k.opts.Clock.After(wait):
		}
	}
}

// Step renews the lease, or tries to take it, or does nothing, and returns the
// wait until the next step.
func (k *Elector) Step(ctx context.Context) time.Duration {
	k.step.Lock()
	defer k.step.Unlock()
	k.mu.Lock()
	held := k.held
	k.mu.Unlock()
	renewal := (k.opts.TTL - k.opts.Margin) / 3
	if held != nil {
		if k.renew(ctx, *held) {
			return renewal
		}
		return renewal / 4
	}
	if !k.opts.IsCandidate() {
		k.seen = 0
		return k.opts.TTL / 3
	}
	k.campaign(ctx)
	return k.opts.TTL / 3
}

// renew extends the lease. A holder that finds its time over renews all the
// same: if the object is unchanged nobody else has held it since.
func (k *Elector) renew(ctx context.Context, held holding) bool {
	w := k.newWrite(held.fence)
	version, err := k.put(ctx, w, held.version, false)
	switch {
	case err == nil:
		k.hold(w, version)
		return true
	case errors.Is(err, objectapi.ErrUnknownOutcome), errors.Is(err, objectapi.ErrConflict):
		k.readBack(ctx, held)
	}
	return false
}

// readBack finds out who holds the lease after a renewal that failed or whose
// answer was lost.
func (k *Elector) readBack(ctx context.Context, held holding) {
	obj, lease, err := k.get(ctx)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		k.drop()
	case err != nil, obj.Version == held.version:
	case k.own(lease) != nil:
		k.hold(*k.own(lease), obj.Version)
	default:
		k.drop()
	}
}

// campaign reads the lease and takes it if it is free: released, or unchanged
// for a whole TTL and the longest order, by this host's own clock since its
// own first sight. No clocks of two hosts are compared.
func (k *Elector) campaign(ctx context.Context) {
	obj, lease, err := k.get(ctx)
	if errors.Is(err, objectapi.ErrNotFound) {
		// Deleted or never made. A holder of the deleted lease may still act,
		// so the new object is waited out like any other.
		_, _ = k.put(ctx, k.newWrite(0), 0, false)
		return
	}
	if err != nil {
		return
	}
	now := k.opts.Clock.Now()
	if w := k.own(lease); w != nil && w.fence > 0 {
		k.hold(*w, obj.Version)
		return
	}
	if obj.Version != k.seen {
		k.seen, k.seenAt = obj.Version, now
		k.seenTTL = max(k.opts.TTL, time.Duration(lease.TTL)*time.Millisecond)
	}
	if !lease.Released && now.Sub(k.seenAt) < k.seenTTL+k.opts.MaxOrderDuration {
		return
	}
	k.take(ctx, obj, lease)
}

// take claims the lease. The fencing number is above the object's version as
// well as above the earlier number: versions of the store only rise, also when
// the object was deleted or restored with an old content.
func (k *Elector) take(ctx context.Context, obj objectapi.Object, lease object) {
	k.mu.Lock()
	floor := k.floor
	k.mu.Unlock()
	w := k.newWrite(max(lease.Fence, obj.Version, floor) + 1)
	version, err := k.put(ctx, w, obj.Version, false)
	if err == nil {
		k.hold(w, version)
	}
}

// Release gives the lease up, so that the next holder need not wait. The
// caller has ended all its orders.
func (k *Elector) Release(ctx context.Context) {
	k.step.Lock()
	defer k.step.Unlock()
	k.mu.Lock()
	held := k.held
	k.held = nil
	k.mu.Unlock()
	if held != nil {
		_, _ = k.put(ctx, k.newWrite(held.fence), held.version, true)
		k.pending = nil
	}
}

// Lost drops the lease held under fence: an engine has seen the higher number
// seen. Later numbers are above it, so that engines take orders again after
// the platform was restored to an older state.
func (k *Elector) Invalidate(fence, seen uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.floor = max(k.floor, seen)
	if k.held != nil && k.held.fence == fence {
		k.held = nil
	}
}

func (k *Elector) hold(w write, version uint64) {
	k.pending = nil
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = &holding{fence: w.fence, version: version, from: w.sent}
}

func (k *Elector) drop() {
	k.pending, k.seen = nil, 0
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = nil
}

// own returns this host's write that the object shows, or nil.
func (k *Elector) own(lease object) *write {
	for i := range k.pending {
		if k.pending[i].nonce == lease.Nonce && !lease.Released {
			return &k.pending[i]
		}
	}
	return nil
}

// newWrite notes a write before it is sent: its answer may be lost.
func (k *Elector) newWrite(fence uint64) write {
	w := write{nonce: uuid.NewString(), fence: fence, sent: k.opts.Clock.Now()}
	if len(k.pending) >= maxPending {
		k.pending = k.pending[1:]
	}
	k.pending = append(k.pending, w)
	return w
}

func (k *Elector) put(ctx context.Context, w write, expect uint64, released bool) (uint64, error) {
	data, err := json.Marshal(object{Fence: w.fence, Host: k.opts.Host, Nonce: w.nonce, TTL: k.opts.TTL.Milliseconds(), Released: released})
	if err != nil {
		return 0, err
	}
	return k.opts.Store.Put(ctx, k.opts.Key, data, expect)
}

func (k *Elector) get(ctx context.Context) (objectapi.Object, object, error) {
	obj, err := k.opts.Store.Get(ctx, k.opts.Key)
	if err != nil {
		return obj, object{}, err
	}
	var lease object
	if err := json.Unmarshal(obj.Value, &lease); err != nil {
		// Not written by this program: waited out and replaced like any other.
		return obj, object{}, nil
	}
	return obj, lease, nil
}
