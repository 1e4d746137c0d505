package batcher

import (
	"context"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
)

// Backend sends requests to the backend servers of one service. Its methods are
// called concurrently.
type Backend interface {
	// Run sends a call and returns one result per item, in the order of c.Items, or a
	// response with Err set. If Err is set, the server may have run the call.
	Run(ctx context.Context, c *Call) Response
	// ReleaseResults lets a server drop the results with these handles. After an error
	// they may stay there until they expire.
	ReleaseResults(ctx context.Context, s *directory.Server, handles []string) error
	// FreeResultMemory returns an upper bound on the free result memory of a
	// server, in bytes.
	FreeResultMemory(ctx context.Context, s *directory.Server) (int64, error)
}

// CallLogger logs calls as they are sent and as they end. waiting is the number of
// items left in the queue. CallEnded is called concurrently.
type CallLogger interface {
	CallSent(service string, c *Call, waiting int)
	// CallEnded gets the outcome that counts: the response, or an Err of
	// context.DeadlineExceeded if the call timed out earlier.
	CallEnded(service string, c *Call, took time.Duration, resp Response)
}

// Batcher runs the Queue of one service: it sends the calls that the queue composes
// and reports their responses back. Its methods are safe for concurrent use.
type Batcher struct {
	service string
	backend Backend
	clock   clock.Clock
	log     CallLogger
	wakeup  chan struct{} // buffered signal to Run that the queue has changed

	mu              sync.Mutex // guards queue and pendingReleases
	queue           *Queue
	pendingReleases map[string]*releaseBatch // by server id; the next release message to each
}

// releaseBatch collects results to be released in one message to a server.
type releaseBatch struct {
	server  *directory.Server
	handles []string
	bytes   int64 // total size of the results
}

// New returns a batcher for a service. It sends nothing until Run is called.
func New(service string, opts Options, backend Backend, c clock.Clock, log CallLogger) *Batcher {
	return &Batcher{
		service: service, backend: backend, clock: c, log: log, wakeup: make(chan struct{}, 1),
		queue: NewQueue(opts), pendingReleases: map[string]*releaseBatch{},
	}
}

// Configure replaces the options and the servers. oneWay returns the one-way
// network latency to a server.
func (b *Batcher) Configure(opts Options, servers []*directory.Server, oneWay func(*directory.Server) time.Duration) {
	b.mu.Lock()
	b.queue.Configure(opts)
	b.queue.SetServers(servers, oneWay)
	b.mu.Unlock()
	b.signal()
}

// Submit queues a job, which the caller must not change afterwards. The job's OnResult is
// called once for each item, with the batcher's lock held: it must not call the batcher.
func (b *Batcher) Submit(j *Job) {
	b.mu.Lock()
	b.queue.Submit(j, b.clock.Now())
	b.mu.Unlock()
	b.signal()
}

// Cancel ends the items of a request that are not in a call yet with reason Cancelled. Calls in
// flight continue.
func (b *Batcher) Cancel(requestID string) {
	b.mu.Lock()
	b.queue.Cancel(requestID)
	b.mu.Unlock()
	b.signal()
}

// Capacity returns the current capacity of the service's servers.
func (b *Batcher) Capacity() Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Capacity(b.clock.Now())
}

// Options returns the options in effect.
func (b *Batcher) Options() Options {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.opts
}

// signal makes Run check the queue.
func (b *Batcher) signal() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// releaseDelay is how long released results are collected before a message is sent:
// the results of a request are released within a short time of each other. It is
// short because a server whose result memory is full waits for the release.
const releaseDelay = 10 * time.Millisecond

// Run sends calls until ctx is cancelled. It returns nil. Calls in flight then are
// not awaited.
func (b *Batcher) Run(ctx context.Context) error {
	lastDecay := b.clock.Now()
	for {
		now := b.clock.Now()
		b.mu.Lock()
		if now.Sub(lastDecay) >= time.Second {
			b.queue.DecayEstimates()
			lastDecay = now
		}
		if len(b.queue.servers) == 0 {
			b.queue.FailAll(NoServer)
		}
		calls, wakeAt := b.queue.NextCalls(now)
		waiting := b.queue.WaitingItems()
		toProbe := b.queue.ServersToProbe(now)
		b.mu.Unlock()
		for _, s := range toProbe {
			go b.probeFreeMemory(ctx, s)
		}
		for _, c := range calls {
			b.log.CallSent(b.service, c, waiting)
			go b.runCall(ctx, c)
		}
		var timer <-chan time.Time
		if !wakeAt.IsZero() {
			timer = b.clock.After(max(wakeAt.Sub(now), time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-b.wakeup:
		case <-timer:
		}
	}
}

// minCallGrace is the minimum time after the expected end before a call times out and
// its items go to another server. It covers the variance of call times and the
// retransmission of a lost packet.
const minCallGrace = 250 * time.Millisecond

// runCall sends a call and applies its response, or a timeout.
func (b *Batcher) runCall(ctx context.Context, c *Call) {
	// Twice the expected time separates a slow or unresponsive server from normal
	// variance. Results that arrive after the timeout are released.
	b.mu.Lock()
	expectedEnd := c.ExpectedEnd // changes when the call before it ends
	b.mu.Unlock()
	limit := expectedEnd.Sub(b.clock.Now()) + c.ExpectedDuration + minCallGrace
	timeout := time.AfterFunc(limit, func() { b.finishCall(c, Response{Err: context.DeadlineExceeded}, true) })
	resp := b.backend.Run(ctx, c)
	timeout.Stop()
	b.finishCall(c, resp, resp.Err != nil)
}

// finishCall applies the response to a call. failed is true if the call as a whole failed,
// which counts as a failure of the server unless it was only busy. Results of a call that
// has already been completed by its timeout are released.
func (b *Batcher) finishCall(c *Call, resp Response, failed bool) {
	now := b.clock.Now()
	b.mu.Lock()
	alreadyCompleted := c.completed
	if failed && !alreadyCompleted && !resp.Busy {
		c.Server.RecordFailure(now)
	}
	b.queue.CompleteCall(c, resp, now)
	b.mu.Unlock()
	b.signal()
	if !alreadyCompleted {
		b.log.CallEnded(b.service, c, now.Sub(c.sentAt), resp)
		return
	}
	// The items went to another server after the timeout, so these results have no user.
	for _, r := range resp.Results {
		if r.Handle != "" {
			b.ReleaseResult(r.ServerID, r.Handle, 0)
		}
	}
}

// ReleaseResult releases a result of the given size at a server. It returns at once; the
// message is sent after releaseDelay. A server that is no longer listed gets none.
func (b *Batcher) ReleaseResult(serverID, handle string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.queue.servers[serverID]
	if s == nil {
		return // the result was lost with its server
	}
	batch := b.pendingReleases[serverID]
	if batch == nil {
		batch = &releaseBatch{server: s.Server}
		b.pendingReleases[serverID] = batch
		time.AfterFunc(releaseDelay, func() { b.flushReleases(serverID) })
	}
	batch.handles = append(batch.handles, handle)
	batch.bytes += bytes
}

// memoryProbeTimeout bounds a request for a server's free result memory. A failed probe
// is not fatal: the server's calls show whether it works.
const memoryProbeTimeout = 300 * time.Millisecond

// probeFreeMemory requests the free result memory of a server and updates the queue.
func (b *Batcher) probeFreeMemory(ctx context.Context, s *directory.Server) {
	ctx, cancel := context.WithTimeout(ctx, memoryProbeTimeout)
	defer cancel()
	free, err := b.backend.FreeResultMemory(ctx, s)
	now := b.clock.Now()
	b.mu.Lock()
	b.queue.UpdateFreeMemory(s.ID, free, err == nil, now)
	b.mu.Unlock()
	b.signal()
}

// releaseTimeout bounds a release message. Results that it fails to release expire at
// the server after Options.ResultTTL.
const releaseTimeout = time.Second

// flushReleases sends the collected releases to a server.
func (b *Batcher) flushReleases(serverID string) {
	b.mu.Lock()
	batch := b.pendingReleases[serverID]
	delete(b.pendingReleases, serverID)
	b.mu.Unlock()
	if batch == nil || b.holdReleases(batch) {
		return
	}
	// A call that is sent from now on reaches the server after the release message.
	b.mu.Lock()
	b.queue.ResultsReleased(serverID, batch.bytes)
	b.mu.Unlock()
	b.signal()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// After a failure the memory stays in use until the results expire; the backend
	// logs the error.
	_ = b.backend.ReleaseResults(ctx, batch.server, batch.handles)
}

// holdReleases reports whether a message is not sent, as its server wants none of this host now: it is
// sent after the pause, unless the results expire before.
func (b *Batcher) holdReleases(batch *releaseBatch) bool {
	now := b.clock.Now()
	if batch.server.Pauses.Admits(now) {
		return false
	}
	wait := releaseRetryDelay
	if p := batch.server.Pauses.Pause(now); p != nil {
		wait += p.Until.Sub(now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait >= b.queue.opts.ResultTTL {
		return true
	}
	id := batch.server.ID
	if other := b.pendingReleases[id]; other != nil { // collected meanwhile
		batch.handles, batch.bytes = append(batch.handles, other.handles...), batch.bytes+other.bytes
	} else {
		time.AfterFunc(wait, func() { b.flushReleases(id) })
	}
	b.pendingReleases[id] = batch
	return true
}

// releaseRetryDelay is added to the end of a pause before releases are sent: calls go first.
const releaseRetryDelay = 100 * time.Millisecond
