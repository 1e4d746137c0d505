// Package spill decides which requests leave a region whose stage work waits for another region
// whose stage work waits less. The owner of a region's stage work tells the hosts, with each
// response, how long a request of the same priority that comes now will wait (Waits). Each host
// keeps what it was told (Reports) and adds a cost to the servers of a region (Cost), so that a
// part of the requests that grows with the difference of the waits goes elsewhere.
package spill

import (
	"math"
	"sync"
	"time"
)

// priorities is the number of priorities that are told apart; a less urgent one counts as the last.
const priorities = 10

// slot returns the index of a priority.
func slot(priority int) int { return min(max(priority, 0), priorities-1) }

// newestWeight is the weight of the newest request in a mean: it covers the last ten or twenty
// requests of its priority, a fraction of a second under load.
const newestWeight = 0.08

// halfLife is the half-life of waits that were told, and of those that an owner expects while no
// requests arrive. They decay so that a region that gets no requests because of its waits gets
// requests again.
const halfLife = time.Second

// decayed returns a wait that was recorded some time ago.
func decayed(wait, age time.Duration) time.Duration {
	return time.Duration(float64(wait) * math.Exp2(-max(age, 0).Seconds()/halfLife.Seconds()))
}

// Waits holds the waits that the owner of a region's stage work expects for requests that arrive, by
// priority. It counts a request when it arrives: the waits of requests that have ended tell of the
// line as it was before they waited. The zero value expects none. It is safe for concurrent use.
type Waits struct {
	mu    sync.Mutex // guards means
	means [priorities]mean
}

// mean is the expected wait at the arrival of the newest request.
type mean struct {
	wait time.Duration
	at   time.Time
}

// Record adds the wait that a request is expected to have, when it arrives.
func (w *Waits) Record(priority int, wait time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &w.means[slot(priority)]
	old := decayed(m.wait, now.Sub(m.at))
	*m = mean{old + time.Duration(newestWeight*float64(wait-old)), now}
}

// Expected returns the wait of a request that arrives now.
func (w *Waits) Expected(priority int, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.means[slot(priority)]
	return decayed(m.wait, now.Sub(m.at))
}

const (
	// maxWait caps the wait that counts: beyond it all requests that can leave do.
	maxWait = 1600 * time.Millisecond
	// costDivisor converts a wait to a cost. It keeps a part of the requests in place although the
	// wait exceeds the latency of the other region: if all left at once, the line would only move.
	costDivisor = 2
)

// Cost returns the cost of a region in which a request is expected to wait. u is uniformly
// distributed in [0,1), the same for all regions that one request compares.
func Cost(wait time.Duration, u float64) time.Duration {
	return time.Duration(2 * u * float64(min(wait, maxWait)) / costDivisor)
}
