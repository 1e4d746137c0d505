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

	"bilberrydale/process/platform"
)

// Faults are the failure switches. The zero value is a healthy platform.
type Faults struct {
	Down       bool          `json:"down"`        // refuse every call
	Delay      time.Duration `json:"delay"`       // nanoseconds added to each call
	LoseWrites int           `json:"lose_writes"` // answers of the next N writes are lost after the effect
	StaleReads bool          `json:"stale_reads"` // reads and watches show the state at the time of switching on
	CallBudget int           `json:"call_budget"` // calls a second; 0: unlimited
}

// Counts are the calls seen since the start.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Objects is the object API in memory. It implements platform.Store.
type Objects struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	revision uint64
	changed  chan struct{}
	faults   Faults
	frozen   map[string]platform.Object // what stale reads show
	counts   Counts
	hosts    []platform.Host
	window   int64 // second that the budget counts
	spent    int
}

// New returns an empty object API.
func New() *Objects {
	return &Objects{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// SetFaults switches failures on or off.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.StaleReads && !o.faults.StaleReads {
		o.frozen = make(map[string]platform.Object, len(o.objects))
		for k, v := range o.objects {
			o.frozen[k] = v
		}
	}
	o.faults = f
	o.wake()
}

// Faults returns the switches.
func (o *Objects) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Counts returns the calls seen.
func (o *Objects) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// SetHosts replaces the host list; the caller applies the lag.
func (o *Objects) SetHosts(hosts []platform.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = append([]platform.Host(nil), hosts...)
}

// Backup is the state of the platform at one time.
type Backup struct {
	objects  map[string]platform.Object
	revision uint64
}

// Backup returns the present state, for Restore.
func (o *Objects) Backup() Backup {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Backup{objects: maps.Clone(o.objects), revision: o.revision}
}

// Restore puts an earlier state back, its revision included, as operators of
// the platform do after a loss of data.
func (o *Objects) Restore(b Backup) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects, o.revision = maps.Clone(b.objects), b.revision
	o.wake()
}

func (o *Objects) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// enter applies the switches that act before a call's effect.
func (o *Objects) enter(ctx context.Context, count func(*Counts)) error {
	o.mu.Lock()
	f := o.faults
	count(&o.counts)
	over := o.overBudget()
	o.mu.Unlock()
	if f.Down {
		return platform.ErrUnavailable
	}
	if over {
		return platform.ErrRateLimited
	}
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return platform.ErrUnavailable
		case <-time.After(f.Delay):
		}
	}
	return ctx.Err()
}

func (o *Objects) overBudget() bool {
	if o.faults.CallBudget <= 0 {
		return false
	}
	if now := time.Now().Unix(); now != o.window {
		o.window, o.spent = now, 0
	}
	o.spent++
	return o.spent > o.faults.CallBudget
}

func (o *Objects) view() map[string]platform.Object {
	if o.faults.StaleReads {
		return o.frozen
	}
	return o.objects
}

// Get implements platform.Store.
func (o *Objects) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := o.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return platform.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.view()[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return obj, nil
}

// List implements platform.Store.
func (o *Objects) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if err := o.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.under(prefix, 0), nil
}

func (o *Objects) under(prefix string, after uint64) []platform.Object {
	var out []platform.Object
	for k, v := range o.view() {
		if strings.HasPrefix(k, prefix) && v.Version > after {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Put implements platform.Store.
func (o *Objects) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > platform.MaxValue {
		return 0, platform.ErrTooLarge
	}
	if err := o.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[key].Version != expect {
		return 0, platform.ErrConflict
	}
	o.revision++
	o.objects[key] = platform.Object{Key: key, Value: append([]byte(nil), value...), Version: o.revision}
	o.wake()
	if o.loseAnswer() {
		return 0, platform.ErrUnknownOutcome
	}
	return o.revision, nil
}

// Delete implements platform.Store.
func (o *Objects) Delete(ctx context.Context, key string, expect uint64) error {
	if err := o.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	cur, ok := o.objects[key]
	if !ok {
		return platform.ErrNotFound
	}
	if cur.Version != expect {
		return platform.ErrConflict
	}
	o.revision++
	delete(o.objects, key)
	o.wake()
	if o.loseAnswer() {
		return platform.ErrUnknownOutcome
	}
	return nil
}

func (o *Objects) loseAnswer() bool {
	if o.faults.LoseWrites > 0 {
		o.faults.LoseWrites--
		return true
	}
	return false
}

// Watch implements platform.Store.
func (o *Objects) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, error) {
	if err := o.enter(ctx, func(c *Counts) { c.Watches++ }); err != nil {
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
			return nil, platform.ErrUnavailable
		}
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, platform.ErrUnavailable
		case <-timeout.C:
			return nil, nil
		case <-changed:
		}
	}
}

// Hosts implements platform.Store.
func (o *Objects) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := o.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]platform.Host(nil), o.hosts...), nil
}
