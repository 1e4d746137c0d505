package release

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// Compile checks and builds a release and returns the function that activates
// it, that is, puts it in force on this host. It is called with rising numbers,
// or again with the release in force (see Recompile), never concurrently. If it
// returns an error, the earlier release stays in force.
type Compile func(Release) (activate func(), err error)

// FollowerOptions configure a Follower. Zero durations get the default unless
// stated otherwise; the other fields are required.
type FollowerOptions struct {
	Host    string // name of this entry host
	Store   objectapi.Store
	Clock   clock.Clock
	Rand    clock.Rand
	Compile Compile

	// ActivationDelay is the time from the acceptance of a release, estimated
	// from message delays, to its activation. Meanwhile the release spreads to
	// the other hosts, so that all activate it at about the same time. A host
	// that receives it later activates it at once. 0: activate on arrival.
	ActivationDelay time.Duration
	// WatchTimeout is how long one watch call on the platform waits for a
	// change; default 20 s.
	WatchTimeout time.Duration
	// PollInterval is the mean interval of the polls that back up the watch;
	// default 5 s.
	PollInterval time.Duration
}

// DefaultActivationDelay is the default ActivationDelay of entry hosts.
const DefaultActivationDelay = 100 * time.Millisecond

const (
	defaultWatchTimeout = 20 * time.Second
	defaultPollInterval = 5 * time.Second
	// maxRecentlyPrepared is the number of releases kept to send peers only the
	// rows changed since the release that they have.
	maxRecentlyPrepared = 8
)

// Follower keeps an entry host on the newest release that it has received from
// any source. Its methods are safe for concurrent use except OnPrepared; both
// the platform watch and peers call Offer.
type Follower struct {
	opts             FollowerOptions
	activationSignal chan struct{} // wakes RunActivation; see signalActivation

	newest atomic.Pointer[PreparedRelease] // newest prepared release, read without mu

	mu                sync.Mutex         // guards the fields below, except preparedCallbacks
	current           Release            // in force; Number 0: none
	activationPaused  bool               // see pauseActivation
	pending           *PreparedRelease   // prepared, not yet active; nil if there is none
	activatePending   func()             // activates pending
	recentlyPrepared  []*PreparedRelease // newest last
	failedCompile     Ref                // newest release that did not compile
	faults            faultSet           // reported to operators
	platform          platformState
	preparedCallbacks []func(*PreparedRelease) // see OnPrepared
}

// PreparedRelease is a release that compiled on this host.
type PreparedRelease struct {
	Release
	// AcceptedAt is when the publisher accepted the release, on the clock of
	// this host, estimated from the delays of the messages that carried it. A
	// release that replaces a pending one takes over its AcceptedAt if that is
	// earlier.
	AcceptedAt time.Time
}

// NewFollower returns a follower of the head object on the platform. It
// activates releases with a delay only while RunActivation runs.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.WatchTimeout <= 0 {
		opts.WatchTimeout = defaultWatchTimeout
	}
	if opts.PollInterval <= 0 {
		opts.PollInterval = defaultPollInterval
	}
	return &Follower{opts: opts, activationSignal: make(chan struct{}, 1)}
}

// OnPrepared registers fn, which is called with each release after it was
// prepared, without holding the lock of the follower. It must be called before
// the follower receives releases.
func (f *Follower) OnPrepared(fn func(*PreparedRelease)) {
	f.preparedCallbacks = append(f.preparedCallbacks, fn)
}

// Current returns the release in force and whether there is one.
func (f *Follower) Current() (Release, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current.Number > 0
}

// Newest returns the newest prepared release, active or pending, or nil.
// Engines load what it requires before it is in force.
func (f *Follower) Newest() *PreparedRelease { return f.newest.Load() }

// Summary returns number and hash of the newest prepared release for
// heartbeats; both are zero if there is none. It takes no lock.
func (f *Follower) Summary() (number uint64, hash string) {
	if newest := f.newest.Load(); newest != nil {
		return newest.Number, newest.Hash
	}
	return 0, ""
}

// Needs reports whether the release with this number and hash should be
// fetched: its number is higher than that of every prepared release, and it has
// not failed to compile here. If the newest release here has the same number
// and another hash, Needs records a fault for operators (see
// faultHashMismatch). source names the sender in that fault.
func (f *Follower) Needs(number uint64, hash, source string) bool {
	newest, newestHash := f.Summary()
	if number == newest && number > 0 && hash != newestHash {
		f.setFault(faultHashMismatch, fmt.Errorf("%s has release %d with hash %s, but this host has it with hash %s; accept a new release or recover",
			source, number, hash, newestHash))
	}
	if number <= newest {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return number != f.failedCompile.Number || hash != f.failedCompile.Hash
}

// Offer prepares rel if its number is higher than that of every release
// prepared here, and activates it once its activation delay has passed. A stale
// read of the platform or a late peer offers a lower number; it is ignored, so
// that an accepted configuration never reverts on this host. age is the time
// since rel was accepted; source names the sender. Offer returns ErrCorrupt if
// the hash does not match, or the error of Compile.
func (f *Follower) Offer(rel Release, age time.Duration, source string) error {
	if !f.Needs(rel.Number, rel.Hash, source) {
		return nil
	}
	prepared, err := f.prepare(rel, age)
	if err != nil || prepared == nil {
		return err
	}
	for _, fn := range f.preparedCallbacks {
		fn(prepared)
	}
	return nil
}

// prepare compiles rel and makes it pending, or activates it if it is due. It
// returns nil if rel is not newer than the newest prepared release.
func (f *Follower) prepare(rel Release, age time.Duration) (*PreparedRelease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest, _ := f.Summary(); rel.Number <= newest {
		return nil, nil // received from another source in the meantime
	}
	if err := rel.Verify(); err != nil {
		return nil, err
	}
	activate, err := f.opts.Compile(rel)
	if err != nil {
		f.failedCompile = rel.Ref()
		err = fmt.Errorf("prepare release %d: %w", rel.Number, err)
		f.faults.set(faultCompileFailed, err)
		return nil, err
	}
	for _, k := range []faultKind{faultCompileFailed, faultPlatformBehind, faultHashMismatch, faultLineageBroken, faultNoRelease} {
		f.faults.clear(k)
	}
	f.checkLineage(rel)
	prepared := &PreparedRelease{Release: rel, AcceptedAt: f.opts.Clock.Now().Add(-age)}
	f.recentlyPrepared = append(f.recentlyPrepared, prepared)
	if len(f.recentlyPrepared) > maxRecentlyPrepared {
		f.recentlyPrepared = f.recentlyPrepared[1:]
	}
	if f.pending != nil && f.pending.AcceptedAt.Before(prepared.AcceptedAt) {
		// Keep the earlier activation time: a steady stream of releases must not
		// postpone the activation forever.
		prepared.AcceptedAt = f.pending.AcceptedAt
	}
	f.pending, f.activatePending = prepared, activate
	f.newest.Store(prepared)
	if f.activationDue() {
		f.activateNow()
	} else {
		f.signalActivation()
	}
	return prepared, nil
}

// checkLineage records a fault if rel was not built on the release that it
// replaces, as after a restore of the platform; edits are lost then. Called
// with the lock held.
func (f *Follower) checkLineage(rel Release) {
	newest, hash := f.Summary()
	if newest == 0 || rel.PreviousHash == "" || rel.Number != newest+1 || rel.PreviousHash == hash {
		return
	}
	f.faults.set(faultLineageBroken, fmt.Errorf("release %d was not built on release %d (hash %s) of this host", rel.Number, newest, hash))
}

// signalActivation makes RunActivation check the pending release again.
func (f *Follower) signalActivation() {
	select {
	case f.activationSignal <- struct{}{}:
	default:
	}
}

// pauseActivation prevents activations until resumeActivation. Otherwise a host
// that starts could serve an early response of a stale platform, although its
// callers have already seen a later release from the previous process of this
// host.
func (f *Follower) pauseActivation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activationPaused = true
}

// resumeActivation ends pauseActivation and activates the newest release
// received so far if it is due.
func (f *Follower) resumeActivation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activationPaused = false
	if f.pending != nil && f.activationDue() {
		f.activateNow()
	}
}

// activationDue reports whether the pending release may be activated now. The
// first release of a host is not delayed. Called with the lock held and a
// release pending.
func (f *Follower) activationDue() bool {
	return !f.activationPaused && (f.current.Number == 0 || f.untilActivation() <= 0)
}

// untilActivation returns the time until the pending release is due; at most 0
// if it is due. Called with the lock held.
func (f *Follower) untilActivation() time.Duration {
	return f.opts.ActivationDelay - f.opts.Clock.Now().Sub(f.pending.AcceptedAt)
}

// activateNow activates the pending release. Called with the lock held.
func (f *Follower) activateNow() {
	f.activatePending()
	f.current, f.pending, f.activatePending = f.pending.Release, nil, nil
}

// RunActivation activates prepared releases when they are due, until ctx ends.
// It always returns nil.
func (f *Follower) RunActivation(ctx context.Context) error {
	for {
		var timer <-chan time.Time
		f.mu.Lock()
		if f.pending != nil && f.activationDue() {
			f.activateNow()
		}
		if f.pending != nil && !f.activationPaused {
			timer = f.opts.Clock.After(f.untilActivation())
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-f.activationSignal:
		case <-timer:
		}
	}
}

// Recompile compiles the release in force again and activates the result. It is
// called when an input of Compile from outside the release has changed. On an
// error the earlier result stays in force. It does nothing while a newer release
// is pending: the earlier one would be the last that Compile was called with, and
// the newer one would keep the result of its first compilation.
func (f *Follower) Recompile() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Number == 0 || f.pending != nil {
		return nil
	}
	activate, err := f.opts.Compile(f.current)
	if err != nil {
		return fmt.Errorf("recompile release %d: %w", f.current.Number, err)
	}
	activate()
	return nil
}

// recentRelease returns the release with this number and hash if it is one of the
// last maxRecentlyPrepared that this host prepared, else nil.
func (f *Follower) recentRelease(number uint64, hash string) *PreparedRelease {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.recentlyPrepared {
		if h.Number == number && h.Hash == hash {
			return h
		}
	}
	return nil
}

// Err returns the joined active faults: what keeps this host from the newest
// release or requires an operator. It returns nil if there are none.
func (f *Follower) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.faults.active()...)
}

func (f *Follower) setFault(k faultKind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults.set(k, err)
}

func (f *Follower) clearFault(k faultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults.clear(k)
}
