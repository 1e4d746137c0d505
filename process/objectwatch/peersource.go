package objectwatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// PeerSource is a Source that sends its requests to a reader first: another host that
// follows the object API. With it the number of requests to the API does not grow with the
// fleet. The age of the reader's copy is added to its responses. If no reader responds
// with a copy that is recent enough, the request goes to the object API.
//
// It serves one Follower, and is not safe for concurrent use.
type PeerSource[T any] struct {
	// Kind names the objects in the method between hosts, as in Follower.Serve. Direct reads
	// them from the object API.
	Kind   string
	Link   peer.Link
	Direct Source[T]
	Clock  clock.Clock
	// MaxAge is the maximum age of a reader's copy. What a watch confirms is as old as the
	// watch when its response arrives, and twice as old before the next response arrives.
	MaxAge time.Duration
	// APIUnresponsive reports whether the object API is known not to respond to this host.
	APIUnresponsive func() bool
	// Readers returns the hosts to send requests to, in order of preference, without this
	// host. If there is none, this host reads from the object API itself.
	Readers func() []string

	skipped           map[string]skippedHost // readers that have failed, by host name
	waitingSince      map[string]time.Time   // by host name of a reader without a usable copy: its first failed request
	directPausedUntil time.Time              // no request to the object API before; zero: not paused
	// usingDirect is set by a request that the object API served, until a reader serves one or
	// the object API fails.
	usingDirect bool
}

// skippedHost is a reader that gets no requests for a while after a failure.
type skippedHost struct {
	until        time.Time // end of the exclusion
	unresponsive int       // 1: it did not respond, 0: it had no usable copy
}

const (
	// maxUnresponsive is the number of unresponsive readers after which no further one is
	// tried: this host is most likely isolated, and each further reader would take a
	// second until its timeout.
	maxUnresponsive = 2
	// skipTime is how long a reader is skipped after a failure.
	skipTime = 2 * time.Second
	// peerResponseTimeout is the time for a reader's response beyond the requested wait:
	// ten times the round trip between regions. The rest of the request's time is left for
	// the object API.
	peerResponseTimeout = 400 * time.Millisecond
	// substituteWait is the waiting time, for each host that precedes this one in the
	// order of readers, before this host turns to the object API in place of a stale
	// reader. A substitute detects the failure at the same time as this host, and has a
	// recent copy one request later.
	substituteWait = 300 * time.Millisecond
	// directRetryDelay is the pause between requests to the object API while both the
	// readers and the API fail. A whole fleet that sends requests to an API that is down,
	// or has just recovered, would exhaust its rate limit. The reader goes on trying and
	// responds once it succeeds.
	directRetryDelay = 2 * time.Second
	// firstListWait is how long a reader that has not listed yet is waited for. It has
	// just started, possibly with the whole fleet. If all hosts turned to the object API
	// then, hundreds would list thousands of servers beyond its rate limit, and none would
	// finish soon.
	firstListWait = 1500 * time.Millisecond
)

var (
	// errPeer wraps the errors of a request to a reader, among them the next two.
	errPeer      = errors.New("objectwatch: no usable response from reader")
	errNotListed = errors.New("it has not listed the objects yet")
	errStale     = errors.New("its copy is too old")
	// errNoReader makes request turn to the object API, errNoSource reports that this is known
	// to be unresponsive.
	errNoReader = errors.New("no reader has a usable copy")
	errNoSource = errors.New("objectwatch: no reader has a usable copy and the object API does not respond")
)

// List implements Source.
func (s *PeerSource[T]) List(ctx context.Context, after string) (Response[T], error) {
	if after != "" {
		return s.Direct.List(ctx, after) // only the object API divides lists into pages
	}
	req := peerRequest{List: true, WaitMS: firstListWait.Milliseconds(), AcceptsCompressed: true}
	return s.request(ctx, req, func(ctx context.Context, _ time.Duration, _ bool) (Response[T], error) {
		return s.Direct.List(ctx, after)
	})
}

// Watch implements Source.
func (s *PeerSource[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Response[T], error) {
	req := peerRequest{From: from, WaitMS: wait.Milliseconds(), MaxAgeUS: s.MaxAge.Microseconds(), AcceptsCompressed: true}
	return s.request(ctx, req, func(ctx context.Context, elapsed time.Duration, immediate bool) (Response[T], error) {
		remaining := max(wait-elapsed, 0)
		if immediate {
			remaining = 0
		}
		return s.Direct.Watch(ctx, from, remaining)
	})
}

// directRequest sends a request to the object API. elapsed is the time already spent on
// readers; with immediate set, the response must not wait for changes.
type directRequest[T any] func(ctx context.Context, elapsed time.Duration, immediate bool) (Response[T], error)

// request sends a request to the readers, or to the object API if none of them has a
// usable copy.
func (s *PeerSource[T]) request(ctx context.Context, req peerRequest, direct directRequest[T]) (Response[T], error) {
	readers := s.Readers()
	if len(readers) == 0 {
		return direct(ctx, 0, false)
	}
	started := s.Clock.Now()
	// While no other source may be used, the reader responds as soon as its copy is recent
	// again.
	req.WaitUntilFresh = started.Before(s.directPausedUntil)
	resp, err := s.queryReaders(ctx, readers, req, started)
	switch {
	case err == nil || errors.Is(err, ErrHistoryGone):
		// A reader has a recent copy again: the next request waits for changes as usual.
		clear(s.waitingSince)
		s.directPausedUntil, s.usingDirect = time.Time{}, false
		return resp, err
	case errors.Is(err, errNoReader):
		return s.queryDirect(ctx, s.Clock.Now().Sub(started), direct)
	}
	return resp, err
}

// queryReaders sends the request, which was started at started, to each reader in turn until
// one has a usable copy or reports ErrHistoryGone. If none has, it returns errNoReader, or the
// error of a reader that is still waited for. While requests to the object API are paused, it
// returns the error of the first reader that it tries.
func (s *PeerSource[T]) queryReaders(ctx context.Context, readers []string, req peerRequest, started time.Time) (resp Response[T], err error) {
	pending := errNoReader
	unresponsive := 0 // readers that did not respond at all
	for i, host := range readers {
		if skipped := s.skipped[host]; started.Before(skipped.until) {
			unresponsive += skipped.unresponsive
			continue
		}
		if unresponsive >= maxUnresponsive {
			break
		}
		resp, err := s.queryReader(ctx, host, req)
		if err == nil || errors.Is(err, ErrHistoryGone) || ctx.Err() != nil || s.Clock.Now().Before(s.directPausedUntil) {
			return resp, err
		}
		if s.keepWaiting(host, maxWait(err, i, len(readers)), started) {
			pending = err
		} else {
			unresponsive += s.skip(host, err)
		}
		if errors.Is(err, errNotListed) {
			break // later readers started no earlier; waiting for each would take too long
		}
	}
	return resp, pending
}

// skip excludes a reader that failed with cause for skipTime. It returns 1 if the reader did
// not respond at all, 0 otherwise.
func (s *PeerSource[T]) skip(host string, cause error) (unresponsive int) {
	if !errors.Is(cause, errStale) && !errors.Is(cause, errNotListed) {
		unresponsive = 1
	}
	delete(s.waitingSince, host)
	setEntry(&s.skipped, host, skippedHost{s.Clock.Now().Add(skipTime), unresponsive})
	return unresponsive
}

// maxWait returns how long to wait, from its first failure, for the reader at index i of
// readers in all. The readers of a host precede it in a common order, so the wait for stale
// readers grows with the host's position: each host before it has time to read from the object
// API on behalf of the others. A stale first reader is not waited for.
func maxWait(cause error, i, readers int) time.Duration {
	switch {
	case errors.Is(cause, errNotListed):
		return firstListWait
	case errors.Is(cause, errStale) && i > 0:
		return time.Duration(readers-1) * substituteWait
	}
	return 0
}

// keepWaiting reports whether a reader that failed a request sent at started is still
// waited for, which is the case until limit has passed since its first failure.
func (s *PeerSource[T]) keepWaiting(host string, limit time.Duration, started time.Time) bool {
	if limit == 0 {
		return false
	}
	since, known := s.waitingSince[host]
	if !known {
		since = started
		setEntry(&s.waitingSince, host, started)
	}
	return s.Clock.Now().Sub(since) < limit
}

// setEntry sets a map entry and creates the map if necessary.
func setEntry[T any](m *map[string]T, host string, value T) {
	if *m == nil {
		*m = map[string]T{}
	}
	(*m)[host] = value
}

// queryDirect sends the request to the object API. If that fails or the API is known to be
// unresponsive, no reader is skipped any more, and the next requests go to the readers only
// until one has a usable copy or directRetryDelay has passed. elapsed is the time already spent
// on readers.
func (s *PeerSource[T]) queryDirect(ctx context.Context, elapsed time.Duration, direct directRequest[T]) (resp Response[T], err error) {
	if s.APIUnresponsive() {
		// A request that waited for the API's recovery here would stop this host from
		// trying the readers, and have the whole fleet send requests at once when the API
		// recovers.
		err = errNoSource
	} else {
		// At the first request after the readers failed, this host's copy is as old as theirs,
		// and other hosts may wait for this one: it needs a confirmation at once, not the next
		// change.
		resp, err = direct(ctx, elapsed, !s.usingDirect)
	}
	s.usingDirect = err == nil
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		clear(s.skipped)
		s.directPausedUntil = s.Clock.Now().Add(directRetryDelay)
	}
	return resp, err
}

// queryReader sends the request to one reader and checks the age of its copy. It returns
// ErrHistoryGone if the reader no longer keeps the changes; any other error wraps errPeer.
func (s *PeerSource[T]) queryReader(ctx context.Context, reader string, req peerRequest) (resp Response[T], err error) {
	if !req.List {
		watchCtx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+peerResponseTimeout)
		defer cancel()
		ctx = watchCtx
	}
	var reply peerResponse[T]
	err = s.Link.Call(ctx, reader, peerMethod(s.Kind), req, &reply)
	if err == nil && reply.HistoryGone {
		return resp, ErrHistoryGone
	}
	if err == nil && len(reply.Compressed) > 0 {
		reply.Objects, err = decompress[T](reply.Compressed)
	}
	age := time.Duration(reply.AgeUS) * time.Microsecond
	switch {
	case err != nil:
	case !reply.Listed:
		err = errNotListed
	case age > s.MaxAge:
		err = fmt.Errorf("%w: %s", errStale, age)
	default:
		// The age counts from the arrival of the request, not from the response: the time
		// that the request waited there does not make the copy older.
		ageAtRequest := time.Duration(reply.AgeAtRequestUS) * time.Microsecond
		return Response[T]{Objects: decode(reply.Objects), AsOf: reply.AsOf, Age: ageAtRequest}, nil
	}
	return resp, fmt.Errorf("%w: %s: %w", errPeer, reader, err)
}
