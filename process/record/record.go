// Package record writes the process's structured log to an output that may be
// slow: lines wait in a bounded queue, and what does not fit is counted and
// left out, so that no request ever waits for the log.
package record

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// queued lines are kept for a slow output: about two seconds of a busy host.
const queued = 1024

// Writer is an io.Writer that never blocks.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer; Run has to be called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, queued)}
}

// Write implements io.Writer for one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, then those that wait.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.rest()
			return nil
		}
	}
}

func (w *AsyncWriter) rest() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write joins waiting lines: each write is a system call.
func (w *AsyncWriter) write(line []byte) {
	for len(line) < joined {
		select {
		case more := <-w.lines:
			line = append(line, more...)
			continue
		default:
		}
		break
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // there is no other place to tell it
	}
}

const joined = 16 << 10 // bytes

// New returns a logger of JSON lines to w.
func NewLogger(w io.Writer, host string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		Level: log.InfoLevel, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter,
	})
	return l.With("host", host)
}

// Limiter bounds the ordinary lines of one sort to some each second, and counts
// what it left out. Lines about failures do not pass through it.
type Limiter struct {
	PerSecond int64
	second    atomic.Int64
	used      atomic.Int64
	left      atomic.Int64
}

// Allow reports whether a line may be written at now.
func (l *Limiter) Allow(now time.Time) bool {
	s := now.Unix()
	if old := l.second.Load(); old != s && l.second.CompareAndSwap(old, s) {
		l.used.Store(0)
	}
	if l.used.Add(1) <= l.PerSecond {
		return true
	}
	l.left.Add(1)
	return false
}

// Left returns the number of lines that were not allowed.
func (l *Limiter) Suppressed() int64 { return l.left.Load() }
