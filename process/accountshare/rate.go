package accountshare

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which rates are averaged: an amount counts for a third of itself
	// after it.
	rateWindow = time.Second
	// refusalWindow is the same for refusals, which have to be of this moment.
	refusalWindow = 300 * time.Millisecond
)

// rate is an amount per second, averaged over about a window, which is the same in all calls. The
// zero value is 0.
type rate struct {
	sum float64 // at the time at, with what is older decayed
	at  time.Time
}

// add counts an amount at now.
func (r *rate) add(amount float64, window time.Duration, now time.Time) {
	r.sum = r.decayed(window, now) + amount
	if now.After(r.at) {
		r.at = now
	}
}

// perSecond returns the rate at now.
func (r *rate) perSecond(window time.Duration, now time.Time) float64 {
	return r.decayed(window, now) / window.Seconds()
}

// decayed returns sum at now. A clock that was set back leaves it as it is.
func (r *rate) decayed(window time.Duration, now time.Time) float64 {
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/window.Seconds())
}
