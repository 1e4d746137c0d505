package serverspeed

import (
	"math"
	"time"
)

var (
	logSuspectAbove = math.Log(suspectAbove)
	logSuspectBelow = math.Log(suspectBelow)
)

// Units of the figures of a finding.
const (
	logUnit    = 0.01
	weightUnit = 0.1
)

// finding returns the evidence as a message. It has decayed until now.
func (e *evidence) finding(now time.Time) Finding {
	return Finding{
		Time: e.time.mean(logUnit), TimeWeight: e.time.tenths(), Room: e.room.mean(logUnit), RoomWeight: e.room.tenths(),
		AgeMS: uint16(min(max(now.Sub(e.newest).Milliseconds(), 0), math.MaxUint16)),
	}
}

// mean returns the mean in a unit; 0 without measurements.
func (a average) mean(unit float64) int16 {
	if a.weight < weightUnit/2 {
		return 0
	}
	return int16(math.Round(min(max(a.sum/a.weight, -maxLogRelative), maxLogRelative) / unit))
}

// tenths returns the weight in weightUnit.
func (a average) tenths() uint8 { return uint8(math.Round(min(a.weight, maxWeight) / weightUnit)) }

// evidence returns a finding as evidence of now. What no host sends is bounded.
func (f Finding) evidence(now time.Time) evidence {
	age := time.Duration(f.AgeMS) * time.Millisecond
	return evidence{
		time: decoded(f.Time, f.TimeWeight), room: decoded(min(f.Room, 0), f.RoomWeight), decayedAt: now, newest: now.Add(-age),
	}
}

// maxHeardWeight bounds the weight of one other host, whose way to a server may be what is slow. Its word on
// a server that takes five times as long is enough for a host that has measured nothing there.
const maxHeardWeight = 1.6

// decoded returns an average of a message.
func decoded(log int16, tenths uint8) average {
	weight := min(float64(tenths)*weightUnit, maxHeardWeight)
	return average{bounded(float64(log)*logUnit) * weight, weight}
}

// older returns the finding as of a later time. Its weights decay as those of evidence do.
func (f Finding) older(elapsed time.Duration) Finding {
	left := math.Exp2(-max(elapsed, 0).Seconds() / evidenceHalfLife.Seconds())
	f.TimeWeight, f.RoomWeight = uint8(math.Round(left*float64(f.TimeWeight))), uint8(math.Round(left*float64(f.RoomWeight)))
	f.AgeMS = uint16(min(time.Duration(f.AgeMS)+max(elapsed, 0)/time.Millisecond, math.MaxUint16))
	return f
}
