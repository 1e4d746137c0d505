package world

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, a line each, and counts the lines of each kind.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	counts map[string]int
	broken []string // places where a rule was broken
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now(), counts: map[string]int{}}, nil
}

// Note adds a line of a kind.
func (r *Record) Note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind]++
	fmt.Fprintf(r.file, "%9.3f %-8s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

// Break adds a line that says how a rule was broken.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Note("BROKEN", "%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Count returns the number of lines of a kind.
func (r *Record) Count(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[kind]
}

// Broken returns the places where a rule was broken.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }
