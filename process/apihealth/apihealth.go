// Package apihealth detects outages of the platform's object API, and its recovery, on behalf
// of everything in a process that sends requests to the API.
//
// A request that is sent while the API does not respond is never answered, even after the
// API has recovered. Without probes a process would therefore stay disconnected from the
// platform until its requests time out, and a process that started during an outage would
// serve nothing for seconds after the API's recovery.
package apihealth

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// Options configures a Monitor; all fields are required.
type Options struct {
	// Probe sends a small request to the API on a connection of its own. Any error other
	// than objectapi.ErrNoResponse and objectapi.ErrUnavailable counts as a response.
	Probe func(ctx context.Context) error
	Clock clock.Clock
	Rand  clock.Rand
	// FullProbeRate reports whether the API has to be probed at the full rate, because no
	// other host would notify this process of the API's recovery.
	FullProbeRate func() bool
	// OnChange is called when an outage is confirmed and when it ends. after is the time
	// since the outage was first suspected. It is called without locks held.
	OnChange func(unresponsive bool, after time.Duration)
}

// Monitor tracks whether the API responds. Run is called once; the other methods and Call
// are safe for concurrent use.
type Monitor struct {
	opts    Options
	outages chan struct{} // signals Run that an outage has started

	mu     sync.Mutex // guards outage and its fields
	outage *outage    // nil while the API responds
}

// outage lasts from the time at which a request fails or its response is overdue to the next
// response.
type outage struct {
	since time.Time // when the outage was first suspected
	// confirmed is set once a probe has had no response within probeInterval either. Until
	// then the request may just be slow, or may have been lost with its connection.
	confirmed bool
	ended     chan struct{} // closed when the outage ends
}

// New returns a Monitor that assumes that the API responds.
func New(opts Options) *Monitor {
	return &Monitor{opts: opts, outages: make(chan struct{}, 1)}
}

const (
	// overdueGrace is how long a response may be overdue before the API is probed. A slow
	// API responds within about 200 ms.
	overdueGrace = 400 * time.Millisecond
	// probeInterval is the time between probes, and so the delay in detecting the end of
	// an outage. The next probe is sent even if the previous one has had no response: one
	// that was sent during the outage is lost.
	probeInterval = 250 * time.Millisecond
	// slowProbeInterval is the time between probes where another host notifies this
	// process: probes of hundreds of hosts would otherwise be most of the API's requests.
	slowProbeInterval = 2 * time.Second
	// probeTimeout is the time for the response to a probe; a slow API needs part of it.
	probeTimeout = time.Second
)

// Unresponsive reports whether the API is in a confirmed outage.
func (m *Monitor) Unresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outage != nil && m.outage.confirmed
}

// Run probes the API whenever a request gets no response, until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.outages:
		}
		m.probeUntilAnswered(ctx)
	}
}

// probeUntilAnswered sends probes until the outage or ctx ends, and confirms the outage after
// the first probe without a response.
func (m *Monitor) probeUntilAnswered(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		o := m.currentOutage()
		if o == nil {
			return
		}
		go m.sendProbe(ctx, o)
		if !m.sleep(ctx, o, probeInterval) {
			return
		}
		m.confirmOutage(o)
		if !m.opts.FullProbeRate() && !m.sleep(ctx, o, slowProbeInterval-probeInterval) {
			return
		}
	}
}

// sleep waits for d, changed by a random part of up to 20%. It returns false if the outage or ctx
// ends first.
func (m *Monitor) sleep(ctx context.Context, o *outage, d time.Duration) bool {
	d = time.Duration((0.8 + 0.4*m.opts.Rand.Float64()) * float64(d))
	select {
	case <-ctx.Done():
		return false
	case <-o.ended:
		return false
	case <-m.opts.Clock.After(d):
		return true
	}
}

// sendProbe sends one probe and ends the outage if the API responds.
func (m *Monitor) sendProbe(ctx context.Context, o *outage) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := m.opts.Probe(ctx); ctx.Err() == nil && !isUnavailable(err) {
		m.endOutage(o)
	}
}

// currentOutage returns the current outage, confirmed or not, or nil.
func (m *Monitor) currentOutage() *outage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outage
}

// confirmOutage confirms outage o, unless it has ended, and reports it to OnChange.
func (m *Monitor) confirmOutage(o *outage) {
	m.mu.Lock()
	changed := m.outage == o && !o.confirmed
	if changed {
		o.confirmed = true
	}
	m.mu.Unlock()
	if changed {
		m.opts.OnChange(true, m.opts.Clock.Now().Sub(o.since))
	}
}

// endOutage ends outage o, or the current outage if o is nil, because the API has responded.
// It does nothing if that outage has ended already.
func (m *Monitor) endOutage(o *outage) {
	m.mu.Lock()
	if m.outage == nil || o != nil && m.outage != o {
		m.mu.Unlock()
		return
	}
	current := m.outage
	confirmed := current.confirmed
	m.outage = nil
	close(current.ended)
	m.mu.Unlock()
	if confirmed {
		m.opts.OnChange(false, m.opts.Clock.Now().Sub(current.since))
	}
}

// suspectOutage starts an outage, if there is none, so that Run probes the API. It returns
// the current outage.
func (m *Monitor) suspectOutage() *outage {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outage == nil {
		m.outage = &outage{since: m.opts.Clock.Now(), ended: make(chan struct{})}
		select {
		case m.outages <- struct{}{}:
		default: // Run has not received the previous signal yet
		}
	}
	return m.outage
}

// awaitRecovery blocks during a confirmed outage. recovered reports whether there was one. If
// ctx ends first, the error wraps objectapi.ErrUnavailable and objectapi.ErrNoResponse.
func (m *Monitor) awaitRecovery(ctx context.Context) (recovered bool, err error) {
	o := m.currentOutage()
	if o == nil || !m.Unresponsive() {
		return false, nil
	}
	select {
	case <-o.ended:
		return true, nil
	case <-ctx.Done():
		return true, errors.Join(objectapi.ErrUnavailable, objectapi.ErrNoResponse, ctx.Err())
	}
}

// isUnavailable reports whether the error of a request means that the API serves no
// requests now. A rejection of the request itself, for its rate or its content, is a
// response.
func isUnavailable(err error) bool {
	return errors.Is(err, objectapi.ErrNoResponse) || errors.Is(err, objectapi.ErrUnavailable)
}

// recordResult ends the outage if the result of a request shows a response of the API. A
// cancelled or timed-out request shows nothing.
func (m *Monitor) recordResult(err error) {
	if !isUnavailable(err) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		m.endOutage(nil)
	}
}

// result is the outcome of one request.
type result[T any] struct {
	value T
	err   error
}

// RequestFunc sends one request to the API. It may be called more than once. recovered
// reports that the API has just recovered from an outage.
type RequestFunc[T any] func(ctx context.Context, recovered bool) (T, error)

// Call sends a request whose response may take up to wait in normal operation, 0 for one without a
// wait at the API. During a confirmed outage it blocks until the API recovers. If the response is
// overdue when the API is found to respond, the request was most likely lost in an outage: it is
// sent once more, and the first response to either is returned. If ctx ends while Call waits for
// recovery, the error wraps objectapi.ErrUnavailable and objectapi.ErrNoResponse.
func Call[T any](ctx context.Context, m *Monitor, wait time.Duration, request RequestFunc[T]) (T, error) {
	recovered, err := m.awaitRecovery(ctx)
	if err != nil {
		var zero T
		return zero, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	send(ctx, request, recovered, results)
	res, ok := receive(results, m.opts.Clock.After(wait+overdueGrace))
	if ok && isUnavailable(res.err) {
		// The connection was reset or the API reported itself unavailable: other requests
		// would fail as well.
		m.suspectOutage()
	}
	if !ok {
		res, ok = receive(results, m.suspectOutage().ended)
	}
	if !ok {
		send(ctx, request, true, results)
		res = <-results
		if errors.Is(res.err, objectapi.ErrNoResponse) {
			res = <-results
		}
	}
	m.recordResult(res.err)
	return res.value, res.err
}

// send sends the request in a goroutine of its own and delivers the result to out.
func send[T any](ctx context.Context, request RequestFunc[T], recovered bool, out chan<- result[T]) {
	go func() {
		value, err := request(ctx, recovered)
		out <- result[T]{value, err}
	}()
}

// receive waits for a result. It returns false if until is ready first.
func receive[T, S any](results <-chan result[T], until <-chan S) (result[T], bool) {
	select {
	case res := <-results:
		return res, true
	case <-until:
		return result[T]{}, false
	}
}
