package bodylimit

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// progressWatch interrupts the reading of a body that makes no progress.
type progressWatch struct {
	interval time.Duration // 0: nothing is watched
	cancel   func()

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	arrived int // bytes since the interval began
	stopped bool
	expired bool
}

// watchProgress begins a watch. cancel is called after an interval in which too little has arrived.
func watchProgress(interval time.Duration, cancel func()) *progressWatch {
	w := &progressWatch{interval: interval, cancel: cancel}
	if interval > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(interval, w.check)
	}
	return w
}

// check ends an interval.
func (w *progressWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.arrived < MinProgressBytes:
		w.expired = true
		w.cancel()
	default:
		w.arrived = 0
		w.timer.Reset(w.interval)
	}
}

// add records bytes that have arrived.
func (w *progressWatch) add(n int) {
	if w.interval == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrived = min(w.arrived+n, math.MaxInt32)
}

// explain returns the cause of an error of the read.
func (w *progressWatch) explain(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expired {
		return fmt.Errorf("under %d bytes of the answer came within %s: %w", MinProgressBytes, w.interval, err)
	}
	return err
}

// stop ends the watch.
func (w *progressWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
