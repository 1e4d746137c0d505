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
type Compile func(Release) (putInForce func(), err error)

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
	defaultWatchWait  = 20 * time.Second
	defaultCheckEvery = 5 * time.Second
	// recentReleases is how many releases a host keeps to tell peers the rows
	// changed since the one they have.
	recentReleases = 8
)

// Follower keeps an entry host on the newest release that it has seen from any
// source. Offer may be called by the platform watch and by peers alike.
type Follower struct {
	opts FollowerOptions
	kick chan struct{} // a release waits for its switch

	held atomic.Pointer[PreparedRelease] // newest prepared, read without the lock

	mu      sync.Mutex
	current Release
	closed  bool               // nothing is put in force yet: see close
	next    *PreparedRelease   // prepared, not yet in force
	switchF func()             // puts next in force
	recent  []*PreparedRelease // newest last
	refused Ref                // newest release that did not compile
	faults  faultSet           // what operators have to know
	watch   watchState
	changed []func(*PreparedRelease)
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
		opts.WatchTimeout = defaultWatchWait
	}
	if opts.PollInterval <= 0 {
		opts.PollInterval = defaultCheckEvery
	}
	return &Follower{opts: opts, kick: make(chan struct{}, 1)}
}

// OnPrepared registers f, which is called after a release was prepared here,
// outside the follower's lock. It is called before the follower runs.
func (f *Follower) OnPrepared(fn func(*PreparedRelease)) { f.changed = append(f.changed, fn) }

// Current returns the release in force and whether there is one.
func (f *Follower) Current() (Release, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current.Number > 0
}

// Newest returns the newest release prepared here, in force or about to be, or
// nil. What engines have to load is read from it, before it is in force.
func (f *Follower) Newest() *PreparedRelease { return f.held.Load() }

// Summary returns number and hash of the newest release prepared here, for
// heartbeats. It takes no lock.
func (f *Follower) Summary() (number uint64, hash string) {
	if h := f.held.Load(); h != nil {
		return h.Number, h.Hash
	}
	return 0, ""
}

// Wants reports whether a release with this number and hash should be fetched.
// A number that is in force here with another hash is a fault that operators
// are told of: see faultDiverged.
func (f *Follower) Needs(number uint64, hash, source string) bool {
	have, haveHash := f.Summary()
	if number == have && number > 0 && hash != haveHash {
		f.setFault(faultDiverged, fmt.Errorf("%s has release %d with hash %s, here it is in force with hash %s; accept a new release or recover",
			source, number, hash, haveHash))
	}
	if number <= have {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return number != f.refused.Number || hash != f.refused.Hash
}

// Offer prepares rel if its number is above all that this host has, and puts it
// in force when its time has come. A stale read of the platform or a late peer
// offers a lower number: it is ignored, so that an accepted configuration never
// reverts on this host. age is the time since rel was accepted.
func (f *Follower) Offer(rel Release, age time.Duration, source string) error {
	if !f.Needs(rel.Number, rel.Hash, source) {
		return nil
	}
	held, err := f.prepare(rel, age)
	if err != nil || held == nil {
		return err
	}
	for _, fn := range f.changed {
		fn(held)
	}
	return nil
}

func (f *Follower) prepare(rel Release, age time.Duration) (*PreparedRelease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if have, _ := f.Summary(); rel.Number <= have {
		return nil, nil // another source was faster
	}
	if err := rel.Verify(); err != nil {
		return nil, err
	}
	switchF, err := f.opts.Compile(rel)
	if err != nil {
		f.refused = rel.Ref()
		err = fmt.Errorf("prepare release %d: %w", rel.Number, err)
		f.faults.set(faultRefused, err)
		return nil, err
	}
	for _, k := range []faultKind{faultRefused, faultBehind, faultDiverged, faultReplaced, faultJoin} {
		f.faults.clear(k)
	}
	f.checkLineage(rel)
	held := &PreparedRelease{Release: rel, AcceptedAt: f.opts.Clock.Now().Add(-age)}
	f.recent = append(f.recent, held)
	if len(f.recent) > recentReleases {
		f.recent = f.recent[1:]
	}
	if f.next != nil && f.next.AcceptedAt.Before(held.AcceptedAt) {
		// A stream of releases must not put the switch off again and again.
		held.AcceptedAt = f.next.AcceptedAt
	}
	f.next, f.switchF = held, switchF
	f.held.Store(held)
	if f.due() {
		f.switchNow()
	} else {
		f.wake()
	}
	return held, nil
}

// checkLineage tells operators when the new release was not built on the one
// that it replaces, as after the restore of the platform: edits are lost.
func (f *Follower) checkLineage(rel Release) {
	have, hash := f.Summary()
	if have == 0 || rel.PreviousHash == "" || rel.Number != have+1 || rel.PreviousHash == hash {
		return
	}
	f.faults.set(faultReplaced, fmt.Errorf("release %d was not built on release %d (hash %s), which was in force here", rel.Number, have, hash))
}

func (f *Follower) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// close keeps releases from being put in force until open. A host that starts
// would otherwise serve what a stale platform answers first, and its callers may
// have seen a later release from the host before it.
func (f *Follower) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// open ends close: the newest release seen so far is put in force at once.
func (f *Follower) open() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = false
	if f.next != nil && f.due() {
		f.switchNow()
	}
}

// due reports whether next may be put in force; the first release of a host has
// nothing to wait for. Called with the lock held.
func (f *Follower) due() bool {
	return !f.closed && (f.current.Number == 0 || f.untilDue() <= 0)
}

// untilDue returns the time until next may be put in force. Called with the
// lock held.
func (f *Follower) untilDue() time.Duration {
	return f.opts.ActivationDelay - f.opts.Clock.Now().Sub(f.next.AcceptedAt)
}

func (f *Follower) switchNow() {
	f.switchF()
	f.current, f.next, f.switchF = f.next.Release, nil, nil
}

// Switch puts prepared releases in force when they are due, until ctx ends.
func (f *Follower) RunActivation(ctx context.Context) error {
	for {
		var timer <-chan time.Time
		f.mu.Lock()
		if f.next != nil && f.due() {
			f.switchNow()
		}
		if f.next != nil && !f.closed {
			timer = f.opts.Clock.After(f.untilDue())
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-f.kick:
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
	if f.current.Number == 0 || f.next != nil {
		return nil
	}
	switchF, err := f.opts.Compile(f.current)
	if err != nil {
		return fmt.Errorf("compile release %d again: %w", f.current.Number, err)
	}
	switchF()
	return nil
}

// remembered returns the release if this host held it lately, or nil.
func (f *Follower) remembered(number uint64, hash string) *PreparedRelease {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.recent {
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
	return errors.Join(f.faults.all()...)
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
