package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Relay is a Source that asks another host first, so that the calls to the
// object API do not grow with the fleet. That host's answer counts as old as
// its own knowledge; when it cannot answer or has not made sure of late, the
// object API is asked itself.
type PeerSource[T any] struct {
	Kind   string
	Link   peer.Link
	Direct Source[T]
	Clock  clock.Clock
	// MaxAge of the other host's knowledge. What a watch proves is as old as the
	// watch when that is answered, and twice as old before the next one is.
	MaxAge time.Duration
	// Silent reports whether the object API is known not to answer this host.
	APIUnresponsive func() bool
	// Readers returns the hosts to ask, the best one first; this host is not
	// among them. None: this host is the one that asks the object API.
	Readers func() []string

	skipped           map[string]skippedHost // hosts that could not tell
	waitingSince      map[string]time.Time   // hosts that know nothing yet, and since when they are waited for
	directPausedUntil time.Time              // the object API is not asked before
	// standsIn is set while the object API answers this host in place of the readers.
	usingDirect bool
}

// passedOver is a host that is not asked for a while.
type skippedHost struct {
	until        time.Time
	unresponsive int // 1: it did not answer
}

const (
	// maxUnheard: where so many hosts do not answer, the next ones are not tried: this
	// host is cut off, most likely, and each would take a second to find that out.
	maxUnresponsive = 2
	// relayPassOver is how long a host that could not answer is passed over.
	skipTime = 2 * time.Second
	// relayAnswerTime is the time for another host's answer beyond the wait that it
	// was asked for: the way there and back between regions, ten times over.
	// What is left of a question's time is for the object API.
	peerResponseTimeout = 400 * time.Millisecond
	// substituteWait is how long each further host in order is waited for that may take
	// the place of one without the object API: it finds that out at the same time as
	// this one, and one question later it knows.
	substituteWait = 300 * time.Millisecond
	// directPause is kept between direct questions while both the other host and
	// the object API fail: a whole fleet that asks a store which is down, or back
	// just now, costs it its rate. The other host goes on asking and tells.
	directRetryDelay = 2 * time.Second
	// unreadyWait is how long a host that knows nothing yet is waited for: it has
	// just started, as a whole fleet may have. If all turned to the store then,
	// hundreds would list thousands of servers beyond its rate, and none would
	// end soon.
	firstListWait = 1500 * time.Millisecond
)

var (
	errPeer      = errors.New("follow: the other host cannot tell")
	errNotListed = errors.New("it knows nothing yet")
	errStale     = errors.New("its knowledge is too old")
	errNoReader  = errors.New("no other host can tell")
	errNoSource  = errors.New("follow: neither the other hosts nor the object API can tell")
)

// List implements Source.
func (r *PeerSource[T]) List(ctx context.Context, after string) (Response[T], error) {
	if after != "" {
		return r.Direct.List(ctx, after) // only the object API gives a part of a list
	}
	q := peerRequest{List: true, WaitMS: firstListWait.Milliseconds(), AcceptsCompressed: true}
	return r.request(ctx, q, func(ctx context.Context, _ time.Duration, _ bool) (Response[T], error) {
		return r.Direct.List(ctx, after)
	})
}

// Watch implements Source.
func (r *PeerSource[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	q := peerRequest{From: from, WaitMS: wait.Milliseconds(), MaxAgeUS: r.MaxAge.Microseconds()}
	return r.request(ctx, q, func(ctx context.Context, spent time.Duration, atOnce bool) (Response[T], error) {
		left := max(wait-spent, 0)
		if atOnce {
			left = 0
		}
		return r.Direct.Watch(ctx, from, left)
	})
}

// direct asks the object API itself. spent is the time that went to others; with atOnce
// the answer has to come without a wait for changes.
type directRequest[T any] func(ctx context.Context, spent time.Duration, atOnce bool) (Response[T], error)

// ask asks the readers, or the object API while none of them can answer.
func (r *PeerSource[T]) request(ctx context.Context, q peerRequest, direct directRequest[T]) (Response[T], error) {
	readers := r.Readers()
	if len(readers) == 0 {
		return direct(ctx, 0, false)
	}
	asked := r.Clock.Now()
	// While nobody else can be asked, the reader tells when it knows again.
	q.WaitUntilFresh = asked.Before(r.directPausedUntil)
	a, err := r.queryReaders(ctx, readers, q, asked)
	switch {
	case err == nil || errors.Is(err, ErrHistoryGone):
		// They know again: the next question waits for changes as usual.
		clear(r.waitingSince)
		r.directPausedUntil, r.usingDirect = time.Time{}, false
		return a, err
	case errors.Is(err, errNoReader):
		return r.queryDirect(ctx, r.Clock.Now().Sub(asked), direct)
	}
	return a, err
}

// askReaders asks the readers in turn; errNobody: none of them can tell, and none is
// waited for.
func (r *PeerSource[T]) queryReaders(ctx context.Context, readers []string, q peerRequest, asked time.Time) (a Response[T], err error) {
	waiting := errNoReader
	unheard := 0 // hosts that did not answer at all
	for i, host := range readers {
		if over := r.skipped[host]; asked.Before(over.until) {
			unheard += over.unresponsive
			continue
		}
		if unheard >= maxUnresponsive {
			break
		}
		a, err := r.queryReader(ctx, host, q)
		if err == nil || errors.Is(err, ErrHistoryGone) || ctx.Err() != nil || r.Clock.Now().Before(r.directPausedUntil) {
			return a, err
		}
		if r.keepWaiting(host, maxWait(err, i, len(readers)), asked) {
			waiting = err
		} else {
			unheard += r.skip(host, err)
		}
		if errors.Is(err, errNotListed) {
			break // the next ones have begun no sooner; a wait for each would be too long
		}
	}
	return a, waiting
}

// passOver has a host that could not answer passed over for a while. It returns 1 if the
// host did not answer at all.
func (r *PeerSource[T]) skip(host string, cause error) (unheard int) {
	if !errors.Is(cause, errStale) && !errors.Is(cause, errNotListed) {
		unheard = 1
	}
	delete(r.waitingSince, host)
	setEntry(&r.skipped, host, skippedHost{r.Clock.Now().Add(skipTime), unheard})
	return unheard
}

// patience is how long the i-th of some readers is waited for that could not answer.
// The further a host is behind in their order, the longer it waits: each of those
// before it gets its moment to ask the object API for all.
func maxWait(cause error, i, readers int) time.Duration {
	switch {
	case errors.Is(cause, errNotListed):
		return firstListWait
	case errors.Is(cause, errStale) && i > 0:
		return time.Duration(readers-1) * substituteWait
	}
	return 0
}

// waitFor tells whether a host that could not answer a question of some time is still
// waited for.
func (r *PeerSource[T]) keepWaiting(host string, patience time.Duration, asked time.Time) bool {
	if patience == 0 {
		return false
	}
	since, waiting := r.waitingSince[host]
	if !waiting {
		since = asked
		setEntry(&r.waitingSince, host, asked)
	}
	return r.Clock.Now().Sub(since) < patience
}

func setEntry[T any](m *map[string]T, host string, what T) {
	if *m == nil {
		*m = map[string]T{}
	}
	(*m)[host] = what
}

// askDirect asks the object API; if that fails, the other hosts come first again.
func (r *PeerSource[T]) queryDirect(ctx context.Context, spent time.Duration, direct directRequest[T]) (a Response[T], err error) {
	if r.APIUnresponsive() {
		// Waiting for its return here would leave the readers unheard, and have
		// the whole fleet ask it at once.
		err = errNoSource
	} else {
		// The first time, what is known here is as old as what the readers know, and others
		// may wait for this host: it needs a proof, not the next change.
		a, err = direct(ctx, spent, !r.usingDirect)
	}
	r.usingDirect = err == nil
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		clear(r.skipped)
		r.directPausedUntil = r.Clock.Now().Add(directRetryDelay)
	}
	return a, err
}

func (r *PeerSource[T]) queryReader(ctx context.Context, reader string, q peerRequest) (a Response[T], err error) {
	if !q.List {
		limited, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+peerResponseTimeout)
		defer cancel()
		ctx = limited
	}
	var got peerResponse[T]
	err = r.Link.Call(ctx, reader, peerMethod(r.Kind), q, &got)
	if err == nil && got.HistoryGone {
		return a, ErrHistoryGone
	}
	if err == nil && len(got.Compressed) > 0 {
		got.Objects, err = decompress[T](got.Compressed)
	}
	age := time.Duration(got.AgeUS) * time.Microsecond
	switch {
	case err != nil:
	case !got.Listed:
		err = errNotListed
	case age > r.MaxAge:
		err = fmt.Errorf("%w: %s", errStale, age)
	default:
		// From the question's arrival there, not from the answer: the wait in between is
		// no part of how old the knowledge is.
		before := time.Duration(got.AgeAtRequestUS) * time.Microsecond
		return Response[T]{Objects: decode(got.Objects), AsOf: got.AsOf, Age: before}, nil
	}
	return a, fmt.Errorf("%w: %s: %w", errPeer, reader, err)
}
