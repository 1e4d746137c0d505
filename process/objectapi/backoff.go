package objectapi

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
)

const (
	firstHold = 100 * time.Millisecond
	maxHold   = 2 * time.Second
)

// pace holds a client's calls back after the platform refused one for its rate.
// Without it every part of every host goes on calling at its own retry rate, and
// those calls are what keeps the budget spent. The jitter parts the hosts.
type pace struct {
	clock clock.Clock
	rand  clock.Rand

	mu    sync.Mutex
	until time.Time
	hold  time.Duration
}

func (p *pace) allowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.clock.Now().Before(p.until)
}

func (p *pace) answered(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !errors.Is(err, ErrRateLimited) {
		if err == nil {
			p.hold = 0
		}
		return
	}
	p.hold = min(max(2*p.hold, firstHold), maxHold)
	p.until = p.clock.Now().Add(time.Duration((0.5 + 0.5*p.rand.Float64()) * float64(p.hold)))
}

type counts struct {
	reads, writes, watches, retried, held, limited, unavailable, unknown atomic.Int64
}

func (c *counts) failed(err error) {
	switch {
	case errors.Is(err, ErrRateLimited):
		c.limited.Add(1)
	case errors.Is(err, ErrUnknownOutcome):
		c.unknown.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.unavailable.Add(1)
	}
}

// Counts are a client's calls since it was made.
type Counts struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	Watches        int64 `json:"watches"`
	Retried        int64 `json:"retried"`     // reads repeated on a new connection
	NotSent        int64 `json:"held"`        // calls not sent after a refusal for the rate
	RateLimited    int64 `json:"limited"`     // calls the platform refused for their rate
	Unavailable    int64 `json:"unavailable"` // calls refused or without an answer
	UnknownOutcome int64 `json:"unknown"`     // writes without an answer
}

// Counts returns the calls since the client was made.
func (c *Client) Counts() Counts {
	n := &c.counts
	return Counts{
		Reads: n.reads.Load(), Writes: n.writes.Load(), Watches: n.watches.Load(), Retried: n.retried.Load(),
		NotSent: n.held.Load(), RateLimited: n.limited.Load(), Unavailable: n.unavailable.Load(), UnknownOutcome: n.unknown.Load(),
	}
}
