// Package platform is a test double of the users' platform: an in-memory object API
// with fault injection. Store is also used in unit tests, so that unit tests and
// processes run against the same behavior.
package platform

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"bilberrydale/process/objectapi"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	Down               bool          `json:"down"`        // all calls fail
	Delay              time.Duration `json:"delay"`       // nanoseconds added to each call
	LoseWriteResponses int           `json:"lose_writes"` // the next N writes take effect, but their responses are lost
	StaleReads         bool          `json:"stale_reads"` // reads and watches return the state at the time of activation
	MaxCallsPerSecond  int           `json:"call_budget"` // 0: unlimited
}

// CallCounts are the numbers of calls since the start, including calls that fail by an
// injected fault.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Store is an in-memory object API. It implements objectapi.Store.
type Store struct {
	mu            sync.Mutex                  // guards the fields below
	objects       map[string]objectapi.Object // by key
	revision      uint64                      // of the last write
	changed       chan struct{}               // closed at the next change of objects or faults
	faults        Faults
	staleObjects  map[string]objectapi.Object // state that stale reads return
	counts        CallCounts
	hosts         []objectapi.Host
	budgetSecond  int64 // Unix time, in seconds, of the second in which callsInSecond are counted
	callsInSecond int   // for Faults.MaxCallsPerSecond
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults to inject.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleObjects = make(map[string]objectapi.Object, len(s.objects))
		for k, v := range s.objects {
			s.staleObjects[k] = v
		}
	}
	s.faults = f
	s.notifyWatchers()
}

// Faults returns the faults to inject. LoseWriteResponses is the number that
// remains.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// CallCounts returns the numbers of calls since the start.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts replaces the host list, with immediate effect. The caller simulates the
// delay of the platform's host list.
func (s *Store) SetHosts(hosts []objectapi.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]objectapi.Host(nil), hosts...)
}

// Backup is a copy of the objects and the revision of a Store.
type Backup struct {
	objects  map[string]objectapi.Object
	revision uint64
}

// Backup returns a copy of the objects and the revision for Restore.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{objects: maps.Clone(s.objects), revision: s.revision}
}

// Restore restores the objects and the revision of an earlier Backup, as operators of
// the platform do after a loss of data.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = maps.Clone(b.objects), b.revision
	s.notifyWatchers()
}

// notifyWatchers wakes all waiting watches. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and injects the faults that precede its effect. After an
// error the call has no effect.
func (s *Store) beginCall(ctx context.Context, count func(*CallCounts)) error {
	s.mu.Lock()
	f := s.faults
	count(&s.counts)
	over := s.exceedsCallRate()
	s.mu.Unlock()
	if f.Down {
		return objectapi.ErrUnavailable
	}
	if over {
		return objectapi.ErrRateLimited
	}
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return objectapi.ErrUnavailable
		case <-time.After(f.Delay):
		}
	}
	return ctx.Err()
}

// exceedsCallRate counts a call and reports whether it exceeds MaxCallsPerSecond.
// The caller holds mu.
func (s *Store) exceedsCallRate() bool {
	if s.faults.MaxCallsPerSecond <= 0 {
		return false
	}
	if now := time.Now().Unix(); now != s.budgetSecond {
		s.budgetSecond, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	return s.callsInSecond > s.faults.MaxCallsPerSecond
}

// visibleObjects returns the objects that reads return. The caller holds mu.
func (s *Store) visibleObjects() map[string]objectapi.Object {
	if s.faults.StaleReads {
		return s.staleObjects
	}
	return s.objects
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.visibleObjects()[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return obj, nil
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objectsWithPrefix(prefix, 0), nil
}

// objectsWithPrefix returns the visible objects under prefix whose version is above
// after, ordered by key. The caller holds mu.
func (s *Store) objectsWithPrefix(prefix string, after uint64) []objectapi.Object {
	var out []objectapi.Object
	for k, v := range s.visibleObjects() {
		if strings.HasPrefix(k, prefix) && v.Version > after {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Put implements objectapi.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > objectapi.MaxValueBytes {
		return 0, objectapi.ErrTooLarge
	}
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Writes++ }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return 0, objectapi.ErrConflict
	}
	s.revision++
	s.objects[key] = objectapi.Object{Key: key, Value: append([]byte(nil), value...), Version: s.revision}
	s.notifyWatchers()
	if s.consumeLostResponse() {
		return 0, objectapi.ErrUnknownOutcome
	}
	return s.revision, nil
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Writes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cur, ok := s.objects[key]
	if !ok {
		return objectapi.ErrNotFound
	}
	if cur.Version != expect {
		return objectapi.ErrConflict
	}
	s.revision++
	delete(s.objects, key)
	s.notifyWatchers()
	if s.consumeLostResponse() {
		return objectapi.ErrUnknownOutcome
	}
	return nil
}

// consumeLostResponse reports whether the response of a write is to be lost. The
// caller holds mu.
func (s *Store) consumeLostResponse() bool {
	if s.faults.LoseWriteResponses > 0 {
		s.faults.LoseWriteResponses--
		return true
	}
	return false
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]objectapi.Object, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Watches++ }); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		down, changed := s.faults.Down, s.changed
		found := s.objectsWithPrefix(prefix, after)
		s.mu.Unlock()
		if down {
			return nil, objectapi.ErrUnavailable
		}
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, objectapi.ErrUnavailable
		case <-timeout.C:
			return nil, nil
		case <-changed:
		}
	}
}

// Hosts implements objectapi.Store.
func (s *Store) Hosts(ctx context.Context) ([]objectapi.Host, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]objectapi.Host(nil), s.hosts...), nil
}
