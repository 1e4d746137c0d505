package streamwriter

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// record is the writer of one stream.
type record struct {
	attemptID string // of the client's attempt that brought the first event
	route     string
	writer    Writer // zero: hosts have told different ones
	expiresAt time.Time
	own       bool // this host has begun the stream
}

// known returns the writer as the result of Resolve, which has come from source.
func (r record) known(source Source) (Writer, Source, error) {
	if r.writer.IsZero() {
		return Writer{}, "", fmt.Errorf("%w: several are told for attempt %s", ErrUnknown, r.attemptID)
	}
	return r.writer, source, nil
}

// maxRecords bounds the records of a host, at about 150 bytes each. Further streams are not
// remembered.
const maxRecords = 1 << 17

// records holds the records of this host and those that others have told it. It is safe for
// concurrent use.
type records struct {
	mu        sync.Mutex
	byAttempt map[string]record
}

// add adds a record. Where another writer is known for the attempt, none is from then on.
func (s *records) add(r record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.byAttempt[r.attemptID]
	if !exists && len(s.byAttempt) >= maxRecords || r.attemptID == "" {
		return
	}
	if exists {
		if old.writer != r.writer {
			r.writer = Writer{}
		}
		r.own = r.own || old.own
		if old.expiresAt.After(r.expiresAt) {
			r.expiresAt = old.expiresAt
		}
	}
	s.byAttempt[r.attemptID] = r
}

// get returns the record of an attempt that has not expired.
func (s *records) get(attemptID string, now time.Time) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byAttempt[attemptID]
	return r, ok && r.expiresAt.After(now)
}

// own returns the records of streams of some routes that this host has begun.
func (s *records) own(routes []string, now time.Time) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []record
	for _, r := range s.byAttempt {
		if r.own && r.expiresAt.After(now) && slices.Contains(routes, r.route) {
			out = append(out, r)
		}
	}
	return out
}

// len returns the number of records.
func (s *records) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byAttempt)
}

// removeExpired removes the records that have expired.
func (s *records) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.byAttempt {
		if !r.expiresAt.After(now) {
			delete(s.byAttempt, id)
		}
	}
}
