package serverspeed

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time in which a measurement loses half of its weight. It bounds how
	// long a server that gets no requests is still taken for slow.
	evidenceHalfLife = 2 * time.Second
	// maxWeight bounds the weight of the measurements of one host, so that its last ones count most.
	maxWeight = 8
	// priorWeight is the weight of the guess that a server works as usual. Two measurements of a
	// server that takes five times as long outweigh it, a single one does not.
	priorWeight = 2.6
	// changeThreshold is the logarithm of the factor from which a measurement is far from the mean.
	changeThreshold = 0.92
)

// average is a weighted mean of logarithms whose measurements lose weight with time. The zero value
// has none.
type average struct{ sum, weight float64 }

// add adds a measurement.
func (a *average) add(x, weight float64) {
	if keep := maxWeight - weight; a.weight > keep {
		a.scale(keep / a.weight)
	}
	a.sum += weight * x
	a.weight += weight
}

// addAfterChange is add, but a measurement that is far from the mean takes half of their weight from
// the earlier ones: the server may have changed.
func (a *average) addAfterChange(x, weight float64) {
	if a.weight > 0 && math.Abs(x-a.sum/a.weight) > changeThreshold {
		a.scale(1 - min(weight, 1)/2)
	}
	a.add(x, weight)
}

// scale multiplies the weight of the measurements.
func (a *average) scale(factor float64) {
	a.sum *= factor
	a.weight *= factor
}

// plus returns the average of the measurements of both.
func (a average) plus(b average) average { return average{a.sum + b.sum, a.weight + b.weight} }

// estimate returns the mean together with the guess that it is 0.
func (a average) estimate() float64 { return a.sum / (a.weight + priorWeight) }

// evidence is what one host has measured at a server.
type evidence struct {
	time      average   // logarithm of the relative service time with few requests at the server
	room      average   // logarithm of the share of its slots up to which more requests do not take longer
	decayedAt time.Time // until when the weights have decayed
	newest    time.Time // time of the last measurement; zero: none
}

// decay takes weight from the measurements for the time until now.
func (e *evidence) decay(now time.Time) {
	if elapsed := now.Sub(e.decayedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
		e.time.scale(factor)
		e.room.scale(factor)
		e.decayedAt = now
	}
}

// plus returns the evidence of both. It has the decay time of e.
func (e evidence) plus(o evidence) evidence {
	e.time, e.room = e.time.plus(o.time), e.room.plus(o.room)
	if o.newest.After(e.newest) {
		e.newest = o.newest
	}
	return e
}

const (
	// maxLogRelative bounds one measurement, a factor of eight: a lost packet takes longer.
	maxLogRelative = 2.08
	// minStretch is the factor by which requests have to take longer than with few requests at the
	// server to count as a sign of too many.
	minStretch = 1.5
)

// observe adds the time of a response. relative is its ratio to the usual time, load the number of
// requests at the server with it, of slots. What the room that is known explains is not held against
// the speed.
func (e *evidence) observe(relative float64, load, slots int, weight float64) {
	load, slots = max(load, 1), max(slots, 1)
	share := float64(load) / float64(slots)
	few := math.Exp(e.time.estimate())
	queued := max(share, 1) // requests beyond the slots wait, at any speed
	crowded := math.Exp(e.stretch(load, slots))
	e.time.addAfterChange(bounded(math.Log(relative/crowded)), weight/math.Sqrt(float64(min(load, slots))))
	crowd := weight * (1 - 1/float64(load))
	if room := min(few*share/relative, 1); relative > minStretch*few*queued || share > math.Exp(e.room.estimate()) {
		e.room.add(max(math.Log(room), -math.Log(float64(slots)), -maxLogRelative), crowd)
	}
}

// stretch returns the logarithm of the factor by which the number of requests makes all of them take
// longer.
func (e *evidence) stretch(load, slots int) float64 {
	share := float64(max(load, 1)) / float64(max(slots, 1))
	return max(math.Log(share)-e.room.estimate(), 0)
}

// bounded limits the logarithm of a relative time.
func bounded(log float64) float64 { return min(max(log, -maxLogRelative), maxLogRelative) }
