// Package estimate keeps running estimates that many goroutines read and write
// without a lock: plain atomics of fixed size. An update that loses a race is
// dropped; the estimates are statistics and the next sample makes up for it.
package estimate

import (
	"math"
	"sync/atomic"
	"time"
)

// Float is an atomic float64.
type AtomicFloat64 struct{ bits atomic.Uint64 }

// Load returns the value.
func (f *AtomicFloat64) Load() float64 { return math.Float64frombits(f.bits.Load()) }

// Store sets the value.
func (f *AtomicFloat64) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// Add adds v.
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

// Latency estimates the mean and the mean deviation of durations, as round-trip
// times are estimated: exponentially weighted, recent samples first.
type Latency struct {
	mean    AtomicFloat64 // seconds
	dev     AtomicFloat64 // seconds
	samples atomic.Int64
	last    atomic.Int64 // unix nanoseconds of the last sample
}

// Weights of a new sample once the first ones have been averaged.
const (
	meanWeight = 1. / 16
	devWeight  = 1. / 16
)

// Observe adds a sample.
func (l *Latency) Observe(now time.Time, d time.Duration) {
	n := l.samples.Add(1)
	l.last.Store(now.UnixNano())
	s := d.Seconds()
	if n == 1 {
		l.mean.Store(s)
		l.dev.Store(s / 2)
		return
	}
	mean := l.mean.Load()
	l.dev.Add(max(devWeight, 1/float64(n)) * (math.Abs(s-mean) - l.dev.Load()))
	l.mean.Add(max(meanWeight, 1/float64(n)) * (s - mean))
}

// Mean returns the mean in seconds; 0 before the first sample.
func (l *Latency) Mean() float64 { return l.mean.Load() }

// Deviation returns the mean deviation in seconds.
func (l *Latency) Deviation() float64 { return l.dev.Load() }

// Samples returns how many samples were seen.
func (l *Latency) Samples() int64 { return l.samples.Load() }

// Last returns the time of the last sample.
func (l *Latency) LastSampleTime() time.Time { return time.Unix(0, l.last.Load()) }
