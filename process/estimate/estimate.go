// Package estimate provides running estimates of fixed size that are read and written
// concurrently without locks. If two updates coincide, one may be computed from a value that the
// other one replaces; the following samples correct the error.
package estimate

import (
	"math"
	"sync/atomic"
	"time"
)

// AtomicFloat64 is a float64 with atomic operations. The zero value is 0.
type AtomicFloat64 struct{ bits atomic.Uint64 }

// Load returns the value.
func (f *AtomicFloat64) Load() float64 { return math.Float64frombits(f.bits.Load()) }

// Store sets the value.
func (f *AtomicFloat64) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// Add adds v to the value.
func (f *AtomicFloat64) Add(v float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+v)) {
			return
		}
	}
}

// Scale multiplies the value by k.
func (f *AtomicFloat64) Scale(k float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)*k)) {
			return
		}
	}
}

// Latency estimates the mean and mean deviation of durations by exponentially weighted
// moving averages, as TCP does for round-trip times. It is safe for concurrent use.
type Latency struct {
	mean       AtomicFloat64 // seconds
	deviation  AtomicFloat64 // seconds
	samples    atomic.Int64  // number of samples
	lastSample atomic.Int64  // Unix time in nanoseconds
}

// Weights of a new sample in the mean and in the deviation. The first 16 samples have the weight
// 1/n instead, so that the mean is their plain average.
const (
	meanWeight      = 1. / 16
	deviationWeight = 1. / 16
)

// Observe records a duration that was measured at the given time.
func (l *Latency) Observe(now time.Time, d time.Duration) {
	n := l.samples.Add(1)
	l.lastSample.Store(now.UnixNano())
	s := d.Seconds()
	if n == 1 {
		l.mean.Store(s)
		l.deviation.Store(s / 2)
		return
	}
	mean := l.mean.Load()
	l.deviation.Add(max(deviationWeight, 1/float64(n)) * (math.Abs(s-mean) - l.deviation.Load()))
	l.mean.Add(max(meanWeight, 1/float64(n)) * (s - mean))
}

// Mean returns the mean in seconds, or 0 before the first sample.
func (l *Latency) Mean() float64 { return l.mean.Load() }

// Deviation returns the mean deviation in seconds, or 0 before the first sample.
func (l *Latency) Deviation() float64 { return l.deviation.Load() }

// Samples returns the number of recorded samples.
func (l *Latency) Samples() int64 { return l.samples.Load() }

// LastSampleTime returns the time of the last sample, or the Unix epoch if there is none.
func (l *Latency) LastSampleTime() time.Time { return time.Unix(0, l.lastSample.Load()) }
