package accountshare

import (
	"math"
	"time"
)

// rateWindow is the time over which rates are averaged: an amount counts for a third of itself
// after it.
const rateWindow = time.Second

// rate is an amount per second, averaged over about rateWindow. The zero value is 0.
type rate struct {
	sum float64 // at the time at, with what is older decayed
	at  time.Time
}

// add counts an amount at now.
func (r *rate) add(amount float64, now time.Time) {
	r.sum = r.decayed(now) + amount
	if now.After(r.at) {
		r.at = now
	}
}

// perSecond returns the rate at now.
func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

// decayed returns sum at now. A clock that was set back leaves it as it is.
func (r *rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateWindow.Seconds())
}
