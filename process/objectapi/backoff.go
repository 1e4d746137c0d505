package objectapi

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
)

// Bounds of the pause after a rate-limited call, before jitter.
const (
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
)

// rateBackoff pauses the calls of a client after the platform rate-limited one.
// Without it every component of every host would continue at its own retry rate,
// and those calls alone would keep the budget spent. The jitter spreads the calls
// of the hosts.
type rateBackoff struct {
	clock clock.Clock
	rand  clock.Rand // for the jitter

	mu          sync.Mutex // guards the fields below
	pausedUntil time.Time
	pause       time.Duration // last pause before jitter; 0 after a success
}

// allowed reports whether calls may be sent now.
func (b *rateBackoff) allowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.clock.Now().Before(b.pausedUntil)
}

// recordResult starts a pause if the call was rate-limited: twice as long as the
// last one, between minPause and maxPause, of which jitter takes off up to half. A
// success resets the length but does not end a pause; other errors change nothing.
func (b *rateBackoff) recordResult(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !errors.Is(err, ErrRateLimited) {
		if err == nil {
			b.pause = 0
		}
		return
	}
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.pausedUntil = b.clock.Now().Add(time.Duration((0.5 + 0.5*b.rand.Float64()) * float64(b.pause)))
}

// counters count the calls of a Client; see Counts.
type counters struct {
	reads, writes, watches, retriedReads, notSent, rateLimited, unavailable, unknownOutcome atomic.Int64
}

// recordError counts the outcome err of a call.
func (c *counters) recordError(err error) {
	switch {
	case errors.Is(err, ErrRateLimited):
		c.rateLimited.Add(1)
	case errors.Is(err, ErrUnknownOutcome):
		c.unknownOutcome.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.unavailable.Add(1)
	}
}

// Counts are numbers of calls of a Client since it was created. A call may be
// counted in several fields.
type Counts struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	Watches        int64 `json:"watches"`
	Retried        int64 `json:"retried"`     // reads retried on a new connection
	NotSent        int64 `json:"held"`        // calls not sent because of a preceding rate limit
	RateLimited    int64 `json:"limited"`     // calls that the platform rate-limited
	Unavailable    int64 `json:"unavailable"` // calls refused or without a response
	UnknownOutcome int64 `json:"unknown"`     // writes with an unknown outcome
}

// Counts returns the numbers of calls since the client was created.
func (c *Client) Counts() Counts {
	n := &c.counters
	return Counts{
		Reads: n.reads.Load(), Writes: n.writes.Load(), Watches: n.watches.Load(), Retried: n.retriedReads.Load(),
		NotSent: n.notSent.Load(), RateLimited: n.rateLimited.Load(), Unavailable: n.unavailable.Load(), UnknownOutcome: n.unknownOutcome.Load(),
	}
}
