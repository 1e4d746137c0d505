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

// Compile checks and builds a release and returns the function that puts it in
// force. It is called with rising numbers, or again with the one in force (see
// Recompile), by one goroutine at a time. An error leaves the earlier release in
// force.
type Compile func(Release) (activate func(), err error)

// FollowerOptions configure a Follower; zero values get defaults.
type FollowerOptions struct {
	Host    string // name of this entry host
	Store   objectapi.Store
	Clock   clock.Clock
	Rand    clock.Rand
	Compile Compile

	// Hold is the time between the acceptance of a release, estimated from the
	// delays of messages, and the switch to it, in which it spreads to the others
	// (prepare-then-switch).
	// 0: switch on arrival. A host that learns of it later switches at once.
	ActivationDelay time.Duration
	// WatchWait is how long one watch of the platform waits; default 20 s.
	WatchTimeout time.Duration
	// CheckEvery is the period of the reads that back the watch up; default 5 s.
	PollInterval time.Duration
}

// DefaultHold is the time in which a release spreads before the switch.
const DefaultActivationDelay = 100 * time.Millisecond

const (
	defaultWatchTimeout = 20 * time.Second
	defaultPollInterval = 5 * time.Second
	// recentReleases is how many releases a host keeps to tell peers the rows
	// changed since the one they have.
	maxRecentlyPrepared = 8
)

// Follower keeps an entry host on the newest release that it has seen from any
// source. Offer may be called by the platform watch and by peers alike.
type Follower struct {
	opts             FollowerOptions
	activationSignal chan struct{} // a release waits for its switch

	newest atomic.Pointer[PreparedRelease] // newest prepared, read without the lock

	mu                sync.Mutex
	current           Release
	activationPaused  bool               // nothing is put in force yet: see close
	pending           *PreparedRelease   // prepared, not yet in force
	activatePending   func()             // puts next in force
	recentlyPrepared  []*PreparedRelease // newest last
	failedCompile     Ref                // newest release that did not compile
	faults            faultSet           // what operators have to know
	platform          platformState
	preparedCallbacks []func(*PreparedRelease)
}

// Held is a release that is prepared on this host.
type PreparedRelease struct {
	Release
	// Origin is when the release was accepted, on this host's clock, estimated
	// from the delays of the messages that brought it.
	AcceptedAt time.Time
}

// NewFollower returns a follower of the platform's head object.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.WatchTimeout <= 0 {
		opts.WatchTimeout = defaultWatchTimeout
	}
	if opts.PollInterval <= 0 {
		opts.PollInterval = defaultPollInterval
	}
	return &Follower{opts: opts, activationSignal: make(chan struct{}, 1)}
}

// OnPrepared registers f, which is called after a release was prepared here,
// outside the follower's lock. It is called before the follower runs.
func (f *Follower) OnPrepared(fn func(*PreparedRelease)) {
	f.preparedCallbacks = append(f.preparedCallbacks, fn)
}

// Current returns the release in force and whether there is one.
func (f *Follower) Current() (Release, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current.Number > 0
}

// Newest returns the newest release prepared here, in force or about to be, or
// nil. What engines have to load is read from it, before it is in force.
func (f *Follower) Newest() *PreparedRelease { return f.newest.Load() }

// Summary returns number and hash of the newest release prepared here, for
// heartbeats. It takes no lock.
func (f *Follower) Summary() (number uint64, hash string) {
	if newest := f.newest.Load(); newest != nil {
		return newest.Number, newest.Hash
	}
	return 0, ""
}

// Wants reports whether a release with this number and hash should be fetched.
// A number that is in force here with another hash is a fault that operators
// are told of: see faultDiverged.
func (f *Follower) Needs(number uint64, hash, source string) bool {
	newest, newestHash := f.Summary()
	if number == newest && number > 0 && hash != newestHash {
		f.setFault(faultHashMismatch, fmt.Errorf("%s has release %d with hash %s, here it is in force with hash %s; accept a new release or recover",
			source, number, hash, newestHash))
	}
	if number <= newest {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return number != f.failedCompile.Number || hash != f.failedCompile.Hash
}

// Offer prepares rel if its number is above all that this host has, and puts it
// in force when its time has come. A stale read of the platform or a late peer
// offers a lower number: it is ignored, so that an accepted configuration never
// reverts on this host. age is the time since rel was accepted.
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

func (f *Follower) prepare(rel Release, age time.Duration) (*PreparedRelease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest, _ := f.Summary(); rel.Number <= newest {
		return nil, nil // another source was faster
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
		// A stream of releases must not put the switch off again and again.
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

// checkLineage tells operators when the new release was not built on the one
// that it replaces, as after the restore of the platform: edits are lost.
func (f *Follower) checkLineage(rel Release) {
	newest, hash := f.Summary()
	if newest == 0 || rel.PreviousHash == "" || rel.Number != newest+1 || rel.PreviousHash == hash {
		return
	}
	f.faults.set(faultLineageBroken, fmt.Errorf("release %d was not built on release %d (hash %s), which was in force here", rel.Number, newest, hash))
}

func (f *Follower) signalActivation() {
	select {
	case f.activationSignal <- struct{}{}:
	default:
	}
}

// close keeps releases from being put in force until open. A host that starts
// would otherwise serve what a stale platform answers first, and its callers may
// have seen a later release from the host before it.
func (f *Follower) pauseActivation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activationPaused = true
}

// open ends close: the newest release seen so far is put in force at once.
func (f *Follower) resumeActivation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activationPaused = false
	if f.pending != nil && f.activationDue() {
		f.activateNow()
	}
}

// due reports whether next may be put in force; the first release of a host has
// nothing to wait for. Called with the lock held.
func (f *Follower) activationDue() bool {
	return !f.activationPaused && (f.current.Number == 0 || f.untilActivation() <= 0)
}

// untilDue returns the time until next may be put in force. Called with the
// lock held.
func (f *Follower) untilActivation() time.Duration {
	return f.opts.ActivationDelay - f.opts.Clock.Now().Sub(f.pending.AcceptedAt)
}

func (f *Follower) activateNow() {
	f.activatePending()
	f.current, f.pending, f.activatePending = f.pending.Release, nil, nil
}

// Switch puts prepared releases in force when they are due, until ctx ends.
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

// Recompile compiles the release in force again and puts the result in force,
// for what the compiled form takes from outside the release. It does nothing
// while a newer one waits for its switch: what the earlier one takes would be
// the last that Compile has seen, and the newer one would keep its first result.
func (f *Follower) Recompile() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Number == 0 || f.pending != nil {
		return nil
	}
	activate, err := f.opts.Compile(f.current)
	if err != nil {
		return fmt.Errorf("compile release %d again: %w", f.current.Number, err)
	}
	activate()
	return nil
}

// remembered returns the release if this host held it lately, or nil.
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

// LastError returns what keeps this host from the newest release or what an
// operator has to mend, or nil.
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
