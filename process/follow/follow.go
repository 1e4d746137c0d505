// Package follow keeps a local copy of the objects of one kind of the
// platform's object API: it lists them, watches for changes and lists again
// when the history that it needs is gone.
package follow

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/clock"
)

// Revision is a state of the object API; it grows with each change.
type Revision int64

// Object is one decoded object. Err is set in place of Value if another writer
// left something there that cannot be read.
type Object[T any] struct {
	Name     string
	Revision Revision
	Value    T
	Deleted  bool
	Err      error
}

// Answer is what a Source says.
type Response[T any] struct {
	Objects []Object[T] // all of them, or the changes
	AsOf    Revision
	// Age is how long before the question the source itself had last made sure
	// of what it says; 0 for the object API, which answers from its own state.
	// Below 0: it made sure while the question waited there.
	Age time.Duration
	// Next is the name after which a list goes on; empty: this is its end.
	ContinueAfter string
}

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns the objects after a name, or a first part of them with Next.
	// ErrRefused means that the same may be asked for again a little later.
	List(ctx context.Context, after string) (Response[T], error)
	// Watch returns the changes after from as soon as there are some, or none
	// after wait. ErrHistoryGone means that from is too old.
	Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error)
}

// ErrHistoryGone is returned by Watch when the changes after the revision are
// no longer kept. Use errors.Is.
var ErrHistoryGone = errors.New("follow: history is gone")

// ErrRefused is returned when the source did nothing, because it is busy or over
// its rate. Use errors.Is.
var ErrRefused = errors.New("follow: refused")

var errOlderList = errors.New("follow: the list is older than what is known")

// Options of a Follower.
type Options[T any] struct {
	Source Source[T]
	Clock  clock.Clock
	Rand   clock.Rand
	// Wait bounds one watch, and so how old the knowledge may get while all is
	// well: an answered watch proves that nothing changed before it was sent.
	WatchWait time.Duration
	// Answer bounds the wait for an answer beyond Wait.
	ResponseTimeout time.Duration
	// Settle is the pause after an answer with changes, so that changes that come
	// one after the other come in one answer; 0: none.
	CoalesceDelay time.Duration
	// Changed is called with the whole copy after each list or change.
	OnChange func(objects map[string]Object[T], why string)
	// Proved is called when an answer has shown that the copy held everything
	// that was accepted before at.
	OnConfirmed func(at time.Time)
	// Lost and Regained tell of the source itself.
	OnLost     func(err error)
	OnRegained func(after time.Duration)
}

// Follower keeps the copy. Run is called once.
type Follower[T any] struct {
	opts         Options[T]
	objects      map[string]Object[T]
	revision     Revision
	listed       bool
	failingSince time.Time // since; zero: not
	failures     int
	history      history[T]
}

// New returns a follower with an empty copy.
func New[T any](opts Options[T]) *Follower[T] {
	f := &Follower[T]{opts: opts, objects: map[string]Object[T]{}}
	f.history.changed, f.history.listed = make(chan struct{}), make(chan struct{})
	return f
}

// Bounds of the pause after a failed call. The first is short so that a single
// lost answer costs little; the last keeps a fleet that waits for a store from
// spending the store's rate when it returns.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := f.opts.Clock.Now()
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			f.backOff(ctx, began)
		}
	}
	return nil
}

func (f *Follower[T]) step(ctx context.Context) error {
	sent := f.opts.Clock.Now()
	if !f.listed {
		return f.list(ctx, sent)
	}
	bounded, cancel := context.WithTimeout(ctx, f.opts.WatchWait+f.opts.ResponseTimeout)
	defer cancel()
	a, err := f.opts.Source.Watch(bounded, f.revision, f.opts.WatchWait)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	proved := sent.Add(-a.Age)
	if len(a.Objects) > 0 {
		f.applyChanges(a, proved)
	}
	f.recordSuccess(proved)
	if len(a.Objects) > 0 && f.opts.CoalesceDelay > 0 {
		f.sleep(ctx, f.opts.CoalesceDelay)
	}
	return nil
}

// change takes the changes that a watch brought.
func (f *Follower[T]) applyChanges(a Response[T], proved time.Time) {
	// The watch goes on from the last answer that held changes, never from the
	// state that an empty answer names: a watch to which a disturbed store
	// delivered nothing would otherwise skip the changes made meanwhile for good.
	for _, c := range a.Objects {
		f.applyChange(c)
	}
	f.revision = max(f.revision, a.AsOf)
	f.history.add(a.Objects, f.revision, proved)
	f.opts.OnChange(f.objects, "watch")
}

// pages reads a list to its end. A page that was refused is asked for again:
// beginning anew would cost all pages before it once more. AsOf is that of the
// oldest page: changes between the pages come again with the watch.
func (f *Follower[T]) listAllPages(ctx context.Context) (all Response[T], err error) {
	after, refused := "", 0
	for first := true; ; first = false {
		page, err := f.listPage(ctx, after)
		if errors.Is(err, ErrRefused) && !first && refused < maxPageRetries {
			refused++
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

func (f *Follower[T]) listPage(ctx context.Context, after string) (Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.opts.Source.List(ctx, after)
}

const (
	// pageBound is the time for one page, of up to 1 MB, or for a list by way of
	// another host, which many may ask at once.
	pageTimeout    = 2500 * time.Millisecond
	pageRetryDelay = 150 * time.Millisecond
	maxPageRetries = 8
)

// listBound is the time for a whole list, of many pages where a fleet starts at
// once and the store spreads its answers.
const listTimeout = 8 * time.Second

func (f *Follower[T]) list(ctx context.Context, sent time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	a, err := f.listAllPages(ctx)
	if err != nil {
		return err
	}
	if a.AsOf < f.revision {
		// By way of another host; taking it would bring back what has gone. The copy here
		// is newer and stays: that host may list no more for as long as nothing changes.
		f.listed = true
		return errOlderList
	}
	before, again, proved := f.objects, f.revision > 0, sent.Add(-a.Age)
	f.objects = make(map[string]Object[T], len(a.Objects))
	for _, o := range a.Objects {
		f.objects[o.Name] = o
	}
	f.revision = a.AsOf
	f.listed = true
	if again {
		f.history.add(diff(before, f.objects, f.revision), f.revision, proved)
	} else {
		f.history.reset(a.Objects, f.revision, proved)
	}
	f.opts.OnChange(f.objects, "list")
	f.recordSuccess(proved)
	return nil
}

// changes are what made one copy into a later one of a revision. Hosts that ask this one
// get these after lost history, and not the whole list again.
func diff[T any](before, after map[string]Object[T], at Revision) []Object[T] {
	var out []Object[T]
	for name, o := range after {
		if had, ok := before[name]; !ok || had.Revision != o.Revision {
			out = append(out, o)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			out = append(out, Object[T]{Name: name, Revision: at, Deleted: true})
		}
	}
	return out
}

func (f *Follower[T]) applyChange(c Object[T]) {
	if c.Revision > f.revision {
		f.revision = c.Revision
	}
	if have, ok := f.objects[c.Name]; ok && have.Revision > c.Revision {
		return
	}
	if c.Deleted {
		delete(f.objects, c.Name)
		return
	}
	f.objects[c.Name] = c
}

func (f *Follower[T]) recordSuccess(proved time.Time) {
	f.failures = 0
	if !f.failingSince.IsZero() {
		f.opts.OnRegained(f.opts.Clock.Now().Sub(f.failingSince))
		f.failingSince = time.Time{}
	}
	f.history.confirm(proved)
	f.opts.OnConfirmed(proved)
}

func (f *Follower[T]) recordFailure(err error) {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = f.opts.Clock.Now()
		f.opts.OnLost(err)
	}
}

// pause keeps failed steps apart. A step that waited for its failure has been kept
// apart by that: whoever it waited for tells as soon as there is news.
func (f *Follower[T]) backOff(ctx context.Context, began time.Time) {
	d := time.Duration((0.5 + f.opts.Rand.Float64()/2) * float64(min(minBackoff<<min(f.failures, 5), maxBackoff)))
	if left := d - f.opts.Clock.Now().Sub(began); left > 0 {
		f.sleep(ctx, left)
	}
}

func (f *Follower[T]) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(d):
	}
}
