// Package objectwatch maintains a local copy of all objects of one kind in the platform's
// object API. A Follower lists the objects, watches for changes, and lists again when the
// API no longer keeps the changes that it needs. Hosts can list and watch through another
// host of their region, a reader, in place of the API.
package objectwatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/clock"
)

// Revision identifies a state of the object API; it increases with each change.
type Revision int64

// Object is one decoded object. Err is set in place of Value if the stored object cannot
// be decoded, such as one written by another program.
type Object[T any] struct {
	Name     string
	Revision Revision // of the last write, or of the deletion
	Value    T        // zero if Deleted or Err is set
	Deleted  bool     // set in changes only
	Err      error
}

// Response is a Source's response to a list or watch request.
type Response[T any] struct {
	Objects []Object[T] // all objects for List, the changes for Watch
	AsOf    Revision    // state of the object API that Objects leads to
	// Age is the time from the source's last confirmation of its data to the arrival of
	// the request; 0 for the object API, which responds from its own state. It is negative
	// if the source confirmed its data while the request waited there.
	Age time.Duration
	// ContinueAfter is the name to pass to List for the next page; empty: this is the last
	// page.
	ContinueAfter string
}

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns the objects whose names follow after, or the first page of them with
	// ContinueAfter set. ErrRefused means that the same request may be repeated a little
	// later.
	List(ctx context.Context, after string) (Response[T], error)
	// Watch returns the changes after revision from as soon as there are any, or none
	// after wait. ErrHistoryGone means that from is too old, or that a change cannot be read.
	Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error)
}

// ErrHistoryGone is returned by Watch when the changes after the revision are no longer
// kept. Use errors.Is.
var ErrHistoryGone = errors.New("objectwatch: history is gone")

// ErrUnreadableChange is returned by Watch for a change of which not even the object's name can be
// read. It wraps ErrHistoryGone: only a list tells what the objects are now. Use errors.Is.
var ErrUnreadableChange = fmt.Errorf("%w: a change cannot be read", ErrHistoryGone)

// ErrRefused is returned when the source did not execute the request because it is busy or
// its rate limit is exceeded. Use errors.Is.
var ErrRefused = errors.New("objectwatch: refused")

// errOlderList is returned for a list that would take the local copy back to an earlier state.
var errOlderList = errors.New("objectwatch: the list is older than the local copy")

// Options configures a Follower. All fields are required except CoalesceDelay.
type Options[T any] struct {
	Source Source[T]
	Clock  clock.Clock
	Rand   clock.Rand
	// WatchWait is the maximum time for which a watch waits for changes, and so bounds the
	// age of the copy in normal operation: a response confirms that the copy contains
	// every change made before the watch was sent.
	WatchWait time.Duration
	// ResponseTimeout is the time for the response to a watch beyond WatchWait.
	ResponseTimeout time.Duration
	// CoalesceDelay is the pause after a response with changes, so that changes in quick
	// succession arrive in one response; 0: none.
	CoalesceDelay time.Duration
	// OnChange is called with the whole copy, by object name, after each list and each
	// response with changes. origin is "list" or "watch". The callee must not modify or
	// retain the map.
	OnChange func(objects map[string]Object[T], origin string)
	// OnConfirmed is called when a response has confirmed that the copy contains every
	// change that was accepted before at.
	OnConfirmed func(at time.Time)
	// OnLost is called with the first error when requests to the source start to fail,
	// OnRegained with the length of the failure when one succeeds again.
	OnLost     func(err error)
	OnRegained func(after time.Duration)
}

// Follower maintains the copy. Run is called once.
type Follower[T any] struct {
	opts         Options[T]
	objects      map[string]Object[T] // the copy, by object name
	revision     Revision             // of the copy; the next watch starts from it
	listed       bool                 // false: the next request is a list
	failingSince time.Time            // zero: the last request succeeded
	failures     int                  // consecutive failed steps
	unreadable   bool                 // the last watch was: no list ends that failure
	history      history[T]           // served to other hosts
}

// New returns a follower with an empty copy.
func New[T any](opts Options[T]) *Follower[T] {
	f := &Follower[T]{opts: opts, objects: map[string]Object[T]{}}
	f.history.changed, f.history.listed = make(chan struct{}), make(chan struct{})
	return f
}

// Bounds of the backoff after a failed request. The minimum is short so that a single lost
// response costs little time; the maximum keeps a fleet that waits for the object API from
// exhausting the API's rate limit when it recovers.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Run keeps the copy current until ctx ends. It returns nil.
func (f *Follower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := f.opts.Clock.Now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			f.backOff(ctx, started)
		}
	}
	return nil
}

// step sends one list or watch request and applies its response.
func (f *Follower[T]) step(ctx context.Context) error {
	sent := f.opts.Clock.Now()
	if !f.listed {
		return f.list(ctx, sent)
	}
	watchCtx, cancel := context.WithTimeout(ctx, f.opts.WatchWait+f.opts.ResponseTimeout)
	defer cancel()
	resp, err := f.opts.Source.Watch(watchCtx, f.revision, f.opts.WatchWait)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
	}
	f.unreadable = errors.Is(err, ErrUnreadableChange)
	if errors.Is(err, ErrHistoryGone) && !f.unreadable {
		return nil
	}
	if err != nil {
		return err
	}
	confirmedAt := sent.Add(-resp.Age)
	if len(resp.Objects) > 0 {
		f.applyChanges(resp, confirmedAt)
	}
	f.recordSuccess(confirmedAt)
	if len(resp.Objects) > 0 && f.opts.CoalesceDelay > 0 {
		f.sleep(ctx, f.opts.CoalesceDelay)
	}
	return nil
}

// applyChanges applies the changes in a watch response.
func (f *Follower[T]) applyChanges(resp Response[T], confirmedAt time.Time) {
	// The next watch continues from the last response with changes, never from the
	// revision of an empty response: a watch to which a failing store delivered nothing
	// would otherwise skip the changes made meanwhile forever.
	for _, c := range resp.Objects {
		f.applyChange(c)
	}
	f.revision = max(f.revision, resp.AsOf)
	f.history.add(resp.Objects, f.revision, confirmedAt)
	f.opts.OnChange(f.objects, "watch")
}

// listAllPages requests all pages of a list. A refused page after the first is requested again,
// because a new list would repeat all pages before it. AsOf is that of the oldest page: the watch
// delivers changes between the pages again.
func (f *Follower[T]) listAllPages(ctx context.Context) (all Response[T], err error) {
	after, retries := "", 0
	for first := true; ; first = false {
		page, err := f.listPage(ctx, after)
		if errors.Is(err, ErrRefused) && !first && retries < maxPageRetries {
			retries++
			f.sleep(ctx, pageRetryDelay)
			continue
		}
		if err != nil {
			return all, err
		}
		if first || page.AsOf < all.AsOf {
			all.AsOf = page.AsOf
		}
		all.Age = max(all.Age, page.Age)
		all.Objects = append(all.Objects, page.Objects...)
		if after = page.ContinueAfter; after == "" {
			return all, nil
		}
	}
}

// listPage requests one page of a list with a timeout of its own.
func (f *Follower[T]) listPage(ctx context.Context, after string) (Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.opts.Source.List(ctx, after)
}

const (
	// pageTimeout is the time for one page of up to 1 MB, or for a list through a reader,
	// which many hosts may request at once.
	pageTimeout = 2500 * time.Millisecond
	// pageRetryDelay is the pause before a refused page is requested again.
	pageRetryDelay = 150 * time.Millisecond
	// maxPageRetries limits these requests in one list.
	maxPageRetries = 8
)

// listTimeout is the time for a whole list. It has many pages if a fleet starts at once
// and the store delays its responses.
const listTimeout = 8 * time.Second

// list replaces the copy by a new list, requested at sent. A list that is older than the copy
// is rejected with errOlderList, and the copy is watched further.
func (f *Follower[T]) list(ctx context.Context, sent time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	resp, err := f.listAllPages(ctx)
	if err != nil {
		return err
	}
	if resp.AsOf < f.revision {
		// The list comes from a reader that is behind, and would restore deleted objects.
		// The newer copy here is kept and watched further: that reader may not list again
		// for as long as nothing changes.
		f.listed = true
		return errOlderList
	}
	before, relisted, confirmedAt := f.objects, f.revision > 0, sent.Add(-resp.Age)
	f.objects = make(map[string]Object[T], len(resp.Objects))
	for _, o := range resp.Objects {
		f.objects[o.Name] = o
	}
	f.revision = resp.AsOf
	f.listed = true
	if relisted {
		f.history.add(diff(before, f.objects, f.revision), f.revision, confirmedAt)
	} else {
		f.history.reset(resp.Objects, f.revision, confirmedAt)
	}
	f.opts.OnChange(f.objects, "list")
	f.recordSuccess(confirmedAt)
	return nil
}

// diff returns the changes between two copies; deletions get the given revision. Hosts
// that watch through this one receive these changes after this host had to list again, in
// place of the whole list.
func diff[T any](before, after map[string]Object[T], revision Revision) []Object[T] {
	var out []Object[T]
	for name, o := range after {
		if old, ok := before[name]; !ok || old.Revision != o.Revision {
			out = append(out, o)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			out = append(out, Object[T]{Name: name, Revision: revision, Deleted: true})
		}
	}
	return out
}

// applyChange applies one change unless the copy holds a newer revision of the object.
func (f *Follower[T]) applyChange(c Object[T]) {
	if c.Revision > f.revision {
		f.revision = c.Revision
	}
	if current, ok := f.objects[c.Name]; ok && current.Revision > c.Revision {
		return
	}
	if c.Deleted {
		delete(f.objects, c.Name)
		return
	}
	f.objects[c.Name] = c
}

// recordSuccess ends a failure of the source, unless that is of its watches only, and records that the copy was
// complete at confirmedAt.
func (f *Follower[T]) recordSuccess(confirmedAt time.Time) {
	if !f.unreadable {
		f.endFailure()
	}
	f.history.confirm(confirmedAt)
	f.opts.OnConfirmed(confirmedAt)
}

// endFailure ends a failure of the source, if there is one.
func (f *Follower[T]) endFailure() {
	f.failures = 0
	if !f.failingSince.IsZero() {
		f.opts.OnRegained(f.opts.Clock.Now().Sub(f.failingSince))
		f.failingSince = time.Time{}
	}
}

// recordFailure counts a failed request to the source and reports the first failure after a
// success to OnLost.
func (f *Follower[T]) recordFailure(err error) {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = f.opts.Clock.Now()
		f.opts.OnLost(err)
	}
}

// backOff waits after a failed request until a backoff time, which doubles with each failure up to
// maxBackoff, has passed since the request started. One that failed only after a longer wait needs
// no further pause, because its source responds as soon as there are changes.
func (f *Follower[T]) backOff(ctx context.Context, started time.Time) {
	d := time.Duration((0.5 + f.opts.Rand.Float64()/2) * float64(min(minBackoff<<min(f.failures, 5), maxBackoff)))
	if remaining := d - f.opts.Clock.Now().Sub(started); remaining > 0 {
		f.sleep(ctx, remaining)
	}
}

// sleep waits for d or until ctx ends.
func (f *Follower[T]) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(d):
	}
}
