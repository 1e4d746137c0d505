// Package logging provides structured logging to an output that may be slow. Lines are
// buffered in a bounded queue; lines that do not fit are counted and dropped, so that
// logging never blocks a request.
package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// queueLength is the capacity of the queue in lines, about two seconds of a busy host.
const queueLength = 1024

// AsyncWriter is an io.Writer that never blocks. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte  // queued lines
	dropped atomic.Int64 // see Dropped
}

// NewAsyncWriter returns a writer to out. It writes nothing until Run is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, queueLength)}
}

// Write implements io.Writer. It expects one line and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit into the queue plus the number of failed
// writes, each of which may have held several lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx is cancelled, then the queued ones. It returns nil.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-ctx.Done():
			w.drain()
			return nil
		}
	}
}

// drain writes the lines that are queued now.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with queued ones, to reduce the number of system calls.
func (w *AsyncWriter) writeBatch(line []byte) {
	for len(line) < maxWriteBytes {
		select {
		case more := <-w.lines:
			line = append(line, more...)
			continue
		default:
		}
		break
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // the error cannot be logged
	}
}

// maxWriteBytes is the size from which no further lines are appended to a write.
const maxWriteBytes = 16 << 10

// NewLogger returns a logger that writes JSON lines with the entry host's name to w.
func NewLogger(w io.Writer, host string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		Level: log.InfoLevel, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter,
	})
	return l.With("host", host)
}

// Limiter limits the log lines of one kind per second and counts the suppressed ones. Ordinary
// lines and failures have separate limiters, so that neither suppresses the other. It is safe for
// concurrent use; PerSecond must not change.
type Limiter struct {
	PerSecond     int64        // number of lines allowed per calendar second; 0: none
	currentSecond atomic.Int64 // Unix time in seconds to which countInSecond belongs
	countInSecond atomic.Int64 // calls of Allow in that second
	suppressed    atomic.Int64 // see Suppressed
}

// Allow reports whether a line may be logged at the given time.
func (l *Limiter) Allow(now time.Time) bool {
	s := now.Unix()
	if old := l.currentSecond.Load(); old != s && l.currentSecond.CompareAndSwap(old, s) {
		l.countInSecond.Store(0)
	}
	if l.countInSecond.Add(1) <= l.PerSecond {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// Suppressed returns the number of lines that were not allowed.
func (l *Limiter) Suppressed() int64 { return l.suppressed.Load() }
