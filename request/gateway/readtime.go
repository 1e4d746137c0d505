package gateway

import (
	"sync"
	"time"
)

// readTimes learns how long the engines of each service read a token of a prompt,
// from the time that streams take to their first event.
type readTimes struct {
	mu        sync.Mutex
	byService map[string]line
}

const (
	// readTimeStart is a token's time before anything was seen: engines read 30 to
	// 60 tokens a millisecond.
	readTimeStart = 20 * time.Microsecond
	// Bounds of what is believed: a slope through few points may be any.
	leastReadTime = 5 * time.Microsecond
	mostReadTime  = 200 * time.Microsecond
	// readTimeShare is the weight of the newest stream: the wait for other prompts
	// varies more than the reading, and some hundred streams even that out.
	readTimeShare = 0.01
	// spreadTokens is the spread of prompts that the start value counts for.
	spreadTokens = 1000
)

// token returns how long a token takes.
func (r *readTimes) token(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.byService[service]
	if !ok {
		return readTimeStart
	}
	return min(max(time.Duration(l.slope()*float64(time.Second)), leastReadTime), mostReadTime)
}

// note takes that a stream whose engine had to read so many tokens began after a
// time.
func (r *readTimes) note(service string, tokens int, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = map[string]line{}
	}
	l, ok := r.byService[service]
	if !ok {
		spread := float64(spreadTokens * spreadTokens)
		l = line{x: float64(tokens), y: first.Seconds(), xx: spread, xy: spread * readTimeStart.Seconds()}
	}
	l.note(float64(tokens), first.Seconds())
	r.byService[service] = l
}

// line is a line through points that are seen one after the other; the newest
// count most.
type line struct {
	x, y   float64 // means
	xx, xy float64 // variance of x, covariance of both
}

func (l *line) note(x, y float64) {
	dx, dy := x-l.x, y-l.y
	l.x += readTimeShare * dx
	l.y += readTimeShare * dy
	l.xx = (1 - readTimeShare) * (l.xx + readTimeShare*dx*dx)
	l.xy = (1 - readTimeShare) * (l.xy + readTimeShare*dx*dy)
}

func (l *line) slope() float64 { return l.xy / max(l.xx, 1) }
