// Package platform is a small stand-in for the users' platform: the object API
// in memory, with switches for its failures. Objects is also the fake Store of
// unit tests, so that tests and processes meet the same behaviour.
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

// Faults are the failure switches. The zero value is a healthy platform.
type Faults struct {
	Down               bool          `json:"down"`        // refuse every call
	Delay              time.Duration `json:"delay"`       // nanoseconds added to each call
	LoseWriteResponses int           `json:"lose_writes"` // answers of the next N writes are lost after the effect
	StaleReads         bool          `json:"stale_reads"` // reads and watches show the state at the time of switching on
	MaxCallsPerSecond  int           `json:"call_budget"` // calls a second; 0: unlimited
}

// Counts are the calls seen since the start.
type CallCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Objects is the object API in memory. It implements objectapi.Store.
type Store struct {
	mu       sync.Mutex
	objects  map[string]objectapi.Object
	revision uint64
	changed  chan struct{}
	faults   Faults
	frozen   map[string]objectapi.Object // what stale reads show
	counts   CallCounts
	hosts    []objectapi.Host
	window   int64 // second that the budget counts
	spent    int
}

// New returns an empty object API.
func NewStore() *Store {
	return &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// SetFaults switches failures on or off.
func (o *Store) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.StaleReads && !o.faults.StaleReads {
		o.frozen = make(map[string]objectapi.Object, len(o.objects))
		for k, v := range o.objects {
			o.frozen[k] = v
		}
	}
	o.faults = f
	o.wake()
}

// Faults returns the switches.
func (o *Store) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Counts returns the calls seen.
func (o *Store) CallCounts() CallCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// SetHosts replaces the host list; the caller applies the lag.
func (o *Store) SetHosts(hosts []objectapi.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = append([]objectapi.Host(nil), hosts...)
}

// Backup is the state of the platform at one time.
type Backup struct {
	objects  map[string]objectapi.Object
	revision uint64
}

// Backup returns the present state, for Restore.
func (o *Store) Backup() Backup {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Backup{objects: maps.Clone(o.objects), revision: o.revision}
}

// Restore puts an earlier state back, its revision included, as operators of
// the platform do after a loss of data.
func (o *Store) Restore(b Backup) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects, o.revision = maps.Clone(b.objects), b.revision
	o.wake()
}

func (o *Store) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// enter applies the switches that act before a call's effect.
func (o *Store) enter(ctx context.Context, count func(*CallCounts)) error {
	o.mu.Lock()
	f := o.faults
	count(&o.counts)
	over := o.overBudget()
	o.mu.Unlock()
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

func (o *Store) overBudget() bool {
	if o.faults.MaxCallsPerSecond <= 0 {
		return false
	}
	if now := time.Now().Unix(); now != o.window {
		o.window, o.spent = now, 0
	}
	o.spent++
	return o.spent > o.faults.MaxCallsPerSecond
}

func (o *Store) view() map[string]objectapi.Object {
	if o.faults.StaleReads {
		return o.frozen
	}
	return o.objects
}

// Get implements objectapi.Store.
func (o *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := o.enter(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return objectapi.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.view()[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return obj, nil
}

// List implements objectapi.Store.
func (o *Store) List(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	if err := o.enter(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.under(prefix, 0), nil
}

func (o *Store) under(prefix string, after uint64) []objectapi.Object {
	var out []objectapi.Object
	for k, v := range o.view() {
		if strings.HasPrefix(k, prefix) && v.Version > after {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Put implements objectapi.Store.
func (o *Store) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > objectapi.MaxValueBytes {
		return 0, objectapi.ErrTooLarge
	}
	if err := o.enter(ctx, func(c *CallCounts) { c.Writes++ }); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[key].Version != expect {
		return 0, objectapi.ErrConflict
	}
	o.revision++
	o.objects[key] = objectapi.Object{Key: key, Value: append([]byte(nil), value...), Version: o.revision}
	o.wake()
	if o.loseAnswer() {
		return 0, objectapi.ErrUnknownOutcome
	}
	return o.revision, nil
}

// Delete implements objectapi.Store.
func (o *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := o.enter(ctx, func(c *CallCounts) { c.Writes++ }); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	cur, ok := o.objects[key]
	if !ok {
		return objectapi.ErrNotFound
	}
	if cur.Version != expect {
		return objectapi.ErrConflict
	}
	o.revision++
	delete(o.objects, key)
	o.wake()
	if o.loseAnswer() {
		return objectapi.ErrUnknownOutcome
	}
	return nil
}

func (o *Store) loseAnswer() bool {
	if o.faults.LoseWriteResponses > 0 {
		o.faults.LoseWriteResponses--
		return true
	}
	return false
}

// Watch implements objectapi.Store.
func (o *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]objectapi.Object, error) {
	if err := o.enter(ctx, func(c *CallCounts) { c.Watches++ }); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		o.mu.Lock()
		down, changed := o.faults.Down, o.changed
		found := o.under(prefix, after)
		o.mu.Unlock()
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
func (o *Store) Hosts(ctx context.Context) ([]objectapi.Host, error) {
	if err := o.enter(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]objectapi.Host(nil), o.hosts...), nil
}
