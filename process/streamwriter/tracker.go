package streamwriter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Options configures a Tracker. All fields are required.
type Options struct {
	Link  peer.Link
	Clock clock.Clock // has to count suspensions, during which records and facts age
	// TimeOfDay is the clock by which hosts agree when what is archived expires.
	TimeOfDay clock.Clock
	Archive   Archive
	// OnArchive is called when the archive takes no records, with the error, and with nil when it
	// takes them again. OnArchiveRead is called after each read.
	OnArchive     func(err error)
	OnArchiveRead func(batches int, err error)
	// Fresh reports whether what this host knows of servers, routes and registrations was
	// confirmed a moment ago.
	Fresh func() bool
	// OnChange is called when the possible writers of a route have changed, with no lock held.
	OnChange func(route string, possible []Writer)
}

// Tracker remembers the writers of streams, and resolves those of streams that clients take up.
// It is safe for concurrent use.
type Tracker struct {
	opts     Options
	records  records
	archiver *archiver
	archived archived
	// byRoute holds the possible writers, and settlesAt when the listed ones settle. Both are replaced
	// whole.
	byRoute   atomic.Pointer[map[string][]Writer]
	settlesAt atomic.Pointer[map[Writer]time.Time]

	mu       sync.Mutex // guards possible and settling, and orders the replacements of byRoute and settlesAt
	possible *possibleWriters
	settling settling
}

// DefaultWindow is the time for which a fact about writers matters after it has ceased to hold: no
// client waits that long for one stream, over all its attempts.
const DefaultWindow = time.Minute

// New returns a Tracker without records and registers its handlers with the link.
func New(opts Options) *Tracker {
	t := &Tracker{opts: opts, possible: newPossibleWriters(DefaultWindow)}
	t.records.byAttempt = map[string]record{}
	t.archiver = newArchiver(&t.opts, t.window)
	t.archived.opts = &t.opts
	t.byRoute.Store(&map[string][]Writer{})
	t.settlesAt.Store(&map[Writer]time.Time{})
	opts.Link.Handle(methodTell, t.serveTell)
	opts.Link.Handle(methodAsk, t.serveAsk)
	opts.Link.Handle(methodArchive, t.serveArchive)
	return t
}

// Run writes records to the archive until ctx ends. It returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	t.archiver.run(ctx)
	return nil
}

// window returns the time for which a fact about writers matters after it has ceased to hold.
func (t *Tracker) window() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.possible.window
}

// Observe records the services to which the routes of streams lead now, and the versions that the
// listed servers of each service run. window replaces DefaultWindow if it is longer. It has to be
// called after each change, and from time to time without one.
func (t *Tracker) Observe(services, versions map[string][]string, window time.Duration) {
	t.update(func(now time.Time) {
		t.possible.window = max(window, DefaultWindow)
		t.possible.observe(now, services, versions)
		t.settling.observe(now, versions)
	})
	t.records.removeExpired(t.opts.Clock.Now())
}

// MayBegin reports whether streams that clients may take up again may begin at a writer. A version
// that has just been listed gets none: a host that has not seen it yet would take another version
// for the only possible one. Nor does one that Observe has not been told yet.
func (t *Tracker) MayBegin(w Writer) bool {
	at, listed := (*t.settlesAt.Load())[w]
	return listed && !t.opts.Clock.Now().Before(at)
}

// SetRegistered replaces the registrations that the platform lists.
func (t *Tracker) SetRegistered(list []Registration) {
	t.update(func(now time.Time) { t.possible.setRegistered(now, list) })
}

// update changes the facts and publishes the possible writers that follow. Routes that have come
// to have several get their records told.
func (t *Tracker) update(change func(now time.Time)) {
	t.mu.Lock()
	before := *t.byRoute.Load()
	change(t.opts.Clock.Now())
	after := t.possible.byRoute()
	t.byRoute.Store(&after)
	t.settling.judgeFirstList(t.possible)
	settlesAt := t.settling.settlesAt(t.possible)
	t.settlesAt.Store(&settlesAt)
	t.mu.Unlock()
	var ambiguous []string
	for route, list := range after {
		if slices.Equal(list, before[route]) {
			continue
		}
		t.opts.OnChange(route, list)
		if len(list) > 1 {
			ambiguous = append(ambiguous, route)
		}
	}
	if len(ambiguous) > 0 {
		t.remember(t.records.own(ambiguous, t.opts.Clock.Now()))
	}
}

// Unregistered returns the facts that the platform should keep and does not.
func (t *Tracker) Unregistered() []Registration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(t.possible.unregistered(), t.settling.unmarked(t.opts.Clock.Now(), t.possible)...)
}

// Outdated returns the registrations that the platform need not keep any more.
func (t *Tracker) Outdated() []Registration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.possible.outdated(t.opts.Clock.Now())
}

// Possible returns the writers that may have begun streams of a route which clients can still take
// up. The caller must not modify the slice.
func (t *Tracker) Possible(route string) []Writer { return (*t.byRoute.Load())[route] }

// Routes returns the possible writers of all routes. The caller must not modify the map.
func (t *Tracker) Routes() map[string][]Writer { return *t.byRoute.Load() }

// Records returns the number of streams whose writers this host remembers.
func (t *Tracker) Records() int { return t.records.len() }

// Begin records the writer of a stream that this host has begun, under the client's attempt, for
// as long as the client may take the stream up. It has to be called before the first event is sent
// to the client. While the route may have several writers, other hosts are told and the archive keeps
// it; Begin does not wait for them.
func (t *Tracker) Begin(attemptID, route string, w Writer, ttl time.Duration) {
	r := record{attemptID: attemptID, route: route, writer: w, expiresAt: t.opts.Clock.Now().Add(ttl), own: true}
	t.records.add(r)
	if !slices.Equal(t.Possible(route), []Writer{w}) {
		t.remember([]record{r})
	}
}

// remember lets records outlive this host, and all hosts.
func (t *Tracker) remember(list []record) {
	t.tell(list)
	t.archive(list)
}

// Query asks for the writer of a stream that a client takes up.
type Query struct {
	FirstAttemptID string // the client's attempt that brought the first event; empty: not known
	Route          string
}

// Source tells how the writer of a stream is known.
type Source string

// Values of Source, beside the name of the host that told it.
const (
	SourceRecord  Source = "own record"
	SourceOnlyOne Source = "only one possible"
	SourceArchive Source = "archive"
)

// ErrUnknown means that this host cannot tell which software began a stream. Use errors.Is.
var ErrUnknown = errors.New("streamwriter: the writer is not known")

// Resolve returns the writer of a stream, and how it is known. It asks other hosts, for askTimeout
// at most, and then the archive, for archiveReadTimeout at most. The error is an ErrUnknown.
func (t *Tracker) Resolve(ctx context.Context, q Query) (Writer, Source, error) {
	if r, ok := t.records.get(q.FirstAttemptID, t.opts.Clock.Now()); ok {
		return r.known(SourceRecord)
	}
	fresh := t.opts.Fresh()
	asked, answers := 0, []answer(nil)
	if q.FirstAttemptID != "" || !fresh {
		asked, answers = t.askOrFind(ctx, q)
	}
	for _, a := range answers {
		if a.Known {
			r := a.record(q, t.opts.Clock.Now())
			t.records.add(r)
			return r.known(Source(a.host))
		}
	}
	w, err := t.onlyPossible(q.Route, fresh, asked, answers)
	key := newStreamKey(q.Route, q.FirstAttemptID)
	if !t.archived.has(key) && (err == nil || q.FirstAttemptID == "") {
		return w, SourceOnlyOne, err
	}
	w, found := t.archived.find(ctx, key)
	if !found || w.IsZero() {
		return Writer{}, "", fmt.Errorf("%w; the archive does not tell", cmp.Or(err, ErrUnknown))
	}
	return w, SourceArchive, nil
}

// askOrFind is ask, which ends once the archive has the stream. The archive is read if the hosts take
// long: those that would know may have been killed.
func (t *Tracker) askOrFind(ctx context.Context, q Query) (asked int, answers []answer) {
	if q.FirstAttemptID == "" || len(t.Possible(q.Route)) == 1 {
		return t.ask(ctx, q)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reading := time.AfterFunc(archiveReadDelay, func() {
		if _, found := t.archived.find(ctx, newStreamKey(q.Route, q.FirstAttemptID)); found {
			cancel()
		}
	})
	defer reading.Stop()
	return t.ask(ctx, q)
}

// onlyPossible returns the writer of a stream of which nobody has a record, if only one is possible
// for its route. fresh tells whether this host's knowledge is, asked how many other hosts were asked.
func (t *Tracker) onlyPossible(route string, fresh bool, asked int, answers []answer) (Writer, error) {
	possible := t.Possible(route)
	if len(possible) != 1 {
		return Writer{}, fmt.Errorf("%w: it may be one of %v, and none of %d other hosts tells", ErrUnknown, possible, asked)
	}
	confirmed := fresh || asked == 0
	for _, a := range answers {
		if len(a.Possible) > 0 && !slices.Equal(a.Possible, possible) {
			return Writer{}, fmt.Errorf("%w: it may be one of %v by %s", ErrUnknown, a.Possible, a.host)
		}
		confirmed = confirmed || len(a.Possible) > 0 && a.Fresh
	}
	if !confirmed {
		return Writer{}, fmt.Errorf("%w: what this host knows is old, and none of %d other hosts confirms it", ErrUnknown, asked)
	}
	return possible[0], nil
}
